#ifndef GLENHOLLOW_RUNS_LEAVING_SERVER_HPP
#define GLENHOLLOW_RUNS_LEAVING_SERVER_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace glenhollow
{

/// Limits of what is done with runs at a backend server that leaves.
struct leaving_settings
{
    double min_estimate_share = 0.6; ///< A guess of a run's time is off by up
                                     ///< to 40%: so much of it passes surely.
    double min_progress_share = 0.9; ///< The same of the time that its progress
                                     ///< tells, which is shown in hundredths.
    std::uint32_t min_percent = 10;  ///< Before that its progress says little.
    duration stop_time = milliseconds{100}; ///< Until a stop is confirmed; the
                                            ///< platform allows half of it.
    duration start_time = milliseconds{50}; ///< From then until it runs
                                            ///< elsewhere.
};

/// A run at a backend server that leaves.
struct run_on_leaving_server
{
    run_ref run;                   ///< Which.
    duration elapsed{};            ///< Since it began.
    duration last_progress{};      ///< Of that, when its percent last rose.
    std::uint32_t percent = 0;     ///< Of its work, as shown then.
    std::uint32_t expected_ms = 0; ///< At a sound server; 0: not known.
    std::optional<duration>
        useful_for; ///< An end later than this from now helps
                    ///< nobody; nothing: any end does.
};

/// What becomes of the runs at a backend server that leaves.
struct leaving_plan
{
    std::vector<run_ref> moved; ///< To be stopped here and run elsewhere.
    std::vector<run_ref>
        unfinishable; ///< Can't end here, nor in time elsewhere.
};

/// @param run A run there.
/// @param pace Of the server.
/// @param settings Limits.
/// @return The time that it surely still takes; nothing where nothing is known.
std::optional<duration> min_time_left(const run_on_leaving_server& run,
                                      double pace,
                                      const leaving_settings& settings);

/// Decides for all runs together: where one task of a job can neither end nor
/// be run again in time, its other tasks are left to run, for nothing is won.
/// @param runs That run there now.
/// @param left The least time until the server leaves.
/// @param pace Of the server.
/// @param settings Limits.
/// @return What becomes of those that can't end before.
leaving_plan plan_leaving(const std::vector<run_on_leaving_server>& runs,
                          duration time_left, double pace,
                          const leaving_settings& settings);

} // namespace glenhollow

#endif
