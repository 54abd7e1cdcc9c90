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

/// This entry's tasks that wait at placers, and what each placer has yet to be
/// told of them. A task waits at one placer at a time. One thread.
class delegated_tasks final
{
public:
    /// @param placer Where the task waits from now on; not 0.
    /// @param task One that does not wait at any placer.
    void add(placer_number placer, ready_task task);

    /// @param task Which.
    /// @return It, or null where it does not wait at a placer.
    const ready_task* find(const task_ref& task) const;

    /// @param job Which.
    /// @return Where its other tasks wait; nothing where none does.
    std::optional<placer_number> placer_of(job_id job) const;

    /// @param task Does not wait any more; its placer has to be told.
    void withdraw(const task_ref& task);

    /// A place was granted.
    /// @param task Waits at a placer.
    /// @param by The placer that found the place and knows of it; another one
    /// where the task waits has to be told.
    /// @return The task.
    ready_task take(const task_ref& task, placer_number by);

    /// The placer has dropped a task for which it had found a place that could
    /// not be used, and has to be told of it again.
    /// @param task Waits at a placer.
    void requeue(const task_ref& task);

    /// @param job Others of its tasks were placed.
    void mark_begun(job_id job);

    /// The placer's session is over.
    /// @param placer Which.
    /// @return The tasks that waited there, none of which waits any more.
    std::vector<ready_task> take_all(placer_number placer);

    /// @param part Whose tasks must not start any more.
    void release(part_number part);

    /// @param placer Which.
    /// @return What it has to be told since the last call.
    queue_changes take_changes(placer_number placer);

    /// @param service A service.
    /// @return Core-milliseconds of its tasks that wait at placers.
    double work(const std::string& service) const;

    /// @return Tasks that wait at placers.
    std::size_t size() const { return tasks_.size(); }

private:
    /// A task and where it waits.
    struct waiting
    {
        ready_task task;          ///< Which.
        placer_number placer = 0; ///< Where.
    };

    /// What is known of a job some of whose tasks wait.
    struct delegated_job
    {
        std::size_t waiting = 0;  ///< Tasks.
        placer_number placer = 0; ///< Where they wait.
        bool begun = false;       ///< Others were placed.
    };

    ready_task remove(const task_ref& task);
    void queue_withdrawal(placer_number placer, const task_ref& task);

    std::unordered_map<run_ref, waiting, run_ref_hash> tasks_; ///< By task;
                                                               ///< run 0.
    std::unordered_map<job_id, delegated_job> jobs_;           ///< By id.
    std::map<placer_number, queue_changes> changes_;           ///< To be told.
    std::unordered_map<std::string, double> work_;             ///< By service.
};

} // namespace glenhollow

#endif
