// An entry freezes while its callers' connections are reset. An agent that
// hosts its jobs freezes just before it would notice. The callers send their
// jobs again while the first runs still go on: tasks run twice at once.
#include "../standins/deployment.hpp"
#include "../standins/proxy.hpp"

using namespace review;

namespace
{

constexpr double traffic_after_ms = 14'000; // LATER.md of the site
constexpr double retransmit_ms = 1'300;     // As in the site's bounds.
constexpr double task_ms = 2'500;           // The site's go up to 3,600.
constexpr double started_ms = 500;          // All tasks have begun by then.
constexpr double host_freezes_after_ms = 780;
constexpr double entry_freeze_ms = 4'000;
constexpr double host_freeze_ms = 3'000;
constexpr std::size_t jobs = 12;
constexpr std::size_t width = 8;

double work_ms(const std::string&, const std::string&)
{
    return task_ms;
}

std::string body()
{
    const json::object step{{"count", width},
                            {"cpu", 1000},
                            {"mem_mb", 64},
                            {"estimate_ms", task_ms}};
    return json::serialize(json::object{{"spec", "alert"},
                                        {"steps", json::array{step}},
                                        {"best_effort", true}});
}

/// Sends a job that need not be kept as PROTOCOL.md says: after no response, a
/// broken connection, 502 or 504 it arrives again retransmit_ms later at any
/// node.
asio::awaitable<void> send(deployment& system, tcp::endpoint first, job& one,
                           record& log)
{
    constexpr double patience_ms = 9'000;
    constexpr int attempts = 3;
    for (int i = 0; i < attempts; ++i)
    {
        const auto where =
            i == 0 ? first : system.front(static_cast<std::size_t>(i));
        log.line("client POST", one.id, "attempt", i, "node", i);
        const auto got = co_await call(where, "POST", system.prefix() + one.id,
                                       system.host(), one.body, patience_ms);
        log.line("client POST", one.id, "->", got.status, got.body);
        one.last_status = got.status;
        if (got.status != 0 && got.status != 502 && got.status != 504)
            co_return;
        co_await sleep_ms(retransmit_ms);
    }
}

/// RULES.md, TWICE for a job that need not be kept: two runs of one task at
/// once on runners that are up.
std::size_t count_broken(const deployment& system, record& log)
{
    std::map<std::string, std::vector<const run_record*>> by_task;
    for (const auto& run : system.runs())
        by_task[run.task].push_back(&run);
    std::size_t broken = 0;
    for (const auto& [task, runs] : by_task)
    {
        double longest = 0;
        for (const auto* one : runs)
        {
            for (const auto* other : runs)
            {
                if (one == other || other->begin < one->begin)
                    continue;
                const auto end = [](const run_record* run)
                { return run->end == 0 ? now_ms() : run->end; };
                longest = std::max(longest, std::min(end(one), end(other)) -
                                                other->begin);
            }
        }
        if (longest <= 0)
            continue;
        ++broken;
        log.line("TWICE", task, "two runs at once for", longest, "ms");
    }
    return broken;
}

/// @return The agent that hosts the most jobs, by its metrics.
asio::awaitable<std::size_t> busiest_host(const deployment& system, record& log)
{
    const std::string gauge = "\nglenhollow_host_jobs_open ";
    std::size_t host = 0;
    double most = 0;
    for (std::size_t i = 0; i < system.agents(); ++i)
    {
        const auto page = co_await call(system.agent_metrics(i), "GET",
                                        "/metrics", "metrics", "", 500);
        const auto at = page.body.find(gauge);
        if (at == std::string::npos)
            continue;
        const double jobs = std::stod(page.body.substr(at + gauge.size()));
        log.line("agent", i, "hosts", jobs, "jobs");
        if (jobs <= most)
            continue;
        most = jobs;
        host = i;
    }
    if (most == 0)
        throw cannot_run("no agent hosts jobs");
    co_return host;
}

asio::awaitable<bool> play(deployment& system, record& log)
{
    co_await system.await_ready(traffic_after_ms);
    const auto executor = co_await asio::this_coro::executor;
    proxy way(static_cast<asio::io_context&>(executor.context()),
              {system.front(0).address(), 0}, system.front(0));
    std::vector<job> all(jobs);
    std::size_t answered = 0;
    for (auto& one : all)
    {
        one.id = system.new_job_id();
        one.body = body();
        asio::co_spawn(executor, send(system, way.where(), one, log),
                       [&answered](const std::exception_ptr&) { ++answered; });
    }
    co_await sleep_ms(started_ms);
    log.line("runs so far", system.runs().size());
    const auto host = co_await busiest_host(system, log);
    if (has_trouble())
    {
        log.line("node_freeze begins", system.entry(0).name());
        system.entry(0).signal(SIGSTOP);
        log.line("reset_conns");
        way.reset_all();
        co_await sleep_ms(host_freezes_after_ms);
        log.line("node_freeze begins", system.agent(host).name());
        system.agent(host).signal(SIGSTOP);
        co_await sleep_ms(host_freeze_ms);
        log.line("node_freeze ends", system.agent(host).name());
        system.agent(host).signal(SIGCONT);
        co_await sleep_ms(entry_freeze_ms - host_freezes_after_ms -
                          host_freeze_ms);
        log.line("node_freeze ends", system.entry(0).name());
        system.entry(0).signal(SIGCONT);
    }
    while (answered < jobs)
        co_await sleep_ms(50);
    co_await sleep_ms(1000);
    system.check_own_ends();
    write_runs(system, log);
    std::size_t served = 0;
    for (const auto& one : all)
        served += one.last_status == 200 ? 1 : 0;
    const auto broken = count_broken(system, log);
    std::ostringstream summary;
    summary << "jobs " << jobs << ", served " << served << ", runs "
            << system.runs().size() << " of " << jobs * width
            << " tasks, tasks run TWICE at once " << broken;
    log.line(summary.str());
    std::cout << summary.str() << "\n";
    co_return broken == 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return 2;
    deployment_settings settings;
    settings.entry_cpu_share = "0.12"; // Entries too weak to place for all.
    settings.entry_memory_mb = "160";
    settings.runners.assign(11, {{"a", "r1-1"}, 16000, 32768});
    settings.work_ms = work_ms;
    return run_case(argv[1], settings, play);
}
