#include "glenhollow/durable/dispatcher.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace glenhollow
{

namespace
{

constexpr double per_core = 1000.0;

double work_of(const ready_task& task)
{
    return task.estimate_ms * (task.needs.cpu / per_core);
}

bool is_bad(run_outcome how)
{
    return how == run_outcome::failed || how == run_outcome::stopped;
}

} // namespace

dispatcher::dispatcher(const clock_source& clock, order_sender& sender,
                       task_source& tasks, const dispatcher_settings& settings)
    : clock_(clock), sender_(sender), tasks_(tasks), settings_(settings)
{
}

void dispatcher::attached(const std::string& agent, const runner_report& report)
{
    agents_.try_emplace(agent, agent).first->second.attached(report);
}

void dispatcher::detached(const std::string& agent)
{
    const auto known = agents_.find(agent);
    if (known != agents_.end())
        known->second.detached();
}

void dispatcher::forget(const std::string& agent)
{
    agents_.erase(agent);
}

void dispatcher::adopted(const std::string& agent, part_number part)
{
    const auto known = agents_.find(agent);
    if (known != agents_.end())
        known->second.adopted.insert(part);
}

void dispatcher::release(part_number part)
{
    std::vector<task_ref> dropped;
    for (const auto& [service, queue] : queues_)
    {
        for (const auto& [key, task] : queue.tasks)
        {
            if (task.part == part)
                dropped.push_back(task.task);
        }
    }
    for (const auto& task : dropped)
        withdraw(task);
    for (auto& [name, agent] : agents_)
        agent.adopted.erase(part);
}

void dispatcher::reported(const std::string& agent, const runner_report& report)
{
    const auto known = agents_.find(agent);
    if (known != agents_.end() && known->second.linked())
        known->second.reported(report);
}

void dispatcher::note_end(const std::string& agent, const run_end& end,
                          std::uint32_t estimate_ms)
{
    const auto known = agents_.find(agent);
    if (known == agents_.end())
        return;
    auto& view = known->second;
    if (end.how == run_outcome::done && estimate_ms > 0)
        view.note_pace(end.micros / (per_core * estimate_ms));
    if (end.how != run_outcome::done && !is_bad(end.how))
        return;
    if (view.note_end(is_bad(end.how), clock_.now(), settings_.health))
        log_change(log_level::warning, "runner_ejected",
                   {{"agent", agent}, {"last_end", to_name(end.how)}});
}

void dispatcher::enqueue(ready_task task)
{
    const run_ref place{task.task, 0};
    if (by_task_.contains(place))
        return;
    const queue_key key{false, task.urgency, ++sequence_};
    insert(key, std::move(task));
}

void dispatcher::insert(const queue_key& key, ready_task task)
{
    auto& queue = queues_[task.service];
    if (!key.late)
        queue.work += work_of(task);
    by_task_.emplace(run_ref{task.task, 0}, std::pair{task.service, key});
    queue.tasks.emplace(key, std::move(task));
}

/// A job that will miss its objective is worth the same a while later, so it
/// must not make others miss theirs.
void dispatcher::put_late_last(service_queue& queue)
{
    const auto now = clock_.now();
    std::vector<queue_key> late;
    for (const auto& [key, task] : queue.tasks)
    {
        if (!key.late && task.start_by < now)
            late.push_back(key);
    }
    for (const auto& key : late)
    {
        auto task = queue.tasks.at(key);
        remove(task.service, key);
        insert({true, key.urgency, key.sequence}, std::move(task));
        ++stats_.late;
    }
}

void dispatcher::remove(const std::string& service, const queue_key& key)
{
    auto& queue = queues_[service];
    const auto known = queue.tasks.find(key);
    if (!key.late)
        queue.work -= work_of(known->second);
    by_task_.erase(run_ref{known->second.task, 0});
    queue.tasks.erase(known);
    if (queue.tasks.empty())
        queue.work = 0;
}

void dispatcher::withdraw(const task_ref& task)
{
    const auto known = by_task_.find(run_ref{task, 0});
    if (known == by_task_.end())
        return;
    const auto [service, key] = known->second;
    remove(service, key);
}

void dispatcher::stop(const std::string& agent, const run_ref& run)
{
    const auto known = agents_.find(agent);
    if (known == agents_.end() || !known->second.linked())
        return;
    known->second.outbox.stops.push_back(run);
    ++stats_.stopped;
}

void dispatcher::size(const std::string& agent, const run_order& order)
{
    const auto known = agents_.find(agent);
    if (known != agents_.end() && known->second.linked())
        known->second.outbox.sizes.push_back(order);
}

void dispatcher::confirm(const std::string& agent, const run_end& end)
{
    const auto known = agents_.find(agent);
    if (known != agents_.end() && known->second.linked())
        known->second.outbox.confirmed.push_back(end);
}

/// The quickest runner with room to spare; among like ones the emptiest.
agent_view* dispatcher::choose(const ready_task& task)
{
    const auto now = clock_.now();
    agent_view* best = nullptr;
    std::tuple<bool, bool, bool, double, double> best_rank{};
    for (auto& [name, agent] : agents_)
    {
        const auto& account = agent.account();
        if (!agent.linked() || account.phase != runner_phase::ready ||
            account.service != task.service ||
            !agent.adopted.contains(task.part) ||
            !agent.has_label(task.label) || !agent.has_room(task.needs))
            continue;
        const double taken =
            agent.used().cpu / std::max(1.0, 1.0 * account.capacity.cpu);
        // Other entries place there too, and this view of it is not of now.
        const bool crowded = taken > settings_.crowded;
        const std::tuple rank{agent.ejected(now), name == task.avoid, crowded,
                              agent.pace(), taken};
        if (best == nullptr || rank < best_rank)
        {
            best = &agent;
            best_rank = rank;
        }
    }
    // An ejected runner gets nothing while another could, even if it waits.
    if (best != nullptr && std::get<0>(best_rank) &&
        ready_cores(task.service) > 0)
        return nullptr;
    return best;
}

void dispatcher::place(service_queue& queue)
{
    put_late_last(queue);
    std::size_t misses = 0;
    auto at = queue.tasks.begin();
    while (at != queue.tasks.end() && misses < settings_.scan)
    {
        const auto here = at++;
        const auto task = here->second;
        auto* agent = choose(task);
        if (agent == nullptr)
        {
            ++misses;
            // Tasks alike fit nowhere either.
            while (at != queue.tasks.end() && at->second.part == task.part &&
                   at->second.needs.cpu >= task.needs.cpu &&
                   at->second.label == task.label)
                ++at;
            continue;
        }
        const auto key = here->first;
        remove(task.service, key);
        auto order = tasks_.assign(task, agent->name());
        if (!order)
            continue;
        agent->reserve(order->needs);
        agent->outbox.starts.push_back(std::move(*order));
        ++stats_.placed;
    }
    if (misses > 0)
        ++stats_.no_place;
}

void dispatcher::dispatch()
{
    for (auto& [service, queue] : queues_)
        place(queue);
    for (auto& [name, agent] : agents_)
        flush(agent);
}

void dispatcher::flush(agent_view& agent)
{
    if (agent.outbox.empty())
        return;
    resources needs;
    for (const auto& start : agent.outbox.starts)
        needs.add(start.needs);
    agent.sent(needs);
    ++stats_.batches;
    sender_.send(agent.name(), std::exchange(agent.outbox, {}));
}

double dispatcher::waiting_work(const std::string& service) const
{
    const auto known = queues_.find(service);
    return known == queues_.end() ? 0 : known->second.work;
}

double dispatcher::ready_cores(const std::string& service) const
{
    double cores = 0;
    for (const auto& [name, agent] : agents_)
    {
        if (agent.linked() && agent.account().service == service &&
            agent.account().phase == runner_phase::ready &&
            !agent.ejected(clock_.now()))
            cores += agent.account().capacity.cpu / per_core;
    }
    return cores;
}

double dispatcher::free_cores(const std::string& service) const
{
    double cores = 0;
    for (const auto& [name, agent] : agents_)
    {
        const auto& account = agent.account();
        if (!agent.linked() || account.service != service ||
            account.phase != runner_phase::ready || agent.ejected(clock_.now()))
            continue;
        const auto used = std::min(agent.used().cpu, account.capacity.cpu);
        cores += (account.capacity.cpu - used) / per_core;
    }
    return cores;
}

} // namespace glenhollow
