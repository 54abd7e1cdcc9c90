#include "soak/soak_explain.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <optional>
#include <set>
#include <sstream>

namespace glenhollow::soak
{

namespace json = boost::json;

namespace
{

/// Around the runs of the task.
constexpr std::int64_t before_ms = 5000;
constexpr std::int64_t after_ms = 3000;
constexpr std::int64_t ms_a_second = 1000;

/// Events that come all the time and tell nothing of a single task.
constexpr std::array noise{
    "placement_load",    "placement_group",   "job_refused",
    "member_discovered", "store_unavailable", "store_available",
    "call_given_up",     "host_load",         "host_group_changed",
    "placer_left",       "placer_followed",   "runner_ejected"};

/// Something that happened.
struct moment
{
    std::int64_t ms = 0; ///< Of the soak's clock.
    bool rough = false;  ///< Known to the second.
    std::string who;     ///< Where.
    std::string text;    ///< What.
};

/// What the folder says of the task.
struct known_task
{
    std::vector<moment> moments;  ///< Of its runs.
    std::set<std::string> agents; ///< Beside the backend servers.
    std::int64_t from = 0;        ///< Window.
    std::int64_t until = 0;       ///< Window.
};

std::int64_t to_ms(instant at)
{
    return std::chrono::duration_cast<milliseconds>(at).count();
}

known_task runs_of_task(const std::string& folder, const std::string& task)
{
    known_task out;
    std::ifstream file(folder + "/" + std::string(runs_file));
    std::string line;
    while (std::getline(file, line))
    {
        std::istringstream fields(line);
        std::string name;
        std::string run;
        std::string backend;
        std::string how;
        std::int64_t begin = 0;
        std::int64_t end = 0;
        std::int64_t noted = 0;
        fields >> name >> run >> backend >> begin >> end >> noted >> how;
        if (!fields || name != task)
            continue;
        const auto told = "run " + run + " ";
        out.moments.push_back({begin, false, backend, told + "begins"});
        if (end != 0)
            out.moments.push_back({end, false, backend, told + "ends " + how});
        if (noted != 0)
            out.moments.push_back(
                {noted, false, backend, told + "end taken note of"});
        const std::string part = "backend";
        if (backend.starts_with(part))
            out.agents.insert("agent" + backend.substr(part.size()));
        const auto last = std::max({begin, end, noted});
        out.from = out.from == 0 ? begin : std::min(out.from, begin);
        out.until = std::max(out.until, last);
    }
    out.from -= before_ms;
    out.until += after_ms;
    return out;
}

/// @return What to add to a time of day to get the soak's clock, both in ms.
std::optional<std::int64_t> read_soak_log(const std::string& folder,
                                          const std::string& job,
                                          known_task& known)
{
    std::optional<std::int64_t> offset;
    std::ifstream file(folder + "/soak.log");
    std::string line;
    while (std::getline(file, line))
    {
        std::istringstream fields(line);
        std::int64_t ms = 0;
        const auto colon = line.find(": ");
        if (!(fields >> ms) || colon == std::string::npos)
            continue;
        const auto text = line.substr(colon + 2);
        if (text.starts_with(wall_words))
            offset = ms - std::stoll(text.substr(wall_words.size()));
        const bool of_other =
            text.starts_with("job ") && text.find(job) == std::string::npos;
        if (ms < known.from || ms > known.until || of_other)
            continue;
        known.moments.push_back({ms, false, "soak", text});
    }
    return offset;
}

/// @return The time of day of a line, Unix ms.
std::optional<std::int64_t> time_of(const json::object& line)
{
    const auto* time = line.if_contains("time");
    if (time == nullptr || !time->is_string())
        return std::nullopt;
    std::tm parts{};
    std::istringstream text{std::string(time->get_string())};
    text >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    if (!text)
        return std::nullopt;
    double fraction = 0;
    if (text.peek() == '.')
        text >> fraction;
    return ::timegm(&parts) * ms_a_second +
           std::llround(fraction * ms_a_second);
}

std::string text_of(const json::object& line, std::string_view name)
{
    const auto* field = line.if_contains(name);
    return field != nullptr && field->is_string()
               ? std::string(field->get_string())
               : std::string();
}

bool concerns(const json::object& line, const known_task& known)
{
    const auto event = text_of(line, "event");
    const auto agent = text_of(line, "agent");
    return std::find(noise.begin(), noise.end(), event) == noise.end() &&
           (agent.empty() || known.agents.contains(agent));
}

std::string told(const json::object& line)
{
    std::string out = text_of(line, "event");
    for (const auto& [name, value] : line)
    {
        if (name != "time" && name != "level" && name != "program" &&
            name != "event" && value.is_string())
            out.append(" ").append(name).append("=").append(value.get_string());
    }
    return out;
}

void read_process_log(const std::filesystem::path& log, std::int64_t offset,
                      known_task& known)
{
    std::ifstream file(log);
    std::string text;
    while (std::getline(file, text))
    {
        boost::system::error_code ec;
        const auto value = json::parse(text, ec);
        if (ec || !value.is_object())
            continue;
        const auto& line = value.get_object();
        const auto time = time_of(line);
        if (!time || !concerns(line, known))
            continue;
        const auto ms = *time + offset;
        if (ms + ms_a_second >= known.from && ms <= known.until)
            known.moments.push_back(
                {ms, true, log.stem().string(), told(line)});
    }
}

} // namespace

std::string run_line(const seen_run& run)
{
    std::ostringstream out;
    const bool over = run.end != instant::max();
    out << run.task << " " << run.run << " " << run.backend << " "
        << to_ms(run.begin) << " " << (over ? to_ms(run.end) : 0) << " "
        << to_ms(run.noted) << " " << (over ? run.how : "-")
        << (run.lapsed_before_note ? " lapsed_before_note" : "")
        << (run.late ? " late" : "") << (run.in_touch ? " in_touch" : "");
    return out.str();
}

std::vector<std::string> explain_task(const std::string& folder,
                                      const std::string& task)
{
    auto known = runs_of_task(folder, task);
    if (known.moments.empty())
        return {};
    const auto offset =
        read_soak_log(folder, task.substr(0, task.find('.')), known);
    std::error_code ec;
    std::set<std::filesystem::path> logs;
    for (const auto& one : std::filesystem::directory_iterator(folder, ec))
    {
        const auto name = one.path().stem().string();
        if (one.path().extension() == ".log" &&
            (name.starts_with("entry") || known.agents.contains(name)))
            logs.insert(one.path());
    }
    for (const auto& log : logs)
    {
        if (offset)
            read_process_log(log, *offset, known);
    }
    std::stable_sort(known.moments.begin(), known.moments.end(),
                     [](const moment& a, const moment& b)
                     { return a.ms < b.ms; });
    std::vector<std::string> out;
    for (const auto& one : known.moments)
        out.push_back((one.rough ? "~" : " ") + std::to_string(one.ms) + " " +
                      one.who + ": " + one.text);
    return out;
}

} // namespace glenhollow::soak
