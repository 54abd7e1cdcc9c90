#ifndef GLENHOLLOW_DURABLE_AGENT_CLOCK_HPP
#define GLENHOLLOW_DURABLE_AGENT_CLOCK_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <optional>

namespace glenhollow
{

/// Lower bound of an agent's clock at a given moment of this entry's clock: the
/// agent's time in its last report, plus the time since the report was
/// received, less the possible clock drift. Network delay only lowers the
/// bound. A lease sent with an order is counted from it, so that the lease runs
/// from the time at which the order was sent, whenever it arrives. Not
/// thread-safe.
class agent_clock final
{
public:
    /// Records the clock reading of a report.
    /// @param sent The agent's clock when it sent the report.
    /// @param received This entry's clock when it received the report.
    void on_report(instant sent, instant received)
    {
        agent_time_ = sent;
        received_ = received;
    }

    /// Discards the reading, since the agent may have restarted.
    void reset() { agent_time_ = {}; }

    /// @param when A time of this entry's clock.
    /// @return The earliest time that the agent's clock can show then; nothing
    /// before the first report.
    std::optional<instant> at(instant when) const
    {
        constexpr int drift = 25; // Allows for a drift of one part in 25.
        if (agent_time_.count() == 0)
            return std::nullopt;
        const auto elapsed = when - received_;
        const auto uncertainty = std::max(elapsed, -elapsed) / drift;
        return agent_time_ + elapsed - uncertainty;
    }

private:
    instant agent_time_{}; ///< The agent's clock in the last report; 0:
                           ///< unknown.
    instant received_{};   ///< This entry's clock when it was received.
};

} // namespace glenhollow

#endif
