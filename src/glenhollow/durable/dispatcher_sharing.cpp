// Shared placement: tasks of other entries in this queue, and this entry's
// tasks at placers.
#include "glenhollow/durable/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

/// The key of a job includes its entry, since a caller may send the same job to
/// two entries.
job_id dispatcher::job_key(const ready_task& task)
{
    // Odd constant that spreads entry numbers over all bits.
    constexpr std::uint64_t odd = 0x9E3779B97F4A7C15;
    return task.task.job ^ (task.entry * odd);
}

void dispatcher::grant(const ready_task& task, agent_view& agent)
{
    const auto number = ++last_grant_number_;
    const auto now = clock_.now();
    agent.grant(number, task.needs, now);
    open_grants_.push_back(
        {agent.name(), number, now + settings_.grant_timeout});
    unsent_grants_[task.entry].push_back({task.task, agent.name(), number});
    ++stats_.granted;
}

/// Frees the room of grants whose orders did not arrive in time.
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
    unsent_grants_.erase(entry);
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
    blocked_until_ = clock_.now() + settings_.block_duration;
    known->second.block(entry, blocked_until_);
}

/// Averages the time from a grant to the arrival of its order. Under overload
/// tasks start as late as possible, so that this delay would make them late.
void dispatcher::record_grant_delay(const agent_view& agent,
                                    const std::vector<std::uint32_t>& granted)
{
    constexpr int weight = 16; // The newest age counts one sixteenth.
    for (const auto number : granted)
    {
        const auto age = agent.grant_age(number, clock_.now());
        if (age)
            grant_delay_ +=
                (std::min(*age, settings_.max_grant_delay) - grant_delay_) /
                weight;
    }
}

/// Selects the placer of a task. All tasks of a job wait at one placer.
placer_number dispatcher::placer_for(const ready_task& task)
{
    if (selector_ == nullptr)
        return 0;
    const auto others = delegated_.placer_of(task.task.job);
    if (others)
        return *others;
    const auto queue = queues_.find(task.service);
    const bool here =
        queue != queues_.end() && queue->second.jobs.contains(job_key(task));
    return here ? 0 : selector_->select(task);
}

void dispatcher::redistribute()
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
    for (const auto& task : own)
        withdraw(task.task);
    for (auto& task : own)
        enqueue(std::move(task));
}

void dispatcher::recall(placer_number placer)
{
    for (auto& task : delegated_.take_all(placer))
        enqueue(std::move(task));
}

void dispatcher::place_only_at(std::function<bool(const std::string&)> in_group)
{
    in_group_ = std::move(in_group);
    for (auto& [name, agent] : agents_)
        agent.in_own_group = !in_group_ || in_group_(name);
    update_own_agents();
}

std::map<std::string, placement_load> dispatcher::loads() const
{
    std::map<std::string, placement_load> out;
    for (const auto* agent : own_agents_)
    {
        const auto& account = agent->account();
        if (!accepts_work(*agent, account.service))
            continue;
        auto& load = out[account.service];
        load.ready_cores += agent->cores();
        load.free_cores += agent->free_cores();
    }
    for (auto& [service, load] : out)
    {
        const auto known = queues_.find(service);
        load.waiting_work = known == queues_.end() ? 0 : known->second.work;
    }
    return out;
}

grant_verdict dispatcher::apply_grant(const task_grant& grant,
                                      const granting_placer& by)
{
    const auto here = by_task_.find(run_ref{grant.task, 0});
    const auto* waiting = delegated_.find(grant.task);
    if (waiting == nullptr && here == by_task_.end())
        return grant_verdict::not_wanted;
    const auto& wanted =
        waiting != nullptr
            ? *waiting
            : queues_[here->second.first].tasks.at(here->second.second);
    const auto agent = agents_.find(grant.agent);
    if (agent == agents_.end() || !can_order(agent->second, wanted))
    {
        if (waiting != nullptr)
            delegated_.requeue(grant.task); // The placer dropped it with the
                                            // grant.
        return grant_verdict::unreachable;
    }
    const auto task =
        waiting != nullptr ? delegated_.take(grant.task, by.number) : wanted;
    if (waiting == nullptr)
        withdraw(grant.task);
    mark_begun(task);
    return order_start(task, agent->second, by.incarnation, grant.number)
               ? grant_verdict::used
               : grant_verdict::not_wanted;
}

/// Marks the job as begun, whose other tasks may wait here or at a placer.
void dispatcher::mark_begun(const ready_task& task)
{
    delegated_.mark_begun(task.task.job);
    auto& jobs = queues_[task.service].jobs;
    const auto here = jobs.find(job_key(task));
    if (here != jobs.end())
        here->second.begun = true;
}

} // namespace glenhollow
