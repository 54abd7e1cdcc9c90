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

/// The ways to order the jobs of one team.
enum class queue_order_kind : std::uint8_t
{
    first_come,       ///< By arrival; the baseline.
    least_work,       ///< By work left, with age.
    earliest_deadline ///< By deadline.
};

template <>
struct name_table<queue_order_kind>
{
    static constexpr std::array<std::string_view, 3> names{
        "first_come", "least_work", "earliest_deadline"};
};

/// A job that has tasks to start.
struct queued_job
{
    std::uint64_t sequence = 0;  ///< Names the job.
    std::string team;            ///< Whose it is.
    instant arrived{};           ///< When it was admitted.
    instant deadline{};          ///< When it is worthless.
    std::size_t tasks_left = 0;  ///< Tasks not yet started.
    double seconds_per_task = 0; ///< Expected, 0 where unknown.
};

/// Limits of the queue.
struct job_queue_settings
{
    queue_order_kind order = queue_order_kind::least_work; ///< Inside a team.

    /// Seconds of work that a second of waiting is worth under least_work. A
    /// job with w seconds left is overtaken only by jobs that arrive within
    /// w / aging seconds, so none starves.
    double aging = 0.25;
};

/// The jobs with tasks to start. Teams share by weight (start-time fair
/// queueing over tasks); the order inside a team is a setting. Pure state.
class job_queue final
{
public:
    /// @param settings Limits.
    explicit job_queue(const job_queue_settings& settings) : settings_(settings)
    {
    }

    /// @param job A job with at least one task to start.
    void push(const queued_job& job);

    /// @return The job whose task is to start next, or nothing.
    std::optional<std::uint64_t> front() const;

    /// Takes one task of a job out of the queue.
    /// @param sequence A job in the queue.
    void take_task(std::uint64_t sequence);

    /// Puts a task of a job back, such as one that was refused not_run.
    /// @param job The job as it was pushed; its tasks_left is 1.
    void requeue_task(const queued_job& job);

    /// @param sequence A job that may be in the queue; all of it is taken out.
    void remove(std::uint64_t sequence);

    /// @param settings New limits; jobs in the queue are ordered anew.
    void apply(const job_queue_settings& settings);

    /// Sets the weight of a team; 1 when never set.
    /// @param team The team.
    /// @param weight More than 0.
    void set_weight(const std::string& team, double weight);

    /// @return Tasks in the queue.
    std::size_t tasks() const { return task_count_; }

    /// @return Expected seconds of work in the queue.
    double seconds_of_work() const { return work_seconds_; }

    /// @return Whether no job is in the queue.
    bool empty() const { return jobs_.empty(); }

private:
    /// A job's place in its team.
    struct queue_position
    {
        double key = 0;             ///< Smaller goes first.
        std::uint64_t sequence = 0; ///< Breaks ties.

        auto operator<=>(const queue_position&) const = default;
    };

    /// The jobs of one team.
    struct team_queue
    {
        double weight = 1;         ///< Share against other teams.
        double virtual_finish = 0; ///< Virtual time when its last task ends.
        std::set<queue_position> order; ///< Its jobs.
    };

    double sort_key(const queued_job& job) const;
    void insert(const queued_job& job);
    void erase_position(const queued_job& job);

    job_queue_settings settings_;              ///< Limits.
    std::map<std::uint64_t, queued_job> jobs_; ///< By sequence.
    std::map<std::string, team_queue> teams_;  ///< By name.
    double virtual_time_ = 0;                  ///< Of the last task taken.
    std::size_t task_count_ = 0;               ///< In the queue.
    double work_seconds_ = 0;                  ///< Expected work.
};

} // namespace glenhollow

#endif
