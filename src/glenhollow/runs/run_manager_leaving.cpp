// Announced shutdowns and the pace of the backend server.
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

/// An account may be processed late, for example after this process was
/// suspended. Its times are relative to when it was sent.
void run_manager::adjust_for_age(server_account& account,
                                 const server_timing& times) const
{
    const auto now = clock_.now();
    duration age{};
    if (times.clock_ms > 0 && server_clock_.known() &&
        may_be_same_incarnation(account.incarnation(), account_.incarnation()))
        age = std::max(duration{0}, duration{milliseconds{
                                        server_clock_.at(clock_.running(), {}) -
                                        times.clock_ms}});
    account.leaves_at.reset();
    if (times.remaining)
        account.leaves_at = now + *times.remaining - age;
    account.cold_until = now + times.cold - age;
}

/// @param before Shutdown time announced by the same incarnation before, if
/// any.
void run_manager::handle_leaving_notice(const std::optional<instant>& before)
{
    if (!account_.leaves_at || before)
        return check_leaving();
    ++stats_.leaving_notices;
    log_change(log_level::info, "runner_leaving",
               {{"instance", account_.instance},
                {"time_left_ms", to_ms(*account_.leaves_at - clock_.now())},
                {"runs", runs_.size()}});
    check_leaving();
}

/// Stops runs that would end with the server while they can still finish
/// elsewhere. The owner learns of the end only after the stop is confirmed, so
/// that no task runs twice at the same time.
void run_manager::check_leaving()
{
    if (!account_.leaves_at)
        return;
    const auto now = clock_.now();
    std::vector<run_on_leaving_server> runs_here;
    for (const auto& [ref, run] : runs_)
    {
        if (run.phase != run_phase::running || !run.are_needs_known ||
            run.awaits_end())
            continue;
        run_on_leaving_server one;
        one.run = ref;
        one.elapsed = clock_.running() - run.started;
        one.last_progress = run.progressed_at - run.started;
        one.percent = run.percent;
        one.expected_ms = run.order.expected_ms;
        if (run.order.useful_ms > 0)
            one.useful_for =
                run.ordered_at + milliseconds{run.order.useful_ms} - now;
        runs_here.push_back(one);
    }
    const auto time_left = *account_.leaves_at - now;
    const auto plan =
        plan_leaving(runs_here, time_left, pace_.value(), settings_.leaving);
    for (const auto& ref : plan.unfinishable)
    {
        auto& run = runs_.at(ref);
        if (std::exchange(run.unfinishable, true))
            continue;
        ++stats_.unfinishable;
        log_change(log_level::info, "run_unfinishable_on_leaving_server",
                   {{"job", to_text(ref.task.job)},
                    {"run", ref.run},
                    {"percent", run.percent},
                    {"time_left_ms", to_ms(time_left)}});
    }
    for (const auto& ref : plan.moved)
    {
        const auto& run = runs_.at(ref);
        const auto ran_ms = to_ms(clock_.running() - run.started);
        ++stats_.moved;
        stats_.moved_ms += static_cast<std::uint64_t>(ran_ms);
        log_change(log_level::info, "run_stopped_on_leaving_server",
                   {{"job", to_text(ref.task.job)},
                    {"run", ref.run},
                    {"percent", run.percent},
                    {"ran_ms", ran_ms},
                    {"time_left_ms", to_ms(time_left)}});
        begin_stop(ref);
    }
}

/// Ignores ends that were seen or listed late, and ends during the warm-up of
/// the server.
void run_manager::record_pace(const run_record& run)
{
    const bool cold = run.phase_changed_at < account_.cold_until;
    if (run.order.expected_ms == 0 || cold || run.awaits_end() ||
        poll_gap_ > settings_.max_poll_gap)
        return;
    const std::chrono::duration<double, std::micro> elapsed =
        clock_.running() - run.started;
    pace_.record(elapsed.count() / (micros_a_ms * run.order.expected_ms));
}

} // namespace glenhollow
