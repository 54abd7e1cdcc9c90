#ifndef GLENHOLLOW_RUNS_RUN_MANAGER_TIMING_HPP
#define GLENHOLLOW_RUNS_RUN_MANAGER_TIMING_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/runs/run_manager.hpp"

/// What the parts of run_manager share; nothing else includes it.
namespace glenhollow::manager_timing
{

/// Steady clocks may differ by this share.
inline constexpr double max_clock_drift = 0.02;
/// Past the end of a hold before its runs count as ended.
inline constexpr duration lapse_margin = milliseconds{60};
/// Between two stops of one run; twice what a stop takes by the platform.
inline constexpr duration stop_retry = milliseconds{100};
/// Between looks that get no answer.
inline constexpr duration poll_retry = milliseconds{50};
/// Unanswered looks renew the hold so long.
inline constexpr duration max_unanswered_renewal = milliseconds{800};
/// Added to a fencing token that was refused.
inline constexpr std::uint64_t token_step = 60'000;

/// @param length On the runner's clock.
/// @return The longest that may take on this machine's.
constexpr duration with_drift(duration length)
{
    return length +
           std::chrono::duration_cast<duration>(length * max_clock_drift);
}

/// @param phase Of a run.
/// @return Whether it takes room.
inline bool occupies(run_phase phase)
{
    return phase != run_phase::waiting;
}

} // namespace glenhollow::manager_timing

#endif
