#ifndef GLENHOLLOW_DURABLE_READY_TASK_HPP
#define GLENHOLLOW_DURABLE_READY_TASK_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace glenhollow
{

/// Number of an entry whose tasks this entry places; 0: this entry.
using entry_number = std::uint32_t;

/// Number of a placer that places this entry's tasks; 0: this entry.
using placer_number = std::uint32_t;

/// A task whose preceding steps are done, so that it may start.
struct ready_task
{
    task_ref task;
    part_number part = 0; ///< The part that owns its job.
    std::string service;  ///< The service whose backend servers run it.
    std::string label;    ///< Label that the backend server must have; may be
                          ///< empty.
    std::string preferred_label; ///< Backend servers without this label run the
                                 ///< task more slowly; may be empty.
    resources needs;             ///< The resources that the task takes.
    std::uint32_t priority = 0;  ///< The priority of its queue; 0 is the
                                 ///< highest.
    instant start_by{}; ///< The latest start at which its job can meet its
                        ///< objective.
    std::uint32_t estimate_ms = 0; ///< The run time that the caller estimates.
    std::string avoid;  ///< The agent at which it failed last; may be empty.
    bool begun = false; ///< Whether other tasks of its job have been placed.
    entry_number entry = 0; ///< The entry that owns the task.
};

/// Changes of an entry's waiting tasks since the last call to the placer.
struct queue_changes
{
    std::vector<ready_task> added;   ///< Tasks that wait now.
    std::vector<task_ref> withdrawn; ///< Tasks that no longer wait.

    /// @return Whether there are no changes.
    bool empty() const { return added.empty() && withdrawn.empty(); }
};

/// Thousandths of a core, in which resources state CPU.
inline constexpr double millicores_per_core = 1000.0;

/// @return The task's work in core-milliseconds, by its caller's estimate.
inline double estimated_core_ms(const ready_task& task)
{
    return task.estimate_ms * (task.needs.cpu / millicores_per_core);
}

} // namespace glenhollow

#endif
