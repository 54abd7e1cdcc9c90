#ifndef GLENHOLLOW_AGENT_TASK_EXECUTOR_HPP
#define GLENHOLLOW_AGENT_TASK_EXECUTOR_HPP

#include "glenhollow/agent/runner_client.hpp"
#include "glenhollow/agent/start_table.hpp"
#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/submission_id.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace glenhollow
{

/// Limits of the work an agent takes.
struct task_executor_settings
{
    std::size_t slots = 8;       ///< Tasks at the runner at once.
    std::size_t max_queued = 64; ///< Accepted tasks that wait for a slot.
    double aging_rate = 0.25;    ///< Rank that a second of waiting is worth.
    std::size_t unreachable_threshold = 2; ///< Refused connections in a row.
    start_table_settings table;            ///< Limits of the memory of starts.
};

/// A start as it came over a link.
struct task_start
{
    std::uint64_t incarnation = 0; ///< Entry incarnation that sends it.
    task_key key;                  ///< Which task.
    std::string name;              ///< `<submission>/<n>` for the runner.
    instant begin_by{};            ///< Latest begin, on this agent's clock.
    std::string team;              ///< Whose it is.
    std::string traceparent;       ///< W3C trace context, may be empty.
    std::string payload;           ///< JSON text.
    job_info job;                  ///< Of the job it belongs to.
    double rank = 0;               ///< Smaller goes first, s of work left.
};

/// How busy an agent is.
struct executor_load
{
    std::size_t slots = 0;    ///< Tasks it can run at once.
    std::size_t running = 0;  ///< Tasks at the runner.
    std::size_t queued = 0;   ///< Tasks that wait for a slot.
    bool draining = false;    ///< It refuses new starts.
    bool unreachable = false; ///< Its runner takes no connections.
};

/// Who can want an agent to drain.
enum class drain_cause : std::uint8_t
{
    stopping,        ///< The process was told to stop.
    vm_leaving,      ///< The platform's list says the VM is leaving.
    operator_request ///< An operator drained the runner.
};

/// Counters of an executor.
struct task_executor_stats
{
    std::uint64_t started = 0; ///< Calls to the runner.
    std::uint64_t ran = 0;     ///< Tasks that ran to their end.
    std::uint64_t not_run = 0; ///< Refusals after acceptance or before.
    std::uint64_t unknown = 0; ///< Ends of which nobody can say.
    double busy_seconds = 0;   ///< Sum of the time at the runner.
};

/// Runs accepted tasks on the slots of one runner. Checks fence, drain and
/// begin time right before each call. One thread; no I/O of its own.
class task_executor final
{
public:
    /// Called once with the end of a task; the record may be dropped after.
    using handler = std::function<void(const start_record&)>;

    /// @param clock The agent's clock; outlives the executor.
    /// @param runner Calls the runner; outlives the executor.
    /// @param settings Limits.
    task_executor(const clock_source& clock, runner_client& runner,
                  const task_executor_settings& settings);

    /// Takes a start; a repeat of a known one joins it or gets its end.
    /// @param start What to run.
    /// @param done Called with its end, perhaps at once.
    void start(task_start start, handler done);

    /// Refuses new starts and those that still wait for a slot, as long as
    /// anyone wants it.
    /// @param who Who wants it, or no longer does.
    /// @param on Whether to refuse.
    void drain(drain_cause cause, bool on);

    /// Refuses all that an entry incarnation sends or has waiting.
    /// @param incarnation The incarnation that is adopted.
    void fence(std::uint64_t incarnation);

    /// Changes the number of slots.
    /// @param slots Tasks at the runner at once, 1 or more.
    void set_slots(std::size_t slots);

    /// Drops old records and asks after a runner that took no connections.
    void tick();

    /// @return How busy it is.
    executor_load load() const;

    /// @return The memory of starts.
    start_table& table() { return table_; }

    /// @return Whether nothing runs and nothing waits.
    bool idle() const { return running_ == 0 && queue_.empty(); }

    /// @return Counters.
    const task_executor_stats& stats() const { return stats_; }

private:
    /// An accepted start that waits for a slot.
    struct queued_start
    {
        task_start start;    ///< What to run.
        instant queued_at{}; ///< When it was accepted.
    };

    /// Names a task of any entry.
    struct entry_task_key
    {
        std::uint64_t incarnation = 0; ///< Whose it is.
        task_key key;                  ///< Which it is.

        bool operator==(const entry_task_key&) const = default;
    };

    /// Hashes a global key.
    struct entry_task_key_hash
    {
        std::size_t operator()(const entry_task_key& key) const
        {
            return task_key_hash{}(key.key) ^ key.incarnation;
        }
    };

    void run_queued();
    void run(queued_start next);
    void on_task_ended(const entry_task_key& key, instant started_at,
                       std::uint32_t wait_micros, runner_response response);
    void refuse_queued(const entry_task_key& key, reason why);
    void finish_task(const entry_task_key& key, start_record record);
    void record_outcome(const outcome_of_task& end);

    const clock_source& clock_;                 ///< The agent's clock.
    runner_client& runner_;                     ///< Calls the runner.
    task_executor_settings settings_;           ///< Limits.
    start_table table_;                         ///< The memory of starts.
    std::multimap<double, queued_start> queue_; ///< By rank and age.
    std::unordered_map<entry_task_key, std::vector<handler>,
                       entry_task_key_hash>
        result_handlers_;                     ///< Whom to tell of each end.
    std::set<drain_cause> drain_causes_;      ///< Who wants it to drain.
    std::size_t running_ = 0;                 ///< Tasks at the runner.
    std::size_t consecutive_unreachable_ = 0; ///< Refused connections in a row.
    bool probing_ = false;                    ///< A probe is under way.
    task_executor_stats stats_;               ///< Counters.
};

} // namespace glenhollow

#endif
