#ifndef GLENHOLLOW_RUNS_REPORT_PACING_HPP
#define GLENHOLLOW_RUNS_REPORT_PACING_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace glenhollow
{

/// Intervals of the reports of an agent.
struct report_pacing_settings
{
    /// Longest interval to an entry with runs at this agent.
    duration heartbeat = milliseconds{200};
    /// Longest interval to an idle entry, per open session.
    duration idle_heartbeat_per_session = milliseconds{40};
    /// Upper bound for doubling that interval when there are few sessions.
    duration max_doubled_heartbeat = seconds{1};
    /// Upper bound for any number of sessions.
    duration max_heartbeat = seconds{4};
    /// Interval of load reports, per open session.
    duration load_interval = milliseconds{4};
    /// Interval of load reports to a placer.
    duration placer_load_interval = milliseconds{1};
};

/// What is due to be reported to one session.
struct report_status
{
    bool urgent = false; ///< Ends or another urgent change are unreported.
    /// The load has changed, or runs have started.
    bool load = false;
    instant reported{}; ///< Time of the last report.
    /// Interval of load reports that the entry asked for.
    duration requested_interval{};
    bool is_placer = false; ///< The entry places tasks for other entries.
    /// The entry has runs, unconfirmed ends or parts here.
    bool busy = false;
};

/// Decides when an agent reports to a session. The intervals grow with the
/// number of sessions, so that the total report rate of an agent stays bounded.
class report_pacing final
{
public:
    /// @param settings Intervals.
    explicit report_pacing(const report_pacing_settings& settings)
        : settings_(settings)
    {
    }

    /// @param open Number of open sessions.
    /// @return Minimum interval of load reports to one session.
    duration load_interval(std::size_t open) const
    {
        return settings_.load_interval *
               static_cast<duration::rep>(std::max<std::size_t>(1, open));
    }

    /// @param status State of the session.
    /// @param open Number of open sessions.
    /// @return Minimum interval of load reports to this session.
    duration load_interval(const report_status& status, std::size_t open) const
    {
        const auto least = status.is_placer ? settings_.placer_load_interval
                                            : load_interval(open);
        return std::max(least, status.requested_interval);
    }

    /// @param status State of the session.
    /// @param open Number of open sessions.
    /// @return Maximum interval of reports to this session. An idle session
    /// needs reports only to detect that the agent is gone.
    duration heartbeat(const report_status& status, std::size_t open) const
    {
        if (status.busy || status.is_placer)
            return settings_.heartbeat;
        const auto per_session = settings_.idle_heartbeat_per_session *
                                 static_cast<duration::rep>(open);
        const auto doubled =
            std::min(2 * per_session, settings_.max_doubled_heartbeat);
        return std::clamp(std::max(per_session, doubled), settings_.heartbeat,
                          settings_.max_heartbeat);
    }

    /// @param status State of the session.
    /// @param open Number of open sessions.
    /// @param now Current time.
    /// @return Whether its next report is due.
    bool is_due(const report_status& status, std::size_t open,
                instant now) const
    {
        const auto since = now - status.reported;
        return status.urgent ||
               (status.load && since >= load_interval(status, open)) ||
               since >= heartbeat(status, open);
    }

private:
    report_pacing_settings settings_;
};

} // namespace glenhollow

#endif
