#include "glenhollow/runs/leaving_server.hpp"

#include <algorithm>
#include <unordered_set>

namespace glenhollow
{

namespace
{

constexpr double whole = 100.0; // Percent.

duration share_of(duration time, double share)
{
    return std::chrono::duration_cast<duration>(time * share);
}

} // namespace

std::optional<duration> least_time_left(const leaving_run& run, double pace,
                                        const leaving_settings& settings)
{
    duration takes{};
    if (run.percent >= settings.least_percent)
        takes = share_of(run.progressed_at,
                         settings.progress_share * whole / run.percent);
    else if (run.expected_ms > 0)
        takes = share_of(milliseconds{run.expected_ms},
                         settings.guess_share * pace);
    else
        return std::nullopt;
    return std::max(duration{0}, takes - run.ran);
}

leaving_plan plan_leaving(const std::vector<leaving_run>& runs, duration left,
                          double pace, const leaving_settings& settings)
{
    std::vector<const leaving_run*> stuck;
    leaving_plan plan;
    std::unordered_set<job_id> hopeless;
    for (const auto& run : runs)
    {
        const auto needed = least_time_left(run, pace, settings);
        if (!needed || *needed <= left)
            continue;
        const auto again = settings.stop_time + settings.start_time +
                           milliseconds{run.expected_ms};
        if (run.expected_ms > 0 && again <= run.useful.value_or(again))
        {
            stuck.push_back(&run);
            continue;
        }
        plan.lost.push_back(run.run);
        hopeless.insert(run.run.task.job);
    }
    for (const auto* run : stuck)
    {
        auto& group =
            hopeless.contains(run->run.task.job) ? plan.lost : plan.moved;
        group.push_back(run->run);
    }
    return plan;
}

} // namespace glenhollow
