#ifndef GLENHOLLOW_DURABLE_EXCHANGE_PACING_HPP
#define GLENHOLLOW_DURABLE_EXCHANGE_PACING_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace glenhollow
{

/// Settings for the exchange of views between entries.
struct exchange_pacing_settings
{
    duration interval = milliseconds{250}; ///< Minimum time between exchanges
                                           ///< with one peer.
    /// Interval per other entry, which limits the total to 100 exchanges per
    /// second.
    duration per_peer_interval = milliseconds{10};
    duration silence = milliseconds{1000}; ///< A peer without an exchange for
                                           ///< this long is not live; longer
                                           ///< where exchanges are rarer.
};

/// Decides when entries exchange views, such that the total rate of an entry's
/// exchanges does not grow with the number of peers.
class exchange_pacing final
{
public:
    explicit exchange_pacing(const exchange_pacing_settings& settings)
        : settings_(settings)
    {
    }

    /// @param peers The number of other entries.
    /// @return The time between two exchanges with one peer.
    duration interval(std::size_t peers) const
    {
        const auto shared =
            settings_.per_peer_interval * static_cast<duration::rep>(peers);
        return std::max(settings_.interval, shared);
    }

    /// @param peers The number of other entries.
    /// @return The time without an exchange after which a peer is not live.
    duration silence(std::size_t peers) const
    {
        constexpr int intervals = 3; // Tolerates two failed exchanges in a row.
        return std::max(settings_.silence, intervals * interval(peers));
    }

    /// Decides whether to start an exchange. An exchange carries both views, so
    /// that one of the two entries starts it; the other one does so only if
    /// none has come.
    /// @param first Whether this entry normally starts the exchange.
    /// @param since The time of the last exchange, started by either entry.
    /// @param peers The number of other entries.
    /// @return Whether this entry starts an exchange now.
    bool is_due(bool first, instant since, std::size_t peers, instant now) const
    {
        const auto wait = first ? interval(peers) : interval(peers) * 3 / 2;
        return now - since >= wait;
    }

private:
    exchange_pacing_settings settings_;
};

} // namespace glenhollow

#endif
