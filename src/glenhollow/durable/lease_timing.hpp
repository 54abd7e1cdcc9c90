#ifndef GLENHOLLOW_DURABLE_LEASE_TIMING_HPP
#define GLENHOLLOW_DURABLE_LEASE_TIMING_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/result.hpp"

namespace glenhollow
{

/// The times that "one run of a task at once" rests on. Each is measured on the
/// clock of the process named; docs/design/margins.md says what covers what.
struct lease_timing
{
    duration hold{};         ///< Of a backend server, asked for by its agent.
    duration memory_lease{}; ///< Of an entry's jobs in memory, at an agent.
    duration part_lease{};   ///< Of a part's owner, at an agent.
    duration stop_time{};    ///< Past a lease, for stops.
    duration session_silence{}; ///< An entry drops an agent's session.
    duration memory_silence{}; ///< An entry gives up an agent's runs in memory.
    duration part_silence{};   ///< An owner gives up an agent's kept runs.
    duration cancel_lapse{};   ///< Nothing runs any more in memory of an entry
                               ///< that was silent so long.
    duration claim_evidence_age{}; ///< An owner renews on a word so old.
    duration callers_wait{};       ///< Before a caller without an answer asks
                                   ///< another entry.
};

/// Two steady clocks differ by this share at most.
inline constexpr double max_clock_drift = 0.02;

/// @param length On one clock.
/// @return The longest that it may be on another one.
constexpr duration max_on_other_clock(duration length)
{
    return duration{static_cast<duration::rep>(
        static_cast<double>(length.count()) / (1 - max_clock_drift))};
}

/// @param length On one clock.
/// @return The shortest that it may be on another one.
constexpr duration min_on_other_clock(duration length)
{
    return duration{static_cast<duration::rep>(
        static_cast<double>(length.count()) * (1 - max_clock_drift))};
}

/// @param lease Of a holder, at an agent.
/// @param of All of them.
/// @return How long a run goes on after its holder's last word, also if its
/// agent stands still from then on: the hold ends with the lease and the time
/// to stop, by the agent's clock; the server's may be slow against that.
constexpr duration max_run_past_lease(duration lease,
                                      const lease_timing& timing)
{
    return max_on_other_clock(lease + timing.stop_time) +
           (max_on_other_clock(timing.hold) - timing.hold);
}

/// @return The times that the defaults of all parts come to.
lease_timing default_lease_timing();

/// @param of The times as they are set.
/// @return What does not hold, naming both settings; nothing where all do.
result<void> check_lease_timing(const lease_timing& timing);

} // namespace glenhollow

#endif
