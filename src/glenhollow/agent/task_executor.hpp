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

/// Limits of a task executor.
struct task_executor_settings
{
    std::size_t slots = 8;       ///< Tasks that run concurrently.
    std::size_t max_queued = 64; ///< Accepted tasks that wait for a slot.
    /// Rank that offsets one second of waiting; keeps tasks from starving.
    double aging_rate = 0.25;
    /// Consecutive connection failures after which the backend server counts
    /// as unreachable.
    std::size_t unreachable_threshold = 2;
    start_table_settings table; ///< Limits of the start table.
};

/// A task start as received from an entry.
struct task_start
{
    std::uint64_t incarnation = 0; ///< Entry incarnation that sent it.
    task_key key;                  ///< Task within the incarnation.
    std::string name;              ///< Task name, `<submission>/<n>`.
    instant begin_by{};            ///< Latest start time on the agent's clock.
    std::string team;              ///< Client account that owns the task.
    std::string traceparent;       ///< W3C trace context; may be empty.
    std::string payload;           ///< Input of the task, JSON text.
    job_info job;                  ///< Job of the task.
    double rank = 0; ///< Remaining work in s; lower ranks run first.
};

/// Load of an agent.
struct executor_load
{
    std::size_t slots = 0;    ///< Tasks that can run concurrently.
    std::size_t running = 0;  ///< Tasks at the backend server.
    std::size_t queued = 0;   ///< Tasks waiting for a slot.
    bool draining = false;    ///< New starts are refused.
    bool unreachable = false; ///< The backend server accepts no connections.
};

/// Causes of a drain, which are set and cleared independently.
enum class drain_cause : std::uint8_t
{
    stopping,        ///< The process is shutting down.
    vm_leaving,      ///< The platform reports that the VM is leaving.
    operator_request ///< An operator drained the backend server.
};

/// Counters of a task executor.
struct task_executor_stats
{
    std::uint64_t started = 0; ///< Calls to the backend server.
    std::uint64_t ran = 0;     ///< Tasks with the verdict ran.
    std::uint64_t not_run = 0; ///< Tasks with the verdict not_run.
    std::uint64_t unknown = 0; ///< Tasks with the verdict may_have_run.
    double busy_seconds = 0;   ///< Total run time at the backend server.
};

/// Queues accepted tasks and runs them in the slots of one backend server.
/// Checks fence, drain and latest start time again right before each call.
/// Performs no I/O itself; not thread-safe.
class task_executor final
{
public:
    /// Called once with the outcome of a task. The record is valid during the
    /// call only.
    using handler = std::function<void(const start_record&)>;

    /// The clock and the backend server's client must outlive the executor.
    task_executor(const clock_source& clock, runner_client& runner,
                  const task_executor_settings& settings);

    /// Starts or queues a task. A duplicate of a recorded start does not run
    /// again: it gets the outcome of the first one. The handler may be called
    /// before this returns.
    void start(task_start start, handler done);

    /// Sets or clears a cause of a drain. While any cause is set, new starts
    /// and tasks that wait for a slot are refused.
    void drain(drain_cause cause, bool on);

    /// Refuses the queued and all further starts of an entry incarnation, as
    /// another entry adopts its jobs.
    void fence(std::uint64_t incarnation);

    /// Changes the number of slots.
    /// @param slots Tasks that run concurrently, at least 1.
    void set_slots(std::size_t slots);

    /// Expires old records and probes an unreachable backend server.
    void tick();

    /// @return Current load.
    executor_load load() const;

    /// @return Table of recorded starts.
    start_table& table() { return table_; }

    /// @return Whether no task runs or waits for a slot.
    bool idle() const { return running_ == 0 && queue_.empty(); }

    const task_executor_stats& stats() const { return stats_; }

private:
    /// An accepted start that waits for a slot.
    struct queued_start
    {
        task_start start;
        instant queued_at{}; ///< Time of acceptance.
    };

    /// Identifies a task across entry incarnations.
    struct entry_task_key
    {
        std::uint64_t incarnation = 0; ///< Incarnation of the entry.
        task_key key;                  ///< Task within the incarnation.

        bool operator==(const entry_task_key&) const = default;
    };

    /// Hash of an entry_task_key.
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

    const clock_source& clock_;
    runner_client& runner_;
    task_executor_settings settings_;
    start_table table_;
    std::multimap<double, queued_start> queue_; ///< Sorted by rank and age.
    /// Handlers that wait for the outcome of a task.
    std::unordered_map<entry_task_key, std::vector<handler>,
                       entry_task_key_hash>
        result_handlers_;
    std::set<drain_cause> drain_causes_;      ///< Causes that are set.
    std::size_t running_ = 0;                 ///< Tasks at the backend server.
    std::size_t consecutive_unreachable_ = 0; ///< Failed connections in a row.
    bool probing_ = false;                    ///< A probe is in flight.
    task_executor_stats stats_;
};

} // namespace glenhollow

#endif
