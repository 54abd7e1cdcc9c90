#ifndef GLENHOLLOW_DURABLE_DELEGATED_TASKS_HPP
#define GLENHOLLOW_DURABLE_DELEGATED_TASKS_HPP

#include "glenhollow/durable/ready_task.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace glenhollow
{

/// This entry's tasks that wait at placers, and the changes that each placer
/// has yet to be sent. A task waits at one placer at a time. Not thread-safe.
class delegated_tasks final
{
public:
    /// Adds a waiting task.
    /// @param placer The placer where it waits; not 0.
    /// @param task A task that does not wait at any placer.
    void add(placer_number placer, ready_task task);

    /// @return The task, or null if it does not wait at a placer.
    const ready_task* find(const task_ref& task) const;

    /// @return The placer where tasks of the job wait; nothing if none waits.
    std::optional<placer_number> placer_of(job_id job) const;

    /// Removes a task that no longer waits, and queues the notice to its
    /// placer.
    void withdraw(const task_ref& task);

    /// Removes a task for which a placer granted a backend server.
    /// @param task A task that waits at a placer.
    /// @param by The placer that granted. If the task waits at another one,
    /// that one is notified.
    ready_task take(const task_ref& task, placer_number by);

    /// Sends a task to its placer again, which dropped it after a grant that
    /// could not be used.
    /// @param task A task that waits at a placer.
    void requeue(const task_ref& task);

    /// @param job A job of which tasks have been placed.
    void mark_begun(job_id job);

    /// Removes all tasks of a placer whose session has ended.
    /// @return The tasks that waited there.
    std::vector<ready_task> take_all(placer_number placer);

    /// Removes the tasks of a part that this entry no longer owns.
    void release(part_number part);

    /// @return The changes since the last call that the placer has to be sent.
    queue_changes take_changes(placer_number placer);

    /// @return Core-milliseconds of the service's tasks that wait at placers.
    double work(const std::string& service) const;

    /// @return The number of tasks that wait at placers.
    std::size_t size() const { return tasks_.size(); }

private:
    /// A task and its placer.
    struct waiting
    {
        ready_task task;
        placer_number placer = 0;
    };

    /// State of a job some of whose tasks wait.
    struct delegated_job
    {
        std::size_t waiting = 0;  ///< Number of its tasks that wait.
        placer_number placer = 0; ///< The placer where they wait.
        bool begun = false; ///< Whether other tasks of it have been placed.
    };

    ready_task remove(const task_ref& task);
    void queue_withdrawal(placer_number placer, const task_ref& task);

    /// Tasks by reference, with run 0.
    std::unordered_map<run_ref, waiting, run_ref_hash> tasks_;
    std::unordered_map<job_id, delegated_job> jobs_;
    std::map<placer_number, queue_changes> changes_; ///< Changes to send.
    /// Waiting core-milliseconds by service.
    std::unordered_map<std::string, double> work_;
};

} // namespace glenhollow

#endif
