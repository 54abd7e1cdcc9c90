#include "soak/fault_plan.hpp"

#include "glenhollow/core/random.hpp"

#include <array>
#include <optional>
#include <sstream>

namespace glenhollow::soak
{

namespace
{

/// From the engine's own bits, so that a seed means the same everywhere.
double drawn(random_engine& engine)
{
    constexpr double range = 9007199254740992.0; // 2^53
    return static_cast<double>(engine() >> 11U) / range;
}

duration between(random_engine& engine, duration least, duration most)
{
    return least + milliseconds{static_cast<std::int64_t>(
                       drawn(engine) *
                       std::chrono::duration<double, std::milli>(most - least)
                           .count())};
}

std::uint32_t targets_of(fault_kind kind, const plan_settings& settings)
{
    switch (group_of(kind))
    {
    case fault_group::entry:
        return settings.entries;
    case fault_group::agent:
    case fault_group::backend:
        return settings.agents;
    case fault_group::store:
        return 1;
    case fault_group::link:
        return settings.links();
    case fault_group::peer:
        return settings.peers();
    case fault_group::process:
        return settings.entries + settings.agents;
    case fault_group::halls:
        return settings.halls * (settings.halls - 1) / 2;
    case fault_group::all:
        break;
    }
    return 1;
}

/// Events after which a process is halfway through something: it has been
/// granted, has adopted, has handed over, begins or ends.
constexpr std::array entry_lines{
    "part_owned",        "agent_attached", "peer_live", "placer_followed",
    "job_host_followed", "entry_started",  "stop_begun"};
constexpr std::array agent_lines{
    "part_adopted",   "entry_attached", "entry_adopted", "runner_registered",
    "runner_leaving", "agent_started",  "stop_begun"};
/// Share of the faults that wait for a line, where they can.
constexpr double waits = 0.25;

/// @return Whether its end is drawn to be short.
bool is_short(fault_kind kind)
{
    return kind == fault_kind::stall_all;
}

duration drawn_length(random_engine& engine, fault_kind kind)
{
    if (is_short(kind))
        return between(engine, milliseconds{50}, milliseconds{1500});
    if (kind == fault_kind::stalls)
        return between(engine, seconds{2}, seconds{6});
    // At times beyond the longest lease.
    if (kind == fault_kind::process_cut || kind == fault_kind::hall_cut)
        return between(engine, milliseconds{500}, seconds{6});
    return between(engine, milliseconds{300}, seconds{4});
}

void draw_line(random_engine& engine, planned_fault& fault,
               const plan_settings& settings)
{
    const bool waiting = drawn(engine) < waits;
    const auto place = engine();
    fault.after = between(engine, duration{0}, milliseconds{60});
    const auto group = group_of(fault.kind);
    const bool of_entry =
        group == fault_group::entry ||
        (group == fault_group::process && fault.target < settings.entries);
    const bool of_agent = group == fault_group::agent ||
                          group == fault_group::backend ||
                          group == fault_group::process;
    if (!waiting || !(of_entry || of_agent))
    {
        fault.after = {};
        return;
    }
    fault.line = of_entry ? entry_lines.at(place % entry_lines.size())
                          : agent_lines.at(place % agent_lines.size());
}

/// @return A planned stop that brings about the line for which a fault waits;
/// nothing where it comes by itself.
std::optional<planned_fault> cause_of(const planned_fault& fault,
                                      const plan_settings& settings)
{
    if (fault.line != "stop_begun" && !fault.line.ends_with("_started"))
        return std::nullopt;
    const auto group = group_of(fault.kind);
    const bool of_process = group == fault_group::process;
    const bool of_entry = group == fault_group::entry ||
                          (of_process && fault.target < settings.entries);
    planned_fault out;
    out.kind = of_entry ? fault_kind::entry_stop : fault_kind::agent_stop;
    out.target = of_process && !of_entry ? fault.target - settings.entries
                                         : fault.target;
    out.at = fault.at + milliseconds{300};
    out.lasts = milliseconds{500};
    return out;
}

/// All kinds that the deployment has targets for.
std::vector<planned_fault> wide_plan(const plan_settings& settings)
{
    random_engine engine(settings.seed);
    std::vector<planned_fault> plan;
    for (auto at = settings.calm; at < settings.length;
         at += between(engine, duration{0}, 2 * settings.apart))
    {
        planned_fault fault;
        do
            fault.kind = static_cast<fault_kind>(engine() % all_kinds);
        while (targets_of(fault.kind, settings) == 0);
        fault.target = static_cast<std::uint32_t>(
            engine() % targets_of(fault.kind, settings));
        fault.at = at;
        fault.lasts = drawn_length(engine, fault.kind);
        fault.share = 0.1 + 0.5 * drawn(engine);
        draw_line(engine, fault, settings);
        const auto wait = fault.line.empty() ? duration{0} : line_wait;
        if (at + wait + fault.lasts >= settings.length)
            continue;
        plan.push_back(fault);
        if (auto cause = cause_of(fault, settings))
            plan.push_back(std::move(*cause));
    }
    return plan;
}

} // namespace

fault_group group_of(fault_kind kind)
{
    if (kind >= fault_kind::stalls)
        return fault_group::all;
    if (kind == fault_kind::hall_cut)
        return fault_group::halls;
    if (kind == fault_kind::process_cut)
        return fault_group::process;
    if (kind >= fault_kind::peer_slow)
        return fault_group::peer;
    if (kind == fault_kind::backend_pause)
        return fault_group::backend;
    if (kind <= fault_kind::entry_stop)
        return fault_group::entry;
    if (kind <= fault_kind::agent_stop)
        return fault_group::agent;
    if (kind < fault_kind::store_slow)
        return fault_group::backend;
    return kind < fault_kind::link_slow ? fault_group::store
                                        : fault_group::link;
}

std::vector<planned_fault> plan_faults(const plan_settings& settings)
{
    if (settings.wide)
        return wide_plan(settings);
    random_engine engine(settings.seed);
    std::vector<planned_fault> plan;
    auto at = settings.calm;
    while (true)
    {
        planned_fault fault;
        fault.kind = static_cast<fault_kind>(engine() % drawn_kinds);
        const auto targets = targets_of(fault.kind, settings);
        fault.target = static_cast<std::uint32_t>(engine() % targets);
        fault.at = at;
        fault.lasts = between(engine, milliseconds{300}, seconds{4});
        fault.share = 0.1 + 0.5 * drawn(engine);
        at += between(engine, duration{0}, 2 * settings.apart);
        if (fault.at + fault.lasts >= settings.length)
            return plan;
        plan.push_back(fault);
    }
}

std::string to_text(const std::vector<planned_fault>& plan)
{
    const auto ms = [](duration time)
    { return std::chrono::duration_cast<milliseconds>(time).count(); };
    std::ostringstream out;
    for (const auto& fault : plan)
    {
        out << ms(fault.at) << " " << to_name(fault.kind) << " " << fault.target
            << " " << ms(fault.lasts) << " " << fault.share;
        if (!fault.line.empty())
            out << " " << fault.line << " " << ms(fault.after);
        out << "\n";
    }
    return out.str();
}

result<std::vector<planned_fault>> plan_from(const std::string& text,
                                             const plan_settings& settings)
{
    std::vector<planned_fault> plan;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line))
    {
        if (line.empty() || line.front() == '#')
            continue;
        std::istringstream fields(line);
        std::int64_t at = 0;
        std::int64_t lasts = 0;
        std::string name;
        planned_fault fault;
        fields >> at >> name >> fault.target >> lasts >> fault.share;
        const auto kind = from_name<fault_kind>(name);
        if (!fields || !kind || fault.target >= targets_of(*kind, settings))
            return failure{"no fault: '" + line + "'"};
        std::int64_t after = 0;
        if (fields >> fault.line && !(fields >> after))
            return failure{"no fault: '" + line + "'"};
        fault.after = milliseconds{after};
        fault.kind = *kind;
        fault.at = milliseconds{at};
        fault.lasts = milliseconds{lasts};
        plan.push_back(fault);
    }
    return plan;
}

} // namespace glenhollow::soak
