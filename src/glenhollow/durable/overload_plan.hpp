#ifndef GLENHOLLOW_DURABLE_OVERLOAD_PLAN_HPP
#define GLENHOLLOW_DURABLE_OVERLOAD_PLAN_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <cstdint>
#include <unordered_set>
#include <vector>

namespace glenhollow
{

/// A task that waits, as the plan sees it.
struct waiting_task
{
    job_id job = 0;             ///< Whose.
    std::uint32_t priority = 0; ///< Of its queue; 0 goes first.
    instant start_by{};         ///< Later its job misses its objective.
    double core_ms = 0;         ///< Its work.
    bool begun = false;         ///< Other tasks of its job were placed.
};

/// When more work waits than can start in time, a queue by urgency alone makes
/// nearly every job a little late. This names the jobs that must be demoted so
/// that the others are in time: of those before the first task that would
/// start too late, the least important one, and of these the one with most
/// time left. Jobs that have begun are not named, for that would waste what
/// they have done.
/// @param tasks In the order in which they would start.
/// @param cores That start work at the present rate.
/// @param now The time.
/// @return The jobs to demote.
/// @note Moore's rule for the fewest late jobs on one machine, with importance
/// in place of length: J. M. Moore, Management Science 15 (1968).
std::unordered_set<job_id>
jobs_to_demote(const std::vector<waiting_task>& tasks, double cores,
               instant now);

} // namespace glenhollow

#endif
