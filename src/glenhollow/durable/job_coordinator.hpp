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

/// How a call for a job ended.
enum class job_outcome : std::uint8_t
{
    done,      ///< As asked; the state is that of the job.
    missing,   ///< There is no such job.
    refused,   ///< Not taken and will never run; come back later.
    not_owner, ///< Another entry has the part; nothing was done.
    unknown    ///< It may have been done.
};

template <>
struct name_table<job_outcome>
{
    static constexpr std::array<std::string_view, 5> names{
        "done", "missing", "refused", "not_owner", "unknown"};
};

/// The answer to a call for a job.
struct job_reply
{
    job_outcome outcome = job_outcome::unknown; ///< What happened.
    job_state state = job_state::queued;        ///< Of the job, when done.
    duration retry_after{};                     ///< When refused.
};

/// Told the answer to a call for a job.
using job_reply_handler = std::function<void(const job_reply&)>;

/// Limits of a part's jobs.
struct job_coordinator_settings
{
    std::string entry;                           ///< Name of this entry.
    std::size_t parts = 3;                       ///< Of the journal.
    duration ended_retention = seconds{130};     ///< Ended jobs are remembered.
    duration agent_timeout = milliseconds{3400}; ///< Until a silent agent's
                                                 ///< runs have surely ended.
    duration state_query_delay =
        milliseconds{25};   ///< A question about a job that
                            ///< has begun waits so long.
    double begin_by = 0.45; ///< Share of its caller's patience by which a job
                            ///< in memory that will be late must have begun,
                            ///< or its caller is told to come back.
    double max_wait_share = 2.2; ///< Refuse when the wait alone takes
                                 ///< this share of the objective.
    duration warm_up{}; ///< So long after its start a process may not know yet
                        ///< of backend servers that live on: jobs in memory
                        ///< wait for them instead of being refused.
    journal_chain_settings chain; ///< Limits of the journal.
};

/// A job in memory that is sent again soon after its end is not run anew.
inline constexpr duration memory_ended_retention = seconds{10};

/// An agent's lease for jobs in memory, its time to notice, the longest hold
/// of its runner and some slack.
inline constexpr duration memory_agent_timeout = milliseconds{2000};

/// @param settings Limits of jobs.
/// @return The same for jobs in memory.
inline job_coordinator_settings
memory_job_settings(job_coordinator_settings settings)
{
    settings.ended_retention = memory_ended_retention;
    settings.agent_timeout = memory_agent_timeout;
    return settings;
}

/// Counters of a part's jobs.
struct job_coordinator_stats
{
    std::uint64_t accepted = 0;       ///< Jobs taken.
    std::uint64_t repeated = 0;       ///< Submissions of a known job.
    std::uint64_t refused = 0;        ///< Jobs not taken.
    std::uint64_t succeeded = 0;      ///< Jobs ended well.
    std::uint64_t failed = 0;         ///< Jobs that used up an attempt limit.
    std::uint64_t cancelled = 0;      ///< Jobs cancelled.
    std::uint64_t restarted = 0;      ///< Tasks placed again.
    std::uint64_t late = 0;           ///< Jobs ended after their objective.
    std::uint64_t given_up = 0;       ///< Jobs in memory past any worth.
    std::uint64_t early = 0;          ///< Jobs taken before a backend server
                                      ///< was known.
    std::uint64_t withdrawn = 0;      ///< Jobs in memory whose caller left.
    std::uint64_t orders_lost = 0;    ///< Out when their agent was lost.
    std::uint64_t orders_settled = 0; ///< Of these, surely not begun.
};

/// The jobs of one part at its owner, or those that an entry keeps in memory
/// alone: accepts, journals, hands out tasks, takes their ends, answers for
/// their state. One thread.
class job_coordinator final
{
public:
    using wall_clock = std::function<std::int64_t()>;

    /// What a part needs of its entry; all outlive the part.
    struct dependencies
    {
        const clock_source& clock;   ///< This entry's.
        wall_clock wall_ms;          ///< Ms since 1970.
        row_store& store;            ///< Where rows lie.
        dispatcher& task_dispatcher; ///< Places tasks.
        journal_chain::delay later;  ///< Runs delayed work.
    };

    /// @param around What it needs.
    /// @param part Which part.
    /// @param head The claim as it was written.
    /// @param loaded What the journal holds.
    /// @param awaited Agents that may run something of it.
    /// @param settings Limits.
    /// @param on_lost Told when another entry has taken the part.
    job_coordinator(dependencies dependencies, part_number part,
                    const chain_head& head, loaded_part loaded,
                    std::set<std::string> unreported_agents,
                    const job_coordinator_settings& settings,
                    std::function<void()> on_lost);

    /// For jobs in memory.
    /// @param around What it needs.
    /// @param settings Limits.
    job_coordinator(dependencies dependencies,
                    const job_coordinator_settings& settings);
    ~job_coordinator();

    /// @return The part and the epoch of this ownership.
    part_epoch epoch() const { return {part_, epoch_}; }

    /// @param job Checked. Accepted once it is in the journal; one in memory
    /// at once, and its end is its answer.
    /// @param done Told the end.
    void submit(const job_definition& job, job_reply_handler done);

    /// @param id A job to cancel.
    /// @param done Told the end.
    void cancel(job_id id, job_reply_handler done);

    /// @param id A job.
    /// @param done Told its state.
    void state(job_id id, job_reply_handler done);

    /// @param agent An agent that has adopted the part.
    /// @param account What it knows of the part.
    void reconcile_agent(const std::string& agent,
                         const lease_account& account);

    /// @param agent Nothing that was started there runs any more.
    void on_agent_lost(const std::string& agent);

    /// @param agent Where a run ended.
    /// @param end How.
    void ended(const std::string& agent, const run_end& end);

    /// @param run Has begun.
    void began(const run_ref& run);

    /// @param task A place was found for it.
    /// @param agent Where.
    /// @return The order, or nothing when it need not run any more.
    std::optional<run_order> assign(const ready_task& task,
                                    const std::string& agent);

    /// Does what is due: forgets old ends, stops waiting for agents.
    void tick();

    /// @param id A job in memory whose caller has gone.
    void withdraw(job_id id);

    /// Makes the journal find out whether the part is still ours.
    void verify_ownership() { chain_->append({}); }

    /// Takes no more new jobs.
    void refuse_new() { refusing_ = true; }

    /// Answers for all jobs in memory at once: the process ends.
    void give_up_all();

    /// Gives the part up.
    void abandon();

    /// @param id A job.
    /// @return Whether it is open here, or its end is remembered.
    bool knows(job_id id) const
    {
        return jobs_.contains(id) || ended_.contains(id);
    }

    /// @return Whether the journal has nothing to write.
    bool flushed() const { return chain_->idle(); }

    /// @return Whether the store has failed the last write.
    bool troubled() const { return chain_->troubled(); }

    /// @return Jobs none of whose tasks has begun, by queue.
    std::map<std::string, std::uint32_t> pending() const;

    /// @return Jobs that have not ended.
    std::size_t open_jobs() const { return jobs_.size(); }

    /// @return Counters.
    const job_coordinator_stats& stats() const { return stats_; }

    /// @return Counters of the journal.
    journal_chain_stats journal_stats() const
    {
        return chain_ ? chain_->stats() : journal_chain_stats{};
    }

private:
    /// Where a task stands.
    enum class task_phase : std::uint8_t
    {
        blocked, ///< A step before it is not done, or an agent is awaited.
        ready,   ///< Waits for a place.
        placed,  ///< At an agent.
        done     ///< Ended well.
    };

    /// Why a job is not taken.
    struct refusal
    {
        reason cause = reason::none; ///< The cause.
        duration wait{};             ///< When to come back.
    };

    /// One task.
    struct task_record
    {
        task_phase phase = task_phase::blocked; ///< Where it stands.
        std::uint32_t run = 0;                  ///< Latest run's number.
        std::uint32_t failures = 0;             ///< Runs that failed.
        std::string agent; ///< Where it is placed, or failed last.
    };

    /// An order that was out when its agent was lost.
    struct lost_order
    {
        run_ref run;       ///< Which run.
        std::string agent; ///< Can still tell of it; empty: nobody can.
    };

    /// One job that has not ended.
    struct job_record
    {
        job_definition job;                  ///< As accepted.
        std::vector<task_record> tasks;      ///< Flat, step after step.
        job_progress progress;               ///< As journalled or on its way.
        std::size_t done = 0;                ///< Tasks that are done.
        bool started = false;                ///< A task has begun.
        std::vector<lost_order> lost_orders; ///< Nothing was heard of them.
        bool early = false;                  ///< Came before a backend server
                                             ///< was known.
        bool accepted = false;               ///< Its row is durable.
        bool accepted_here = true;           ///< Accepted by this owner.
        instant give_up{};                   ///< Of one in memory.
        instant begin_by{}; ///< It is given up then if it has surely not run.
        instant next_review_at{}; ///< When it is looked at next.
        std::optional<job_state> pending_end_state; ///< Its end is on its way.
        std::vector<job_reply_handler>
            acceptance_waiters;                     ///< Wait for its row.
        std::vector<job_reply_handler> end_waiters; ///< Wait for its end.
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
    bool warming_up() const;
    void accept_in_memory(const job_definition& job, job_reply_handler done);
    instant latest_start(const job_record& record) const;
    void process_due_reviews();
    void give_up(job_record& record);
    void reschedule_review(job_record& record, instant at);
    void arm_review_timer();
    static bool may_have_run(const job_record& record);
    void drop(job_record& record);
    void erase(job_map::iterator job);
    void write(journal_entry entry);
    std::uint32_t first_run() const;
    void accepted(job_id id, journal_verdict verdict);
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
                     std::function<void(journal_verdict)> on_written);
    void finish(job_id id, job_state state, journal_verdict verdict);
    void stop_runs(job_record& record);
    void remember_ended(job_id id, const ended_job& end);
    void restore(loaded_part loaded);
    job_outcome absent_outcome(job_id id) const;
    void on_all_agents_reported();
    void expire_ended_jobs();
    row_key key(std::string_view table, job_id id) const;

    dependencies dependencies_;                   ///< Of the entry.
    part_number part_;                            ///< Which part.
    std::uint32_t epoch_;                         ///< Of this ownership.
    job_coordinator_settings settings_;           ///< Limits.
    std::unique_ptr<journal_chain> chain_;        ///< Its journal.
    job_map jobs_;                                ///< Not ended.
    std::unordered_map<job_id, ended_job> ended_; ///< Ended.
    std::deque<std::pair<std::int64_t, job_id>> ended_order_; ///< By time.
    std::set<job_id> unreadable_;                  ///< See loaded_part.
    std::set<std::pair<instant, job_id>> reviews_; ///< Open jobs in memory.
    std::optional<instant> armed_review_;     ///< A timer will look at them.
    std::set<std::string> unreported_agents_; ///< Agents not heard yet.
    bool refusing_ = false;                   ///< Takes no more new jobs.
    instant claimed_;                         ///< When the part was taken.
    job_coordinator_stats stats_;             ///< Counters.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Guard.
};

} // namespace glenhollow

#endif
