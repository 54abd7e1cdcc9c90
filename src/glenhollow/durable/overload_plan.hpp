#ifndef GLENHOLLOW_DURABLE_OVERLOAD_PLAN_HPP
#define GLENHOLLOW_DURABLE_OVERLOAD_PLAN_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <cstdint>
#include <unordered_set>
#include <vector>

namespace glenhollow
{

/// A waiting task as input to the plan.
struct waiting_task
{
    job_id job = 0;             ///< The job that owns the task.
    std::uint32_t priority = 0; ///< The priority of its queue; 0 is the
                                ///< highest.
    instant start_by{}; ///< The latest start at which its job can meet its
                        ///< objective.
    double core_ms = 0; ///< The task's work in core-milliseconds.
    bool begun = false; ///< Whether other tasks of its job have been placed.
};

/// Selects the jobs to demote under overload so that the others are in time. An
/// order by urgency alone would make nearly every job a little late. Whenever a
/// task would start too late, one job among those queued up to it is demoted:
/// the one of the lowest priority, and among these the one with the latest
/// start. Jobs that have begun are never selected, since their finished work
/// would be wasted.
/// @param tasks The waiting tasks in the order in which they would start.
/// @param cores The rate at which work starts, in cores.
/// @note A variant of Moore's algorithm for the fewest late jobs on one
/// machine, with priority in place of length: J. M. Moore, Management Science
/// 15 (1968).
std::unordered_set<job_id>
jobs_to_demote(const std::vector<waiting_task>& tasks, double cores,
               instant now);

} // namespace glenhollow

#endif
