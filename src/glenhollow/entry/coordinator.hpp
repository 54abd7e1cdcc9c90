#ifndef GLENHOLLOW_ENTRY_COORDINATOR_HPP
#define GLENHOLLOW_ENTRY_COORDINATOR_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/core/submission_id.hpp"
#include "glenhollow/core/verdict.hpp"
#include "glenhollow/decision/admission.hpp"
#include "glenhollow/decision/health.hpp"
#include "glenhollow/decision/occupancy.hpp"
#include "glenhollow/decision/placement.hpp"
#include "glenhollow/decision/queue_order.hpp"
#include "glenhollow/decision/retry_budget.hpp"
#include "glenhollow/decision/runner_view.hpp"
#include "glenhollow/decision/team_quota.hpp"
#include "glenhollow/entry/job.hpp"
#include "glenhollow/entry/sequence_generator.hpp"
#include "glenhollow/explain/decision_ring.hpp"
#include "glenhollow/telemetry/metrics.hpp"
#include "glenhollow/telemetry/trace.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace glenhollow
{

/// A task on its way to an agent.
struct outgoing_start
{
    task_key key;                ///< Which task.
    duration begin_within{};     ///< From now; later the agent refuses it.
    std::string team;            ///< Whose it is.
    std::string traceparent;     ///< W3C trace context, may be empty.
    std::string payload;         ///< JSON text.
    std::uint64_t body_hash = 0; ///< Of the job's body.
    std::uint32_t job_tasks = 0; ///< Tasks of the job.
    double rank = 0;             ///< Work left in the job, s.
};

/// Sends starts to agents; the links do, and fakes in tests.
class start_sender
{
public:
    virtual ~start_sender() = default;

    /// Sends starts over a link that is up. Each ends in one call of
    /// coordinator::task_ended, not from inside this call.
    /// @param runner Where they go.
    /// @param starts One or more tasks.
    virtual void send(runner_index runner,
                      std::vector<outgoing_start> starts) = 0;

    /// Results that the agent may forget; sent with the next message.
    /// @param runner Where they ran.
    /// @param keys The tasks.
    virtual void acknowledge(runner_index runner,
                             const std::vector<task_key>& keys) = 0;
};

/// What an agent reports of itself on every answer.
struct load_report
{
    std::int32_t slots = 0;      ///< Tasks it can run at once.
    std::int32_t busy = 0;       ///< Running and queued there.
    std::int32_t in_transit = 0; ///< Starts sent that it had not seen yet.
    std::int32_t links = 1;      ///< Entry shards that are linked to it.
    bool draining = false;       ///< It refuses new starts.
    bool shunned = false;        ///< Its runner takes no connections.
    duration delay{};            ///< Measured time there and back.
};

/// The end of a task as its link reports it.
struct task_end
{
    task_key key;                  ///< Which task.
    outcome_of_task end;           ///< Whether it ran, and why not.
    std::string body;              ///< The result, JSON text, when it ran.
    std::uint32_t wait_micros = 0; ///< Time in the agent's queue.
    std::uint32_t run_micros = 0;  ///< Time at the runner.
};

/// Settings of a coordinator; all can change while it runs, but for the
/// shard's place.
struct coordinator_settings
{
    std::string hall = "hall";           ///< Of the entry.
    std::string entry = "entry";         ///< Name of the entry.
    std::uint32_t shard = 0;             ///< This shard, from 0.
    std::uint32_t shards = 1;            ///< All shards of the entry.
    duration id_lifetime = seconds{120}; ///< Of a submission id.
    duration ack_delay = seconds{20};    ///< Results stay at agents so long.
    duration start_window = seconds{10}; ///< A start must begin within.
    double long_task_seconds = 1.0;      ///< Longer tasks keep slots free.
    placement_kind placement_strategy =
        placement_kind::late_binding;   ///< Strategy.
    placement_settings placement;       ///< Limits of placements.
    job_queue_settings queue;           ///< Order of jobs.
    admission_settings admission;       ///< Limits of admission.
    retry_settings retry;               ///< Limits of retries.
    health_settings health;             ///< Judgement on runners.
    team_quota_settings quota;          ///< Limits of quotas.
    std::size_t ring_records = 262'144; ///< Decisions kept for `why`.
};

/// Counters of a coordinator.
struct coordinator_stats
{
    std::uint64_t admitted = 0;       ///< Jobs taken.
    std::uint64_t joined = 0;         ///< Resubmissions of a known job.
    std::uint64_t completed = 0;      ///< Jobs answered whole.
    std::uint64_t failed = 0;         ///< Jobs marked failed.
    std::uint64_t refused = 0;        ///< Jobs refused.
    std::uint64_t tasks_admitted = 0; ///< Tasks of jobs taken.
    std::uint64_t sent = 0;           ///< Starts sent.
    std::uint64_t retried = 0;        ///< Of them, not the first of a task.
    std::uint64_t late_ends = 0;      ///< Ends nobody waited for any more.
};

/// One row of `show jobs`.
struct job_row
{
    std::string id;          ///< The submission.
    std::string team;        ///< Whose it is.
    std::string state;       ///< running, complete or failed.
    std::size_t tasks = 0;   ///< All tasks.
    std::size_t done = 0;    ///< Tasks that ended.
    std::size_t waiting = 0; ///< Tasks not yet sent.
    duration age{};          ///< Since it was taken.
};

/// Coordinates the jobs that one entry shard accepted: admits, queues, places,
/// collects and answers. Only it starts their tasks, and it sends a task a
/// second time only after the first agent said `not_run` (or, for a request
/// marked repeatable, when it may have run). One thread; no I/O of its own.
class coordinator final
{
public:
    /// Called once with the answer to a request.
    using answer_handler = std::function<void(const job_answer&)>;

    /// @param clock The entry's clock; outlives the coordinator.
    /// @param sender Sends starts; outlives the coordinator.
    /// @param incarnation Random number of this start of the entry.
    /// @param settings Limits.
    /// @param seed Of all random choices.
    coordinator(const clock_source& clock, start_sender& sender,
                std::uint64_t incarnation, const coordinator_settings& settings,
                std::uint64_t seed);
    ~coordinator();

    /// @return A fresh submission id of this shard.
    submission_id issue_id();

    /// Runs a job, or joins it, or answers from memory.
    /// @param sequence The submission, of this shard.
    /// @param request The checked job.
    /// @param trace Its place in a trace, if it is in one.
    /// @param done Called with the answer, perhaps at once.
    void submit(std::uint64_t sequence, job_request request,
                std::optional<trace_context> trace, answer_handler done);

    /// @param sequence The submission, of this shard.
    /// @return The answer to a question about it.
    job_answer lookup(std::uint64_t sequence);

    /// Cancels what has not started of a job.
    /// @param sequence The submission, of this shard.
    /// @return The tasks that will not start, or the problem.
    api_result<std::size_t> cancel(std::uint64_t sequence);

    /// @param runner A runner whose link came up; a new index extends the
    /// table by one.
    /// @param own_hall Whether it stands in the entry's hall.
    /// @param report Its load.
    void link_up(runner_index runner, bool own_hall, const load_report& report);

    /// @param runner A runner whose link went down. Tasks there end one by one
    /// through task_ended.
    void link_down(runner_index runner);

    /// @param runner A runner.
    /// @param report Its load as just reported.
    void report_load(runner_index runner, const load_report& report);

    /// @param runner Where a task was.
    /// @param end How it ended.
    void task_ended(runner_index runner, task_end end);

    /// @param runner A runner.
    /// @param on Whether it gets no new work, whatever its agent says.
    /// @param why The cause, for the decision log.
    void set_drained(runner_index runner, bool on, reason why);

    /// Places what can be placed; called after a batch of events.
    void dispatch();

    /// Does what is due: deadlines, backoffs, acknowledgements, old answers.
    void tick();

    /// @return When tick() has something to do, or nothing.
    std::optional<instant> next_wake() const;

    /// Refuses new jobs as stopping; jobs in flight go on.
    void stop_accepting() { stopping_ = true; }

    /// @return Whether no job is in flight.
    bool idle() const { return open_jobs_ == 0; }

    /// @return Whether an agent said that this incarnation was adopted.
    bool fenced() const { return fenced_; }

    /// @param settings New limits; hall, entry and shard stay.
    void apply(const coordinator_settings& settings);

    /// @return The limits in force.
    const coordinator_settings& settings() const { return settings_; }

    /// @return Quotas and demand of teams.
    team_quota& quota() { return quota_; }

    /// @param team A team.
    /// @param weight Its share of the queue against other teams.
    void set_weight(const std::string& team, double weight);

    /// @return The decisions made here.
    decision_ring& ring() { return ring_; }

    /// @param exporter Where spans go, or null.
    void set_span_exporter(span_exporter* exporter) { spans_ = exporter; }

    /// @return What is known of the runners.
    const std::vector<runner_view>& runners() const { return views_; }

    /// @return Counters.
    const coordinator_stats& stats() const { return stats_; }

    /// @param most Rows at most.
    /// @return Jobs, those in flight first.
    std::vector<job_row> job_rows(std::size_t max_rows) const;

    /// One kept answer.
    struct kept_answer
    {
        std::uint64_t sequence = 0;  ///< The submission.
        std::uint64_t body_hash = 0; ///< Of its body.
        job_answer answer;           ///< What its caller was told.
    };

    /// @return The answers of all jobs that have ended.
    std::vector<kept_answer> kept_answers() const;

    /// @return Tasks that wait here.
    std::size_t queued_tasks() const
    {
        return short_queue_.tasks() + long_queue_.tasks();
    }

    /// @return Jobs kept, in flight or ended.
    std::size_t jobs() const { return jobs_.size(); }

    /// @return Bytes of kept answers.
    std::size_t kept_bytes() const { return kept_bytes_; }

    /// @param page Gets the metrics of this shard.
    void collect(metric_page& page) const;

    /// @param sequence A submission.
    /// @return Its id as callers see it.
    std::string id_text(std::uint64_t sequence) const;

private:
    struct task;
    struct job;

    /// A task that waits out a backoff.
    struct delayed_task
    {
        instant due{}; ///< When it goes back to the queue.
        task_key key;  ///< Which it is.

        auto operator<=>(const delayed_task&) const = default;
    };

    /// Results that agents may forget after a while.
    struct pending_ack
    {
        instant due{};           ///< When.
        runner_index runner = 0; ///< Where they are.
        task_key key;            ///< Which.
    };

    void refuse(std::uint64_t sequence, const api_problem& problem,
                const answer_handler& done);
    void join_job(job& known, const job_request& request, answer_handler done);
    std::optional<api_problem> check_admission(const job_request& request,
                                               instant now);
    void admit_job(std::uint64_t sequence, job_request request,
                   std::optional<trace_context> trace, answer_handler done);
    queued_job queue_entry(const job& current_job, std::size_t tasks) const;
    job_queue& queue_of(const job& current_job);
    job* next_job(bool& only_short);
    bool place_next_task(job& current_job, bool& blocked_long);
    void send_task(job& current_job, std::uint32_t number, runner_index runner,
                   reason why, instant now);
    double rank_of(const job& current_job, instant now) const;
    void send_outbox();
    void handle_task_end(job& current_job, runner_index runner, task_end end);
    void retry_or_fail(job& current_job, runner_index runner,
                       const task_end& end);
    void complete_job(job& current_job);
    void fail_job(job& current_job, reason why);
    void finish_job(job& current_job, job_answer answer, decision_kind kind,
                    verdict what);
    void acknowledge_later(runner_index runner, const task_key& key);
    void record_health(runner_index runner, const task_end& end,
                       double expected);
    void note_length(job& current_job, const task_end& end);
    double expected_seconds(const std::string& team, double requested) const;
    void handle_fencing();
    void send_due_acks(instant now);
    void drop_expired(instant now);
    void log(decision_kind kind, std::uint64_t sequence, std::uint32_t task,
             runner_index runner, reason why, verdict what,
             duration length = {});
    void trace_hop(const job& current_job, std::string_view name,
                   const task_key& key, std::int64_t begin,
                   const trace_context& context, const std::string& parent);

    const clock_source& clock_;            ///< The entry's clock.
    start_sender& sender_;                 ///< Sends starts.
    std::uint64_t incarnation_;            ///< This start of the entry.
    coordinator_settings settings_;        ///< Limits in force.
    random_engine random_;                 ///< Of all choices.
    sequence_generator sequences_;         ///< Sequence numbers.
    std::unique_ptr<placement> placement_; ///< Chooses runners.
    job_queue short_queue_;                ///< Jobs of short tasks.
    job_queue long_queue_;                 ///< Jobs of long tasks.
    retry_budget retries_;                 ///< Budget of each team.
    health_monitor health_;                ///< Judges runners.
    occupancy_estimate occupancy_;         ///< Tasks of other entries.
    team_quota quota_;                     ///< Limits of each team.
    decision_ring ring_;                   ///< For `why`.
    span_exporter* spans_ = nullptr;       ///< May be null.

    std::unordered_map<std::uint64_t, std::unique_ptr<job>> jobs_; ///< All.
    std::map<std::uint64_t, std::uint64_t> ended_jobs_;     ///< For expiry.
    std::size_t open_jobs_ = 0;                             ///< In flight.
    std::size_t kept_bytes_ = 0;                            ///< Of answers.
    std::set<std::pair<instant, std::uint64_t>> deadlines_; ///< Of open jobs.
    std::set<delayed_task> delayed_;       ///< Waiting out a backoff.
    std::deque<pending_ack> pending_acks_; ///< Oldest first.
    std::map<std::string, double> mean_task_seconds_; ///< Mean length by team.
    std::vector<runner_view> views_;                  ///< By index.
    std::vector<bool> drained_; ///< By index, by order or list.
    std::vector<std::int32_t>
        linked_shards_; ///< By index, shards linked to it.
    std::map<runner_index, std::vector<outgoing_start>> outbox_; ///< To send.
    bool stopping_ = false;         ///< No new jobs.
    bool fenced_ = false;           ///< Another entry adopted us.
    coordinator_stats stats_;       ///< Counters.
    latency_summary job_seconds_;   ///< From admission to answer.
    latency_summary queue_seconds_; ///< From admission to send, per task.
    latency_summary link_seconds_;  ///< Message time there and back.
};

} // namespace glenhollow

#endif
