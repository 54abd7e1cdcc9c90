#include "glenhollow/durable/job_coordinator.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <cassert>
#include <limits>
#include <unordered_set>
#include <utility>

namespace glenhollow
{

namespace
{

/// Size of the range of run numbers that each epoch uses.
constexpr std::uint32_t runs_per_epoch = 4096;

constexpr std::int64_t millisecond = 1'000'000;

std::int64_t to_ms(duration length)
{
    return length.count() / millisecond;
}

} // namespace

job_coordinator::job_coordinator(dependencies dependencies, part_number part,
                                 const chain_head& head, loaded_part loaded,
                                 std::set<std::string> unreported_agents,
                                 const job_coordinator_settings& settings,
                                 std::function<void()> on_lost)
    : dependencies_(std::move(dependencies)), part_(part), epoch_(head.epoch),
      settings_(settings), chain_(std::make_unique<journal_chain>(
                               dependencies_.store, dependencies_.later, part,
                               head, settings.chain, std::move(on_lost))),
      unreported_agents_(std::move(unreported_agents)),
      claimed_(dependencies_.clock.now())
{
    restore(std::move(loaded));
    if (unreported_agents_.empty())
        on_all_agents_reported();
}

job_coordinator::job_coordinator(dependencies dependencies,
                                 const job_coordinator_settings& settings)
    : dependencies_(std::move(dependencies)), part_(memory_part), epoch_(0),
      settings_(settings), claimed_(dependencies_.clock.now())
{
}

job_coordinator::~job_coordinator()
{
    *alive_ = false;
}

row_key job_coordinator::key(std::string_view table, job_id id) const
{
    return {std::string(table), part_name(part_), to_text(id)};
}

std::uint32_t job_coordinator::index_of(const job_definition& job,
                                        const task_ref& task) const
{
    if (task.occurrence != 0 || task.step >= job.steps.size() ||
        task.index >= job.steps[task.step].count)
        return std::numeric_limits<std::uint32_t>::max();
    std::uint32_t task_index = task.index;
    for (std::uint32_t i = 0; i < task.step; ++i)
        task_index += job.steps[i].count;
    return task_index;
}

task_ref job_coordinator::ref_of(const job_definition& job,
                                 std::uint32_t task_index) const
{
    task_ref task{job.id, 0, 0, task_index};
    while (task.index >= job.steps[task.step].count)
        task.index -= job.steps[task.step++].count;
    return task;
}

const job_step& job_coordinator::step_of(const job_definition& job,
                                         std::uint32_t task_index) const
{
    return job.steps[ref_of(job, task_index).step];
}

void job_coordinator::submit(const job_definition& job, job_reply_handler done)
{
    const auto ended = ended_.find(job.id);
    if (ended != ended_.end())
    {
        ++stats_.repeated;
        return done({job_outcome::done, ended->second.state, {}});
    }
    const auto known = jobs_.find(job.id);
    if (known != jobs_.end())
    {
        ++stats_.repeated;
        if (!chain_ || known->second.pending_end_state)
            known->second.end_waiters.push_back(std::move(done));
        else if (known->second.accepted)
            done({job_outcome::done, job_state::queued, {}});
        else
            known->second.acceptance_waiters.push_back(std::move(done));
        return;
    }
    if (unreadable_.contains(job.id))
        return done({job_outcome::unknown, job_state::queued, {}});
    if (chain_ && dependencies_.reject_if_cancelled(job.id))
        return journal_cancelled(job, std::move(done));
    if (const auto refused = check_admission(job))
    {
        ++stats_.refused;
        log_change(log_level::info, "job_refused",
                   {{"job", to_text(job.id)},
                    {"queue", job.queue},
                    {"reason", to_name(refused->cause)},
                    {"wait_ms", to_ms(refused->wait)}});
        return done({job_outcome::refused, job_state::queued, refused->wait});
    }
    if (!chain_)
        return accept_in_memory(job, std::move(done));
    job_record record;
    record.job = job;
    record.tasks.resize(job.task_count());
    record.acceptance_waiters.push_back(std::move(done));
    insert(std::move(record));
    journal_entry entry;
    entry.puts.push_back({key(jobs_table, job.id), encode_definition(job)});
    entry.droppable = true;
    entry.done = [this, alive = alive_, id = job.id](journal_outcome verdict)
    {
        if (*alive)
            accepted(id, verdict);
    };
    chain_->append(std::move(entry));
}

void job_coordinator::accept_in_memory(const job_definition& job,
                                       job_reply_handler done)
{
    ++stats_.accepted;
    job_record record;
    record.early = warming_up() &&
                   dependencies_.task_dispatcher.ready_cores(job.service) <= 0;
    stats_.early += record.early ? 1 : 0;
    record.job = job;
    record.tasks.resize(job.task_count());
    record.accepted = true;
    record.expires_at = dependencies_.clock.now() +
                        milliseconds{job.expiry_ms - job.accepted_ms};
    record.end_waiters.push_back(std::move(done));
    record.start_deadline = record.next_review_at = latest_start(record);
    reviews_.emplace(record.next_review_at, job.id);
    arm_review_timer();
    enqueue_ready_tasks(insert(std::move(record)));
}

void job_coordinator::set_submitter(job_id id, submitter_id submitter)
{
    const auto known = jobs_.find(id);
    if (known != jobs_.end())
        known->second.submitter = submitter;
}

void job_coordinator::withdraw(job_id id)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end() || known->second.pending_end_state)
        return;
    ++stats_.withdrawn;
    log_change(log_level::info, "caller_disconnected", {{"job", to_text(id)}});
    drop(known->second);
}

void job_coordinator::process_due_reviews()
{
    const auto now = dependencies_.clock.now();
    while (!reviews_.empty() && reviews_.begin()->first <= now)
    {
        auto& record = jobs_.at(reviews_.begin()->second);
        if (record.expires_at <= now || !may_have_run(record))
            give_up(record);
        else
            reschedule_review(record, record.expires_at);
    }
}

void job_coordinator::reschedule_review(job_record& record, instant at)
{
    reviews_.erase({record.next_review_at, record.job.id});
    record.next_review_at = at;
    reviews_.emplace(at, record.job.id);
    arm_review_timer();
}

/// Reviews run on a timer rather than on the next tick, so that callers get
/// their reply without delay.
void job_coordinator::arm_review_timer()
{
    if (reviews_.empty())
        return;
    const auto next = reviews_.begin()->first;
    if (armed_review_ && *armed_review_ <= next)
        return;
    armed_review_ = next;
    const auto wait = std::max(duration{0}, next - dependencies_.clock.now());
    dependencies_.later(wait,
                        [this, alive = alive_, next]
                        {
                            if (!*alive || armed_review_ != next)
                                return;
                            armed_review_.reset();
                            process_due_reviews();
                            arm_review_timer();
                        });
}

/// An order that an agent has returned as not begun has not run. An order that
/// is still placed, or whose agent was lost, may have run.
bool job_coordinator::may_have_run(const job_record& record)
{
    return record.started || !record.lost_orders.empty() ||
           std::any_of(record.tasks.begin(), record.tasks.end(),
                       [](const task_record& task)
                       { return task.phase == task_phase::placed; });
}

void job_coordinator::give_up_all()
{
    while (!reviews_.empty())
        give_up(jobs_.at(reviews_.begin()->second));
}

/// Abandons a job whose result is no longer of use. The reply says `refused` if
/// no task has started, and `unknown` otherwise because the job has not failed.
void job_coordinator::give_up(job_record& record)
{
    ++stats_.given_up;
    const auto id = record.job.id;
    const auto placed =
        std::count_if(record.tasks.begin(), record.tasks.end(),
                      [](const task_record& task)
                      { return task.phase == task_phase::placed; });
    const milliseconds time_to_expiry{record.job.expiry_ms -
                                      record.job.accepted_ms};
    log_change(
        log_level::info, "job_given_up",
        {{"job", to_text(id)},
         {"queue", record.job.queue},
         {"tasks_done", record.done},
         {"tasks_placed", placed},
         {"tasks", record.tasks.size()},
         {"begun", record.started},
         {"waited_ms", to_ms(dependencies_.clock.now() -
                             (record.expires_at - time_to_expiry))},
         {"verdict", may_have_run(record) ? "may_have_run" : "not_run"}});
    drop(record);
}

/// Ends an in-memory job without a final state.
void job_coordinator::drop(job_record& record)
{
    const auto id = record.job.id;
    const auto outcome =
        may_have_run(record) ? job_outcome::unknown : job_outcome::refused;
    stop_runs(record);
    const auto waiters = std::exchange(record.end_waiters, {});
    erase(jobs_.find(id));
    for (const auto& waiter : waiters)
        waiter({outcome, job_state::queued, seconds{1}});
}

job_coordinator::job_record& job_coordinator::insert(job_record record)
{
    open_tasks_ += record.tasks.size();
    const auto id = record.job.id;
    return jobs_.emplace(id, std::move(record)).first->second;
}

/// Also removes the review of the job, since its id may be submitted again.
void job_coordinator::erase(job_map::iterator job)
{
    open_tasks_ -= job->second.tasks.size();
    reviews_.erase({job->second.next_review_at, job->first});
    jobs_.erase(job);
}

/// Appends to the journal. Writes of in-memory jobs complete immediately.
void job_coordinator::write(journal_entry entry)
{
    if (chain_)
        return chain_->append(std::move(entry));
    if (entry.done)
        entry.done(journal_outcome::durable);
}

std::uint32_t job_coordinator::first_run() const
{
    return chain_ ? (epoch_ - 1) * runs_per_epoch : first_memory_run;
}

void job_coordinator::accepted(job_id id, journal_outcome verdict)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
        return;
    auto waiters = std::exchange(known->second.acceptance_waiters, {});
    job_reply reply;
    if (verdict == journal_outcome::durable)
    {
        ++stats_.accepted;
        known->second.accepted = true;
        enqueue_ready_tasks(known->second);
        reply.outcome = job_outcome::done;
    }
    else
    {
        const auto end_handlers = std::exchange(known->second.end_waiters, {});
        erase(known);
        for (const auto& end_handler : end_handlers)
            end_handler({job_outcome::not_owner, job_state::queued, {}});
        reply.outcome = verdict == journal_outcome::not_written
                            ? job_outcome::refused
                            : job_outcome::unknown;
        reply.retry_after = seconds{1};
        ++stats_.refused;
        log_change(log_level::info, "job_refused",
                   {{"job", to_text(id)},
                    {"reason", "journal"},
                    {"verdict", to_name(verdict)}});
    }
    for (const auto& waiter : waiters)
        waiter(reply);
}

/// @return One flag per step: whether all its tasks are done.
std::vector<bool> job_coordinator::steps_done(const job_record& record)
{
    std::vector<bool> done;
    auto task = record.tasks.begin();
    for (const auto& step : record.job.steps)
    {
        const auto end = task + step.count;
        done.push_back(std::all_of(task, end,
                                   [](const task_record& one)
                                   { return one.phase == task_phase::done; }));
        task = end;
    }
    return done;
}

void job_coordinator::enqueue_ready_tasks(job_record& record)
{
    if (record.pending_end_state || !record.accepted ||
        (!record.accepted_here && !unreported_agents_.empty()))
        return;
    const auto done = steps_done(record);
    std::uint32_t task_index = 0;
    for (const auto& step : record.job.steps)
    {
        const bool open =
            std::all_of(step.after.begin(), step.after.end(),
                        [&done](std::uint32_t before) { return done[before]; });
        for (std::uint32_t i = 0; i < step.count; ++i, ++task_index)
        {
            if (open && record.tasks[task_index].phase == task_phase::blocked)
                enqueue(record, task_index);
        }
    }
}

void job_coordinator::enqueue(job_record& record, std::uint32_t task_index)
{
    auto& task = record.tasks[task_index];
    const auto& step = step_of(record.job, task_index);
    task.phase = task_phase::ready;
    ready_task ready;
    ready.task = ref_of(record.job, task_index);
    ready.part = part_;
    ready.service = record.job.service;
    ready.label = step.label;
    ready.preferred_label = step.preferred_label;
    ready.needs = step.needs;
    ready.priority = record.job.priority;
    ready.estimate_ms = step.estimate_ms;
    const auto slack_ms =
        record.job.objective_ms - step.estimate_ms - dependencies_.wall_ms();
    ready.start_by = dependencies_.clock.now() + milliseconds{slack_ms};
    ready.avoid = task.agent;
    dependencies_.task_dispatcher.enqueue(std::move(ready));
}

std::optional<run_order> job_coordinator::assign(const ready_task& task,
                                                 const std::string& agent)
{
    const auto known = jobs_.find(task.task.job);
    if (known == jobs_.end() || known->second.pending_end_state)
        return std::nullopt;
    auto& record = known->second;
    const auto task_index = index_of(record.job, task.task);
    if (task_index >= record.tasks.size())
        return std::nullopt;
    auto& placed = record.tasks[task_index];
    if (placed.phase != task_phase::ready)
        return std::nullopt;
    const std::uint32_t first_number = first_run();
    if (!chain_ && dependencies_.clock.now() >= record.expires_at)
        return std::nullopt;
    if (placed.run > first_number)
        ++stats_.restarted;
    placed.run = std::max(placed.run, first_number) + 1;
    placed.phase = task_phase::placed;
    placed.agent = agent;
    return order_of(record, task_index, {task.task, placed.run});
}

run_order job_coordinator::order_of(const job_record& record,
                                    std::uint32_t task_index,
                                    const run_ref& run) const
{
    const auto& step = step_of(record.job, task_index);
    run_order order;
    order.run = run;
    order.epoch = epoch_;
    order.needs = step.needs;
    order.urgency = record.job.objective_ms - step.estimate_ms;
    order.spec = record.job.spec;
    order.estimate_ms = step.estimate_ms;
    order.submitter = record.submitter;
    if (!chain_)
        order.useful_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(
            1, to_ms(record.expires_at - dependencies_.clock.now())));
    return order;
}

void job_coordinator::cancel(job_id id, job_reply_handler done)
{
    const auto ended = ended_.find(id);
    if (ended != ended_.end())
        return done({job_outcome::done, ended->second.state, {}});
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
    {
        // The submission may still be on its way.
        dependencies_.remember_cancel(id);
        log_change(log_level::info, "cancel_found_no_job",
                   {{"job", to_text(id)}, {"part", part_}, {"epoch", epoch_}});
        return done({absent_outcome(id), job_state::queued, {}});
    }
    auto& record = known->second;
    record.end_waiters.push_back(std::move(done));
    if (record.pending_end_state)
        return;
    journal_end(record, job_state::cancelled, nullptr);
}

void job_coordinator::state(job_id id, job_reply_handler done)
{
    const auto ended = ended_.find(id);
    if (ended != ended_.end())
        return done({job_outcome::done, ended->second.state, {}});
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
        return done({absent_outcome(id), job_state::queued, {}});
    auto& record = known->second;
    if (record.pending_end_state || !record.started)
        return reply_state(record, std::move(done));
    // Callers poll when they expect the job to end, so that a short delay
    // often allows a reply with the final state.
    dependencies_.later(settings_.state_query_delay,
                        [this, alive = alive_, id, done = std::move(done)]
                        {
                            if (*alive)
                                reply_state_after_delay(id, done);
                            else
                                done({job_outcome::not_owner, {}, {}});
                        });
}

void job_coordinator::reply_state(job_record& record, job_reply_handler done)
{
    if (record.pending_end_state)
    {
        record.end_waiters.push_back(std::move(done));
        return;
    }
    const auto state = record.started ? job_state::running : job_state::queued;
    done({job_outcome::done, state, {}});
}

void job_coordinator::reply_state_after_delay(job_id id,
                                              const job_reply_handler& done)
{
    const auto ended = ended_.find(id);
    if (ended != ended_.end())
        return done({job_outcome::done, ended->second.state, {}});
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
        return done({job_outcome::missing, job_state::queued, {}});
    reply_state(known->second, done);
}

std::map<std::string, std::uint32_t> job_coordinator::pending() const
{
    std::map<std::string, std::uint32_t> counts;
    for (const auto& [id, record] : jobs_)
    {
        if (record.accepted && !record.started && !record.pending_end_state)
            ++counts[record.job.queue];
    }
    return counts;
}

void job_coordinator::tick()
{
    drop_silent_agents();
    process_due_reviews();
    expire_ended_jobs();
}

void job_coordinator::expire_ended_jobs()
{
    constexpr std::size_t max_removes = 40;
    const auto limit =
        dependencies_.wall_ms() - to_ms(settings_.ended_retention);
    journal_entry entry;
    entry.urgency = journal_urgency::batched;
    while (!ended_order_.empty() && ended_order_.front().first < limit &&
           entry.removes.size() < max_removes)
    {
        const auto id = ended_order_.front().second;
        ended_order_.pop_front();
        ended_.erase(id);
        entry.removes.push_back(key(ended_table, id));
    }
    if (!entry.removes.empty())
        write(std::move(entry));
}

void job_coordinator::abandon()
{
    if (chain_)
        chain_->abandon();
}

} // namespace glenhollow
