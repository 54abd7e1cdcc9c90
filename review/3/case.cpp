// Two of three entries freeze. Until the third has taken their parts over, it
// tells far too few pending jobs.
#include "../standins/deployment.hpp"

using namespace review;

namespace
{

constexpr double traffic_after_ms = 10'000; // SYSTEM.md
constexpr double old_enough_ms = 5'000;     // visible_ms + 2 s
constexpr double freeze_ms = 4'000;         // As in a site's troubles.
constexpr double watch_ms = 10'000;
constexpr std::size_t pending_jobs = 60;
constexpr double long_work_ms = 45'000;

double work_ms(const std::string&, const std::string& spec)
{
    return spec == "long" ? long_work_ms : 100;
}

std::string body(const char* spec, std::int64_t cpu, std::int64_t estimate_ms)
{
    const json::object step{{"count", 1},
                            {"cpu", cpu},
                            {"mem_mb", 64},
                            {"estimate_ms", estimate_ms},
                            {"constraints", "b"}};
    return json::serialize(
        json::object{{"spec", spec}, {"steps", json::array{step}}});
}

/// Jobs that were accepted so long before `now` and have not begun.
std::size_t owed(const deployment& system, const std::vector<job>& jobs,
                 double now)
{
    std::set<std::string> begun;
    for (const auto& run : system.runs())
        begun.insert(run.task.substr(0, run.task.find('.')));
    return static_cast<std::size_t>(std::count_if(
        jobs.begin(), jobs.end(),
        [&](const job& one)
        {
            return one.accepted > 0 && one.accepted < now - old_enough_ms &&
                   !begun.contains(one.id);
        }));
}

asio::awaitable<bool> play(deployment& system, record& log)
{
    co_await system.await_ready(traffic_after_ms);
    std::vector<job> first(1);
    first[0].id = system.new_job_id();
    first[0].kind = "long";
    first[0].body = body("long", 64'000, 45'000);
    co_await submit(system, first[0], 0, log);
    if (first[0].accepted == 0)
        throw cannot_run("the long job was not accepted");
    co_await sleep_ms(1000);
    if (system.backend(2).running() != 1)
        throw cannot_run("the long job does not run");
    std::vector<job> jobs(pending_jobs);
    std::size_t accepted = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        jobs[i].id = system.new_job_id();
        jobs[i].kind = "short";
        jobs[i].body = body("short", 1000, 100);
        co_await submit(system, jobs[i], i, log);
        accepted += jobs[i].accepted > 0 ? 1 : 0;
        co_await sleep_ms(20);
    }
    if (accepted < pending_jobs / 2)
        throw cannot_run("jobs were not accepted");
    co_await sleep_ms(old_enough_ms + 1000);
    const double begin = now_ms();
    if (has_trouble())
    {
        for (const std::size_t i : {1, 2})
        {
            log.line("node_freeze begins", system.entry(i).name());
            system.entry(i).signal(SIGSTOP);
        }
    }
    bool awake = !has_trouble();
    std::size_t broken = 0;
    std::size_t asked = 0;
    std::int64_t least = -1;
    double first_broken = 0;
    double last_broken = 0;
    // Node 0 and the store see no disruption: the node is in touch.
    while (now_ms() < begin + watch_ms)
    {
        if (!awake && now_ms() > begin + freeze_ms)
        {
            awake = true;
            system.entry(1).signal(SIGCONT);
            system.entry(2).signal(SIGCONT);
            log.line("node_freeze ends");
        }
        const auto due = owed(system, jobs, now_ms());
        const auto got = co_await call(system.front(0), "GET", system.prefix(),
                                       system.host(), "", 1000);
        log.line("client GET queue node 0 ->", got.status, got.body, "owed",
                 due);
        if (got.status == 200)
        {
            ++asked;
            const auto told = whole(parse_object(got.body), "pending");
            least = least < 0 ? told : std::min(least, told);
            if (2 * told < static_cast<std::int64_t>(due))
            {
                ++broken;
                last_broken = now_ms();
                first_broken = first_broken == 0 ? last_broken : first_broken;
                log.line("MIXED told", told, "of", due);
            }
        }
        co_await sleep_ms(20);
    }
    if (system.backend(2).running() != 1)
        throw cannot_run("the long job ended too early");
    write_runs(system, log);
    std::ostringstream summary;
    summary << "accepted " << accepted << ", counts asked " << asked
            << ", least told " << least << ", MIXED " << broken << " answers";
    if (broken > 0)
        summary << ", from " << first_broken - begin << " to "
                << last_broken - begin << " ms after the freeze began";
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
    settings.runners.assign(2, {{"a", "r1-1"}, 64000, 262144});
    settings.runners.push_back({{"b", "r1-2"}, 64000, 262144});
    settings.work_ms = work_ms;
    return run_case(argv[1], settings, play);
}
