#ifndef GLENHOLLOW_DURABLE_EXCHANGE_PACING_HPP
#define GLENHOLLOW_DURABLE_EXCHANGE_PACING_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace glenhollow
{

/// How often two entries exchange views.
struct exchange_pacing_settings
{
    duration interval = milliseconds{250}; ///< Between exchanges with one.
    duration per_peer_interval =
        milliseconds{10};                  ///< The same for each other entry:
                                           ///< 100 a second in all, at most.
    duration silence = milliseconds{1000}; ///< Without one: not live; more
                                           ///< where exchanges are rarer.
};

/// Decides when entries exchange views, so that what an entry spends on the
/// others does not grow with their number.
class exchange_pacing final
{
public:
    /// @param settings Limits.
    explicit exchange_pacing(const exchange_pacing_settings& settings)
        : settings_(settings)
    {
    }

    /// @param peers Other entries.
    /// @return Between two exchanges with one of them.
    duration interval(std::size_t peers) const
    {
        const auto shared =
            settings_.per_peer_interval * static_cast<duration::rep>(peers);
        return std::max(settings_.interval, shared);
    }

    /// @param peers Other entries.
    /// @return Without an exchange for so long, one is not live.
    duration silence(std::size_t peers) const
    {
        constexpr int intervals = 3; // Two exchanges may fail.
        return std::max(settings_.silence, intervals * interval(peers));
    }

    /// An exchange tells both sides, so one of the two begins it; the other
    /// one does so only if none has come.
    /// @param first Whether this side begins.
    /// @param since The last exchange, begun by either side.
    /// @param peers Other entries.
    /// @param now The time.
    /// @return Whether this side begins one now.
    bool is_due(bool first, instant since, std::size_t peers, instant now) const
    {
        const auto wait = first ? interval(peers) : interval(peers) * 3 / 2;
        return now - since >= wait;
    }

private:
    exchange_pacing_settings settings_; ///< Limits.
};

} // namespace glenhollow

#endif
