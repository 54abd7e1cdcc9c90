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
    duration keep_ended = seconds{130};          ///< Ended jobs are remembered.
    duration agent_silence = milliseconds{3400}; ///< Until a silent agent's
                                                 ///< runs have surely ended.
    duration near_end = milliseconds{25}; ///< A question about a job that
                                          ///< has begun waits so long.
    double begin_by = 0.45; ///< Share of its caller's patience by which a job
                            ///< in memory that will be late must have begun,
                            ///< or its caller is told to come back.
    double hopeless = 2.2;  ///< Refuse when the wait alone takes
                            ///< this share of the objective.
    duration warm_up{}; ///< So long after its start a process may not know yet
                        ///< of backend servers that live on: jobs in memory
                        ///< wait for them instead of being refused.
    journal_chain_settings chain; ///< Limits of the journal.
};

/// A job in memory that is sent again soon after its end is not run anew.
inline constexpr duration memory_of_ends = seconds{10};

/// An agent's lease for jobs in memory, its time to notice, the longest hold
/// of its runner and some slack.
inline constexpr duration memory_agent_silence = milliseconds{2000};

/// @param settings Limits of jobs.
/// @return The same for jobs in memory.
inline job_coordinator_settings
for_jobs_in_memory(job_coordinator_settings settings)
{
    settings.keep_ended = memory_of_ends;
    settings.agent_silence = memory_agent_silence;
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
        const clock_source& clock;  ///< This entry's.
        wall_clock wall_ms;         ///< Ms since 1970.
        row_store& store;           ///< Where rows lie.
        dispatcher& placing;        ///< Places tasks.
        journal_chain::delay later; ///< Runs delayed work.
    };

    /// @param around What it needs.
    /// @param part Which part.
    /// @param head The claim as it was written.
    /// @param loaded What the journal holds.
    /// @param awaited Agents that may run something of it.
    /// @param settings Limits.
    /// @param on_lost Told when another entry has taken the part.
    job_coordinator(dependencies around, part_number part,
                    const chain_head& head, loaded_part loaded,
                    std::set<std::string> awaited,
                    const job_coordinator_settings& settings,
                    std::function<void()> on_lost);

    /// For jobs in memory.
    /// @param around What it needs.
    /// @param settings Limits.
    job_coordinator(dependencies around,
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
    void account_of(const std::string& agent, const lease_account& account);

    /// @param agent Nothing that was started there runs any more.
    void agent_gone(const std::string& agent);

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
    void verify() { chain_->append({}); }

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
        reason why = reason::none; ///< The cause.
        duration wait{};           ///< When to come back.
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
        job_definition job;             ///< As accepted.
        std::vector<task_record> tasks; ///< Flat, step after step.
        job_progress progress;          ///< As journalled or on its way.
        std::size_t done = 0;           ///< Tasks that are done.
        bool begun = false;             ///< A task has begun.
        std::vector<lost_order> lost;   ///< Nothing was heard of them.
        bool early = false;             ///< Came before a backend server
                                        ///< was known.
        bool accepted = false;          ///< Its row is durable.
        bool fresh = true;              ///< Accepted by this owner.
        instant give_up{};              ///< Of one in memory.
        instant begin_by{};  ///< It is given up then if it has surely not run.
        instant review_at{}; ///< When it is looked at next.
        std::optional<job_state> ending;            ///< Its end is on its way.
        std::vector<job_reply_handler> acceptance;  ///< Wait for its row.
        std::vector<job_reply_handler> end_waiters; ///< Wait for its end.
    };

    using job_map = std::unordered_map<job_id, job_record>;

    std::uint32_t flat_index(const job_definition& job,
                             const task_ref& task) const;
    task_ref ref_of(const job_definition& job, std::uint32_t flat) const;
    const job_step& step_of(const job_definition& job,
                            std::uint32_t flat) const;
    void make_ready(job_record& record);
    static std::vector<bool> steps_done(const job_record& record);
    void enqueue(job_record& record, std::uint32_t flat);
    void tell_state(job_record& record, job_reply_handler done);
    void state_after_wait(job_id id, const job_reply_handler& done);
    std::optional<refusal> refusal_of(const job_definition& job) const;
    bool warming_up() const;
    void accept_in_memory(const job_definition& job, job_reply_handler done);
    instant latest_begin(const job_record& record) const;
    void give_up_late();
    void give_up(job_record& record);
    void review_again(job_record& record, instant at);
    void await_review();
    static bool may_have_run(const job_record& record);
    void drop(job_record& record);
    void erase(job_map::iterator job);
    void write(journal_entry entry);
    std::uint32_t first_run() const;
    void accepted(job_id id, journal_verdict verdict);
    run_order order_of(const job_record& record, std::uint32_t flat,
                       const run_ref& run) const;
    void listed(const std::string& agent, const listed_run& run);
    void requeue_unlisted(const std::string& agent,
                          const lease_account& account);
    void log_lost(const std::string& agent, std::string_view cause,
                  std::uint64_t orders) const;
    void lose_order(job_record& record, std::uint32_t flat);
    void settle_lost(job_record& record, const std::string& agent,
                     const lease_account& account);
    void note_not_begun(job_record& record, const run_ref& run);
    void ended_well(job_record& record, std::uint32_t flat,
                    const std::string& agent, const run_end& end);
    void ended_badly(job_record& record, std::uint32_t flat,
                     const std::string& agent, const run_end& end);
    void place_again(job_record& record, std::uint32_t flat);
    void journal_progress(job_record& record, const std::string& agent,
                          const run_end& end);
    void journal_end(job_record& record, job_state state,
                     std::function<void(journal_verdict)> also);
    void finish(job_id id, job_state state, journal_verdict verdict);
    void stop_runs(job_record& record);
    void remember(job_id id, const job_epitaph& end);
    void take(loaded_part loaded);
    job_outcome not_here(job_id id) const;
    void all_agents_told();
    void forget_old();
    row_key key(std::string_view table, job_id id) const;

    dependencies around_;                           ///< Of the entry.
    part_number part_;                              ///< Which part.
    std::uint32_t epoch_;                           ///< Of this ownership.
    job_coordinator_settings settings_;             ///< Limits.
    std::unique_ptr<journal_chain> chain_;          ///< Its journal.
    job_map jobs_;                                  ///< Not ended.
    std::unordered_map<job_id, job_epitaph> ended_; ///< Ended.
    std::deque<std::pair<std::int64_t, job_id>> ended_order_; ///< By time.
    std::set<job_id> unreadable_;                  ///< See loaded_part.
    std::set<std::pair<instant, job_id>> reviews_; ///< Open jobs in memory.
    std::optional<instant> review_awaited_; ///< A timer will look at them.
    std::set<std::string> awaited_;         ///< Agents not heard yet.
    bool refusing_ = false;                 ///< Takes no more new jobs.
    instant claimed_;                       ///< When the part was taken.
    job_coordinator_stats stats_;           ///< Counters.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Guard.
};

} // namespace glenhollow

#endif
