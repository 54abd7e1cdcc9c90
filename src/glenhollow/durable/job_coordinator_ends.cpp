// What agents tell of runs, and how a job ends by it.
#include "glenhollow/durable/job_coordinator.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace glenhollow
{

void job_coordinator::account_of(const std::string& agent,
                                 const lease_account& account)
{
    const auto before = stats_.orders_lost;
    requeue_unlisted(agent, account);
    log_lost(agent, "not_listed", stats_.orders_lost - before);
    for (const auto& run : account.runs)
        listed(agent, run);
    for (const auto& end : account.ends)
    {
        // Ends in memory that nobody has claimed may be another entry's.
        if (chain_ || end.claimed || jobs_.contains(end.run.task.job))
            ended(agent, end);
    }
    if (awaited_.erase(agent) > 0 && awaited_.empty())
        all_agents_told();
}

void job_coordinator::listed(const std::string& agent, const listed_run& run)
{
    const auto known = jobs_.find(run.run.task.job);
    if (known == jobs_.end() && !chain_ && !run.sized)
        return; // It may be another entry's.
    if (known == jobs_.end() || known->second.ending)
        return around_.placing.stop(agent, run.run);
    auto& record = known->second;
    const auto flat = flat_index(record.job, run.run.task);
    if (flat >= record.tasks.size())
        return around_.placing.stop(agent, run.run);
    auto& task = record.tasks[flat];
    const bool here = task.phase == task_phase::placed && task.agent == agent &&
                      task.run == run.run.run;
    const bool free =
        task.phase == task_phase::blocked || task.phase == task_phase::ready;
    if (!here && !free)
        return around_.placing.stop(agent, run.run);
    if (free)
    {
        around_.placing.withdraw(run.run.task);
        task.phase = task_phase::placed;
        task.agent = agent;
        task.run = run.run.run;
    }
    if (run.phase != run_phase::waiting)
        record.begun = true;
    if (!run.sized)
        around_.placing.size(agent, order_of(record, flat, run.run));
}

/// Orders that the agent never got, or lost with its process.
void job_coordinator::requeue_unlisted(const std::string& agent,
                                       const lease_account& account)
{
    std::unordered_set<run_ref, run_ref_hash> told;
    for (const auto& run : account.runs)
        told.insert(run.run);
    for (const auto& end : account.ends)
        told.insert(end.run);
    for (auto& [id, record] : jobs_)
    {
        for (std::uint32_t flat = 0; flat < record.tasks.size(); ++flat)
        {
            const auto& task = record.tasks[flat];
            if (task.phase != task_phase::placed || task.agent != agent)
                continue;
            if (told.contains({ref_of(record.job, flat), task.run}))
                continue;
            lose_order(record, flat);
        }
        settle_lost(record, agent, account);
    }
}

/// Their tasks begin elsewhere now.
void job_coordinator::log_lost(const std::string& agent, std::string_view cause,
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

/// It may have run, unless its agent can still tell.
void job_coordinator::lose_order(job_record& record, std::uint32_t flat)
{
    const auto& task = record.tasks[flat];
    ++stats_.orders_lost;
    if (!chain_)
        record.lost.push_back(
            {{ref_of(record.job, flat), task.run}, task.agent});
    place_again(record, flat);
}

/// What the same process of an agent does not know was not taken by it. Of what
/// an ended one took nobody can tell any more.
void job_coordinator::settle_lost(job_record& record, const std::string& agent,
                                  const lease_account& account)
{
    const auto told = [&account](const run_ref& run)
    {
        const auto is_run = [&run](const auto& one) { return one.run == run; };
        return std::any_of(account.runs.begin(), account.runs.end(), is_run) ||
               std::any_of(account.ends.begin(), account.ends.end(), is_run);
    };
    std::vector<run_ref> settled;
    for (auto& one : record.lost)
    {
        if (one.agent != agent)
            continue;
        if (!account.complete)
            one.agent.clear();
        else if (!told(one.run))
            settled.push_back(one.run);
    }
    for (const auto& run : settled)
        note_not_begun(record, run);
}

/// Callers of jobs that have surely not run need not be held any longer.
void job_coordinator::note_not_begun(job_record& record, const run_ref& run)
{
    stats_.orders_settled += std::erase_if(
        record.lost, [&run](const lost_order& one) { return one.run == run; });
    if (!chain_ && !record.ending && !may_have_run(record))
        review_again(record, record.begin_by);
}

/// What this owner ordered there has ended. What the last one did may go on:
/// its lease was renewed up to the claim, however long ago this entry heard of
/// the agent, so that its account is awaited for the whole time from then on.
void job_coordinator::agent_gone(const std::string& agent)
{
    const auto before = stats_.orders_lost;
    for (auto& [id, record] : jobs_)
    {
        for (std::uint32_t flat = 0; flat < record.tasks.size(); ++flat)
        {
            const auto& task = record.tasks[flat];
            if (task.phase == task_phase::placed && task.agent == agent)
                lose_order(record, flat);
        }
    }
    log_lost(agent, "silent", stats_.orders_lost - before);
}

void job_coordinator::all_agents_told()
{
    for (auto& [id, record] : jobs_)
    {
        make_ready(record);
        if (record.done == record.tasks.size() && !record.ending)
            journal_end(record, job_state::succeeded, nullptr);
    }
}

void job_coordinator::place_again(job_record& record, std::uint32_t flat)
{
    record.tasks[flat].phase = task_phase::blocked;
    make_ready(record);
}

void job_coordinator::began(const run_ref& run)
{
    const auto known = jobs_.find(run.task.job);
    if (known != jobs_.end())
        known->second.begun = true;
}

void job_coordinator::ended(const std::string& agent, const run_end& end)
{
    const auto known = jobs_.find(end.run.task.job);
    if (known == jobs_.end())
        return around_.placing.confirm(agent, end);
    auto& record = known->second;
    const auto flat = flat_index(record.job, end.run.task);
    if (flat >= record.tasks.size())
        return around_.placing.confirm(agent, end);
    if (end.how != run_outcome::not_begun)
        record.begun = true;
    if (!record.ending)
        around_.placing.note_end(agent, end, step_of(record.job, flat));
    if (end.how == run_outcome::done)
        return ended_well(record, flat, agent, end);
    if (end.how == run_outcome::failed)
        return ended_badly(record, flat, agent, end);
    around_.placing.confirm(agent, end);
    const auto& task = record.tasks[flat];
    if (task.phase == task_phase::placed && task.run == end.run.run &&
        task.agent == agent)
        place_again(record, flat);
    if (end.how == run_outcome::not_begun)
        note_not_begun(record, end.run);
}

void job_coordinator::ended_well(job_record& record, std::uint32_t flat,
                                 const std::string& agent, const run_end& end)
{
    auto& task = record.tasks[flat];
    if (task.phase == task_phase::placed && task.run != end.run.run)
        around_.placing.stop(task.agent, {end.run.task, task.run});
    if (task.phase == task_phase::ready)
        around_.placing.withdraw(end.run.task);
    if (task.phase != task_phase::done)
    {
        task.phase = task_phase::done;
        record.progress.done.push_back(flat);
        ++record.done;
        make_ready(record);
    }
    if (record.ending || record.done < record.tasks.size() || !awaited_.empty())
        return journal_progress(record, agent, end);
    journal_end(record, job_state::succeeded,
                [this, alive = alive_, agent, end](journal_verdict verdict)
                {
                    if (*alive && verdict == journal_verdict::durable)
                        around_.placing.confirm(agent, end);
                });
}

void job_coordinator::ended_badly(job_record& record, std::uint32_t flat,
                                  const std::string& agent, const run_end& end)
{
    auto& task = record.tasks[flat];
    const failed_run failure{flat, end.run.run};
    auto& failed = record.progress.failed;
    if (std::find(failed.begin(), failed.end(), failure) == failed.end())
    {
        failed.push_back(failure);
        ++task.failures;
    }
    const bool current = task.phase == task_phase::placed &&
                         task.run == end.run.run && task.agent == agent;
    if (task.phase == task_phase::done || record.ending)
        return journal_progress(record, agent, end);
    if (task.failures < record.job.max_attempts)
    {
        journal_progress(record, agent, end);
        if (current)
            place_again(record, flat);
        return;
    }
    log_change(log_level::info, "job_failed",
               {{"job", to_text(record.job.id)},
                {"queue", record.job.queue},
                {"task", flat},
                {"run", end.run.run},
                {"agent", agent},
                {"attempts", task.failures}});
    journal_end(record, job_state::failed,
                [this, alive = alive_, agent, end](journal_verdict verdict)
                {
                    if (*alive && verdict == journal_verdict::durable)
                        around_.placing.confirm(agent, end);
                });
}

void job_coordinator::journal_progress(job_record& record,
                                       const std::string& agent,
                                       const run_end& end)
{
    journal_entry entry;
    entry.urgency = journal_urgency::gathered;
    if (!record.ending)
        entry.puts.push_back({key(progress_table, record.job.id),
                              encode_progress(record.progress)});
    entry.done = [this, alive = alive_, agent, end](journal_verdict verdict)
    {
        if (*alive && verdict == journal_verdict::durable)
            around_.placing.confirm(agent, end);
    };
    write(std::move(entry));
}

void job_coordinator::journal_end(job_record& record, job_state state,
                                  std::function<void(journal_verdict)> also)
{
    record.ending = state;
    stop_runs(record);
    const auto id = record.job.id;
    journal_entry entry;
    const job_epitaph end{state, around_.wall_ms()};
    entry.puts.push_back({key(ended_table, id), encode_epitaph(end)});
    entry.removes.push_back(key(jobs_table, id));
    entry.removes.push_back(key(progress_table, id));
    entry.done = [this, alive = alive_, id, state,
                  also = std::move(also)](journal_verdict verdict)
    {
        if (!*alive)
            return;
        finish(id, state, verdict);
        if (also)
            also(verdict);
    };
    write(std::move(entry));
}

void job_coordinator::finish(job_id id, job_state state,
                             journal_verdict verdict)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
        return;
    auto waiters = std::exchange(known->second.end_waiters, {});
    job_reply reply{job_outcome::done, state, {}};
    if (verdict == journal_verdict::durable)
    {
        const auto now = around_.wall_ms();
        if (now > known->second.job.objective_ms)
            ++stats_.late;
        ++(state == job_state::succeeded ? stats_.succeeded
           : state == job_state::failed  ? stats_.failed
                                         : stats_.cancelled);
        erase(known);
        remember(id, {state, now});
    }
    else
    {
        reply.outcome = job_outcome::not_owner; // The part is lost.
    }
    for (const auto& waiter : waiters)
        waiter(reply);
}

void job_coordinator::stop_runs(job_record& record)
{
    for (std::uint32_t flat = 0; flat < record.tasks.size(); ++flat)
    {
        auto& task = record.tasks[flat];
        const auto ref = ref_of(record.job, flat);
        if (task.phase == task_phase::ready)
            around_.placing.withdraw(ref);
        if (task.phase == task_phase::placed)
            around_.placing.stop(task.agent, {ref, task.run});
    }
}

void job_coordinator::remember(job_id id, const job_epitaph& end)
{
    ended_[id] = end;
    ended_order_.emplace_back(end.ended_ms, id);
}

} // namespace glenhollow
