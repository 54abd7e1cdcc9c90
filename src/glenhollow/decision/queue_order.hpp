#ifndef GLENHOLLOW_DECISION_QUEUE_ORDER_HPP
#define GLENHOLLOW_DECISION_QUEUE_ORDER_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace glenhollow
{

/// Orders of the queued jobs of one client account.
enum class queue_order_kind : std::uint8_t
{
    first_come,       ///< Earliest arrival first; the baseline.
    least_work,       ///< Least remaining work first, with aging.
    earliest_deadline ///< Earliest deadline first.
};

template <>
struct name_table<queue_order_kind>
{
    static constexpr std::array<std::string_view, 3> names{
        "first_come", "least_work", "earliest_deadline"};
};

/// A job with tasks that are not yet started.
struct queued_job
{
    std::uint64_t sequence = 0;  ///< Unique number of the job in its shard.
    std::string team;            ///< Client account of the job.
    instant arrived{};           ///< Time of admission.
    instant deadline{};          ///< Time after which the result is of no use.
    std::size_t tasks_left = 0;  ///< Tasks not yet started.
    double seconds_per_task = 0; ///< Expected task duration, 0 if unknown.
};

/// Settings of the job queue.
struct job_queue_settings
{
    /// Order of the jobs of one client account.
    queue_order_kind order = queue_order_kind::least_work;

    /// Seconds of work subtracted from a job's rank per second of waiting,
    /// under least_work. It prevents starvation: a job with w seconds of work
    /// left is overtaken only by jobs that arrive within w / aging seconds.
    double aging = 0.25;
};

/// Queue of the jobs with tasks to start. Client accounts share the starts in
/// proportion to their weights (start-time fair queueing over tasks); the order
/// of the jobs of one account is a setting.
class job_queue final
{
public:
    /// Creates an empty queue.
    explicit job_queue(const job_queue_settings& settings) : settings_(settings)
    {
    }

    /// Adds a job, which must have at least one task to start.
    void push(const queued_job& job);

    /// @return Sequence of the job whose task starts next; none if the queue is
    /// empty.
    std::optional<std::uint64_t> front() const;

    /// Removes one task of a job from the queue.
    /// @param sequence A job in the queue.
    void take_task(std::uint64_t sequence);

    /// Returns one task to the queue, for example after a refusal.
    /// @param job The job of the task, with tasks_left set to 1; it is added if
    /// it is no longer in the queue.
    void requeue_task(const queued_job& job);

    /// Removes a job with all its tasks, if it is in the queue.
    void remove(std::uint64_t sequence);

    /// Replaces the settings and reorders the queued jobs.
    void apply(const job_queue_settings& settings);

    /// Sets the weight of a client account; the default is 1.
    /// @param team The client account.
    /// @param weight The weight, greater than 0.
    void set_weight(const std::string& team, double weight);

    /// @return Number of tasks in the queue.
    std::size_t tasks() const { return task_count_; }

    /// @return Expected duration of the tasks in the queue, s. Tasks of unknown
    /// duration count as 0.
    double seconds_of_work() const { return work_seconds_; }

    /// @return Whether the queue has no jobs.
    bool empty() const { return jobs_.empty(); }

private:
    /// Sort position of a job among those of its client account.
    struct queue_position
    {
        double key = 0;             ///< Sort key; the smallest is first.
        std::uint64_t sequence = 0; ///< Tie-breaker.

        auto operator<=>(const queue_position&) const = default;
    };

    /// The queued jobs of one client account.
    struct team_queue
    {
        double weight = 1;         ///< Share relative to other accounts.
        double virtual_finish = 0; ///< Virtual finish time of its last task.
        std::set<queue_position> order; ///< Queued jobs in start order.
    };

    double sort_key(const queued_job& job) const;
    void insert(const queued_job& job);
    void erase_position(const queued_job& job);

    job_queue_settings settings_;              ///< Current settings.
    std::map<std::uint64_t, queued_job> jobs_; ///< Queued jobs by sequence.
    std::map<std::string, team_queue> teams_;  ///< Accounts by name.
    double virtual_time_ = 0;    ///< Virtual start time of the last task.
    std::size_t task_count_ = 0; ///< Number of queued tasks.
    double work_seconds_ = 0;    ///< Expected work of queued tasks, s.
};

} // namespace glenhollow

#endif
