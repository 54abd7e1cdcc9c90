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

/// Run numbers of one owner lie within this many.
constexpr std::uint32_t runs_an_epoch = 4096;

/// When to come back where nothing better is known.
constexpr duration refusal_wait = seconds{1};

constexpr std::int64_t millisecond = 1'000'000;

std::int64_t to_ms(duration length)
{
    return length.count() / millisecond;
}

} // namespace

job_coordinator::job_coordinator(dependencies around, part_number part,
                                 const chain_head& head, loaded_part loaded,
                                 std::set<std::string> awaited,
                                 const job_coordinator_settings& settings,
                                 std::function<void()> on_lost)
    : around_(std::move(around)), part_(part), epoch_(head.epoch),
      settings_(settings),
      chain_(std::make_unique<journal_chain>(around_.store, around_.later, part,
                                             head, settings.chain,
                                             std::move(on_lost))),
      awaited_(std::move(awaited)), claimed_(around_.clock.now())
{
    take(std::move(loaded));
    if (awaited_.empty())
        all_agents_told();
}

job_coordinator::job_coordinator(dependencies around,
                                 const job_coordinator_settings& settings)
    : around_(std::move(around)), part_(memory_part), epoch_(0),
      settings_(settings), claimed_(around_.clock.now())
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

std::uint32_t job_coordinator::flat_index(const job_definition& job,
                                          const task_ref& task) const
{
    if (task.occurrence != 0 || task.step >= job.steps.size() ||
        task.index >= job.steps[task.step].count)
        return std::numeric_limits<std::uint32_t>::max();
    std::uint32_t flat = task.index;
    for (std::uint32_t i = 0; i < task.step; ++i)
        flat += job.steps[i].count;
    return flat;
}

task_ref job_coordinator::ref_of(const job_definition& job,
                                 std::uint32_t flat) const
{
    task_ref task{job.id, 0, 0, flat};
    while (task.index >= job.steps[task.step].count)
        task.index -= job.steps[task.step++].count;
    return task;
}

const job_step& job_coordinator::step_of(const job_definition& job,
                                         std::uint32_t flat) const
{
    return job.steps[ref_of(job, flat).step];
}

std::optional<job_coordinator::refusal>
job_coordinator::refusal_of(const job_definition& job) const
{
    if (refusing_)
        return refusal{reason::stopping, refusal_wait};
    const double cores = around_.placing.ready_cores(job.service);
    if (cores <= 0 && warming_up())
        return std::nullopt;
    if (cores <= 0)
        return refusal{reason::no_runner, refusal_wait};
    const double objective =
        static_cast<double>(job.objective_ms - around_.wall_ms());
    if (around_.placing.free_cores(job.service) >= job.widest_cores())
        return std::nullopt;
    const double wait = around_.placing.waiting_work(job.service) / cores;
    if (wait <= settings_.hopeless * std::max(1.0, objective))
        return std::nullopt;
    return refusal{reason::deadline_unreachable,
                   milliseconds{static_cast<std::int64_t>(wait)}};
}

/// Agents attach within a tenth of a second of a start. Who is refused
/// meanwhile could have been served in time.
bool job_coordinator::warming_up() const
{
    return !chain_ && around_.clock.now() - claimed_ < settings_.warm_up;
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
        if (!chain_)
            known->second.end_waiters.push_back(std::move(done));
        else if (known->second.accepted)
            done({job_outcome::done, job_state::queued, {}});
        else
            known->second.acceptance.push_back(std::move(done));
        return;
    }
    if (unreadable_.contains(job.id))
        return done({job_outcome::unknown, job_state::queued, {}});
    if (const auto refused = refusal_of(job))
    {
        ++stats_.refused;
        log_change(log_level::info, "job_refused",
                   {{"job", to_text(job.id)},
                    {"queue", job.queue},
                    {"reason", to_name(refused->why)},
                    {"wait_ms", to_ms(refused->wait)}});
        return done({job_outcome::refused, job_state::queued, refused->wait});
    }
    if (!chain_)
        return accept_in_memory(job, std::move(done));
    job_record record;
    record.job = job;
    record.tasks.resize(job.task_count());
    record.acceptance.push_back(std::move(done));
    jobs_.emplace(job.id, std::move(record));
    journal_entry entry;
    entry.puts.push_back({key(jobs_table, job.id), encode_definition(job)});
    entry.droppable = true;
    entry.done = [this, alive = alive_, id = job.id](journal_verdict verdict)
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
    record.early =
        warming_up() && around_.placing.ready_cores(job.service) <= 0;
    stats_.early += record.early ? 1 : 0;
    record.job = job;
    record.tasks.resize(job.task_count());
    record.accepted = true;
    record.give_up =
        around_.clock.now() + milliseconds{job.give_up_ms - job.accepted_ms};
    record.end_waiters.push_back(std::move(done));
    record.begin_by = record.review_at = latest_begin(record);
    reviews_.emplace(record.review_at, job.id);
    await_review();
    make_ready(jobs_.emplace(job.id, std::move(record)).first->second);
}

/// Begun any later a job could not end before its caller gives up. One that is
/// late anyway is worth little, and the sooner its caller knows that it was
/// not run the more it can do about it: at once for one that came early, since
/// all start at once and those who can still be in time need the room.
instant job_coordinator::latest_begin(const job_record& record) const
{
    const auto& job = record.job;
    const auto chain = milliseconds{job.longest_chain_ms()};
    const auto patience = milliseconds{job.give_up_ms - job.accepted_ms};
    const auto in_time = milliseconds{job.objective_ms - job.accepted_ms};
    const auto share = record.early ? duration{0}
                                    : std::chrono::duration_cast<duration>(
                                          patience * settings_.begin_by);
    const auto latest = std::min<duration>(
        patience - chain, std::max<duration>(share, in_time - chain));
    return around_.clock.now() + latest;
}

void job_coordinator::withdraw(job_id id)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end() || known->second.ending)
        return;
    ++stats_.withdrawn;
    log_change(log_level::info, "caller_left", {{"job", to_text(id)}});
    drop(known->second);
}

void job_coordinator::give_up_late()
{
    const auto now = around_.clock.now();
    while (!reviews_.empty() && reviews_.begin()->first <= now)
    {
        auto& record = jobs_.at(reviews_.begin()->second);
        if (record.give_up <= now || !may_have_run(record))
            give_up(record);
        else
            review_again(record, record.give_up);
    }
}

void job_coordinator::review_again(job_record& record, instant at)
{
    reviews_.erase({record.review_at, record.job.id});
    record.review_at = at;
    reviews_.emplace(at, record.job.id);
    await_review();
}

/// Callers are told at the moment itself: a tick later more of the time in
/// which they could try elsewhere has gone by.
void job_coordinator::await_review()
{
    if (reviews_.empty())
        return;
    const auto next = reviews_.begin()->first;
    if (review_awaited_ && *review_awaited_ <= next)
        return;
    review_awaited_ = next;
    const auto wait = std::max(duration{0}, next - around_.clock.now());
    around_.later(wait,
                  [this, alive = alive_, next]
                  {
                      if (!*alive || review_awaited_ != next)
                          return;
                      review_awaited_.reset();
                      give_up_late();
                      await_review();
                  });
}

/// An order that its agent has sent back as not begun has not run; one that is
/// out, or was lost with its agent, may have.
bool job_coordinator::may_have_run(const job_record& record)
{
    return record.begun || !record.lost.empty() ||
           std::any_of(record.tasks.begin(), record.tasks.end(),
                       [](const task_record& task)
                       { return task.phase == task_phase::placed; });
}

void job_coordinator::give_up_all()
{
    while (!reviews_.empty())
        give_up(jobs_.at(reviews_.begin()->second));
}

/// Its end would be worth nothing any more. Where surely no task has begun the
/// job was not run; else nothing is said of how it ended, for it has not failed
/// by itself.
void job_coordinator::give_up(job_record& record)
{
    ++stats_.given_up;
    const auto id = record.job.id;
    const auto placed =
        std::count_if(record.tasks.begin(), record.tasks.end(),
                      [](const task_record& task)
                      { return task.phase == task_phase::placed; });
    const milliseconds patience{record.job.give_up_ms - record.job.accepted_ms};
    log_change(
        log_level::info, "job_given_up",
        {{"job", to_text(id)},
         {"queue", record.job.queue},
         {"tasks_done", record.done},
         {"tasks_placed", placed},
         {"tasks", record.tasks.size()},
         {"begun", record.begun},
         {"waited_ms",
          to_ms(around_.clock.now() - (record.give_up - patience))},
         {"verdict", may_have_run(record) ? "may_have_run" : "not_run"}});
    drop(record);
}

/// Ends a job in memory that has no end of its own to tell.
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

/// Its time goes with it: the same id may come again.
void job_coordinator::erase(job_map::iterator job)
{
    reviews_.erase({job->second.review_at, job->first});
    jobs_.erase(job);
}

/// Jobs in memory have nothing to write: it is done at once.
void job_coordinator::write(journal_entry entry)
{
    if (chain_)
        return chain_->append(std::move(entry));
    if (entry.done)
        entry.done(journal_verdict::durable);
}

std::uint32_t job_coordinator::first_run() const
{
    return chain_ ? (epoch_ - 1) * runs_an_epoch : first_memory_run;
}

void job_coordinator::accepted(job_id id, journal_verdict verdict)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
        return;
    auto waiters = std::exchange(known->second.acceptance, {});
    job_reply reply;
    if (verdict == journal_verdict::durable)
    {
        ++stats_.accepted;
        known->second.accepted = true;
        make_ready(known->second);
        reply.outcome = job_outcome::done;
    }
    else
    {
        const auto enders = std::exchange(known->second.end_waiters, {});
        jobs_.erase(known);
        for (const auto& ender : enders)
            ender({job_outcome::not_owner, job_state::queued, {}});
        reply.outcome = verdict == journal_verdict::not_written
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

/// @return Which steps have all their tasks done.
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

void job_coordinator::make_ready(job_record& record)
{
    if (record.ending || !record.accepted ||
        (!record.fresh && !awaited_.empty()))
        return;
    const auto done = steps_done(record);
    std::uint32_t flat = 0;
    for (const auto& step : record.job.steps)
    {
        const bool open =
            std::all_of(step.after.begin(), step.after.end(),
                        [&done](std::uint32_t before) { return done[before]; });
        for (std::uint32_t i = 0; i < step.count; ++i, ++flat)
        {
            if (open && record.tasks[flat].phase == task_phase::blocked)
                enqueue(record, flat);
        }
    }
}

void job_coordinator::enqueue(job_record& record, std::uint32_t flat)
{
    auto& task = record.tasks[flat];
    const auto& step = step_of(record.job, flat);
    task.phase = task_phase::ready;
    ready_task ready;
    ready.task = ref_of(record.job, flat);
    ready.part = part_;
    ready.service = record.job.service;
    ready.label = step.label;
    ready.preferred_label = step.preferred_label;
    ready.needs = step.needs;
    ready.priority = record.job.priority;
    ready.estimate_ms = step.estimate_ms;
    const auto slack_ms =
        record.job.objective_ms - step.estimate_ms - around_.wall_ms();
    ready.start_by = around_.clock.now() + milliseconds{slack_ms};
    ready.avoid = task.agent;
    around_.placing.enqueue(std::move(ready));
}

std::optional<run_order> job_coordinator::assign(const ready_task& task,
                                                 const std::string& agent)
{
    const auto known = jobs_.find(task.task.job);
    if (known == jobs_.end() || known->second.ending)
        return std::nullopt;
    auto& record = known->second;
    const auto flat = flat_index(record.job, task.task);
    if (flat >= record.tasks.size())
        return std::nullopt;
    auto& placed = record.tasks[flat];
    if (placed.phase != task_phase::ready)
        return std::nullopt;
    const std::uint32_t least = first_run();
    if (!chain_ && around_.clock.now() >= record.give_up)
        return std::nullopt;
    if (placed.run > least)
        ++stats_.restarted;
    placed.run = std::max(placed.run, least) + 1;
    placed.phase = task_phase::placed;
    placed.agent = agent;
    return order_of(record, flat, {task.task, placed.run});
}

run_order job_coordinator::order_of(const job_record& record,
                                    std::uint32_t flat,
                                    const run_ref& run) const
{
    const auto& step = step_of(record.job, flat);
    run_order order;
    order.run = run;
    order.epoch = epoch_;
    order.needs = step.needs;
    order.urgency = record.job.objective_ms - step.estimate_ms;
    order.spec = record.job.spec;
    order.estimate_ms = step.estimate_ms;
    if (!chain_)
        order.useful_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(
            1, to_ms(record.give_up - around_.clock.now())));
    return order;
}

void job_coordinator::cancel(job_id id, job_reply_handler done)
{
    const auto ended = ended_.find(id);
    if (ended != ended_.end())
        return done({job_outcome::done, ended->second.state, {}});
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
        return done({not_here(id), job_state::queued, {}});
    auto& record = known->second;
    record.end_waiters.push_back(std::move(done));
    if (record.ending)
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
        return done({not_here(id), job_state::queued, {}});
    auto& record = known->second;
    if (record.ending || !record.begun)
        return tell_state(record, std::move(done));
    // Callers ask when they believe that it ends: the end is near, if it is
    // not on its way here already.
    around_.later(settings_.near_end,
                  [this, alive = alive_, id, done = std::move(done)]
                  {
                      if (*alive)
                          state_after_wait(id, done);
                      else
                          done({job_outcome::not_owner, {}, {}});
                  });
}

void job_coordinator::tell_state(job_record& record, job_reply_handler done)
{
    if (record.ending)
    {
        record.end_waiters.push_back(std::move(done));
        return;
    }
    const auto state = record.begun ? job_state::running : job_state::queued;
    done({job_outcome::done, state, {}});
}

void job_coordinator::state_after_wait(job_id id, const job_reply_handler& done)
{
    const auto ended = ended_.find(id);
    if (ended != ended_.end())
        return done({job_outcome::done, ended->second.state, {}});
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
        return done({job_outcome::missing, job_state::queued, {}});
    tell_state(known->second, done);
}

std::map<std::string, std::uint32_t> job_coordinator::pending() const
{
    std::map<std::string, std::uint32_t> counts;
    for (const auto& [id, record] : jobs_)
    {
        if (record.accepted && !record.begun && !record.ending)
            ++counts[record.job.queue];
    }
    return counts;
}

void job_coordinator::tick()
{
    if (!awaited_.empty() &&
        around_.clock.now() - claimed_ > settings_.agent_silence)
    {
        log_change(log_level::info, "agents_not_heard",
                   {{"part", part_}, {"agents", awaited_.size()}});
        awaited_.clear();
        all_agents_told();
    }
    give_up_late();
    forget_old();
}

void job_coordinator::forget_old()
{
    constexpr std::size_t most = 40;
    const auto limit = around_.wall_ms() - to_ms(settings_.keep_ended);
    journal_entry entry;
    entry.urgency = journal_urgency::gathered;
    while (!ended_order_.empty() && ended_order_.front().first < limit &&
           entry.removes.size() < most)
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
