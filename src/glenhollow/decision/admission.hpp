#ifndef GLENHOLLOW_DECISION_ADMISSION_HPP
#define GLENHOLLOW_DECISION_ADMISSION_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/core/verdict.hpp"

#include <cstddef>

namespace glenhollow
{

/// Limits that one entry shard applies when it admits jobs.
struct admission_settings
{
    std::size_t max_queued_tasks = 50'000;   ///< Queued tasks per shard.
    std::size_t max_jobs = 20'000;           ///< Unfinished jobs per shard.
    std::size_t max_kept_bytes = 48UL << 20; ///< Kept answers per shard, bytes.

    /// Fraction of the deadline that the expected completion time may take,
    /// 0..1.
    double deadline_share = 0.9;

    duration min_retry_after = seconds{1};  ///< Lower bound before jitter.
    duration max_retry_after = seconds{30}; ///< Upper bound before jitter.
};

/// A new job and the state of the shard that is asked to admit it.
struct admission_request
{
    std::size_t tasks = 0;          ///< Tasks in the new job.
    duration deadline{};            ///< Time left until the caller's deadline.
    double seconds_per_task = 0;    ///< Expected task duration, 0 if unknown.
    std::size_t queued_tasks = 0;   ///< Tasks queued at this shard.
    double queued_seconds = 0;      ///< Expected work of the queued tasks.
    std::size_t jobs = 0;           ///< Unfinished jobs at this shard.
    std::size_t kept_bytes = 0;     ///< Size of the answers kept at this shard.
    double available_slots = 0;     ///< Slots not used by other entries.
    std::size_t usable_runners = 0; ///< Backend servers that can accept a task.
};

/// The result of an admission check. A refused job has not run at all.
struct admission_decision
{
    reason why = reason::none; ///< Cause of the refusal; none if admitted.
    duration retry_after{}; ///< Delay before the caller retries, with jitter.

    /// @return Whether the job was admitted.
    bool admitted() const { return why == reason::none; }
};

/// Decides whether to admit a new job. The function keeps no state.
/// @param request The job and the state of the shard.
/// @param settings Limits.
/// @param random Generator for the jitter of the retry delay.
admission_decision admit(const admission_request& request,
                         const admission_settings& settings,
                         random_engine& random);

/// Returns a retry delay drawn uniformly between one and two times the wait,
/// after the wait is clamped to the bounds in the settings.
/// @param wait Expected duration of the condition that caused the refusal.
/// @param settings Bounds of the wait.
/// @param random Generator for the jitter.
duration jittered_retry_after(duration wait, const admission_settings& settings,
                              random_engine& random);

} // namespace glenhollow

#endif
