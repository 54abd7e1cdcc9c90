#include "glenhollow/configuration/tuning.hpp"

#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace glenhollow
{

namespace
{

const std::array<setting_description, 23> table{{
    {"placement", &tuning::placement, "", 0, 0, false,
     "how a task finds its runner"},
    {"queue_order", &tuning::queue_order, "", 0, 0, false,
     "which job of a team goes first"},
    {"default_team_quota", &tuning::default_team_quota, "tasks/s", -1, 1e6,
     false, "quota of a team without a row; -1 for no limit, 0 refuses all"},
    {"quota_burst_s", &tuning::quota_burst_s, "s", 0.05, 60, false,
     "burst of a quota, in seconds of its rate"},
    {"overcommit", &tuning::overcommit, "tasks", 0, 100, false,
     "tasks that late binding lets wait at a runner"},
    {"short_reserve", &tuning::short_reserve, "share", 0, 0.9, false,
     "share of the slots that long tasks leave to short ones"},
    {"long_task_ms", &tuning::long_task_ms, "ms", 1, 3600000, false,
     "tasks expected to be longer count as long"},
    {"start_window_s", &tuning::start_window_s, "s", 0.05, 300, false,
     "an agent refuses a start that could not begin within this time"},
    {"longest_deadline_s", &tuning::longest_deadline_s, "s", 1, 140, false,
     "longest deadline a caller may ask for"},
    {"usual_deadline_s", &tuning::usual_deadline_s, "s", 0.1, 140, false,
     "deadline of a job that names none"},
    {"id_lifetime_s", &tuning::id_lifetime_s, "s", 5, 150, false,
     "how long a submission id is good for and its answer is kept"},
    {"ack_delay_s", &tuning::ack_delay_s, "s", 0, 150, false,
     "how long results stay at agents for an adopter after the answer"},
    {"heartbeat_s", &tuning::heartbeat_s, "s", 0.2, 60, false,
     "an idle link says so this often"},
    {"resend_window_s", &tuning::resend_window_s, "s", 0, 30, false,
     "how long a broken link may take to come back before its tasks fail"},
    {"deadline_share", &tuning::deadline_share, "share", 0.1, 1, false,
     "part of a deadline that admission lets queueing and running take"},
    {"retry_share", &tuning::retry_share, "share", 0, 0.5, false,
     "retries allowed per fresh task of a team"},
    {"most_ejected", &tuning::most_ejected, "share", 0, 0.9, false,
     "largest share of the runners that health may take out"},
    {"slow_at", &tuning::slow_at, "times", 1.1, 100, false,
     "a runner this many times slower than expected gets less work"},
    {"starts_per_call", &tuning::starts_per_call, "starts", 1, 110, true,
     "starts of one job that may share a message to one agent"},
    {"max_tasks", &tuning::max_tasks, "tasks", 1, 1000, true,
     "tasks in one job"},
    {"max_queued_tasks", &tuning::max_queued_tasks, "tasks", 1, 1e6, true,
     "tasks that may wait at one traffic thread of an entry"},
    {"max_jobs", &tuning::max_jobs, "jobs", 1, 1e6, true,
     "jobs in flight at one traffic thread of an entry"},
    {"runner_slots", &tuning::runner_slots, "tasks", 0, 4096, true,
     "slots of every runner; 0 leaves it to the agents' own flag"},
}};

std::string number_text(double value)
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%.15g", value);
    return text.data();
}

template <class Enum>
std::string names_of()
{
    std::string names;
    for (const auto& name : name_table<Enum>::names)
        names.append(names.empty() ? "" : ", ").append(name);
    return names;
}

template <class Enum>
result<void> set_name(const setting_description& setting,
                      std::string_view value, Enum& target)
{
    const auto known = from_name<Enum>(value);
    if (!known)
        return failure{std::string(setting.name) + " must be one of " +
                       names_of<Enum>() + ", not '" + std::string(value) + "'"};
    target = *known;
    return outcome::success();
}

result<void> set_number(const setting_description& setting,
                        std::string_view value, double& target)
{
    const std::string text(value);
    char* end = nullptr;
    const double number = std::strtod(text.c_str(), &end);
    const bool fits = !text.empty() && *end == '\0' &&
                      number >= setting.least && number <= setting.most &&
                      (!setting.whole || number == std::floor(number));
    if (!fits)
        return failure{std::string(setting.name) + " must be " +
                       range_text(setting) + ", not '" + text + "'"};
    target = number;
    return outcome::success();
}

} // namespace

std::span<const setting_description> setting_table()
{
    return table;
}

const setting_description* find_setting(std::string_view name)
{
    for (const auto& setting : table)
    {
        if (setting.name == name)
            return &setting;
    }
    return nullptr;
}

result<void> set_value(const setting_description& setting,
                       std::string_view value, tuning& target)
{
    if (const auto* number = std::get_if<double tuning::*>(&setting.member))
        return set_number(setting, value, target.**number);
    if (const auto* placing =
            std::get_if<placement_kind tuning::*>(&setting.member))
        return set_name(setting, value, target.**placing);
    return set_name(setting, value,
                    target.*
                        std::get<queue_order_kind tuning::*>(setting.member));
}

std::string value_text(const setting_description& setting, const tuning& from)
{
    if (const auto* number = std::get_if<double tuning::*>(&setting.member))
        return number_text(from.**number);
    if (const auto* placing =
            std::get_if<placement_kind tuning::*>(&setting.member))
        return std::string(to_name(from.**placing));
    return std::string(
        to_name(from.*std::get<queue_order_kind tuning::*>(setting.member)));
}

std::string range_text(const setting_description& setting)
{
    if (std::holds_alternative<placement_kind tuning::*>(setting.member))
        return "one of " + names_of<placement_kind>();
    if (std::holds_alternative<queue_order_kind tuning::*>(setting.member))
        return "one of " + names_of<queue_order_kind>();
    return std::string(setting.whole ? "a whole number in " : "a number in ") +
           number_text(setting.least) + ".." + number_text(setting.most) +
           (setting.unit.empty() ? "" : " " + std::string(setting.unit));
}

std::string settings_page()
{
    std::string page =
        "# Settings\n\n"
        "Made by `glenhollow --settings-page` from the one table in\n"
        "`src/glenhollow/configuration/tuning.cpp`; do not edit.\n"
        "Change a setting with `set <name> <value>`; it is in force "
        "everywhere\nwithin seconds.\n\n"
        "| setting | default | allowed | what it does |\n"
        "| --- | --- | --- | --- |\n";
    const tuning defaults;
    for (const auto& setting : table)
        page += "| `" + std::string(setting.name) + "` | " +
                value_text(setting, defaults) + " | " + range_text(setting) +
                " | " + std::string(setting.about) + " |\n";
    return page;
}

} // namespace glenhollow
