#include "glenhollow/durable/dispatcher.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace glenhollow
{

namespace
{

constexpr double micros_per_ms = 1000.0;
constexpr double pace_classes_per_doubling = 2.0;
constexpr double taken_classes = 4.0;

/// Classes are wide enough that most servers of equal speed share one; 1 lies
/// in the middle of a class.
int pace_class(double pace)
{
    return static_cast<int>(
        std::lround(std::log2(pace) * pace_classes_per_doubling));
}

bool is_bad(run_outcome outcome)
{
    return outcome == run_outcome::failed || outcome == run_outcome::stopped;
}

} // namespace

dispatcher::dispatcher(const clock_source& clock, order_sender& sender,
                       task_source& tasks, const dispatcher_settings& settings)
    : clock_(clock), sender_(sender), tasks_(tasks), settings_(settings),
      tie_breakers_(settings.seed)
{
}

void dispatcher::attached(const std::string& agent, const server_report& report)
{
    const auto [known, is_new] =
        agents_.try_emplace(agent, agent, tie_breakers_());
    if (is_new)
    {
        known->second.in_own_group = !in_group_ || in_group_(agent);
        update_own_agents();
    }
    known->second.attached(report);
    known->second.set_cold_until(clock_.now() + report.load.cold);
}

/// Updates the agents at which this entry places tasks, so that placing a task
/// visits only these.
void dispatcher::update_own_agents()
{
    own_agents_.clear();
    for (auto& [name, agent] : agents_)
    {
        if (agent.in_own_group)
            own_agents_.push_back(&agent);
    }
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
    update_own_agents();
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
            if (task.part == part && task.entry == 0)
                dropped.push_back(task.task);
        }
    }
    for (const auto& task : dropped)
        withdraw(task);
    delegated_.release(part);
    for (auto& [name, agent] : agents_)
        agent.adopted.erase(part);
}

void dispatcher::reported(const std::string& agent, const server_report& report)
{
    const auto known = agents_.find(agent);
    if (known == agents_.end() || !known->second.linked())
        return;
    record_grant_delay(known->second, report.granted);
    const bool was_leaving = known->second.leaving();
    known->second.reported(report);
    known->second.set_cold_until(clock_.now() + report.load.cold);
    if (known->second.leaving() && !was_leaving)
        ++stats_.leaving;
}

void dispatcher::record_end(const std::string& agent, const run_end& end,
                            const job_step& step)
{
    const auto known = agents_.find(agent);
    if (known == agents_.end())
        return;
    auto& view = known->second;
    const double expected_ms =
        step.estimate_ms *
        (view.has_label(step.preferred_label) ? 1.0 : settings_.far_factor);
    // A stop because the server leaves says nothing about its health.
    if (end.outcome == run_outcome::stopped && view.leaving())
        return;
    if (end.outcome == run_outcome::done && expected_ms > 0 &&
        !view.cold(clock_.now()))
        view.record_pace(end.duration_us / (micros_per_ms * expected_ms));
    if (end.outcome != run_outcome::done && !is_bad(end.outcome))
        return;
    if (view.record_end(is_bad(end.outcome), clock_.now(), settings_.ejection))
        log_change(log_level::warning, "runner_ejected",
                   {{"agent", agent}, {"last_outcome", to_name(end.outcome)}});
}

void dispatcher::enqueue(ready_task task)
{
    const bool own = task.entry == 0;
    if (by_task_.contains({task.task, task.entry}) ||
        (own && delegated_.find(task.task) != nullptr))
        return;
    const auto placer = own ? placer_for(task) : 0;
    if (placer != 0)
        return delegated_.add(placer, std::move(task));
    enqueue_here(std::move(task));
}

void dispatcher::enqueue_here(ready_task task)
{
    foreign_waiting_ += task.entry == 0 ? 0 : 1;
    if (!task.preferred_label.empty())
        demand_.add(task.preferred_label, estimated_core_ms(task),
                    clock_.now());
    const queue_key key{queue_class::in_time, task.start_by, ++sequence_};
    insert(key, std::move(task));
}

void dispatcher::insert(const queue_key& key, ready_task task)
{
    auto& queue = queues_[task.service];
    if (is_in_time(key.rank))
    {
        queue.work += estimated_core_ms(task);
        queue.own_work += task.entry == 0 ? estimated_core_ms(task) : 0;
    }
    auto& job = queue.jobs[job_key(task)];
    ++job.waiting;
    job.begun |= task.begun;
    by_task_.emplace(run_ref{task.task, task.entry},
                     std::pair{task.service, key});
    queue.cpu_needs.insert(task.needs.cpu);
    queue.tasks.emplace(key, std::move(task));
}

void dispatcher::remove(const std::string& service, const queue_key& key)
{
    auto& queue = queues_[service];
    const auto known = queue.tasks.find(key);
    const auto& task = known->second;
    if (is_in_time(key.rank))
    {
        queue.work -= estimated_core_ms(task);
        queue.own_work -= task.entry == 0 ? estimated_core_ms(task) : 0;
    }
    const auto job = queue.jobs.find(job_key(task));
    if (--job->second.waiting == 0)
        queue.jobs.erase(job);
    by_task_.erase(run_ref{task.task, task.entry});
    queue.cpu_needs.erase(queue.cpu_needs.find(task.needs.cpu));
    queue.tasks.erase(known);
    if (queue.tasks.empty())
        queue.work = queue.own_work = 0;
}

void dispatcher::withdraw(const task_ref& task, entry_number entry)
{
    if (entry == 0)
        delegated_.withdraw(task);
    const auto known = by_task_.find(run_ref{task, entry});
    if (known == by_task_.end())
        return;
    const auto [service, key] = known->second;
    foreign_waiting_ -= entry == 0 ? 0 : 1;
    remove(service, key);
}

std::vector<run_end> dispatcher::take_confirmed(const std::string& agent)
{
    auto* known = linked_agent(agent);
    if (known == nullptr)
        return {};
    return std::exchange(known->outbox.confirmed, {});
}

agent_view* dispatcher::linked_agent(const std::string& name)
{
    const auto known = agents_.find(name);
    if (known == agents_.end() || !known->second.linked())
        return nullptr;
    return &known->second;
}

/// Returns the outbox of an agent, which the next flush sends.
order_batch& dispatcher::outbox_of(agent_view& agent)
{
    if (agent.outbox.empty())
        unsent_.insert(agent.name());
    return agent.outbox;
}

/// An agent handles the stops of a batch before its starts, so an unsent start
/// is sent in an earlier batch than its stop.
void dispatcher::stop(const std::string& agent, const run_ref& run)
{
    auto* known = linked_agent(agent);
    if (known == nullptr)
        return;
    const auto& starts = known->outbox.starts;
    if (std::any_of(starts.begin(), starts.end(),
                    [&run](const run_order& order)
                    { return order.run == run; }))
        send(*known);
    outbox_of(*known).stops.push_back(run);
    ++stats_.stopped;
}

void dispatcher::size(const std::string& agent, const run_order& order)
{
    if (auto* known = linked_agent(agent))
        outbox_of(*known).sizes.push_back(order);
}

void dispatcher::confirm(const std::string& agent, const run_end& end)
{
    if (auto* known = linked_agent(agent))
        outbox_of(*known).confirmed.push_back(end);
}

bool dispatcher::can_order(const agent_view& agent,
                           const ready_task& task) const
{
    const auto& account = agent.account();
    const bool reachable = task.entry == 0
                               ? agent.adopted.contains(task.part)
                               : !agent.blocked(task.entry, clock_.now());
    return agent.linked() && account.phase == server_phase::ready &&
           account.service == task.service && reachable &&
           agent.has_label(task.label);
}

dispatcher::rank dispatcher::rank_of(const agent_view& agent,
                                     const ready_task& task) const
{
    rank out;
    out.ejected = agent.ejected(clock_.now());
    out.avoid = agent.name() == task.avoid;
    out.far = !agent.has_label(task.preferred_label);
    out.hot = agent.hot && (out.far || task.preferred_label.empty());
    const double taken =
        agent.used().cpu / std::max(1.0, 1.0 * agent.account().capacity.cpu);
    // Other entries place there too, and this view may be outdated.
    out.crowded = taken > settings_.crowded_threshold;
    out.cold = agent.cold(clock_.now());
    const double longer = out.far ? settings_.far_factor : 1.0;
    if (settings_.order == server_order::earliest_end)
        out.end = pace_class(agent.pace() * longer);
    else
        out.slowness = pace_class(agent.pace());
    out.taken = static_cast<int>(taken * taken_classes);
    out.tie_breaker = agent.tie_breaker();
    return out;
}

/// Decides whether a task without its preferred label may take room there: it
/// takes longer, so only if it still ends in time or is late anyway.
bool dispatcher::is_far_acceptable(const agent_view& agent, const rank& far,
                                   const ready_task& task) const
{
    if (far.crowded)
        return false;
    const auto now = clock_.now();
    if (task.start_by < now)
        return true;
    const double longer_ms =
        task.estimate_ms * (settings_.far_factor * agent.pace() - 1.0);
    return now + milliseconds{static_cast<std::int64_t>(longer_ms)} <=
           task.start_by;
}

/// Lists the agents with room for any task of the queue. Under overload these
/// are few, and only they are ranked for each task.
std::vector<agent_view*>
dispatcher::agents_with_room(const service_queue& queue)
{
    std::vector<agent_view*> available;
    if (queue.cpu_needs.empty())
        return available;
    const resources least{*queue.cpu_needs.begin(), 0, 0};
    for (auto* agent : own_agents_)
    {
        if (agent->linked() && agent->has_room(least))
            available.push_back(agent);
    }
    return available;
}

/// Chooses the backend server of the best rank. Servers of equal rank have a
/// random order at each entry, so that entries do not all choose the same one.
agent_view* dispatcher::choose(const ready_task& task,
                               const std::vector<agent_view*>& available)
{
    agent_view* best = nullptr;
    rank best_rank;
    for (auto* agent : available)
    {
        if (!agent->has_room(task.needs) || !can_order(*agent, task))
            continue;
        const auto own = rank_of(*agent, task);
        if (best != nullptr && !(own < best_rank))
            continue;
        best = agent;
        best_rank = own;
    }
    if (best == nullptr)
        return nullptr;
    // An ejected server gets no tasks while another one takes work, even if the
    // task has to wait.
    if (best_rank.ejected && ready_cores(task.service) > 0)
        return nullptr;
    if (best_rank.far && has_near_agent(task) &&
        !is_far_acceptable(*best, best_rank, task))
        return nullptr;
    if (best_rank.far)
        ++stats_.far;
    if (best_rank.cold)
        ++stats_.cold;
    return best;
}

/// @return Whether any agent that takes the task has the preferred label, with
/// or without room.
bool dispatcher::has_near_agent(const ready_task& task) const
{
    const auto now = clock_.now();
    return std::any_of(agents_.begin(), agents_.end(),
                       [this, &task, now](const auto& one)
                       {
                           const auto& agent = one.second;
                           return agent.has_label(task.preferred_label) &&
                                  !agent.ejected(now) && agent.in_own_group &&
                                  can_order(agent, task);
                       });
}

/// Marks the backend servers whose label much of the work prefers.
void dispatcher::mark_hot()
{
    const auto now = clock_.now();
    demand_.remove_negligible(now);
    if (demand_.empty() && !any_hot_)
        return;
    any_hot_ = !demand_.empty();
    for (auto& [name, agent] : agents_)
        agent.hot = false;
    if (!any_hot_)
        return;
    // An owner sees only its own share of the work; a placer sees all of it.
    const double share = foreign_waiting_ > 0 ? 1.0 : owners();
    std::map<std::string, double> cores;
    for (const auto& [name, agent] : agents_)
    {
        // A server that takes no work has no room to keep free.
        if (!agent.in_own_group || agent.account().phase != server_phase::ready)
            continue;
        for (const auto& label : agent.account().labels)
            cores[label] += agent.cores();
    }
    for (auto& [name, agent] : agents_)
    {
        for (const auto& label : agent.account().labels)
            agent.hot |= demand_.cores(label, now) * share >
                         settings_.hot_threshold * cores[label];
    }
}

/// @return Whether a task has no more candidates than one that could not be
/// placed, so that it need not be tried.
bool dispatcher::is_no_easier(const ready_task& task,
                              const ready_task& unplaced) const
{
    const bool both_foreign = task.entry != 0 && unplaced.entry != 0;
    const bool same_reach = task.entry == unplaced.entry ||
                            (both_foreign && clock_.now() >= blocked_until_);
    return task.part == unplaced.part && same_reach &&
           task.needs.cpu >= unplaced.needs.cpu &&
           task.label == unplaced.label &&
           task.preferred_label == unplaced.preferred_label;
}

/// Keeps a share of the cores free of late jobs, for tasks that can still be in
/// time when they arrive.
/// @return The total number of cores on which late jobs may begin now.
double dispatcher::cores_for_late(const std::string& service) const
{
    if (settings_.late_reserve <= 0)
        return std::numeric_limits<double>::infinity();
    return free_cores(service) - settings_.late_reserve * ready_cores(service);
}

void dispatcher::place(service_queue& queue)
{
    separate_late_tasks(queue);
    const auto available = agents_with_room(queue);
    if (available.empty())
    {
        stats_.rounds_without_room += queue.tasks.empty() ? 0 : 1;
        return;
    }
    std::vector<ready_task> unplaced;  // One task of each kind without a
                                       // suitable server.
    std::vector<queue_key> to_promote; // Tasks of jobs that have begun.
    // Cores on which late tasks may start.
    std::optional<double> cores_left_for_late;
    auto at = queue.tasks.begin();
    while (at != queue.tasks.end() &&
           unplaced.size() < settings_.max_unplaceable)
    {
        const auto here = at++;
        const auto& waiting = here->second;
        const bool late = here->first.rank == queue_class::late;
        if (late && !cores_left_for_late) // All tasks in time have been tried.
            cores_left_for_late = cores_for_late(waiting.service);
        if (late &&
            waiting.needs.cpu / millicores_per_core > *cores_left_for_late)
            break; // Later tasks must not start either.
        if (here->first.rank == queue_class::in_time &&
            queue.jobs.at(job_key(waiting)).begun)
            to_promote.push_back(here->first); // Removed again if the task is
                                               // placed below.
        if (std::any_of(unplaced.begin(), unplaced.end(),
                        [this, &waiting](const ready_task& one)
                        { return is_no_easier(waiting, one); }))
            continue;
        auto* agent = choose(waiting, available);
        if (agent == nullptr)
        {
            unplaced.push_back(waiting);
            continue;
        }
        const auto key = here->first;
        const auto task = waiting;
        if (!to_promote.empty() && to_promote.back() == key)
            to_promote.pop_back();
        queue.jobs.at(job_key(task)).begun = true;
        queue.rate.placed(estimated_core_ms(task));
        if (late)
            *cores_left_for_late -= task.needs.cpu / millicores_per_core;
        foreign_waiting_ -= task.entry == 0 ? 0 : 1;
        remove(task.service, key);
        if (task.entry != 0)
            grant(task, *agent);
        else
            order_start(task, *agent, 0, 0);
    }
    promote(queue, to_promote);
    if (!unplaced.empty())
        ++stats_.rounds_without_room;
}

/// Orders the start of a task at an agent.
/// @param grant The number of the placer's grant; 0: this entry chose the
/// agent.
/// @return Whether the task still had to run.
bool dispatcher::order_start(const ready_task& task, agent_view& agent,
                             std::uint64_t placer, std::uint32_t grant)
{
    auto order = tasks_.assign(task, agent.name());
    if (!order)
        return false;
    const bool near = agent.has_label(task.preferred_label);
    order->expected_ms = static_cast<std::uint32_t>(
        task.estimate_ms * (near ? 1.0 : settings_.far_factor));
    order->placer = placer;
    order->grant = grant;
    order->incarnation_number = agent.incarnation_number();
    agent.reserve(order->needs);
    outbox_of(agent).starts.push_back(std::move(*order));
    ++stats_.placed;
    return true;
}

void dispatcher::dispatch()
{
    expire_grants();
    review();
    for (auto& [service, queue] : queues_)
        place(queue);
    for (auto& [entry, grants] : std::exchange(unsent_grants_, {}))
        grant_sender_->grant(entry, std::move(grants));
    flush();
}

/// Sends the outboxes. Only agents with orders are visited, so that the cost
/// does not grow with the number of agents.
void dispatcher::flush()
{
    for (const auto& name : std::exchange(unsent_, {}))
    {
        auto* agent = linked_agent(name);
        if (agent != nullptr && !agent->outbox.empty())
            send(*agent);
    }
}

void dispatcher::send(agent_view& agent)
{
    resources needs;
    for (const auto& start : agent.outbox.starts)
        needs.add(start.needs);
    agent.sent(needs);
    ++stats_.batches;
    sender_.send(agent.name(), std::exchange(agent.outbox, {}));
}

double dispatcher::waiting_work(const std::string& service) const
{
    const double delegated = delegated_.work(service);
    const auto known = queues_.find(service);
    if (known == queues_.end())
        return delegated * owners();
    // An entry sees only its own share of the work; a placer sees all of it.
    return foreign_waiting_ > 0
               ? known->second.work
               : (known->second.own_work + delegated) * owners();
}

bool dispatcher::accepts_work(const agent_view& agent,
                              const std::string& service) const
{
    return agent.in_own_group && agent.linked() &&
           agent.account().service == service &&
           agent.account().phase == server_phase::ready &&
           !agent.ejected(clock_.now());
}

double dispatcher::ready_cores(const std::string& service) const
{
    double cores = 0;
    for (const auto* agent : own_agents_)
    {
        if (accepts_work(*agent, service))
            cores += agent->cores();
    }
    return cores;
}

double dispatcher::free_cores(const std::string& service) const
{
    double cores = 0;
    for (const auto* agent : own_agents_)
    {
        if (accepts_work(*agent, service))
            cores += agent->free_cores();
    }
    return cores;
}

} // namespace glenhollow
