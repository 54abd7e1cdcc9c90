#include "glenhollow/runs/leaving_server.hpp"

#include <algorithm>
#include <unordered_set>

namespace glenhollow
{

namespace
{

constexpr double full_percent = 100.0;

duration scaled(duration time, double share)
{
    return std::chrono::duration_cast<duration>(time * share);
}

} // namespace

std::optional<duration> min_time_left(const run_on_leaving_server& run,
                                      double pace,
                                      const leaving_settings& settings)
{
    duration total{};
    if (run.percent >= settings.min_percent)
        total = scaled(run.last_progress, settings.min_progress_share *
                                              full_percent / run.percent);
    else if (run.expected_ms > 0)
        total = scaled(milliseconds{run.expected_ms},
                       settings.min_estimate_share * pace);
    else
        return std::nullopt;
    return std::max(duration{0}, total - run.elapsed);
}

leaving_plan plan_leaving(const std::vector<run_on_leaving_server>& runs,
                          duration time_left, double pace,
                          const leaving_settings& settings)
{
    std::vector<const run_on_leaving_server*> movable;
    leaving_plan plan;
    std::unordered_set<job_id> unfinishable_jobs;
    for (const auto& run : runs)
    {
        const auto needed = min_time_left(run, pace, settings);
        if (!needed || *needed <= time_left)
            continue;
        const auto time_elsewhere = settings.stop_time + settings.start_time +
                                    milliseconds{run.expected_ms};
        if (run.expected_ms > 0 &&
            time_elsewhere <= run.useful_for.value_or(time_elsewhere))
        {
            movable.push_back(&run);
            continue;
        }
        plan.unfinishable.push_back(run.run);
        unfinishable_jobs.insert(run.run.task.job);
    }
    for (const auto* run : movable)
    {
        auto& group = unfinishable_jobs.contains(run->run.task.job)
                          ? plan.unfinishable
                          : plan.moved;
        group.push_back(run->run);
    }
    return plan;
}

} // namespace glenhollow
