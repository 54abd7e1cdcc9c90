// One queue for several entries: tasks of others here, ours at their placer.
#include "glenhollow/durable/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

/// The same job may wait at two entries: its caller has sent it again.
job_id dispatcher::job_key(const ready_task& task)
{
    constexpr std::uint64_t odd = 0x9E3779B97F4A7C15; // Spreads the numbers.
    return task.task.job ^ (task.entry * odd);
}

/// A task leaves the queue for good.
void dispatcher::note_removed(const ready_task& task)
{
    foreign_ -= task.entry == 0 ? 0 : 1;
    if (!delegated_ || task.entry != 0)
        return;
    const auto untold =
        std::erase_if(changes_.added, [&task](const ready_task& one)
                      { return one.task == task.task; });
    if (untold == 0)
        changes_.withdrawn.push_back(task.task);
}

void dispatcher::grant(const ready_task& task, agent_view& agent)
{
    const auto number = ++grant_numbers_;
    const auto now = clock_.now();
    agent.grant(number, task.needs, now);
    open_grants_.push_back({agent.name(), number, now + settings_.grant_time});
    granted_[task.entry].push_back({task.task, agent.name(), number});
    ++stats_.granted;
}

/// Frees the room of grants whose orders never came.
void dispatcher::expire_grants()
{
    const auto now = clock_.now();
    while (!open_grants_.empty() && open_grants_.front().until <= now)
    {
        const auto known = agents_.find(open_grants_.front().agent);
        if (known != agents_.end())
            known->second.revoke(open_grants_.front().number);
        open_grants_.pop_front();
    }
}

void dispatcher::drop_entry(entry_number entry)
{
    std::vector<task_ref> dropped;
    for (const auto& [service, queue] : queues_)
    {
        for (const auto& [key, task] : queue.tasks)
        {
            if (task.entry == entry)
                dropped.push_back(task.task);
        }
    }
    for (const auto& task : dropped)
        withdraw(task, entry);
    granted_.erase(entry);
}

void dispatcher::declined(entry_number entry, const declined_grant& grant)
{
    ++stats_.declined;
    const auto known = agents_.find(grant.agent);
    if (known == agents_.end())
        return;
    known->second.revoke(grant.number);
    if (!grant.unreachable)
        return;
    blocked_until_ = clock_.now() + settings_.block_time;
    known->second.block(entry, blocked_until_);
}

/// Under overload every task starts at its last moment, and what its order
/// takes on the way makes it late.
void dispatcher::note_grant_time(const agent_view& agent,
                                 const std::vector<std::uint32_t>& granted)
{
    constexpr int weight = 16; // Of the newest: one sixteenth.
    for (const auto number : granted)
    {
        const auto age = agent.grant_age(number, clock_.now());
        if (age)
            grant_lag_ +=
                (std::min(*age, settings_.most_grant_lag) - grant_lag_) /
                weight;
    }
}

void dispatcher::delegate(bool on)
{
    delegated_ = on;
    changes_ = {};
}

std::vector<ready_task> dispatcher::waiting_tasks() const
{
    std::vector<ready_task> own;
    for (const auto& [service, queue] : queues_)
    {
        for (const auto& [key, task] : queue.tasks)
        {
            if (task.entry != 0)
                continue;
            own.push_back(task);
            own.back().begun = queue.jobs.at(job_key(task)).begun;
        }
    }
    return own;
}

queue_changes dispatcher::take_changes()
{
    return std::exchange(changes_, {});
}

grant_verdict dispatcher::use(const task_grant& grant, std::uint64_t placer)
{
    const auto known = by_task_.find(run_ref{grant.task, 0});
    if (known == by_task_.end())
        return grant_verdict::not_wanted;
    const auto [service, key] = known->second;
    auto& queue = queues_[service];
    const auto task = queue.tasks.at(key);
    const auto agent = agents_.find(grant.agent);
    if (agent == agents_.end() || !suits(agent->second, task))
    {
        if (delegated_)
            changes_.added.push_back(task); // Its placer has forgotten it.
        return grant_verdict::unreachable;
    }
    queue.jobs.at(job_key(task)).begun = true;
    remove(service, key); // The placer knows.
    return begin_at(task, agent->second, placer, grant.number)
               ? grant_verdict::used
               : grant_verdict::not_wanted;
}

} // namespace glenhollow
