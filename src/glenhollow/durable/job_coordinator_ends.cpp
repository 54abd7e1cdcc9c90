// Processing of agent reports and run ends, and completion of jobs.
#include "glenhollow/durable/job_coordinator.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace glenhollow
{

void job_coordinator::reconcile_agent(const std::string& agent,
                                      const lease_account& account)
{
    const auto before = stats_.orders_lost;
    requeue_unlisted(agent, account);
    log_lost_orders(agent, "not_listed", stats_.orders_lost - before);
    for (const auto& run : account.runs)
        reconcile_listed_run(agent, run);
    for (const auto& end : account.ends)
    {
        // An unclaimed end of an in-memory job may belong to another entry.
        if (chain_ || end.claimed || jobs_.contains(end.run.task.job))
            ended(agent, end);
    }
    if (unreported_agents_.erase(agent) > 0 && unreported_agents_.empty())
        on_all_agents_reported();
}

void job_coordinator::reconcile_listed_run(const std::string& agent,
                                           const listed_run& run)
{
    const auto known = jobs_.find(run.run.task.job);
    if (known == jobs_.end() && !chain_ && !run.are_needs_known)
        return; // The run may belong to another entry.
    if (known == jobs_.end() || known->second.pending_end_state)
        return dependencies_.task_dispatcher.stop(agent, run.run);
    auto& record = known->second;
    const auto task_index = index_of(record.job, run.run.task);
    if (task_index >= record.tasks.size())
        return dependencies_.task_dispatcher.stop(agent, run.run);
    auto& task = record.tasks[task_index];
    const bool here = task.phase == task_phase::placed && task.agent == agent &&
                      task.run == run.run.run;
    const bool free =
        task.phase == task_phase::blocked || task.phase == task_phase::ready;
    if (!here && !free)
        return dependencies_.task_dispatcher.stop(agent, run.run);
    if (free)
    {
        dependencies_.task_dispatcher.withdraw(run.run.task);
        task.phase = task_phase::placed;
        task.agent = agent;
        task.run = run.run.run;
    }
    if (run.phase != run_phase::waiting)
        record.started = true;
    if (!run.are_needs_known)
        dependencies_.task_dispatcher.size(
            agent, order_of(record, task_index, run.run));
}

/// Requeues tasks whose orders the agent never received, or lost in a restart.
void job_coordinator::requeue_unlisted(const std::string& agent,
                                       const lease_account& account)
{
    std::unordered_set<run_ref, run_ref_hash> reported;
    for (const auto& run : account.runs)
        reported.insert(run.run);
    for (const auto& end : account.ends)
        reported.insert(end.run);
    for (auto& [id, record] : jobs_)
    {
        for (std::uint32_t task_index = 0; task_index < record.tasks.size();
             ++task_index)
        {
            const auto& task = record.tasks[task_index];
            if (task.phase != task_phase::placed || task.agent != agent)
                continue;
            if (reported.contains({ref_of(record.job, task_index), task.run}))
                continue;
            handle_lost_order(record, task_index);
        }
        resolve_lost_orders(record, agent, account);
    }
}

/// Logs lost orders; their tasks are started elsewhere.
void job_coordinator::log_lost_orders(const std::string& agent,
                                      std::string_view cause,
                                      std::uint64_t orders) const
{
    if (orders == 0)
        return;
    log_change(log_level::warning, "orders_lost",
               {{"agent", agent},
                {"part", part_},
                {"orders", orders},
                {"cause", cause}});
}

/// Requeues a task whose order was lost. For an in-memory job the order is
/// kept: it may have run unless its agent reports otherwise.
void job_coordinator::handle_lost_order(job_record& record,
                                        std::uint32_t task_index)
{
    const auto& task = record.tasks[task_index];
    ++stats_.orders_lost;
    if (!chain_)
        record.lost_orders.push_back(
            {{ref_of(record.job, task_index), task.run}, task.agent});
    requeue_task(record, task_index);
}

/// An agent process that has run without interruption did not receive the
/// orders that it does not list. The fate of orders to an agent process that
/// has ended stays unknown.
void job_coordinator::resolve_lost_orders(job_record& record,
                                          const std::string& agent,
                                          const lease_account& account)
{
    const auto reported = [&account](const run_ref& run)
    {
        const auto is_run = [&run](const auto& one) { return one.run == run; };
        return std::any_of(account.runs.begin(), account.runs.end(), is_run) ||
               std::any_of(account.ends.begin(), account.ends.end(), is_run);
    };
    std::vector<run_ref> settled;
    for (auto& one : record.lost_orders)
    {
        if (one.agent != agent)
            continue;
        if (!account.complete)
            one.agent.clear();
        else if (!reported(one.run))
            settled.push_back(one.run);
    }
    for (const auto& run : settled)
        on_order_not_begun(record, run);
}

/// Replies early to callers of jobs that have certainly not run.
void job_coordinator::on_order_not_begun(job_record& record, const run_ref& run)
{
    stats_.orders_settled +=
        std::erase_if(record.lost_orders,
                      [&run](const lost_order& one) { return one.run == run; });
    if (!chain_ && !record.pending_end_state && !may_have_run(record))
        reschedule_review(record, record.start_deadline);
}

/// All runs ordered by this owner have ended. Runs ordered by the previous
/// owner may continue, because that owner renewed its leases until the claim.
/// The agent therefore stays in `unreported_agents_` for the full timeout from
/// the claim on.
void job_coordinator::on_agent_lost(const std::string& agent)
{
    const auto before = stats_.orders_lost;
    for (auto& [id, record] : jobs_)
    {
        for (std::uint32_t task_index = 0; task_index < record.tasks.size();
             ++task_index)
        {
            const auto& task = record.tasks[task_index];
            if (task.phase == task_phase::placed && task.agent == agent)
                handle_lost_order(record, task_index);
        }
    }
    log_lost_orders(agent, "silent", stats_.orders_lost - before);
}

void job_coordinator::on_all_agents_reported()
{
    for (auto& [id, record] : jobs_)
    {
        enqueue_ready_tasks(record);
        if (record.done == record.tasks.size() && !record.pending_end_state)
            journal_end(record, job_state::succeeded, nullptr);
    }
}

void job_coordinator::requeue_task(job_record& record, std::uint32_t task_index)
{
    record.tasks[task_index].phase = task_phase::blocked;
    enqueue_ready_tasks(record);
}

void job_coordinator::began(const run_ref& run)
{
    const auto known = jobs_.find(run.task.job);
    if (known != jobs_.end())
        known->second.started = true;
}

void job_coordinator::ended(const std::string& agent, const run_end& end)
{
    const auto known = jobs_.find(end.run.task.job);
    if (known == jobs_.end())
        return dependencies_.task_dispatcher.confirm(agent, end);
    auto& record = known->second;
    const auto task_index = index_of(record.job, end.run.task);
    if (task_index >= record.tasks.size())
        return dependencies_.task_dispatcher.confirm(agent, end);
    if (end.outcome != run_outcome::not_begun)
        record.started = true;
    if (!record.pending_end_state)
        dependencies_.task_dispatcher.record_end(
            agent, end, step_of(record.job, task_index));
    if (end.outcome == run_outcome::done)
        return on_run_succeeded(record, task_index, agent, end);
    if (end.outcome == run_outcome::failed)
        return on_run_failed(record, task_index, agent, end);
    dependencies_.task_dispatcher.confirm(agent, end);
    const auto& task = record.tasks[task_index];
    if (task.phase == task_phase::placed && task.run == end.run.run &&
        task.agent == agent)
        requeue_task(record, task_index);
    if (end.outcome == run_outcome::not_begun)
        on_order_not_begun(record, end.run);
}

void job_coordinator::on_run_succeeded(job_record& record,
                                       std::uint32_t task_index,
                                       const std::string& agent,
                                       const run_end& end)
{
    auto& task = record.tasks[task_index];
    if (task.phase == task_phase::placed && task.run != end.run.run)
        dependencies_.task_dispatcher.stop(task.agent,
                                           {end.run.task, task.run});
    if (task.phase == task_phase::ready)
        dependencies_.task_dispatcher.withdraw(end.run.task);
    if (task.phase != task_phase::done)
    {
        task.phase = task_phase::done;
        record.progress.done.push_back(task_index);
        ++record.done;
        enqueue_ready_tasks(record);
    }
    if (record.pending_end_state || record.done < record.tasks.size() ||
        !unreported_agents_.empty())
        return journal_progress(record, agent, end);
    journal_end(record, job_state::succeeded,
                [this, alive = alive_, agent, end](journal_outcome verdict)
                {
                    if (*alive && verdict == journal_outcome::durable)
                        dependencies_.task_dispatcher.confirm(agent, end);
                });
}

void job_coordinator::on_run_failed(job_record& record,
                                    std::uint32_t task_index,
                                    const std::string& agent,
                                    const run_end& end)
{
    auto& task = record.tasks[task_index];
    const failed_run failure{task_index, end.run.run};
    auto& failed = record.progress.failed;
    if (std::find(failed.begin(), failed.end(), failure) == failed.end())
    {
        failed.push_back(failure);
        ++task.failures;
    }
    const bool current = task.phase == task_phase::placed &&
                         task.run == end.run.run && task.agent == agent;
    if (task.phase == task_phase::done || record.pending_end_state)
        return journal_progress(record, agent, end);
    if (task.failures < record.job.max_attempts)
    {
        journal_progress(record, agent, end);
        if (current)
            requeue_task(record, task_index);
        return;
    }
    log_change(log_level::info, "job_failed",
               {{"job", to_text(record.job.id)},
                {"queue", record.job.queue},
                {"task", task_index},
                {"run", end.run.run},
                {"agent", agent},
                {"attempts", task.failures}});
    journal_end(record, job_state::failed,
                [this, alive = alive_, agent, end](journal_outcome verdict)
                {
                    if (*alive && verdict == journal_outcome::durable)
                        dependencies_.task_dispatcher.confirm(agent, end);
                });
}

void job_coordinator::journal_progress(job_record& record,
                                       const std::string& agent,
                                       const run_end& end)
{
    journal_entry entry;
    entry.urgency = journal_urgency::batched;
    if (!record.pending_end_state)
        entry.puts.push_back({key(progress_table, record.job.id),
                              encode_progress(record.progress)});
    entry.done = [this, alive = alive_, agent, end](journal_outcome verdict)
    {
        if (*alive && verdict == journal_outcome::durable)
            dependencies_.task_dispatcher.confirm(agent, end);
    };
    write(std::move(entry));
}

void job_coordinator::journal_end(
    job_record& record, job_state state,
    std::function<void(journal_outcome)> on_written)
{
    record.pending_end_state = state;
    stop_runs(record);
    const auto id = record.job.id;
    journal_entry entry;
    const ended_job end{state, dependencies_.wall_ms()};
    entry.puts.push_back({key(ended_table, id), encode_ended_job(end)});
    entry.removes.push_back(key(jobs_table, id));
    entry.removes.push_back(key(progress_table, id));
    entry.done = [this, alive = alive_, id, state,
                  on_written = std::move(on_written)](journal_outcome verdict)
    {
        if (!*alive)
            return;
        finish(id, state, verdict);
        if (on_written)
            on_written(verdict);
    };
    write(std::move(entry));
}

/// Replies like the cancel of an accepted job, so that later queries and
/// repeated submissions agree with the reply, at a later owner as well.
void job_coordinator::journal_cancelled(const job_definition& job,
                                        job_reply_handler done)
{
    job_record record;
    record.job = job;
    record.tasks.resize(job.task_count());
    record.end_waiters.push_back(std::move(done));
    journal_end(insert(std::move(record)), job_state::cancelled, nullptr);
}

void job_coordinator::finish(job_id id, job_state state,
                             journal_outcome verdict)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
        return;
    auto waiters = std::exchange(known->second.end_waiters, {});
    job_reply reply{job_outcome::done, state, {}};
    if (verdict == journal_outcome::durable)
    {
        const auto now = dependencies_.wall_ms();
        if (now > known->second.job.objective_ms)
            ++stats_.late;
        ++(state == job_state::succeeded ? stats_.succeeded
           : state == job_state::failed  ? stats_.failed
                                         : stats_.cancelled);
        erase(known);
        remember_ended(id, {state, now});
    }
    else
    {
        reply.outcome = job_outcome::not_owner;
    }
    for (const auto& waiter : waiters)
        waiter(reply);
}

void job_coordinator::stop_runs(job_record& record)
{
    for (std::uint32_t task_index = 0; task_index < record.tasks.size();
         ++task_index)
    {
        auto& task = record.tasks[task_index];
        const auto ref = ref_of(record.job, task_index);
        if (task.phase == task_phase::ready)
            dependencies_.task_dispatcher.withdraw(ref);
        if (task.phase == task_phase::placed)
            dependencies_.task_dispatcher.stop(task.agent, {ref, task.run});
    }
}

void job_coordinator::remember_ended(job_id id, const ended_job& end)
{
    ended_[id] = end;
    ended_order_.emplace_back(end.ended_ms, id);
}

} // namespace glenhollow
