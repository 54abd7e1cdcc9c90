#include "glenhollow/durable/dispatcher.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

constexpr double per_core = 1000.0;
constexpr double micros_a_ms = 1000.0;
constexpr double classes_of_pace = 2.0;
constexpr double quarters = 4.0;
constexpr double least_backlog = 1.0; // Core-milliseconds.

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
    : clock_(clock), sender_(sender), tasks_(tasks), settings_(settings),
      lots_(settings.seed)
{
}

void dispatcher::attached(const std::string& agent, const runner_report& report)
{
    agents_.try_emplace(agent, agent, lots_()).first->second.attached(report);
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
            if (task.part == part && task.entry == 0)
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
    if (known == agents_.end() || !known->second.linked())
        return;
    note_grant_time(known->second, report.granted);
    known->second.reported(report);
}

void dispatcher::note_end(const std::string& agent, const run_end& end,
                          const job_step& step)
{
    const auto known = agents_.find(agent);
    if (known == agents_.end())
        return;
    auto& view = known->second;
    const double expected_ms =
        step.estimate_ms *
        (view.has_label(step.preferred_label) ? 1.0 : settings_.far_factor);
    if (end.how == run_outcome::done && expected_ms > 0)
        view.note_pace(end.micros / (micros_a_ms * expected_ms));
    if (end.how != run_outcome::done && !is_bad(end.how))
        return;
    if (view.note_end(is_bad(end.how), clock_.now(), settings_.health))
        log_change(log_level::warning, "runner_ejected",
                   {{"agent", agent}, {"last_end", to_name(end.how)}});
}

void dispatcher::enqueue(ready_task task)
{
    const run_ref place{task.task, task.entry};
    if (by_task_.contains(place))
        return;
    if (delegated_ && task.entry == 0)
        changes_.added.push_back(task);
    foreign_ += task.entry == 0 ? 0 : 1;
    if (!task.preferred_label.empty())
        demand_.add(task.preferred_label, work_of(task), clock_.now());
    const queue_key key{queue_class::in_time, task.start_by, ++sequence_};
    insert(key, std::move(task));
}

void dispatcher::insert(const queue_key& key, ready_task task)
{
    auto& queue = queues_[task.service];
    if (is_in_time(key.rank))
    {
        queue.work += work_of(task);
        queue.own_work += task.entry == 0 ? work_of(task) : 0;
    }
    auto& job = queue.jobs[job_key(task)];
    ++job.waiting;
    job.begun |= task.begun;
    by_task_.emplace(run_ref{task.task, task.entry},
                     std::pair{task.service, key});
    queue.tasks.emplace(key, std::move(task));
}

/// A job that will miss its objective is worth the same a while later, so it
/// must not make others miss theirs.
void dispatcher::put_late_last(service_queue& queue)
{
    const auto now = clock_.now();
    std::vector<queue_key> late;
    for (const auto rank : {queue_class::begun, queue_class::in_time})
    {
        auto at = queue.tasks.lower_bound({rank, instant::min(), 0});
        // The most urgent come first.
        for (; at != queue.tasks.end() && at->first.rank == rank &&
               last_moment(at->second) < now;
             ++at)
            late.push_back(at->first);
    }
    stats_.late += late.size();
    move_to_late(queue, late);
}

/// Under overload some jobs go behind all others before they are late.
void dispatcher::put_back(service_queue& queue)
{
    std::vector<waiting_task> tasks;
    for (const auto& [key, task] : queue.tasks)
    {
        if (!is_in_time(key.rank))
            break;
        const auto job = job_key(task);
        tasks.push_back({job, task.priority, last_moment(task), work_of(task),
                         queue.jobs.at(job).begun});
    }
    const auto back = jobs_to_put_back(tasks, queue.rate.cores(), clock_.now());
    if (back.empty())
        return;
    std::vector<queue_key> keys;
    for (const auto& [key, task] : queue.tasks)
    {
        if (is_in_time(key.rank) && back.contains(job_key(task)))
            keys.push_back(key);
    }
    stats_.put_back += back.size();
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

/// Jobs that began late are finished before others begin.
void dispatcher::raise_begun(service_queue& queue)
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

/// Looks over the queues each while.
void dispatcher::review()
{
    const auto now = clock_.now();
    if (now - reviewed_ < settings_.review_interval)
        return;
    reviewed_ = now;
    mark_hot();
    for (auto& [service, queue] : queues_)
    {
        queue.rate.review(now, queue.work >= least_backlog);
        put_back(queue);
        raise_begun(queue);
    }
}

void dispatcher::remove(const std::string& service, const queue_key& key)
{
    auto& queue = queues_[service];
    const auto known = queue.tasks.find(key);
    const auto& task = known->second;
    if (is_in_time(key.rank))
    {
        queue.work -= work_of(task);
        queue.own_work -= task.entry == 0 ? work_of(task) : 0;
    }
    const auto job = queue.jobs.find(job_key(task));
    if (--job->second.waiting == 0)
        queue.jobs.erase(job);
    by_task_.erase(run_ref{task.task, task.entry});
    queue.tasks.erase(known);
    if (queue.tasks.empty())
        queue.work = queue.own_work = 0;
}

void dispatcher::withdraw(const task_ref& task, entry_number entry)
{
    const auto known = by_task_.find(run_ref{task, entry});
    if (known == by_task_.end())
        return;
    const auto [service, key] = known->second;
    note_removed(queues_[service].tasks.at(key));
    remove(service, key);
}

agent_view* dispatcher::linked_agent(const std::string& name)
{
    const auto known = agents_.find(name);
    if (known == agents_.end() || !known->second.linked())
        return nullptr;
    return &known->second;
}

/// What is put there leaves with the next flush.
order_batch& dispatcher::outbox_of(agent_view& agent)
{
    if (agent.outbox.empty())
        unsent_.insert(agent.name());
    return agent.outbox;
}

void dispatcher::stop(const std::string& agent, const run_ref& run)
{
    auto* known = linked_agent(agent);
    if (known == nullptr)
        return;
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

bool dispatcher::suits(const agent_view& agent, const ready_task& task) const
{
    const auto& account = agent.account();
    const bool reachable = task.entry == 0
                               ? agent.adopted.contains(task.part)
                               : !agent.blocked(task.entry, clock_.now());
    return agent.linked() && account.phase == runner_phase::ready &&
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
    // Other entries place there too, and this view of it is not of now.
    out.crowded = taken > settings_.crowded;
    out.slowness = static_cast<int>(agent.pace() * classes_of_pace);
    out.taken = static_cast<int>(taken * quarters);
    out.lot = agent.lot();
    return out;
}

/// Far from its data a task takes longer, and takes room from others for so
/// long: only if it ends in time there all the same, or is late anyway.
bool dispatcher::worth_going_far(const agent_view& agent, const rank& far,
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

/// The quickest runner with room to spare; among like ones the emptiest; among
/// those, each entry has an order of its own, lest all go to one at once.
agent_view* dispatcher::choose(const ready_task& task)
{
    agent_view* best = nullptr;
    rank best_rank;
    bool near_ones = false;
    for (auto& [name, agent] : agents_)
    {
        // Most have no room when it matters, and ranks cost more to make.
        const bool room = agent.has_room(task.needs);
        if ((!room && task.preferred_label.empty()) || !suits(agent, task))
            continue;
        const auto own = rank_of(agent, task);
        near_ones |= !own.far && !own.ejected;
        if (!room)
            continue;
        if (best == nullptr || own < best_rank)
        {
            best = &agent;
            best_rank = own;
        }
    }
    if (best == nullptr)
        return nullptr;
    // An ejected runner gets nothing while another could, even if it waits.
    if (best_rank.ejected && ready_cores(task.service) > 0)
        return nullptr;
    if (best_rank.far && near_ones && !worth_going_far(*best, best_rank, task))
        return nullptr;
    if (best_rank.far)
        ++stats_.far;
    return best;
}

/// Marks the runners whose label much of the work prefers.
void dispatcher::mark_hot()
{
    const auto now = clock_.now();
    demand_.forget_old(now);
    for (auto& [name, agent] : agents_)
        agent.hot = false;
    if (demand_.empty())
        return;
    // Every owner sees its own share of the work, but for a placer.
    const double share = foreign_ > 0 ? 1.0 : owners();
    std::map<std::string, double> cores;
    for (const auto& [name, agent] : agents_)
    {
        for (const auto& label : agent.account().labels)
            cores[label] += agent.account().capacity.cpu / per_core;
    }
    for (auto& [name, agent] : agents_)
    {
        for (const auto& label : agent.account().labels)
            agent.hot |= demand_.cores(label, now) * share >
                         settings_.hot * cores[label];
    }
}

bool dispatcher::alike(const ready_task& task, const ready_task& unplaced) const
{
    const bool both_foreign = task.entry != 0 && unplaced.entry != 0;
    const bool same_reach = task.entry == unplaced.entry ||
                            (both_foreign && clock_.now() >= blocked_until_);
    return task.part == unplaced.part && same_reach &&
           task.needs.cpu >= unplaced.needs.cpu &&
           task.label == unplaced.label &&
           task.preferred_label == unplaced.preferred_label;
}

/// A late job earns little; what it takes is missing for as long as its tasks
/// run when tasks come that can still be in time.
bool dispatcher::may_place_late(const ready_task& task) const
{
    if (settings_.late_reserve <= 0)
        return true;
    const double least = settings_.late_reserve * ready_cores(task.service);
    return free_cores(task.service) - task.needs.cpu / per_core >= least;
}

void dispatcher::place(service_queue& queue)
{
    put_late_last(queue);
    std::vector<ready_task> unplaced; // A task of each kind that fits nowhere.
    std::vector<queue_key> stuck;     // Of jobs that have begun.
    auto at = queue.tasks.begin();
    while (at != queue.tasks.end() && unplaced.size() < settings_.scan)
    {
        const auto here = at++;
        const auto& waiting = here->second;
        if (delegated_ && waiting.entry == 0)
            continue;
        if (!is_in_time(here->first.rank) && !may_place_late(waiting))
            break; // Nor may those behind it.
        if (here->first.rank == queue_class::in_time &&
            queue.jobs.at(job_key(waiting)).begun)
            stuck.push_back(here->first); // Unless it is placed below.
        if (std::any_of(unplaced.begin(), unplaced.end(),
                        [this, &waiting](const ready_task& one)
                        { return alike(waiting, one); }))
            continue;
        auto* agent = choose(waiting);
        if (agent == nullptr)
        {
            unplaced.push_back(waiting);
            continue;
        }
        const auto key = here->first;
        const auto task = waiting;
        if (!stuck.empty() && stuck.back() == key)
            stuck.pop_back();
        queue.jobs.at(job_key(task)).begun = true;
        queue.rate.placed(work_of(task));
        note_removed(task);
        remove(task.service, key);
        if (task.entry != 0)
            grant(task, *agent);
        else
            begin_at(task, *agent, 0, 0);
    }
    raise(queue, stuck);
    if (!unplaced.empty())
        ++stats_.no_place;
}

/// The rest of a job that has begun goes before others in time.
void dispatcher::raise(service_queue& queue, const std::vector<queue_key>& keys)
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

/// @param grant Number of the placer's grant; 0: this entry chose the agent.
/// @return Whether the task was still to be run.
bool dispatcher::begin_at(const ready_task& task, agent_view& agent,
                          std::uint64_t placer, std::uint32_t grant)
{
    auto order = tasks_.assign(task, agent.name());
    if (!order)
        return false;
    order->placer = placer;
    order->grant = grant;
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
    for (auto& [entry, grants] : std::exchange(granted_, {}))
        grants_->grant(entry, std::move(grants));
    flush();
}

/// Only agents that have something to be told are looked at: an event costs
/// the same however many agents there are.
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
    const auto known = queues_.find(service);
    if (known == queues_.end())
        return 0;
    // Every entry has its own share of the work, but for a placer's.
    return foreign_ > 0 ? known->second.work
                        : known->second.own_work * owners();
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
