#ifndef GLENHOLLOW_DURABLE_LEASE_TIMING_HPP
#define GLENHOLLOW_DURABLE_LEASE_TIMING_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/result.hpp"

namespace glenhollow
{

/// Durations that guarantee that a task never runs twice at once. Each is
/// measured on the clock of the process named; docs/design/margins.md gives the
/// bounds between them.
struct lease_timing
{
    duration hold{}; ///< Duration of the hold that an agent requests from its
                     ///< backend server.
    duration memory_lease{}; ///< Lease of an entry for its jobs in memory,
                             ///< counted by the agent.
    duration part_lease{};   ///< Lease of a part's owner, counted by the agent.
    duration stop_time{}; ///< Time after the end of a lease in which its runs
                          ///< are stopped.
    duration held_past_lease{}; ///< Time by which the hold of a backend server
                                ///< may exceed the lease of a run that starts.
    duration session_silence{}; ///< Silence after which an entry drops an
                                ///< agent's session.
    duration memory_silence{};  ///< Silence after which an entry gives up an
                                ///< agent's runs of jobs in memory.
    duration part_silence{}; ///< Silence after which a part's owner gives up an
                             ///< agent's runs of durable jobs.
    duration cancel_lapse{}; ///< Silence of an entry after which none of its
                             ///< jobs in memory still runs.
    duration claim_evidence_age{}; ///< Maximum age of the claim evidence on
                                   ///< which an owner renews leases.
    duration callers_wait{}; ///< Time that a caller without an answer waits
                             ///< before it asks another entry.
};

/// Maximum relative drift between two monotonic clocks.
inline constexpr double max_clock_drift = 0.02;

/// @param length A duration on one clock.
/// @return The longest duration that another clock may measure for it.
constexpr duration max_on_other_clock(duration length)
{
    return duration{static_cast<duration::rep>(
        static_cast<double>(length.count()) / (1 - max_clock_drift))};
}

/// @param length A duration on one clock.
/// @return The shortest duration that another clock may measure for it.
constexpr duration min_on_other_clock(duration length)
{
    return duration{static_cast<duration::rep>(
        static_cast<double>(length.count()) * (1 - max_clock_drift))};
}

/// @param lease A lease that an agent counts.
/// @param timing All durations.
/// @param held_past_lease Time by which the hold exceeds the lease.
/// @return The longest time that a run goes on after the last renewal of its
/// lease, even if its agent freezes. The hold ends by the agent's clock; the
/// backend server's clock may be slower.
constexpr duration max_run_past_lease(duration lease,
                                      const lease_timing& timing,
                                      duration held_past_lease)
{
    return max_on_other_clock(lease + held_past_lease) +
           (max_on_other_clock(timing.hold) - timing.hold);
}

/// @return The durations that the defaults of all components give.
lease_timing default_lease_timing();

/// Checks the bounds between the durations.
/// @param timing The durations that are set.
/// @return Success, or an error that names both settings of the first bound
/// that is violated.
result<void> check_lease_timing(const lease_timing& timing);

} // namespace glenhollow

#endif
