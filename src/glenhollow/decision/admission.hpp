#ifndef GLENHOLLOW_DECISION_ADMISSION_HPP
#define GLENHOLLOW_DECISION_ADMISSION_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/core/verdict.hpp"

#include <cstddef>

namespace glenhollow
{

/// Limits of admission.
struct admission_settings
{
    std::size_t max_queued_tasks = 50'000;   ///< Waiting at one shard.
    std::size_t max_jobs = 20'000;           ///< Unfinished at one shard.
    std::size_t max_kept_bytes = 48UL << 20; ///< Of kept answers, one shard.

    /// Part of the deadline that queueing may be expected to take up.
    double deadline_share = 0.9;

    duration min_retry_after = seconds{1};  ///< Before jitter.
    duration max_retry_after = seconds{30}; ///< Before jitter.
};

/// What admission looks at.
struct admission_request
{
    std::size_t tasks = 0;          ///< Of the new job.
    duration deadline{};            ///< Left to the caller.
    double seconds_per_task = 0;    ///< Expected, 0 where unknown.
    std::size_t queued_tasks = 0;   ///< Waiting at this shard.
    double queued_seconds = 0;      ///< Expected work that waits.
    std::size_t jobs = 0;           ///< Unfinished at this shard.
    std::size_t kept_bytes = 0;     ///< Of kept answers.
    double available_slots = 0;     ///< Slots this shard can count on.
    std::size_t usable_runners = 0; ///< That may get a task.
};

/// Admitted, or refused before anything ran.
struct admission_decision
{
    reason why = reason::none; ///< reason::none: admitted.
    duration retry_after{};    ///< When to come back, with jitter.

    /// @return Whether the job is taken.
    bool admitted() const { return why == reason::none; }
};

/// Judges a new job; a pure function.
/// @param request The job and the state of the shard.
/// @param settings Limits.
/// @param random Draws the jitter.
/// @return Whether it is taken.
admission_decision admit(const admission_request& request,
                         const admission_settings& settings,
                         random_engine& random);

/// @param wait How long the cause of a refusal is expected to last.
/// @param settings Bounds.
/// @param random Draws the jitter.
/// @return A time to come back between that and twice that.
duration jittered_retry_after(duration wait, const admission_settings& settings,
                              random_engine& random);

} // namespace glenhollow

#endif
