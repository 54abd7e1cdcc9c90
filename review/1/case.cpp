// The store is down while runners end more tasks than one answer lists.
#include "../standins/deployment.hpp"

using namespace review;

namespace
{

constexpr double traffic_after_ms = 10'000; // SYSTEM.md
constexpr double store_down_ms = 3'000;     // A site's days have up to 7 s.
constexpr double finish_ms = 14'000;        // finish_s
constexpr std::size_t jobs = 40;
constexpr std::size_t width = 110; // The widest jobs of the users' letter.
constexpr double first_step_ms = 1'000;
constexpr double second_step_ms = 60;

double work_ms(const std::string& task, const std::string&)
{
    const auto step = task.substr(task.find('.') + 3, 2);
    return step == "0." ? first_step_ms : second_step_ms;
}

std::string body()
{
    const json::object first{{"count", 1},
                             {"cpu", 500},
                             {"mem_mb", 64},
                             {"estimate_ms", first_step_ms}};
    const json::object second{{"count", width},
                              {"cpu", 1000},
                              {"mem_mb", 64},
                              {"estimate_ms", second_step_ms},
                              {"after", json::array{0}}};
    return json::serialize(
        json::object{{"spec", "quote"}, {"steps", json::array{first, second}}});
}

/// RULES.md, TWICE: a start after a run has ended `done`, if that end is taken
/// note of at that time or later; not if the lease lapsed between the end and
/// its note. Or two runs of one task at once on runners that are up.
std::size_t count_broken(const deployment& system, record& log)
{
    std::map<std::string, std::vector<const run_record*>> by_task;
    for (const auto& run : system.runs())
        by_task[run.task].push_back(&run);
    std::size_t broken = 0;
    for (const auto& [task, runs] : by_task)
    {
        bool again = false;
        bool at_once = false;
        for (const auto* one : runs)
        {
            for (const auto* other : runs)
            {
                if (one == other || other->begin < one->begin)
                    continue;
                again =
                    again ||
                    (one->how == "done" && other->begin > one->end &&
                     one->noted >= other->begin && !one->lapsed_before_note);
                at_once = at_once || (other->begin <
                                      (one->end == 0 ? now_ms() : one->end));
            }
        }
        broken += again || at_once ? 1 : 0;
        if (again || at_once)
            log.line("TWICE", task, "runs", runs.size(),
                     again ? "started-after-done" : "",
                     at_once ? "two-at-once" : "");
    }
    return broken;
}

asio::awaitable<bool> play(deployment& system, record& log)
{
    co_await system.await_ready(traffic_after_ms);
    std::vector<job> all(jobs);
    std::size_t answered = 0;
    const auto executor = co_await asio::this_coro::executor;
    for (std::size_t i = 0; i < jobs; ++i)
    {
        all[i].id = system.new_job_id();
        all[i].body = body();
        asio::co_spawn(executor, submit(system, all[i], i, log),
                       [&answered](const std::exception_ptr&) { ++answered; });
        co_await sleep_ms(5);
    }
    while (answered < jobs)
        co_await sleep_ms(5);
    const double traffic_end = now_ms();
    std::size_t accepted = 0;
    for (const auto& one : all)
        accepted += one.accepted > 0 ? 1 : 0;
    if (accepted < jobs / 2)
        throw cannot_run("jobs were not accepted");
    if (has_trouble())
    {
        log.line("platform_down begins");
        system.platform().set(store::mode::silent);
        co_await sleep_ms(store_down_ms);
        system.platform().set(store::mode::up);
        log.line("platform_down ends");
    }
    while (now_ms() < traffic_end + finish_ms)
        co_await sleep_ms(50);
    system.check_own_ends();
    std::size_t succeeded = 0;
    for (std::size_t i = 0; i < jobs; ++i)
    {
        if (all[i].accepted == 0)
            continue;
        all[i].final_state = co_await state_of(system, all[i], i, log);
        succeeded += all[i].final_state == "succeeded" ? 1 : 0;
    }
    write_runs(system, log);
    std::size_t most = 0;
    for (std::size_t i = 0; i < system.runners(); ++i)
        most = std::max(most, system.backend(i).most_unseen());
    const auto broken = count_broken(system, log);
    std::ostringstream summary;
    summary << "accepted " << accepted << ", succeeded " << succeeded
            << ", runs " << system.runs().size() << " of "
            << accepted * (width + 1) << " tasks, most unseen ends of a runner "
            << most << ", tasks run TWICE " << broken;
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
    settings.runners.assign(3, {{"a", "r1-1"}, 64000, 262144});
    settings.work_ms = work_ms;
    return run_case(argv[1], settings, play);
}
