#ifndef GLENHOLLOW_RUNS_REPORT_PACING_HPP
#define GLENHOLLOW_RUNS_REPORT_PACING_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace glenhollow
{

/// How often an agent reports.
struct report_pacing_settings
{
    duration heartbeat = milliseconds{200}; ///< Between reports to an entry
                                            ///< that has runs here, at most.
    duration idle_heartbeat_per_session =
        milliseconds{40};                        ///< To one that has none, for
                                                 ///< each open session: 25
                                                 ///< reports a second in all.
    duration max_doubled_heartbeat = seconds{1}; ///< With few sessions half as
                                                 ///< many, but to each one a
                                                 ///< report in so long.
    duration max_heartbeat = seconds{4};         ///< However many there are.
    duration load_interval = milliseconds{4}; ///< Of reports of room alone, for
                                              ///< each open session.
    duration placer_load_interval =
        milliseconds{1}; ///< Of those to an entry that
                         ///< places for all others.
};

/// What one session has to be told.
struct report_status
{
    bool urgent = false; ///< Ends wait.
    bool load = false;   ///< The room has changed, or runs have begun.
    instant reported{};  ///< When the last report left.
    duration requested_interval{}; ///< Gap of reports of room that the entry
                                   ///< asks for.
    bool is_placer = false;        ///< The entry places for all others.
    bool busy = false;             ///< The entry has runs, ends or parts here.
};

/// Decides when a session is told. Runs begin and end at an agent as often
/// however many entries there are; each change of room told to each of them
/// at once would cost an agent and its entries more than the work itself.
class report_pacing final
{
public:
    /// @param settings Limits.
    explicit report_pacing(const report_pacing_settings& settings)
        : settings_(settings)
    {
    }

    /// @param open Open sessions.
    /// @return The least time between two reports of room to one session.
    duration load_interval(std::size_t open) const
    {
        return settings_.load_interval *
               static_cast<duration::rep>(std::max<std::size_t>(1, open));
    }

    /// @param marks What a session has to be told.
    /// @param open Open sessions.
    /// @return The least time between two reports of room to this session.
    duration load_interval(const report_status& status, std::size_t open) const
    {
        const auto least = status.is_placer ? settings_.placer_load_interval
                                            : load_interval(open);
        return std::max(least, status.requested_interval);
    }

    /// @param marks What a session has to be told.
    /// @param open Open sessions.
    /// @return The most time between two reports to this session. One without
    /// runs here need only learn in the end that this agent has gone.
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

    /// @param marks What a session has to be told.
    /// @param open Open sessions.
    /// @param now The time.
    /// @return Whether its report leaves now.
    bool is_due(const report_status& status, std::size_t open,
                instant now) const
    {
        const auto since = now - status.reported;
        return status.urgent ||
               (status.load && since >= load_interval(status, open)) ||
               since >= heartbeat(status, open);
    }

private:
    report_pacing_settings settings_; ///< Limits.
};

} // namespace glenhollow

#endif
