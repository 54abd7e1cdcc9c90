#include "glenhollow/entry/coordinator.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace glenhollow
{

namespace
{

constexpr unsigned status_conflict = 409;
constexpr unsigned status_gone = 410;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

/// Smoothing factor of a team's mean task length.
constexpr double length_weight = 0.05;

/// Assumed task length of a team without finished tasks, s.
constexpr double default_task_seconds = 0.3;

/// Interval of placement attempts while tasks wait.
constexpr duration dispatch_interval = milliseconds{5};

/// Interval of checks for expired answers.
constexpr duration expiry_interval = seconds{1};

/// Limits memory, since callers choose the names of teams.
constexpr std::size_t max_team_lengths = 4096;

/// Estimated size of a kept job without its answer, bytes.
constexpr std::size_t kept_overhead = 256;

double to_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

std::uint32_t to_micros(duration length)
{
    const auto count = std::chrono::duration_cast<microseconds>(length).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

} // namespace

/// One task of a job in flight.
struct coordinator::task
{
    enum class stage : std::uint8_t
    {
        waiting,   ///< Queued here.
        delayed,   ///< Waiting for its backoff to end.
        in_flight, ///< Sent to an agent.
        done       ///< Ended.
    };

    stage current_stage = stage::waiting;
    bool may_have_run = false;       ///< Any attempt may have run.
    std::uint8_t attempts = 0;       ///< Number of sends.
    std::vector<runner_index> avoid; ///< Runners that refused the task.
    std::string payload;             ///< JSON text.
    instant sent{};                  ///< Time of the last send.
    std::int64_t sent_wall = 0;      ///< Wall clock of the last send, ns.
    trace_context link;              ///< Span of the link hop.
};

/// An open or ended job.
struct coordinator::job
{
    std::uint64_t sequence = 0;  ///< Sequence number of the submission.
    std::uint64_t body_hash = 0; ///< Hash of the job's body.
    bool ended = false;          ///< The job has an answer.
    job_answer answer;           ///< Valid once ended.

    std::string team;                    ///< Team of the job.
    instant admitted_at{};               ///< Time of admission.
    instant deadline{};                  ///< Time when the job fails.
    bool repeatable = false;             ///< The only task may be rerun.
    bool long_tasks = false;             ///< The job is in the long queue.
    double expected = 0;                 ///< Expected length of a task, s.
    std::vector<task> tasks;             ///< Empty once ended.
    std::vector<std::string> results;    ///< Empty once ended.
    std::vector<std::uint32_t> waiting;  ///< Task numbers, next at the back.
    std::size_t remaining = 0;           ///< Tasks that have not ended.
    std::size_t task_count = 0;          ///< Number of tasks.
    std::vector<answer_handler> callers; ///< Callers that wait for the answer.
    std::optional<trace_context> trace;  ///< Span of the caller hop.
    std::string trace_parent;            ///< Parent span id of the caller hop.
    std::int64_t admitted_wall = 0;      ///< Wall clock of admission, ns.

    /// @return Whether any attempt of any task may have run.
    bool any_may_have_run() const
    {
        return std::any_of(tasks.begin(), tasks.end(),
                           [](const task& one) {
                               return one.may_have_run ||
                                      one.current_stage ==
                                          task::stage::in_flight;
                           });
    }
};

coordinator::coordinator(const clock_source& clock, start_sender& sender,
                         std::uint64_t incarnation,
                         const coordinator_settings& settings,
                         std::uint64_t seed)
    : clock_(clock), sender_(sender), incarnation_(incarnation),
      settings_(settings), random_(seed),
      sequences_(settings.shard, settings.shards, settings.id_lifetime),
      placement_(
          placement::create(settings.placement_strategy, settings.placement)),
      short_queue_(settings.queue), long_queue_(settings.queue),
      retries_(settings.retry), health_(settings.health),
      quota_(settings.quota), ring_(settings.ring_records)
{
}

coordinator::~coordinator() = default;

std::string coordinator::id_text(std::uint64_t sequence) const
{
    return submission_id{settings_.hall, settings_.entry, incarnation_,
                         sequence}
        .to_string();
}

submission_id coordinator::issue_id()
{
    return {settings_.hall, settings_.entry, incarnation_,
            sequences_.next(clock_.now())};
}

void coordinator::log(decision_kind kind, std::uint64_t sequence,
                      std::uint32_t task, runner_index runner, reason why,
                      verdict what, duration length)
{
    decision_record record;
    record.kind = kind;
    record.sequence = sequence;
    record.task = task;
    record.runner = runner;
    record.why = why;
    record.what = what;
    record.duration_us = to_micros(length);
    ring_.add(record);
}

void coordinator::refuse(std::uint64_t sequence, const api_problem& problem,
                         const answer_handler& done)
{
    ++stats_.refused;
    log(decision_kind::refused, sequence, 0, 0, problem.why, problem.what,
        problem.retry_after);
    done(problem.to_answer());
}

void coordinator::submit(std::uint64_t sequence, job_request request,
                         std::optional<trace_context> trace,
                         answer_handler done)
{
    const instant now = clock_.now();
    const auto known = jobs_.find(sequence);
    if (known != jobs_.end())
        return join_job(*known->second, request, std::move(done));

    switch (sequences_.state_of(sequence, now))
    {
    case sequence_state::never_issued:
        return refuse(sequence,
                      {status_not_found, reason::forged_submission,
                       "this entry never gave out that submission id"},
                      done);
    case sequence_state::expired:
        return refuse(sequence,
                      {status_gone, reason::id_expired,
                       "the submission id is too old to be run or answered",
                       verdict::may_have_run},
                      done);
    case sequence_state::valid:
        break;
    }
    if (const auto problem = check_admission(request, now))
        return refuse(sequence, *problem, done);
    admit_job(sequence, std::move(request), std::move(trace), std::move(done));
}

void coordinator::join_job(job& known, const job_request& request,
                           answer_handler done)
{
    if (known.body_hash != request.body_hash)
        return refuse(known.sequence,
                      {status_conflict, reason::body_conflict,
                       "the submission was sent before with another body"},
                      done);
    ++stats_.joined;
    log(decision_kind::joined, known.sequence, 0, 0, reason::duplicate,
        verdict::not_run);
    if (known.ended)
        return done(known.answer);
    known.callers.push_back(std::move(done));
}

double coordinator::expected_seconds(const std::string& team,
                                     double requested) const
{
    if (requested > 0)
        return requested;
    const auto known = mean_task_seconds_.find(team);
    return known == mean_task_seconds_.end() ? 0 : known->second;
}

std::optional<api_problem>
coordinator::check_admission(const job_request& request, instant now)
{
    if (stopping_ || fenced_)
        return api_problem{status_unavailable,
                           fenced_ ? reason::fenced : reason::stopping,
                           "this entry is stopping; ask another one",
                           verdict::not_run, seconds{1}};

    admission_request state;
    state.tasks = request.payloads.size();
    state.deadline = request.deadline;
    state.seconds_per_task =
        expected_seconds(request.team, request.expected_seconds);
    state.queued_tasks = queued_tasks();
    state.queued_seconds =
        short_queue_.seconds_of_work() + long_queue_.seconds_of_work();
    state.jobs = open_jobs_;
    state.kept_bytes = kept_bytes_;
    occupancy_.apply(views_, now);
    for (runner_index i = 0; i < views_.size(); ++i)
    {
        const auto& view = views_[i];
        if (!view.usable())
            continue;
        ++state.usable_runners;
        // A shard counts on the slots that other entries leave free, and at
        // least on its equal share.
        const double slots = view.effective_slots();
        state.available_slots +=
            std::max(slots - view.peer_tasks, slots / linked_shards_[i]);
    }
    const auto decision = admit(state, settings_.admission, random_);
    if (!decision.admitted())
        return api_problem{status_unavailable, decision.why,
                           "the job was refused before any of it ran",
                           verdict::not_run, decision.retry_after};

    const auto wait = quota_.try_acquire(
        request.team, static_cast<double>(request.payloads.size()), now);
    if (wait)
        return api_problem{
            status_too_many, reason::team_quota,
            "team " + request.team + " has used up its quota of task starts",
            verdict::not_run,
            jittered_retry_after(*wait, settings_.admission, random_)};
    return std::nullopt;
}

void coordinator::admit_job(std::uint64_t sequence, job_request request,
                            std::optional<trace_context> trace,
                            answer_handler done)
{
    const instant now = clock_.now();
    auto new_job = std::make_unique<job>();
    auto& current_job = *new_job;
    current_job.sequence = sequence;
    current_job.body_hash = request.body_hash;
    current_job.team = std::move(request.team);
    current_job.admitted_at = now;
    current_job.deadline = now + request.deadline;
    current_job.repeatable = request.repeatable;
    current_job.expected =
        expected_seconds(current_job.team, request.expected_seconds);
    current_job.long_tasks = current_job.expected > settings_.long_task_seconds;
    current_job.task_count = current_job.remaining = request.payloads.size();
    current_job.results.resize(current_job.remaining);
    current_job.tasks.resize(current_job.remaining);
    for (std::size_t i = 0; i < current_job.remaining; ++i)
    {
        current_job.tasks[i].payload = std::move(request.payloads[i]);
        current_job.waiting.push_back(
            static_cast<std::uint32_t>(current_job.remaining - 1 - i));
    }
    current_job.callers.push_back(std::move(done));
    if (trace)
    {
        current_job.trace_parent = trace->span_id;
        current_job.trace = trace->child();
        current_job.admitted_wall = wall_nanoseconds();
    }

    ++stats_.admitted;
    stats_.tasks_admitted += current_job.remaining;
    ++open_jobs_;
    retries_.deposit(current_job.team, current_job.remaining);
    deadlines_.insert({current_job.deadline, sequence});
    log(decision_kind::admitted, sequence,
        static_cast<std::uint32_t>(current_job.remaining), 0, reason::none,
        verdict::not_run);
    queue_of(current_job).push(queue_entry(current_job, current_job.remaining));
    jobs_.emplace(sequence, std::move(new_job));
}

queued_job coordinator::queue_entry(const job& current_job,
                                    std::size_t tasks) const
{
    return {current_job.sequence,
            current_job.team,
            current_job.admitted_at,
            current_job.deadline,
            tasks,
            current_job.expected};
}

job_queue& coordinator::queue_of(const job& current_job)
{
    return current_job.long_tasks ? long_queue_ : short_queue_;
}

void coordinator::dispatch()
{
    if (queued_tasks() == 0)
        return;
    occupancy_.apply(views_, clock_.now());
    bool only_short = false;
    while (auto* current_job = next_job(only_short))
    {
        bool blocked_long = false;
        if (place_next_task(*current_job, blocked_long))
            continue;
        if (!blocked_long)
            break;
        // Long tasks must leave reserved slots free; short tasks may use them.
        only_short = true;
    }
    send_outbox();
}

coordinator::job* coordinator::next_job(bool& only_short)
{
    const auto of = [this](std::optional<std::uint64_t> sequence) -> job*
    { return sequence ? jobs_.at(*sequence).get() : nullptr; };
    auto* first_short = of(short_queue_.front());
    auto* first_long = only_short ? nullptr : of(long_queue_.front());
    if (!first_short || !first_long)
        return first_short ? first_short : first_long;
    // The older job goes first, so neither queue starves.
    return first_long->admitted_at < first_short->admitted_at ? first_long
                                                              : first_short;
}

bool coordinator::place_next_task(job& current_job, bool& blocked_long)
{
    const instant now = clock_.now();
    const auto number = current_job.waiting.back();
    const auto& next = current_job.tasks[number];
    placement_request request;
    request.runners = views_;
    request.avoid = next.avoid;
    request.waited = now - current_job.admitted_at;
    request.long_task = current_job.long_tasks;
    const auto choice = placement_->choose(request, random_);
    if (!choice.runner)
    {
        blocked_long = current_job.long_tasks && !short_queue_.empty();
        return false;
    }
    send_task(current_job, number, *choice.runner, choice.why, now);
    return true;
}

void coordinator::send_task(job& current_job, std::uint32_t number,
                            runner_index runner, reason why, instant now)
{
    auto& next = current_job.tasks[number];
    current_job.waiting.pop_back();
    queue_of(current_job).take_task(current_job.sequence);
    next.current_stage = task::stage::in_flight;
    next.sent = now;
    ++next.attempts;
    ++stats_.sent;
    const duration waited = now - current_job.admitted_at;
    queue_seconds_.add(to_seconds(waited));
    log(decision_kind::placed, current_job.sequence, number, runner + 1, why,
        verdict::not_run, waited);

    outgoing_start start;
    start.key = {current_job.sequence, number};
    start.begin_within =
        std::min(settings_.start_window, current_job.deadline - now);
    start.team = current_job.team;
    start.body_hash = current_job.body_hash;
    start.job_tasks = static_cast<std::uint32_t>(current_job.task_count);
    start.rank = rank_of(current_job, now);
    // The payload is copied because a retry needs it again.
    start.payload = next.payload;
    if (current_job.trace)
    {
        const auto queue = current_job.trace->child();
        next.link = queue.child();
        next.sent_wall = wall_nanoseconds();
        start.traceparent = next.link.to_header();
        trace_hop(current_job, "queue", start.key, current_job.admitted_wall,
                  queue, current_job.trace->span_id);
    }
    ++views_[runner].outstanding;
    outbox_[runner].push_back(std::move(start));
}

double coordinator::rank_of(const job& current_job, instant now) const
{
    // Tasks that wait at an agent are ordered like the queue.
    switch (settings_.queue.order)
    {
    case queue_order_kind::first_come:
        return 0;
    case queue_order_kind::earliest_deadline:
        return to_seconds(current_job.deadline - now);
    case queue_order_kind::least_work:
        break;
    }
    const double length =
        current_job.expected > 0 ? current_job.expected : default_task_seconds;
    return static_cast<double>(current_job.waiting.size() + 1) * length;
}

void coordinator::send_outbox()
{
    auto outbox = std::exchange(outbox_, {});
    for (auto& [runner, starts] : outbox)
        sender_.send(runner, std::move(starts));
}

void coordinator::trace_hop(const job& current_job, std::string_view name,
                            const task_key& key, std::int64_t begin,
                            const trace_context& context,
                            const std::string& parent)
{
    if (!spans_ || !current_job.trace || !current_job.trace->sampled)
        return;
    span hop;
    hop.name = name;
    hop.context = context;
    hop.parent_id = parent;
    hop.begin = begin;
    hop.end = wall_nanoseconds();
    hop.attributes.push_back(
        {"task", id_text(key.sequence) + "/" + std::to_string(key.task)});
    spans_->write(hop);
}

void coordinator::link_up(runner_index runner, bool own_hall,
                          const load_report& report)
{
    if (runner >= views_.size())
    {
        views_.resize(runner + 1);
        drained_.resize(runner + 1, false);
        linked_shards_.resize(runner + 1, 1);
        occupancy_.resize(runner + 1);
        health_.resize(runner + 1);
    }
    auto& view = views_[runner];
    view.connected = true;
    view.own_hall = own_hall;
    report_load(runner, report);
}

void coordinator::link_down(runner_index runner)
{
    views_[runner].connected = false;
}

void coordinator::report_load(runner_index runner, const load_report& report)
{
    auto& view = views_[runner];
    view.slots = report.slots;
    linked_shards_[runner] = std::max(report.links, 1);
    // The agent counts only the starts that it has received.
    occupancy_.report(runner, report.busy, view.outstanding - report.in_transit,
                      clock_.now());
    view.draining = report.draining || drained_[runner];
    view.shunned = report.shunned;
    view.delay = report.delay;
    health_.apply(runner, view);
}

void coordinator::set_drained(runner_index runner, bool on, reason why)
{
    if (runner >= views_.size() || drained_[runner] == on)
        return;
    drained_[runner] = on;
    views_[runner].draining = on;
    log(on ? decision_kind::drained : decision_kind::undrained, 0, 0,
        runner + 1, why, verdict::not_run);
}

void coordinator::task_ended(runner_index runner, task_end end)
{
    auto& view = views_[runner];
    --view.outstanding;
    acknowledge_later(runner, end.key);
    const auto known = jobs_.find(end.key.sequence);
    const bool is_open = known != jobs_.end() && !known->second->ended;
    record_health(runner, end, is_open ? known->second->expected : 0);
    if (end.end.why == reason::draining)
        view.draining = true;
    if (end.end.why == reason::fenced)
        handle_fencing();
    if (!is_open || known->second->ended)
    {
        ++stats_.late_ends;
        return;
    }
    handle_task_end(*known->second, runner, std::move(end));
}

void coordinator::record_health(runner_index runner, const task_end& end,
                                double expected)
{
    const auto change = health_.record_outcome(
        runner, end.end, end.run_micros * 1e-6, expected, clock_.now());
    health_.apply(runner, views_[runner]);
    if (change == health_change::none)
        return;
    log(change == health_change::ejected ? decision_kind::ejected
                                         : decision_kind::returned,
        0, 0, runner + 1,
        change == health_change::ejected ? end.end.why : reason::recovered,
        end.end.what);
}

void coordinator::record_length(job& current_job, const task_end& end)
{
    const double length = end.run_micros * 1e-6;
    if (mean_task_seconds_.size() >= max_team_lengths &&
        !mean_task_seconds_.contains(current_job.team))
        mean_task_seconds_.clear();
    auto [known, inserted] =
        mean_task_seconds_.try_emplace(current_job.team, length);
    if (!inserted)
        known->second += length_weight * (length - known->second);
}

void coordinator::handle_task_end(job& current_job, runner_index runner,
                                  task_end end)
{
    auto& done = current_job.tasks[end.key.task];
    assert(done.current_stage == task::stage::in_flight);
    const instant now = clock_.now();
    const duration took = now - done.sent;
    log(decision_kind::ended, current_job.sequence, end.key.task, runner + 1,
        end.end.why, end.end.what, took);
    if (current_job.trace)
        trace_hop(current_job, "link", end.key, done.sent_wall, done.link,
                  current_job.trace->span_id);
    if (end.end.what != verdict::ran)
        return retry_or_fail(current_job, runner, end);

    const auto agent_time =
        microseconds{end.wait_micros} + microseconds{end.run_micros};
    link_seconds_.add(to_seconds(std::max<duration>(took - agent_time, {})));
    record_length(current_job, end);
    occupancy_.note_length(end.run_micros * 1e-6);
    done.current_stage = task::stage::done;
    done.may_have_run = true;
    current_job.results[end.key.task] = std::move(end.body);
    if (--current_job.remaining == 0)
        complete_job(current_job);
}

void coordinator::retry_or_fail(job& current_job, runner_index runner,
                                const task_end& end)
{
    auto& failed_task = current_job.tasks[end.key.task];
    failed_task.current_stage = task::stage::waiting;
    if (end.end.what == verdict::may_have_run)
    {
        failed_task.may_have_run = true;
        // A task that may have run is never restarted, unless the job is marked
        // repeatable.
        if (!current_job.repeatable)
            return fail_job(current_job, end.end.why);
    }
    if (fenced_)
        return fail_job(current_job, reason::fenced);
    if (!retries_.try_withdraw(current_job.team, failed_task.attempts))
        return fail_job(current_job, end.end.why == reason::none
                                         ? reason::retry_budget
                                         : end.end.why);
    ++stats_.retried;
    failed_task.avoid.push_back(runner);
    failed_task.current_stage = task::stage::delayed;
    const auto wait = retries_.backoff(failed_task.attempts, random_);
    log(decision_kind::retried, current_job.sequence, end.key.task, runner + 1,
        end.end.why, end.end.what, wait);
    delayed_.insert({clock_.now() + wait, end.key});
}

void coordinator::complete_job(job& current_job)
{
    auto answer =
        complete_answer(id_text(current_job.sequence), current_job.results);
    ++stats_.completed;
    job_seconds_.add(to_seconds(clock_.now() - current_job.admitted_at));
    finish_job(current_job, std::move(answer), decision_kind::completed,
               verdict::ran);
}

void coordinator::fail_job(job& current_job, reason why)
{
    const auto what = current_job.any_may_have_run() ? verdict::may_have_run
                                                     : verdict::not_run;
    ++stats_.failed;
    queue_of(current_job).remove(current_job.sequence);
    finish_job(current_job,
               failed_answer(id_text(current_job.sequence), what, why),
               decision_kind::failed, what);
}

void coordinator::finish_job(job& current_job, job_answer answer,
                             decision_kind kind, verdict what)
{
    log(kind, current_job.sequence,
        static_cast<std::uint32_t>(current_job.task_count), 0, answer.why, what,
        clock_.now() - current_job.admitted_at);
    if (current_job.trace)
        trace_hop(current_job, "caller", {current_job.sequence, 0},
                  current_job.admitted_wall, *current_job.trace,
                  current_job.trace_parent);
    deadlines_.erase({current_job.deadline, current_job.sequence});
    current_job.ended = true;
    current_job.answer = std::move(answer);
    current_job.tasks = {};
    current_job.results = {};
    current_job.waiting = {};
    --open_jobs_;
    kept_bytes_ += kept_overhead + current_job.answer.body.size();
    ended_jobs_.emplace(current_job.sequence, current_job.sequence);
    const auto callers = std::exchange(current_job.callers, {});
    for (const auto& caller : callers)
        caller(current_job.answer);
}

void coordinator::acknowledge_later(runner_index runner, const task_key& key)
{
    pending_acks_.push_back({clock_.now() + settings_.ack_delay, runner, key});
}

void coordinator::send_due_acks(instant now)
{
    std::map<runner_index, std::vector<task_key>> due;
    while (!pending_acks_.empty() && pending_acks_.front().due <= now)
    {
        const auto& first = pending_acks_.front();
        const auto known = jobs_.find(first.key.sequence);
        // Agents keep the results of open jobs, so that an adopting entry can
        // answer.
        if (known != jobs_.end() && !known->second->ended)
            pending_acks_.push_back(
                {now + settings_.ack_delay, first.runner, first.key});
        else
            due[first.runner].push_back(first.key);
        pending_acks_.pop_front();
    }
    for (const auto& [runner, keys] : due)
        sender_.acknowledge(runner, keys);
}

void coordinator::drop_expired(instant now)
{
    const auto low_water = sequences_.low_water(now);
    while (!ended_jobs_.empty() && ended_jobs_.begin()->first < low_water)
    {
        const auto sequence = ended_jobs_.begin()->first;
        ended_jobs_.erase(ended_jobs_.begin());
        const auto known = jobs_.find(sequence);
        kept_bytes_ -= kept_overhead + known->second->answer.body.size();
        jobs_.erase(known);
    }
}

void coordinator::tick()
{
    const instant now = clock_.now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
        fail_job(*jobs_.at(deadlines_.begin()->second),
                 reason::deadline_passed);
    while (!delayed_.empty() && delayed_.begin()->due <= now)
    {
        const auto key = delayed_.begin()->key;
        delayed_.erase(delayed_.begin());
        const auto known = jobs_.find(key.sequence);
        if (known == jobs_.end() || known->second->ended)
            continue;
        auto& current_job = *known->second;
        current_job.tasks[key.task].current_stage = task::stage::waiting;
        current_job.waiting.push_back(key.task);
        queue_of(current_job).requeue_task(queue_entry(current_job, 1));
    }
    for (runner_index i = 0; i < views_.size(); ++i)
    {
        if (health_.end_ejection_if_due(i, now) == health_change::none)
            continue;
        health_.apply(i, views_[i]);
        log(decision_kind::returned, 0, 0, i + 1, reason::outlier,
            verdict::not_run);
    }
    send_due_acks(now);
    drop_expired(now);
    quota_.remove_idle_teams(now);
    dispatch();
}

std::optional<instant> coordinator::next_wake() const
{
    std::optional<instant> next;
    const auto consider = [&next](instant when)
    { next = next ? std::min(*next, when) : when; };
    if (!deadlines_.empty())
        consider(deadlines_.begin()->first);
    if (!delayed_.empty())
        consider(delayed_.begin()->due);
    if (!pending_acks_.empty())
        consider(pending_acks_.front().due);
    // Estimates of runner load change with time, so waiting tasks are retried.
    if (queued_tasks() > 0)
        consider(clock_.now() + dispatch_interval);
    if (!jobs_.empty())
        consider(clock_.now() + expiry_interval);
    return next;
}

job_answer coordinator::lookup(std::uint64_t sequence)
{
    const auto known = jobs_.find(sequence);
    if (known != jobs_.end())
        return known->second->ended ? known->second->answer
                                    : running_answer(id_text(sequence));
    const auto state = sequences_.state_of(sequence, clock_.now());
    if (state == sequence_state::expired)
        return api_problem{status_gone, reason::id_expired,
                           "the submission id is too old to be answered",
                           verdict::may_have_run}
            .to_answer();
    return api_problem{status_not_found, reason::unknown_submission,
                       "no job was sent under that submission id"}
        .to_answer();
}

api_result<std::size_t> coordinator::cancel(std::uint64_t sequence)
{
    const auto known = jobs_.find(sequence);
    if (known == jobs_.end())
        return api_problem{status_not_found, reason::unknown_submission,
                           "no job was sent under that submission id"};
    if (known->second->ended)
        return api_problem{status_conflict, reason::duplicate,
                           "the job has ended already"};
    auto& current_job = *known->second;
    const auto unstarted = static_cast<std::size_t>(
        std::count_if(current_job.tasks.begin(), current_job.tasks.end(),
                      [](const task& one)
                      {
                          return one.current_stage == task::stage::waiting ||
                                 one.current_stage == task::stage::delayed;
                      }));
    if (unstarted == 0)
        return api_problem{status_conflict, reason::duplicate,
                           "all tasks of the job have started"};
    log(decision_kind::cancelled, sequence,
        static_cast<std::uint32_t>(unstarted), 0, reason::operator_command,
        verdict::not_run);
    fail_job(current_job, reason::cancelled);
    return unstarted;
}

void coordinator::handle_fencing()
{
    if (fenced_)
        return;
    fenced_ = true;
    // The adopting entry has answered these jobs as failed, so none of their
    // tasks may start.
    std::vector<std::uint64_t> open;
    for (const auto& [sequence, current_job] : jobs_)
    {
        if (!current_job->ended)
            open.push_back(sequence);
    }
    for (const auto sequence : open)
        fail_job(*jobs_.at(sequence), reason::fenced);
}

void coordinator::apply(const coordinator_settings& settings)
{
    const bool strategy_changed =
        settings.placement_strategy != settings_.placement_strategy ||
        settings.placement.short_reserve != settings_.placement.short_reserve ||
        settings.placement.overcommit != settings_.placement.overcommit;
    const auto place = std::tuple(settings_.hall, settings_.entry,
                                  settings_.shard, settings_.shards);
    settings_ = settings;
    std::tie(settings_.hall, settings_.entry, settings_.shard,
             settings_.shards) = place;
    sequences_.set_lifetime(settings_.id_lifetime);
    short_queue_.apply(settings_.queue);
    long_queue_.apply(settings_.queue);
    retries_.apply(settings_.retry);
    health_.apply(settings_.health);
    quota_.apply(settings_.quota);
    if (strategy_changed)
        placement_ = placement::create(settings_.placement_strategy,
                                       settings_.placement);
}

void coordinator::set_weight(const std::string& team, double weight)
{
    short_queue_.set_weight(team, weight);
    long_queue_.set_weight(team, weight);
}

std::vector<job_row> coordinator::job_rows(std::size_t max_rows) const
{
    std::vector<job_row> rows;
    const instant now = clock_.now();
    const auto add = [&](bool ended)
    {
        for (const auto& [sequence, current_job] : jobs_)
        {
            if (rows.size() >= max_rows)
                return;
            if (current_job->ended != ended)
                continue;
            job_row row;
            row.id = id_text(sequence);
            row.team = current_job->team;
            row.state = !ended                                    ? "running"
                        : current_job->answer.why == reason::none ? "complete"
                                                                  : "failed";
            row.tasks = current_job->task_count;
            row.done = current_job->task_count - current_job->remaining;
            row.waiting = current_job->waiting.size();
            row.age = now - current_job->admitted_at;
            rows.push_back(std::move(row));
        }
    };
    add(false);
    add(true);
    return rows;
}

std::vector<coordinator::kept_answer> coordinator::kept_answers() const
{
    std::vector<kept_answer> answers;
    for (const auto& [sequence, current_job] : jobs_)
    {
        if (current_job->ended)
            answers.push_back(
                {sequence, current_job->body_hash, current_job->answer});
    }
    return answers;
}

void coordinator::collect(metric_page& page) const
{
    const auto count = [](std::uint64_t value)
    { return static_cast<double>(value); };
    constexpr std::string_view jobs_help = "Jobs by event";
    page.counter("jobs_total", jobs_help, count(stats_.admitted),
                 R"(event="admitted")");
    page.counter("jobs_total", jobs_help, count(stats_.completed),
                 R"(event="complete")");
    page.counter("jobs_total", jobs_help, count(stats_.failed),
                 R"(event="failed")");
    page.counter("jobs_total", jobs_help, count(stats_.refused),
                 R"(event="refused")");
    page.counter("jobs_total", jobs_help, count(stats_.joined),
                 R"(event="joined")");
    page.counter("tasks_admitted_total", "Tasks of admitted jobs",
                 count(stats_.tasks_admitted));
    page.counter("starts_sent_total", "Starts sent to agents",
                 count(stats_.sent));
    page.counter("retries_total", "Starts that were retries",
                 count(stats_.retried));
    page.counter("late_ends_total", "Ends of tasks whose job had already ended",
                 count(stats_.late_ends));
    page.counter("decisions_total", "Decisions made", count(ring_.total()));
    page.gauge("queued_tasks", "Tasks queued at the entry",
               static_cast<double>(queued_tasks()));
    page.gauge("jobs_kept", "Jobs in flight or with a kept answer",
               static_cast<double>(jobs_.size()));
    page.gauge("jobs_open", "Jobs in flight", static_cast<double>(open_jobs_));
    page.gauge("kept_answer_bytes", "Bytes of kept answers",
               static_cast<double>(kept_bytes_));
    double slots = 0;
    for (const auto& view : views_)
        slots += view.connected ? view.slots : 0;
    // All shards link to the same runners, so each reports its fraction.
    page.gauge("runner_slots", "Slots of the runners linked to this entry",
               slots / settings_.shards);
    page.summary("job_seconds", "Seconds from admission to a complete answer",
                 job_seconds_);
    page.summary("queue_seconds",
                 "Seconds from admission to the send of a task",
                 queue_seconds_);
    page.summary("link_seconds",
                 "Round-trip seconds between entry and agent, per task",
                 link_seconds_);
}

} // namespace glenhollow
