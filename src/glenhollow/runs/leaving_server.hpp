#ifndef GLENHOLLOW_RUNS_LEAVING_SERVER_HPP
#define GLENHOLLOW_RUNS_LEAVING_SERVER_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace glenhollow
{

/// Settings for the runs of a backend server that will shut down.
struct leaving_settings
{
    /// Share of the estimated time that a run takes at least; estimates are off
    /// by up to 40%.
    double min_estimate_share = 0.6;
    /// Share of the time extrapolated from progress that a run takes at least;
    /// progress is reported in hundredths.
    double min_progress_share = 0.9;
    /// Progress below this is not extrapolated, because it is too coarse.
    std::uint32_t min_percent = 10;
    /// Time until a stop is confirmed; the platform allows a stop half of it.
    duration stop_time = milliseconds{100};
    /// Time from the confirmed stop to the start at another server.
    duration start_time = milliseconds{50};
};

/// State of a run at a backend server that will shut down.
struct run_on_leaving_server
{
    run_ref run;
    duration elapsed{};        ///< Time since its start.
    duration last_progress{};  ///< Time from its start to the last progress.
    std::uint32_t percent = 0; ///< Progress at that time.
    /// Run time expected at a server of normal speed; 0: unknown.
    std::uint32_t expected_ms = 0;
    /// Remaining time in which the result is of use; empty: unlimited.
    std::optional<duration> useful_for;
};

/// What to do with the runs of a backend server that will shut down.
struct leaving_plan
{
    std::vector<run_ref> moved; ///< Runs to stop and start elsewhere.
    /// Runs that can finish in time neither here nor at another server.
    std::vector<run_ref> unfinishable;
};

/// Estimates the minimum remaining time of a run.
/// @param run State of the run.
/// @param pace Pace of the server.
/// @param settings Estimate margins.
/// @return The minimum remaining time; nothing if there is no basis for an
/// estimate.
std::optional<duration> min_time_left(const run_on_leaving_server& run,
                                      double pace,
                                      const leaving_settings& settings);

/// Decides for the runs of a server together. If one task of a job can finish
/// in time neither here nor elsewhere, the other tasks of the job are not
/// moved, because the job fails anyway.
/// @param runs Current runs of the server.
/// @param time_left Minimum time until the server shuts down.
/// @param pace Pace of the server.
/// @param settings Estimate margins and stop times.
/// @return The runs that cannot finish before the shutdown.
leaving_plan plan_leaving(const std::vector<run_on_leaving_server>& runs,
                          duration time_left, double pace,
                          const leaving_settings& settings);

} // namespace glenhollow

#endif
