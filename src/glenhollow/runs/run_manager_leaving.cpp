// What a backend server tells of its times: when it leaves, whether it is slow
// from its start; and how quick it is.
#include "glenhollow/runs/run_manager.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>

namespace glenhollow
{

namespace
{

constexpr double micros_a_ms = 1000.0;

std::int64_t to_ms(duration length)
{
    return std::chrono::duration_cast<milliseconds>(length).count();
}

} // namespace

/// An account may lie here for long before it is read, as when this process was
/// paused: what it told counts from when it was told.
void run_manager::date(runner_account& account, const runner_times& times) const
{
    const auto now = clock_.now();
    duration age{};
    if (times.clock_ms > 0 && runner_clock_.known() &&
        may_be_same(account.life(), account_.life()))
        age = std::max(duration{0}, duration{milliseconds{
                                        runner_clock_.at(clock_.running(), {}) -
                                        times.clock_ms}});
    account.leaves.reset();
    if (times.remaining)
        account.leaves = now + *times.remaining - age;
    account.cold_until = now + times.cold - age;
}

/// @param before What the same life had told until now.
void run_manager::note_notice(const std::optional<instant>& before)
{
    if (!account_.leaves || before)
        return check_leaving();
    ++stats_.notices;
    log_change(log_level::info, "runner_leaving",
               {{"instance", account_.instance},
                {"left_ms", to_ms(*account_.leaves - clock_.now())},
                {"runs", runs_.size()}});
    check_leaving();
}

/// Runs that would end with their backend server are stopped while they can
/// still be of use elsewhere. Their owner is told once they have ended here,
/// and no sooner: no task runs twice at once.
void run_manager::check_leaving()
{
    if (!account_.leaves)
        return;
    const auto now = clock_.now();
    std::vector<leaving_run> here;
    for (const auto& [ref, run] : runs_)
    {
        if (run.phase != run_phase::running || !run.sized)
            continue;
        leaving_run one;
        one.run = ref;
        one.ran = clock_.running() - run.begun;
        one.progressed_at = run.progressed - run.begun;
        one.percent = run.percent;
        one.expected_ms = run.order.expected_ms;
        if (run.order.useful_ms > 0)
            one.useful = run.ordered + milliseconds{run.order.useful_ms} - now;
        here.push_back(one);
    }
    const auto left = *account_.leaves - now;
    const auto plan =
        plan_leaving(here, left, pace_.value(), settings_.leaving);
    for (const auto& ref : plan.lost)
    {
        auto& run = runs_.at(ref);
        if (std::exchange(run.lost, true))
            continue;
        ++stats_.lost;
        log_change(log_level::info, "run_lost_leaving",
                   {{"job", to_text(ref.task.job)},
                    {"run", ref.run},
                    {"percent", run.percent},
                    {"left_ms", to_ms(left)}});
    }
    for (const auto& ref : plan.moved)
    {
        const auto& run = runs_.at(ref);
        const auto ran_ms = to_ms(clock_.running() - run.begun);
        ++stats_.moved;
        stats_.moved_ms += static_cast<std::uint64_t>(ran_ms);
        log_change(log_level::info, "run_moved",
                   {{"job", to_text(ref.task.job)},
                    {"run", ref.run},
                    {"percent", run.percent},
                    {"ran_ms", ran_ms},
                    {"left_ms", to_ms(left)}});
        stop(ref);
    }
}

/// Ends seen late say how long nothing was looked at, and those at a server
/// that is slow from its start say nothing of it later.
void run_manager::note_pace(const run_record& run)
{
    const bool cold = run.changed < account_.cold_until;
    if (run.order.expected_ms == 0 || cold || look_gap_ > settings_.blind)
        return;
    const std::chrono::duration<double, std::micro> ran =
        clock_.running() - run.begun;
    pace_.note(ran.count() / (micros_a_ms * run.order.expected_ms));
}

} // namespace glenhollow
