#ifndef GLENHOLLOW_DURABLE_READY_TASK_HPP
#define GLENHOLLOW_DURABLE_READY_TASK_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace glenhollow
{

/// Numbers the entries whose tasks an entry places; 0: its own.
using entry_number = std::uint32_t;

/// Numbers the placers that place an entry's tasks; 0: the entry itself.
using placer_number = std::uint32_t;

/// A task that may start.
struct ready_task
{
    task_ref task;                 ///< Which task.
    part_number part = 0;          ///< Of its job.
    std::string service;           ///< Whose runners run it.
    std::string label;             ///< The runner must have it, if given.
    std::string preferred_label;   ///< Other runners are slower at it.
    resources needs;               ///< Of the runner.
    std::uint32_t priority = 0;    ///< Of its queue; 0 goes first.
    instant start_by{};            ///< Later its job misses its objective.
    std::uint32_t estimate_ms = 0; ///< The caller's guess of its time.
    std::string avoid;             ///< An agent where it failed; may be empty.
    bool begun = false;            ///< Other tasks of its job were placed.
    entry_number entry = 0;        ///< Whose it is; 0: this entry's.
};

/// Waiting tasks that an entry's placer has to be told of.
struct queue_changes
{
    std::vector<ready_task> added;   ///< Wait since the last call.
    std::vector<task_ref> withdrawn; ///< Wait no more.

    /// @return Whether there is nothing to tell.
    bool empty() const { return added.empty() && withdrawn.empty(); }
};

/// Needs are told in thousandths of a core.
inline constexpr double millicores_per_core = 1000.0;

/// @param task A task.
/// @return Its core-milliseconds, by its caller's guess.
inline double estimated_core_ms(const ready_task& task)
{
    return task.estimate_ms * (task.needs.cpu / millicores_per_core);
}

} // namespace glenhollow

#endif
