// glenhollow-load: open-loop load, experiments and checks of the promises.
#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/load/load_report.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace glenhollow;
namespace json = boost::json;

namespace
{

constexpr int exit_broken_promise = 1;

/// Joins the http addresses of a part of deployment.json.
std::string addresses(const json::object& deployment, std::string_view part)
{
    std::string list;
    const auto* entries = deployment.if_contains(part);
    if (!entries || !entries->is_array())
        return list;
    for (const auto& one : entries->get_array())
        list.append(list.empty() ? "" : ",")
            .append(one.at("http").as_string().c_str());
    return list;
}

[[noreturn]] void exit_wrong(const std::string& flag, const std::string& why)
{
    std::cerr << "--" << flag << " " << why << "\n";
    std::exit(exit_usage);
}

} // namespace

int main(int argc, char** argv)
{
    load_plan_settings what;
    load_run_settings where;
    std::string entries;
    std::string runners;
    std::string deployment;
    std::string tasks = "1";
    std::string work = "50";
    double deadline_ms = 30000;
    unsigned timeline_ms = 0;
    bool as_json = false;

    command_line line("glenhollow-load", "open-loop load and experiments");
    line.text("entry", entries, "IP:PORT[,IP:PORT...] of entries");
    line.text("runners", runners,
              "IP:PORT[,...] of stand-in runners that count starts");
    line.text("deployment", deployment,
              "deployment.json to take entries and runners from");
    line.identifier("team", what.team, "team of the jobs");
    line.number<std::size_t>("teams", what.teams, 1, 100'000, "teams",
                             "above 1: TEAM-1, TEAM-2, ... in turn");
    line.text("token", where.token, "bearer token of the team");
    line.number("rate", what.rate, 0.001, 1e6, "jobs/s", "arrivals");
    line.number<std::size_t>("jobs", what.jobs, 1, 10'000'000, "jobs",
                             "how many");
    line.text("tasks", tasks, "tasks of a job, a distribution");
    line.text("work-ms", work, "length of a task in ms, a distribution");
    line.number("burst", what.burst, 1.0, 1000.0, "jobs",
                "jobs that arrive together, on average");
    line.number("straggle", what.straggle, 0.0, 1.0, "",
                "share of tasks ten times as long");
    line.number("deadline-ms", deadline_ms, 1.0, 140000.0, "ms",
                "deadline of each job");
    line.number("resubmit", what.resubmit, 0.0, 1.0, "",
                "share of jobs sent again through another entry");
    line.number<std::uint64_t>("seed", what.seed, 0, 1ULL << 53, "",
                               "of everything random");
    line.number<std::size_t>("slots", where.slots, 0, 1'000'000, "tasks",
                             "of the whole system, 0 asks the entries");
    line.number<unsigned>("timeline-ms", timeline_ms, 0, 60000, "ms",
                          "width of a bin of completed tasks, 0 for none");
    line.flag("json", as_json, "print one JSON object");
    parse_or_exit(line, argc, argv);

    if (!deployment.empty())
    {
        std::ifstream in(deployment);
        std::ostringstream text;
        text << in.rdbuf();
        boost::system::error_code ec;
        const auto parsed = json::parse(text.str(), ec);
        if (ec || !parsed.is_object())
            exit_wrong("deployment", deployment + " is not a deployment.json");
        if (entries.empty())
            entries = addresses(parsed.get_object(), "entries");
        if (runners.empty())
            runners = addresses(parsed.get_object(), "runners");
    }
    const auto entry_list = host_port::parse_list(entries);
    if (!entry_list)
        exit_wrong("entry", entry_list.error().text);
    if (entry_list.value().empty())
        exit_wrong("entry", "must name one entry or more as IP:PORT");
    const auto runner_list = host_port::parse_list(runners);
    if (!runner_list)
        exit_wrong("runners", runner_list.error().text);
    const auto task_count = distribution::parse(tasks);
    if (!task_count)
        exit_wrong("tasks", task_count.error().text);
    const auto work_ms = distribution::parse(work);
    if (!work_ms)
        exit_wrong("work-ms", work_ms.error().text);

    where.entries = entry_list.value();
    where.runners = runner_list.value();
    where.timeline = milliseconds{timeline_ms};
    what.deadline = milliseconds{static_cast<long>(deadline_ms)};
    boost::asio::io_context io{1};
    const auto guard = boost::asio::make_work_guard(io);
    load_run run(io, where,
                 make_plan(what, task_count.value(), work_ms.value()), what);
    const auto totals = run.play();
    std::cout << (as_json ? to_json(totals) + "\n" : to_text(totals));
    return promise_broken(totals) ? exit_broken_promise : 0;
}
