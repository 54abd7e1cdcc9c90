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

/// A task start to be sent to an agent.
struct outgoing_start
{
    task_key key;
    duration begin_within{};     ///< Time from now; a later start is refused.
    std::string team;            ///< Team of the job.
    std::string traceparent;     ///< W3C trace context; may be empty.
    std::string payload;         ///< JSON text.
    std::uint64_t body_hash = 0; ///< Hash of the job's body.
    std::uint32_t job_tasks = 0; ///< Number of tasks in the job.
    double rank = 0;             ///< Order of waiting tasks; lowest first.
};

/// Sends starts to agents. Implemented by agent_links and by fakes in tests.
class start_sender
{
public:
    virtual ~start_sender() = default;

    /// Sends starts over a link that is up. Each start leads to one call of
    /// coordinator::task_ended, made after this call has returned.
    /// @param runner The target runner.
    /// @param starts One or more tasks.
    virtual void send(runner_index runner,
                      std::vector<outgoing_start> starts) = 0;

    /// Queues acknowledgements of results that the agent may forget; they are
    /// sent with the next message.
    /// @param runner The runner that ran the tasks.
    /// @param keys The tasks.
    virtual void acknowledge(runner_index runner,
                             const std::vector<task_key>& keys) = 0;
};

/// The load that an agent reports with every answer.
struct load_report
{
    std::int32_t slots = 0; ///< Tasks that the agent can run at once.
    std::int32_t busy = 0;  ///< Tasks running or queued at the agent.
    /// Starts sent that the agent had not received.
    std::int32_t in_transit = 0;
    std::int32_t links = 1; ///< Entry shards linked to the agent.
    bool draining = false;  ///< The agent refuses new starts.
    bool shunned = false;   ///< The runner refuses connections.
    duration delay{};       ///< Measured round-trip time.
};

/// The end of a task as reported by its link.
struct task_end
{
    task_key key;
    outcome_of_task end; ///< Verdict and reason.
    std::string body;    ///< JSON text of the result, if the task ran.
    std::uint32_t wait_micros = 0; ///< Time in the agent's queue, us.
    std::uint32_t run_micros = 0;  ///< Time at the runner, us.
};

/// Settings of a coordinator. All can change while it runs, except hall, entry,
/// shard and shards.
struct coordinator_settings
{
    std::string hall = "hall";           ///< Hall of the entry.
    std::string entry = "entry";         ///< Name of the entry.
    std::uint32_t shard = 0;             ///< Index of this shard, from 0.
    std::uint32_t shards = 1;            ///< Number of shards of the entry.
    duration id_lifetime = seconds{120}; ///< Lifetime of a submission id.
    duration ack_delay = seconds{20};    ///< Retention of results at agents.
    duration start_window = seconds{10}; ///< Latest begin after the send.
    double long_task_seconds = 1.0;      ///< Threshold of long tasks, s.
    placement_kind placement_strategy = placement_kind::late_binding;
    placement_settings placement;       ///< Limits of placement.
    job_queue_settings queue;           ///< Order of jobs.
    admission_settings admission;       ///< Limits of admission.
    retry_settings retry;               ///< Limits of retries.
    health_settings health;             ///< Limits of runner health.
    team_quota_settings quota;          ///< Limits of team quotas.
    std::size_t ring_records = 262'144; ///< Decisions kept for `why`.
};

/// Counters of a coordinator.
struct coordinator_stats
{
    std::uint64_t admitted = 0;       ///< Jobs admitted.
    std::uint64_t joined = 0;         ///< Resubmissions of a known job.
    std::uint64_t completed = 0;      ///< Jobs answered complete.
    std::uint64_t failed = 0;         ///< Jobs marked failed.
    std::uint64_t refused = 0;        ///< Jobs refused.
    std::uint64_t tasks_admitted = 0; ///< Tasks of admitted jobs.
    std::uint64_t sent = 0;           ///< Starts sent.
    std::uint64_t retried = 0;        ///< Starts that were retries.
    std::uint64_t late_ends = 0;      ///< Ends of tasks whose job had ended.
};

/// One row of `show jobs`.
struct job_row
{
    std::string id;          ///< Submission id.
    std::string team;        ///< Team of the job.
    std::string state;       ///< running, complete or failed.
    std::size_t tasks = 0;   ///< Number of tasks.
    std::size_t done = 0;    ///< Tasks that have ended.
    std::size_t waiting = 0; ///< Tasks not yet sent.
    duration age{};          ///< Time since admission.
};

/// Coordinates the jobs that one entry shard has admitted: queues their tasks,
/// places them on runners, collects results and answers callers. Only the
/// coordinator starts these tasks. It resends a task only after the agent
/// answered `not_run`, or, for a request marked repeatable, also after
/// `may_have_run`. Single-threaded; does no I/O itself.
class coordinator final
{
public:
    /// Callback that receives the answer to a request once.
    using answer_handler = std::function<void(const job_answer&)>;

    /// @param clock The entry's clock; outlives the coordinator.
    /// @param sender Sends starts; outlives the coordinator.
    /// @param incarnation Random number chosen at each start of the entry.
    /// @param settings Limits and strategies.
    /// @param seed Seed of all random choices.
    coordinator(const clock_source& clock, start_sender& sender,
                std::uint64_t incarnation, const coordinator_settings& settings,
                std::uint64_t seed);
    ~coordinator();

    /// @return A new submission id of this shard.
    submission_id issue_id();

    /// Admits a job, joins a caller to a job in flight, or answers from a kept
    /// answer.
    /// @param sequence Sequence number issued by this shard.
    /// @param request The validated job.
    /// @param trace Trace context of the caller, if any.
    /// @param done Called with the answer, possibly before this returns.
    void submit(std::uint64_t sequence, job_request request,
                std::optional<trace_context> trace, answer_handler done);

    /// @param sequence Sequence number issued by this shard.
    /// @return The state or the answer of the job.
    job_answer lookup(std::uint64_t sequence);

    /// Cancels the tasks of a job that have not been sent, and fails the job.
    /// @param sequence Sequence number issued by this shard.
    /// @return Number of cancelled tasks, or the problem.
    api_result<std::size_t> cancel(std::uint64_t sequence);

    /// Marks a runner as connected.
    /// @param runner The runner; the next unused index extends the table.
    /// @param own_hall Whether the runner is in the entry's hall.
    /// @param report Load of the runner.
    void link_up(runner_index runner, bool own_hall, const load_report& report);

    /// Marks a runner as disconnected. Its tasks end one by one through
    /// task_ended.
    /// @param runner The runner whose link broke.
    void link_down(runner_index runner);

    /// Updates the load of a runner.
    /// @param runner The runner.
    /// @param report The load just received.
    void report_load(runner_index runner, const load_report& report);

    /// Handles the end of a task.
    /// @param runner The runner that the task was sent to.
    /// @param end Verdict, reason and result.
    void task_ended(runner_index runner, task_end end);

    /// Sets whether a runner is drained, regardless of its agent's reports.
    /// @param runner The runner.
    /// @param on Whether the runner gets no new work.
    /// @param why The cause for the decision log.
    void set_drained(runner_index runner, bool on, reason why);

    /// Sends waiting tasks to free runners. Called after a batch of events.
    void dispatch();

    /// Processes what is due: deadlines, backoffs, acknowledgements and expired
    /// answers.
    void tick();

    /// @return The time of the next required tick(), or nothing.
    std::optional<instant> next_wake() const;

    /// Refuses new jobs with the reason stopping; jobs in flight continue.
    void stop_accepting() { stopping_ = true; }

    /// @return Whether no job is in flight.
    bool idle() const { return open_jobs_ == 0; }

    /// @return Whether an agent reported that another entry has adopted this
    /// incarnation.
    bool fenced() const { return fenced_; }

    /// Applies new settings; hall, entry, shard and shards are kept.
    /// @param settings The new settings.
    void apply(const coordinator_settings& settings);

    /// @return The settings in force.
    const coordinator_settings& settings() const { return settings_; }

    /// @return Quotas and demand of the teams.
    team_quota& quota() { return quota_; }

    /// Sets the weight of a team in the queues.
    /// @param team The team.
    /// @param weight Share relative to other teams.
    void set_weight(const std::string& team, double weight);

    /// @return The decision log of this shard.
    decision_ring& ring() { return ring_; }

    /// Sets the receiver of trace spans.
    /// @param exporter The exporter, or null to turn tracing off.
    void set_span_exporter(span_exporter* exporter) { spans_ = exporter; }

    /// @return State of the runners, by index.
    const std::vector<runner_view>& runners() const { return views_; }

    /// @return Counters of jobs and tasks since the start.
    const coordinator_stats& stats() const { return stats_; }

    /// @param max_rows Largest number of rows.
    /// @return Rows of jobs, open jobs first.
    std::vector<job_row> job_rows(std::size_t max_rows) const;

    /// The answer of an ended job.
    struct kept_answer
    {
        std::uint64_t sequence = 0;  ///< Sequence number of the submission.
        std::uint64_t body_hash = 0; ///< Hash of the job's body.
        job_answer answer;           ///< The answer sent to the caller.
    };

    /// @return The answers of all ended jobs.
    std::vector<kept_answer> kept_answers() const;

    /// @return Tasks that wait in the queues.
    std::size_t queued_tasks() const
    {
        return short_queue_.tasks() + long_queue_.tasks();
    }

    /// @return Number of open and ended jobs.
    std::size_t jobs() const { return jobs_.size(); }

    /// @return Size of kept answers, bytes.
    std::size_t kept_bytes() const { return kept_bytes_; }

    /// Adds the metrics of this shard to a page.
    void collect(metric_page& page) const;

    /// @param sequence Sequence number of a submission.
    /// @return The full submission id.
    std::string id_text(std::uint64_t sequence) const;

private:
    struct task;
    struct job;

    /// A task that waits for the end of its backoff.
    struct delayed_task
    {
        instant due{}; ///< Time of the return to the queue.
        task_key key;

        auto operator<=>(const delayed_task&) const = default;
    };

    /// A result to be acknowledged later.
    struct pending_ack
    {
        instant due{};           ///< Time of the acknowledgement.
        runner_index runner = 0; ///< The runner that has the result.
        task_key key;
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
    void record_length(job& current_job, const task_end& end);
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

    const clock_source& clock_;
    start_sender& sender_;
    std::uint64_t incarnation_; ///< Incarnation of the entry.
    coordinator_settings settings_;
    random_engine random_;                 ///< Generator of all random choices.
    sequence_generator sequences_;         ///< Issues sequence numbers.
    std::unique_ptr<placement> placement_; ///< Chooses runners.
    job_queue short_queue_;                ///< Jobs of short tasks.
    job_queue long_queue_;                 ///< Jobs of long tasks.
    retry_budget retries_;                 ///< Retry budgets of teams.
    health_monitor health_;                ///< Health of runners.
    occupancy_estimate occupancy_;         ///< Load by other entries.
    team_quota quota_;                     ///< Quotas of teams.
    decision_ring ring_;                   ///< Decisions kept for `why`.
    span_exporter* spans_ = nullptr;       ///< Null if tracing is off.

    /// Open and ended jobs.
    std::unordered_map<std::uint64_t, std::unique_ptr<job>> jobs_;
    /// Ended jobs by sequence.
    std::map<std::uint64_t, std::uint64_t> ended_jobs_;
    std::size_t open_jobs_ = 0;  ///< Number of open jobs.
    std::size_t kept_bytes_ = 0; ///< Size of kept answers.
    /// Deadlines of open jobs.
    std::set<std::pair<instant, std::uint64_t>> deadlines_;
    std::set<delayed_task> delayed_;       ///< Tasks in backoff.
    std::deque<pending_ack> pending_acks_; ///< Ordered by due time.
    /// Mean task length by team.
    std::map<std::string, double> mean_task_seconds_;
    std::vector<runner_view> views_;          ///< Runners by index.
    std::vector<bool> drained_;               ///< Drain flags, by index.
    std::vector<std::int32_t> linked_shards_; ///< Linked shards, by index.
    /// Starts to send.
    std::map<runner_index, std::vector<outgoing_start>> outbox_;
    bool stopping_ = false; ///< New jobs are refused.
    bool fenced_ = false;   ///< Another entry adopted the jobs.
    coordinator_stats stats_;
    latency_summary job_seconds_;   ///< Admission to answer, s.
    latency_summary queue_seconds_; ///< Admission to send per task, s.
    latency_summary link_seconds_;  ///< Round-trip time of messages, s.
};

} // namespace glenhollow

#endif
