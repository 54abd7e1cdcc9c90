#include "glenhollow/durable/delegated_tasks.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

run_ref key_of(const task_ref& task)
{
    return {task, 0};
}

} // namespace

void delegated_tasks::add(placer_number placer, ready_task task)
{
    const auto ref = task.task;
    auto& job = jobs_[ref.job];
    ++job.waiting;
    job.placer = placer;
    job.begun |= task.begun;
    task.begun = job.begun;
    work_[task.service] += estimated_core_ms(task);
    changes_[placer].added.push_back(task);
    tasks_.insert_or_assign(key_of(ref), waiting{std::move(task), placer});
}

const ready_task* delegated_tasks::find(const task_ref& task) const
{
    const auto known = tasks_.find(key_of(task));
    return known == tasks_.end() ? nullptr : &known->second.task;
}

std::optional<placer_number> delegated_tasks::placer_of(job_id job) const
{
    const auto known = jobs_.find(job);
    if (known == jobs_.end())
        return std::nullopt;
    return known->second.placer;
}

ready_task delegated_tasks::remove(const task_ref& task)
{
    const auto known = tasks_.find(key_of(task));
    auto out = std::move(known->second.task);
    tasks_.erase(known);
    const auto job = jobs_.find(task.job);
    out.begun |= job->second.begun;
    if (--job->second.waiting == 0)
        jobs_.erase(job);
    auto& work = work_[out.service];
    work = tasks_.empty() ? 0 : work - estimated_core_ms(out);
    return out;
}

/// A task that has not been sent to the placer need not be withdrawn there.
void delegated_tasks::queue_withdrawal(placer_number placer,
                                       const task_ref& task)
{
    auto& changes = changes_[placer];
    const auto removed =
        std::erase_if(changes.added, [&task](const ready_task& one)
                      { return one.task == task; });
    if (removed == 0)
        changes.withdrawn.push_back(task);
}

void delegated_tasks::withdraw(const task_ref& task)
{
    const auto known = tasks_.find(key_of(task));
    if (known == tasks_.end())
        return;
    queue_withdrawal(known->second.placer, task);
    remove(task);
}

ready_task delegated_tasks::take(const task_ref& task, placer_number by)
{
    const auto placer = tasks_.at(key_of(task)).placer;
    if (placer != by)
        queue_withdrawal(placer, task);
    return remove(task);
}

void delegated_tasks::requeue(const task_ref& task)
{
    const auto& known = tasks_.at(key_of(task));
    changes_[known.placer].added.push_back(known.task);
}

void delegated_tasks::mark_begun(job_id job)
{
    const auto known = jobs_.find(job);
    if (known != jobs_.end())
        known->second.begun = true;
}

std::vector<ready_task> delegated_tasks::take_all(placer_number placer)
{
    std::vector<task_ref> here;
    for (const auto& [key, one] : tasks_)
    {
        if (one.placer == placer)
            here.push_back(key.task);
    }
    changes_.erase(placer);
    std::vector<ready_task> out;
    out.reserve(here.size());
    for (const auto& task : here)
        out.push_back(remove(task));
    return out;
}

void delegated_tasks::release(part_number part)
{
    std::vector<task_ref> removed;
    for (const auto& [key, one] : tasks_)
    {
        if (one.task.part == part)
            removed.push_back(key.task);
    }
    for (const auto& task : removed)
        withdraw(task);
}

queue_changes delegated_tasks::take_changes(placer_number placer)
{
    return std::exchange(changes_[placer], {});
}

double delegated_tasks::work(const std::string& service) const
{
    const auto known = work_.find(service);
    return known == work_.end() ? 0 : known->second;
}

} // namespace glenhollow
