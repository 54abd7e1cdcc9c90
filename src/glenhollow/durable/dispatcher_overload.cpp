// Order of the queue while more work waits than there is room for.
#include "glenhollow/durable/dispatcher.hpp"

#include <utility>

namespace glenhollow
{

namespace
{

constexpr double min_backlog_core_ms = 1.0;

} // namespace

/// Moves late tasks behind those in time. A late job loses nothing more by
/// waiting, so it must not make others late. The rest of a job that has begun
/// is moved to the front instead, since its caller would otherwise get no
/// answer.
void dispatcher::separate_late_tasks(service_queue& queue)
{
    const auto now = clock_.now();
    std::vector<queue_key> late;
    std::vector<queue_key> rest; // Tasks of jobs that have begun.
    auto at =
        queue.tasks.lower_bound({queue_class::in_time, instant::min(), 0});
    // Tasks are ordered by urgency.
    for (; at != queue.tasks.end() && at->first.rank == queue_class::in_time &&
           latest_start(at->second) < now;
         ++at)
        (queue.jobs.at(job_key(at->second)).begun ? rest : late)
            .push_back(at->first);
    stats_.late += late.size();
    promote(queue, rest);
    move_to_late(queue, late);
}

/// Demotes jobs under overload before they are late.
void dispatcher::demote(service_queue& queue)
{
    std::vector<waiting_task> tasks;
    for (const auto& [key, task] : queue.tasks)
    {
        if (!is_in_time(key.rank))
            break;
        const auto job = job_key(task);
        tasks.push_back({job, task.priority, latest_start(task),
                         estimated_core_ms(task), queue.jobs.at(job).begun});
    }
    const auto demoted =
        jobs_to_demote(tasks, queue.rate.cores(), clock_.now());
    if (demoted.empty())
        return;
    std::vector<queue_key> keys;
    for (const auto& [key, task] : queue.tasks)
    {
        if (is_in_time(key.rank) && demoted.contains(job_key(task)))
            keys.push_back(key);
    }
    stats_.demoted += demoted.size();
    move_to_late(queue, keys);
}

void dispatcher::move_to_late(service_queue& queue,
                              const std::vector<queue_key>& keys)
{
    for (const auto& key : keys)
    {
        auto task = queue.tasks.at(key);
        const auto job = job_key(task);
        const bool begun = queue.jobs.at(job).begun;
        remove(task.service, key);
        queue.jobs[job].begun = begun;
        insert({begun ? queue_class::late_begun : queue_class::late,
                key.start_by, key.sequence},
               std::move(task));
    }
}

/// Moves jobs that began late ahead of late jobs that have not begun.
void dispatcher::promote_late_begun(service_queue& queue)
{
    std::vector<queue_key> keys;
    const queue_key first{queue_class::late, instant::min(), 0};
    for (auto at = queue.tasks.lower_bound(first); at != queue.tasks.end();
         ++at)
    {
        if (queue.jobs.at(job_key(at->second)).begun)
            keys.push_back(at->first);
    }
    move_to_late(queue, keys);
}

/// Updates marks, rates and demotions once per review interval.
void dispatcher::review()
{
    const auto now = clock_.now();
    if (now - last_review_ < settings_.review_interval)
        return;
    last_review_ = now;
    mark_hot();
    for (auto& [service, queue] : queues_)
    {
        queue.rate.review(now, queue.work >= min_backlog_core_ms);
        demote(queue);
        promote_late_begun(queue);
    }
}

/// Moves the rest of jobs that have begun ahead of other tasks in time.
void dispatcher::promote(service_queue& queue,
                         const std::vector<queue_key>& keys)
{
    for (const auto& key : keys)
    {
        auto task = queue.tasks.at(key);
        remove(task.service, key);
        task.begun = true;
        insert({queue_class::begun, key.start_by, key.sequence},
               std::move(task));
    }
}

} // namespace glenhollow
