#ifndef GLENHOLLOW_DURABLE_AGENT_CLOCK_HPP
#define GLENHOLLOW_DURABLE_AGENT_CLOCK_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <optional>

namespace glenhollow
{

/// The least that an agent's own clock can show at a moment of this entry: what
/// it showed when the last report left, and the time since that report was
/// here, less what clocks may differ. However long a message takes, the agent
/// has not been earlier. So an order can carry a lease with it: it runs from
/// the moment at which the order left, whenever it arrives. One thread.
class agent_clock final
{
public:
    /// @param sent When a report left, by the agent's clock.
    /// @param received When it was taken, by this entry's.
    void on_report(instant sent, instant received)
    {
        agent_time_ = sent;
        received_ = received;
    }

    /// The agent's process may be another one.
    void reset() { agent_time_ = {}; }

    /// @param when A moment of this entry's clock, past the last report.
    /// @return What the agent's clock shows then at least; nothing where no
    /// report has come yet.
    std::optional<instant> at(instant when) const
    {
        constexpr int drift = 25; // Clocks differ by a fiftieth, at most.
        if (agent_time_.count() == 0)
            return std::nullopt;
        const auto elapsed = std::max(duration{0}, when - received_);
        return agent_time_ + elapsed - elapsed / drift;
    }

private:
    instant agent_time_{}; ///< By the agent's clock; 0: not known.
    instant received_{};   ///< By this entry's.
};

} // namespace glenhollow

#endif
