#ifndef GLENHOLLOW_AGENT_START_TABLE_HPP
#define GLENHOLLOW_AGENT_START_TABLE_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/submission_id.hpp"
#include "glenhollow/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace glenhollow
{

/// Limits of a start table.
struct start_table_settings
{
    std::size_t max_bytes = 32UL << 20; ///< Size of all records.
    /// Age at which a record expires; must exceed the lifetime of a submission
    /// id plus the longest deadline.
    duration record_retention = seconds{300};
};

/// Properties of a task's job that another entry needs to adopt the job.
struct job_info
{
    std::uint64_t body_hash = 0; ///< Hash of the job's request body.
    std::uint32_t tasks = 0;     ///< Number of tasks in the job.
};

/// State and outcome of one task.
struct start_record
{
    /// Stages of a task.
    enum class stage : std::uint8_t
    {
        queued,  ///< Accepted, waiting for a slot.
        running, ///< Sent to the backend server.
        done     ///< Ended or refused; never started again.
    };

    stage at = stage::queued;      ///< Current stage.
    outcome_of_task end;           ///< Outcome; valid in stage done.
    std::string body;              ///< Result, JSON text.
    instant recorded_at{};         ///< Time at which it was received.
    std::uint32_t wait_micros = 0; ///< Queueing time in us.
    std::uint32_t run_micros = 0;  ///< Run time at the backend server in us.
    job_info job;                  ///< Job of the task.
};

/// Decision on a received start.
struct start_decision
{
    /// Actions that the caller takes.
    enum class action : std::uint8_t
    {
        accept, ///< New task: queue it.
        join,   ///< Queued or running: reply when it ends.
        replay, ///< Ended: reply with the stored outcome.
        refuse  ///< Reply that the task does not run.
    };

    action chosen_action = action::refuse; ///< Action to take.
    reason why = reason::none;             ///< Reason of a refusal.
};

/// Counters of a start table.
struct start_table_stats
{
    std::uint64_t accepted = 0; ///< Starts of new tasks.
    std::uint64_t joined = 0;   ///< Duplicates of an unfinished start.
    std::uint64_t replayed = 0; ///< Duplicates of an ended start.
    std::uint64_t refused = 0;  ///< Refused starts.
    std::uint64_t expired = 0;  ///< Records that reached the maximum age.
};

/// Records the starts that an agent has received, so that no task runs twice.
/// A record is kept until the entry acknowledges its result or the record
/// expires. A full table refuses new starts instead of evicting records. Starts
/// of a fenced entry incarnation are refused.
///
/// A task is identified by the entry incarnation that sent it and its key
/// within that incarnation. All times are on the agent's clock. Performs no
/// I/O; not thread-safe.
class start_table final
{
public:
    explicit start_table(const start_table_settings& settings)
        : settings_(settings)
    {
    }

    /// Decides on a received start and records it if the task is new. A new
    /// task is refused after begin_by.
    start_decision begin(std::uint64_t incarnation, const task_key& key,
                         instant begin_by, instant now,
                         const job_info& job = {});

    /// Checks again, right before the call to the backend server, whether a
    /// queued task may run, and marks it as running if it may.
    /// @return reason::none, or the reason for which it must not run.
    reason check_before_run(std::uint64_t incarnation, const task_key& key,
                            instant begin_by, instant now);

    /// Stores outcome, result and times of a task, which is then never started
    /// again.
    void finish(std::uint64_t incarnation, const task_key& key,
                start_record record);

    /// @return The task's record, or null if there is none.
    const start_record* find(std::uint64_t incarnation,
                             const task_key& key) const;

    /// Erases the record of a task whose result the entry has received.
    /// Ignores tasks that have not ended.
    void acknowledge(std::uint64_t incarnation, const task_key& key);

    /// Refuses all further starts of an entry incarnation, as another entry
    /// adopts its jobs. The fence expires as records do.
    void fence(std::uint64_t incarnation, instant now);

    /// @return Whether starts of an entry incarnation are refused.
    bool is_fenced(std::uint64_t incarnation) const;

    /// @return Keys of all recorded tasks of an entry incarnation.
    std::vector<task_key> keys_of(std::uint64_t incarnation) const;

    /// Erases the records and fences that have reached the maximum age, except
    /// those of unfinished tasks.
    void expire(instant now);

    /// Sets whether new starts are refused as draining.
    void set_draining(bool on) { draining_ = on; }

    /// @return Whether new starts are refused as draining.
    bool draining() const { return draining_; }

    /// @return Estimated size of all records in bytes.
    std::size_t bytes() const { return bytes_; }

    /// @return Number of records.
    std::size_t size() const { return count_; }

    const start_table_stats& stats() const { return stats_; }

private:
    using records = std::unordered_map<task_key, start_record, task_key_hash>;

    /// Creation time of a record, used to expire it.
    struct age_entry
    {
        instant recorded_at{};
        std::uint64_t incarnation = 0; ///< Entry incarnation of the task.
        task_key key;
    };

    start_decision refuse(reason why);
    start_record* find_mutable(std::uint64_t incarnation, const task_key& key);
    void erase(std::uint64_t incarnation, const task_key& key);

    start_table_settings settings_;
    /// Records by entry incarnation.
    std::unordered_map<std::uint64_t, records> records_;
    /// Fence times by entry incarnation.
    std::unordered_map<std::uint64_t, instant> fenced_;
    std::deque<age_entry> by_age_; ///< Oldest records first.
    std::size_t bytes_ = 0;        ///< Estimated size of all records.
    std::size_t count_ = 0;        ///< Number of records.
    bool draining_ = false;        ///< New starts are refused.
    start_table_stats stats_;
};

} // namespace glenhollow

#endif
