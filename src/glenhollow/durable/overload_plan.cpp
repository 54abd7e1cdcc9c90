#include "glenhollow/durable/overload_plan.hpp"

#include <queue>
#include <tuple>
#include <unordered_map>

namespace glenhollow
{

namespace
{

/// A job that may be demoted; the greatest candidate is demoted first.
struct candidate
{
    std::uint32_t priority = 0; ///< Priority of its queue.
    instant start_by{};         ///< Latest start of its first task.
    job_id job = 0;

    /// @return Whether the other candidate is demoted before this one.
    bool operator<(const candidate& other) const
    {
        return std::tie(priority, start_by, job) <
               std::tie(other.priority, other.start_by, other.job);
    }
};

} // namespace

std::unordered_set<job_id>
jobs_to_demote(const std::vector<waiting_task>& tasks, double cores,
               instant now)
{
    std::unordered_set<job_id> demoted;
    if (cores <= 0)
        return demoted;
    std::unordered_map<job_id, double> work; // Work per job queued so far.
    std::priority_queue<candidate> candidates;
    double work_before = 0;
    for (const auto& task : tasks)
    {
        if (demoted.contains(task.job))
            continue;
        if (!work.contains(task.job) && !task.begun)
            candidates.push({task.priority, task.start_by, task.job});
        work[task.job] += task.core_ms;
        const double slack_ms =
            std::chrono::duration<double, std::milli>(task.start_by - now)
                .count();
        while (work_before > slack_ms * cores && !candidates.empty())
        {
            const auto victim = candidates.top().job;
            candidates.pop();
            demoted.insert(victim);
            work_before -=
                work[victim] - (victim == task.job ? task.core_ms : 0);
            if (victim == task.job)
                break;
        }
        if (!demoted.contains(task.job))
            work_before += task.core_ms;
    }
    return demoted;
}

} // namespace glenhollow
