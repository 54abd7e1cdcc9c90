#ifndef GLENHOLLOW_DURABLE_JOB_COORDINATOR_HPP
#define GLENHOLLOW_DURABLE_JOB_COORDINATOR_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/verdict.hpp"
#include "glenhollow/durable/dispatcher.hpp"
#include "glenhollow/durable/durable_job.hpp"
#include "glenhollow/durable/part_loader.hpp"
#include "glenhollow/journal/journal_chain.hpp"
#include "glenhollow/runs/run_wire.hpp"

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

/// Outcome of a call for a job.
enum class job_outcome : std::uint8_t
{
    done,      ///< The call succeeded; the reply has the job's state.
    missing,   ///< The job does not exist.
    refused,   ///< The job was not accepted and will not run; retry later.
    not_owner, ///< Another entry owns the part; nothing was done.
    unknown    ///< The call may have taken effect.
};

template <>
struct name_table<job_outcome>
{
    static constexpr std::array<std::string_view, 5> names{
        "done", "missing", "refused", "not_owner", "unknown"};
};

/// Reply to a call for a job.
struct job_reply
{
    job_outcome outcome = job_outcome::unknown;
    job_state state = job_state::queued; ///< State of the job, if done.
    duration retry_after{};              ///< Time until a retry, if refused.
};

/// Receives the reply to a call for a job.
using job_reply_handler = std::function<void(const job_reply&)>;

/// Settings of a job_coordinator.
struct job_coordinator_settings
{
    std::string entry;     ///< Name of this entry.
    std::size_t parts = 3; ///< Number of parts of the journal.
    duration ended_retention = seconds{130}; ///< Retention of ended jobs.
    /// Time after which all runs of a silent agent have ended.
    duration agent_timeout = milliseconds{3400};
    /// Delay of the reply to a state query for a running job.
    duration state_query_delay = milliseconds{25};
    double begin_by = 0.45; ///< Share of the time until expiry by which an
                            ///< in-memory job that will miss its objective must
                            ///< have started; otherwise it is refused.
    double max_wait_share = 2.2; ///< Jobs are refused if the queueing
                                 ///< time exceeds this multiple of the time
                                 ///< until their objective.
    duration warm_up{}; ///< Time after the start of the process in which
                        ///< in-memory jobs wait for backend servers to become
                        ///< known instead of being refused.
    /// Limit of the tasks of all open jobs of the entry. A job beyond it is
    /// refused, unless no other is open.
    std::size_t max_open_tasks = 50'000;
    journal_chain_settings chain; ///< Settings of the journal.
};

/// Retention of ended in-memory jobs: a job that is resubmitted within this
/// time is not run again.
inline constexpr duration memory_ended_retention = seconds{10};

/// Time after which no run of an in-memory job is left at a silent agent: the
/// lease, the agent's reaction time and the longest hold of its backend server.
inline constexpr duration memory_agent_timeout = milliseconds{2000};

/// @return The settings with the retention and timeout of in-memory jobs.
inline job_coordinator_settings
memory_job_settings(job_coordinator_settings settings)
{
    settings.ended_retention = memory_ended_retention;
    settings.agent_timeout = memory_agent_timeout;
    return settings;
}

/// Counters of a job_coordinator.
struct job_coordinator_stats
{
    std::uint64_t accepted = 0;  ///< Accepted jobs.
    std::uint64_t repeated = 0;  ///< Repeated submissions of a known job.
    std::uint64_t refused = 0;   ///< Jobs that were not accepted.
    std::uint64_t succeeded = 0; ///< Jobs that succeeded.
    std::uint64_t failed = 0;    ///< Jobs of which a task used up its attempts.
    std::uint64_t cancelled = 0; ///< Cancelled jobs.
    std::uint64_t restarted = 0; ///< Tasks that were started again.
    std::uint64_t late = 0;      ///< Jobs that ended after their objective.
    std::uint64_t given_up = 0;  ///< Abandoned in-memory jobs.
    std::uint64_t early = 0;     ///< Jobs accepted before a backend server
                                 ///< was known.
    std::uint64_t withdrawn = 0; ///< Jobs whose caller disconnected.
    std::uint64_t orders_lost = 0; ///< Orders to agents that were lost.
    /// Lost orders that did not start.
    std::uint64_t orders_settled = 0;
};

/// Manages the jobs of one part of the journal at its owner, or the in-memory
/// jobs of an entry: accepts and journals jobs, queues their tasks, processes
/// the ends of runs and answers state queries. Not thread-safe.
class job_coordinator final
{
public:
    using wall_clock = std::function<std::int64_t()>;

    /// Services of the entry; all must outlive the coordinator.
    struct dependencies
    {
        const clock_source& clock;   ///< Monotonic clock.
        wall_clock wall_ms;          ///< Wall clock, Unix ms.
        row_store& store;            ///< Stores the journal.
        dispatcher& task_dispatcher; ///< Places tasks at agents.
        journal_chain::delay later;  ///< Runs a function after a delay.
        /// Returns whether an agent reports, so that its account will arrive.
        std::function<bool(const std::string&)> is_agent_live =
            [](const std::string&) { return false; };
        /// Returns whether this entry remembers a cancel of the job, and counts
        /// the submission as rejected if so.
        std::function<bool(job_id)> reject_if_cancelled = [](job_id)
        { return false; };
        /// Remembers a cancel of a job that is not known.
        std::function<void(job_id)> remember_cancel = [](job_id) {};
        /// Returns the tasks of all open jobs of the entry; empty: only those
        /// of this coordinator count.
        std::function<std::size_t()> open_tasks{};
    };

    /// Creates the coordinator of a part of the journal.
    /// @param part The part that this entry has claimed.
    /// @param head Head of the journal as written by the claim.
    /// @param loaded Contents of the journal.
    /// @param unreported_agents Agents that may run tasks of the part. Loaded
    /// jobs are not started until all of them have reported or timed out.
    /// @param on_lost Called when another entry has taken the part.
    job_coordinator(dependencies dependencies, part_number part,
                    const chain_head& head, loaded_part loaded,
                    std::set<std::string> unreported_agents,
                    const job_coordinator_settings& settings,
                    std::function<void()> on_lost);

    /// Creates the coordinator of in-memory jobs.
    job_coordinator(dependencies dependencies,
                    const job_coordinator_settings& settings);
    ~job_coordinator();

    /// @return The part and the epoch in which it is owned.
    part_epoch epoch() const { return {part_, epoch_}; }

    /// Submits a job. A journalled job is accepted once its row is durable, an
    /// in-memory job immediately. A journalled job whose cancel has arrived
    /// before it is journalled as cancelled and not run.
    /// @param job A validated job.
    /// @param done Called when a journalled job is accepted or an in-memory
    /// job has ended, or if the job is refused.
    void submit(const job_definition& job, job_reply_handler done);

    /// Sets the entry for which a job host runs a job.
    /// @param id An open job; otherwise nothing happens.
    /// @param submitter The entry; orders from now on need its lease.
    void set_submitter(job_id id, submitter_id submitter);

    /// Cancels a job.
    /// @param done Called when the job has ended.
    void cancel(job_id id, job_reply_handler done);

    /// Queries the state of a job.
    /// @param done Called with the result.
    void state(job_id id, job_reply_handler done);

    /// Reconciles the placed tasks with the report of an agent.
    /// @param agent An agent that has adopted the part.
    /// @param account Runs and ends of the part that the agent lists.
    void reconcile_agent(const std::string& agent,
                         const lease_account& account);

    /// Requeues the tasks placed at a lost agent.
    /// @param agent An agent that no longer runs anything that this
    /// coordinator has started.
    void on_agent_lost(const std::string& agent);

    /// Processes the end of a run.
    /// @param agent Agent that reports the end.
    void ended(const std::string& agent, const run_end& end);

    /// Records that a run has started.
    void began(const run_ref& run);

    /// Assigns a queued task to an agent.
    /// @return The order to start it, or nothing if it need not run any more.
    std::optional<run_order> assign(const ready_task& task,
                                    const std::string& agent);

    /// Runs periodic work: removes old ended jobs, stops waiting for the
    /// accounts of silent agents and abandons expired in-memory jobs.
    void tick();

    /// Abandons an in-memory job whose caller has disconnected.
    void withdraw(job_id id);

    /// Verifies the ownership of the part by a write to the journal.
    void verify_ownership() { chain_->append({}); }

    /// Refuses new jobs from now on.
    void refuse_new() { refusing_ = true; }

    /// Abandons all in-memory jobs and replies to their callers, at shutdown.
    void give_up_all();

    /// Stops writing to the journal because the part is given up.
    void abandon();

    /// @return Whether the job is open, or ended within the retention time.
    bool knows(job_id id) const
    {
        return jobs_.contains(id) || ended_.contains(id);
    }

    /// @return Whether the journal has no pending writes.
    bool flushed() const { return chain_->idle(); }

    /// @return Whether the last write to the store failed.
    bool is_failing() const { return chain_->is_failing(); }

    /// @return Number of jobs that have not started, by queue.
    std::map<std::string, std::uint32_t> pending() const;

    /// @return Number of jobs that have not ended.
    std::size_t open_jobs() const { return jobs_.size(); }

    /// @return Number of tasks of the jobs that have not ended.
    std::size_t open_tasks() const { return open_tasks_; }

    /// @return Counters since construction.
    const job_coordinator_stats& stats() const { return stats_; }

    /// @return Counters of the journal; zero for in-memory jobs.
    journal_chain_stats journal_stats() const
    {
        return chain_ ? chain_->stats() : journal_chain_stats{};
    }

private:
    /// Lifecycle phase of a task.
    enum class task_phase : std::uint8_t
    {
        blocked, ///< Waits for an earlier step or for agent reports.
        ready,   ///< Queued for placement.
        placed,  ///< An order has been sent to an agent.
        done     ///< Succeeded.
    };

    /// Reason for refusing a job.
    struct refusal
    {
        reason cause = reason::none;
        duration wait{}; ///< Time until a retry.
    };

    /// State of one task.
    struct task_record
    {
        task_phase phase = task_phase::blocked;
        std::uint32_t run = 0;      ///< Number of the latest run.
        std::uint32_t failures = 0; ///< Number of failed runs.
        std::string agent; ///< Agent where it is placed, or failed last.
    };

    /// An order whose agent was lost before it reported an end.
    struct lost_order
    {
        run_ref run;
        /// Agent that may still report the run; empty: none.
        std::string agent;
    };

    /// State of a job that has not ended.
    struct job_record
    {
        job_definition job;
        std::vector<task_record> tasks; ///< Tasks of all steps, in order.
        job_progress progress;          ///< Progress, including writes in
                                        ///< flight.
        std::size_t done = 0;           ///< Number of completed tasks.
        bool started = false;           ///< Whether a task has started.
        submitter_id submitter = no_submitter; ///< Whose job a host runs.
        std::vector<lost_order> lost_orders;   ///< Orders with an unknown fate.
        bool early = false;        ///< Whether it was accepted before
                                   ///< a backend server was known.
        bool accepted = false;     ///< Whether its row is durable.
        bool accepted_here = true; ///< Whether this owner accepted it,
                                   ///< as opposed to a previous owner.
        instant expires_at{};      ///< Expiry of an in-memory job.
        instant start_deadline{};  ///< Time at which it is abandoned unless
                                   ///< it may have run.
        instant next_review_at{};  ///< Time of its next review.
        /// Final state that is being journalled.
        std::optional<job_state> pending_end_state;
        /// Called when its row is durable.
        std::vector<job_reply_handler> acceptance_waiters;
        /// Called when it has ended.
        std::vector<job_reply_handler> end_waiters;
    };

    using job_map = std::unordered_map<job_id, job_record>;

    std::uint32_t index_of(const job_definition& job,
                           const task_ref& task) const;
    task_ref ref_of(const job_definition& job, std::uint32_t task_index) const;
    const job_step& step_of(const job_definition& job,
                            std::uint32_t task_index) const;
    void enqueue_ready_tasks(job_record& record);
    static std::vector<bool> steps_done(const job_record& record);
    void enqueue(job_record& record, std::uint32_t task_index);
    void reply_state(job_record& record, job_reply_handler done);
    void reply_state_after_delay(job_id id, const job_reply_handler& done);
    std::optional<refusal> check_admission(const job_definition& job) const;
    bool has_room_for(const job_definition& job) const;
    bool warming_up() const;
    void accept_in_memory(const job_definition& job, job_reply_handler done);
    instant latest_start(const job_record& record) const;
    void process_due_reviews();
    void give_up(job_record& record);
    void reschedule_review(job_record& record, instant at);
    void arm_review_timer();
    static bool may_have_run(const job_record& record);
    void drop(job_record& record);
    job_record& insert(job_record record);
    void erase(job_map::iterator job);
    void write(journal_entry entry);
    std::uint32_t first_run() const;
    void accepted(job_id id, journal_outcome verdict);
    run_order order_of(const job_record& record, std::uint32_t task_index,
                       const run_ref& run) const;
    void reconcile_listed_run(const std::string& agent, const listed_run& run);
    void requeue_unlisted(const std::string& agent,
                          const lease_account& account);
    void log_lost_orders(const std::string& agent, std::string_view cause,
                         std::uint64_t orders) const;
    void handle_lost_order(job_record& record, std::uint32_t task_index);
    void resolve_lost_orders(job_record& record, const std::string& agent,
                             const lease_account& account);
    void on_order_not_begun(job_record& record, const run_ref& run);
    void on_run_succeeded(job_record& record, std::uint32_t task_index,
                          const std::string& agent, const run_end& end);
    void on_run_failed(job_record& record, std::uint32_t task_index,
                       const std::string& agent, const run_end& end);
    void requeue_task(job_record& record, std::uint32_t task_index);
    void journal_progress(job_record& record, const std::string& agent,
                          const run_end& end);
    void journal_end(job_record& record, job_state state,
                     std::function<void(journal_outcome)> on_written);
    void journal_cancelled(const job_definition& job, job_reply_handler done);
    void finish(job_id id, job_state state, journal_outcome verdict);
    void stop_runs(job_record& record);
    void remember_ended(job_id id, const ended_job& end);
    void restore(loaded_part loaded);
    job_outcome absent_outcome(job_id id) const;
    void on_all_agents_reported();
    void drop_silent_agents();
    void expire_ended_jobs();
    row_key key(std::string_view table, job_id id) const;

    dependencies dependencies_; ///< Services of the entry.
    part_number part_;          ///< Part of the journal.
    std::uint32_t epoch_;       ///< Epoch of this ownership.
    job_coordinator_settings settings_;
    /// Journal; null for in-memory jobs.
    std::unique_ptr<journal_chain> chain_;
    job_map jobs_;                                ///< Jobs that have not ended.
    std::size_t open_tasks_ = 0;                  ///< Their tasks.
    std::unordered_map<job_id, ended_job> ended_; ///< Ended jobs.
    /// Sorted by end time.
    std::deque<std::pair<std::int64_t, job_id>> ended_order_;
    std::set<job_id> unreadable_; ///< Jobs with unreadable rows.
    /// Times at which open in-memory jobs are checked.
    std::set<std::pair<instant, job_id>> reviews_;
    std::optional<instant> armed_review_; ///< Time of the pending review timer.
    std::set<std::string> unreported_agents_; ///< See the constructor.
    bool refusing_ = false;                   ///< Whether new jobs are refused.
    instant claimed_;                         ///< Time of the claim.
    job_coordinator_stats stats_;
    /// Cleared on destruction, for pending callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace glenhollow

#endif
