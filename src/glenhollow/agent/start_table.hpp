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

/// Limits of the memory of starts.
struct start_table_settings
{
    std::size_t max_bytes = 32UL << 20; ///< Records and their results.
    duration record_retention =
        seconds{300}; ///< Longer than any id is good for.
};

/// What an adopter needs to know of the job that a task belongs to.
struct job_info
{
    std::uint64_t body_hash = 0; ///< Of the job's body.
    std::uint32_t tasks = 0;     ///< Tasks of the job.
};

/// What an agent knows of one task.
struct start_record
{
    /// How far the task got.
    enum class stage : std::uint8_t
    {
        queued,  ///< Accepted, waits for a slot.
        running, ///< Handed to the runner.
        done     ///< Ended or refused; it never starts again.
    };

    stage at = stage::queued;      ///< How far it got.
    outcome_of_task end;           ///< Valid when done.
    std::string body;              ///< The result, JSON text.
    instant recorded_at{};         ///< When it was accepted.
    std::uint32_t wait_micros = 0; ///< Time in the agent's queue.
    std::uint32_t run_micros = 0;  ///< Time at the runner.
    job_info job;                  ///< Of the job it belongs to.
};

/// What to do with a start that has come in.
struct start_decision
{
    /// The kinds of answer.
    enum class action : std::uint8_t
    {
        accept, ///< It is new: queue it.
        join,   ///< It runs or waits already: answer when that ends.
        replay, ///< It has ended: answer with the kept end.
        refuse  ///< It will not run here.
    };

    action chosen_action = action::refuse; ///< What to do.
    reason why = reason::none;             ///< Why it is refused.
};

/// Counters of a start table.
struct start_table_stats
{
    std::uint64_t accepted = 0; ///< New starts.
    std::uint64_t joined = 0;   ///< Repeats of a start in flight.
    std::uint64_t replayed = 0; ///< Repeats of an ended start.
    std::uint64_t refused = 0;  ///< Refused starts.
    std::uint64_t expired = 0;  ///< Records dropped by age.
};

/// The authority on whether a task has started at this agent. It remembers
/// each start and its result until the coordinator acknowledges it, refuses
/// what an adopted entry still sends, and refuses rather than forgets when it
/// is full. No I/O; one thread.
class start_table final
{
public:
    /// @param settings Limits.
    explicit start_table(const start_table_settings& settings)
        : settings_(settings)
    {
    }

    /// Judges a start and, where it is new, records it.
    /// @param incarnation The entry incarnation that sends it.
    /// @param key The task.
    /// @param begin_by Latest time to begin, on this agent's clock.
    /// @param now The time on this agent's clock.
    /// @param job What an adopter needs to know of its job.
    /// @return What to do with it.
    start_decision begin(std::uint64_t incarnation, const task_key& key,
                         instant begin_by, instant now,
                         const job_info& job = {});

    /// Judges a queued task once more, right before the runner is called.
    /// @param incarnation The entry incarnation that sent it.
    /// @param key The task.
    /// @param begin_by Latest time to begin, on this agent's clock.
    /// @param now The time on this agent's clock.
    /// @return reason::none and the task counts as running, or why it must
    /// not run.
    reason check_before_run(std::uint64_t incarnation, const task_key& key,
                            instant begin_by, instant now);

    /// Records the end of a task; it is never started again.
    /// @param incarnation The entry incarnation that sent it.
    /// @param key The task.
    /// @param record Its end, body and times.
    void finish(std::uint64_t incarnation, const task_key& key,
                start_record record);

    /// @param incarnation The entry incarnation that sent it.
    /// @param key The task.
    /// @return What is known of it, or null.
    const start_record* find(std::uint64_t incarnation,
                             const task_key& key) const;

    /// Drops the record of a result that has arrived.
    /// @param incarnation The entry incarnation that sent it.
    /// @param key The task.
    void acknowledge(std::uint64_t incarnation, const task_key& key);

    /// Refuses all starts of an entry incarnation from now on.
    /// @param incarnation The incarnation that is adopted.
    /// @param now The time on this agent's clock.
    void fence(std::uint64_t incarnation, instant now);

    /// @param incarnation An entry incarnation.
    /// @return Whether its starts are refused.
    bool is_fenced(std::uint64_t incarnation) const;

    /// @param incarnation An entry incarnation.
    /// @return The keys of all its records.
    std::vector<task_key> keys_of(std::uint64_t incarnation) const;

    /// Drops the records that no start can come for any more.
    /// @param now The time on this agent's clock.
    void expire(instant now);

    /// @param on Whether new starts are refused as draining.
    void set_draining(bool on) { draining_ = on; }

    /// @return Whether new starts are refused as draining.
    bool draining() const { return draining_; }

    /// @return Bytes of all records.
    std::size_t bytes() const { return bytes_; }

    /// @return How many records there are.
    std::size_t size() const { return count_; }

    /// @return Counters.
    const start_table_stats& stats() const { return stats_; }

private:
    using records = std::unordered_map<task_key, start_record, task_key_hash>;

    /// When a record was made, to drop it by age.
    struct age_entry
    {
        instant recorded_at{};         ///< When it was made.
        std::uint64_t incarnation = 0; ///< Whose it is.
        task_key key;                  ///< Which it is.
    };

    start_decision refuse(reason why);
    start_record* find_mutable(std::uint64_t incarnation, const task_key& key);
    void erase(std::uint64_t incarnation, const task_key& key);

    start_table_settings settings_;                      ///< Limits.
    std::unordered_map<std::uint64_t, records> records_; ///< By incarnation.
    std::unordered_map<std::uint64_t, instant> fenced_;  ///< Since when.
    std::deque<age_entry> by_age_;                       ///< Oldest first.
    std::size_t bytes_ = 0;                              ///< Of all records.
    std::size_t count_ = 0;                              ///< Of all records.
    bool draining_ = false;                              ///< Refuse new ones.
    start_table_stats stats_;                            ///< Counters.
};

} // namespace glenhollow

#endif
