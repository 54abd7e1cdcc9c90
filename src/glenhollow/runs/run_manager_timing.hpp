#ifndef GLENHOLLOW_RUNS_RUN_MANAGER_TIMING_HPP
#define GLENHOLLOW_RUNS_RUN_MANAGER_TIMING_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/runs/run_manager.hpp"

/// Timing shared by the source files of run_manager.
namespace glenhollow::manager_timing
{

/// Maximum relative drift between two steady clocks.
inline constexpr double max_clock_drift = 0.02;
/// Time after the end of a hold before its runs count as ended.
inline constexpr duration lapse_margin = milliseconds{60};
/// Time between two stops of the same run.
inline constexpr duration stop_retry = milliseconds{100};
/// Time between polls that get no answer.
inline constexpr duration poll_retry = milliseconds{50};
/// Time without an answer during which polls still renew the hold.
inline constexpr duration max_unanswered_renewal = milliseconds{800};
/// Increment of a refused fencing token.
inline constexpr std::uint64_t token_step = 60'000;

/// @param length Duration on the backend server's clock.
/// @return The longest equivalent duration on the local clock.
constexpr duration with_drift(duration length)
{
    return length +
           std::chrono::duration_cast<duration>(length * max_clock_drift);
}

/// @return Whether a run in this phase uses resources of the backend server.
inline bool occupies(run_phase phase)
{
    return phase != run_phase::waiting;
}

} // namespace glenhollow::manager_timing

#endif
