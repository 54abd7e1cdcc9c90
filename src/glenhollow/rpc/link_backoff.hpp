#ifndef GLENHOLLOW_RPC_LINK_BACKOFF_HPP
#define GLENHOLLOW_RPC_LINK_BACKOFF_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <optional>

namespace glenhollow
{

/// Reconnect settings of an RPC link.
struct rpc_link_settings
{
    /// Wait after the first failure; doubles with each further failure.
    duration initial_backoff = milliseconds{40};

    /// Longest wait between attempts.
    duration max_backoff = milliseconds{400};

    /// Longest wait while the remote process is assumed to be restarting: the
    /// VM refuses the connection and restart_window has not passed.
    duration restart_backoff = milliseconds{160};

    /// Time after the first failure in which refused connections count as a
    /// restart.
    duration restart_window = seconds{2};
};

/// Exponential backoff between the connection attempts of a link.
class link_backoff final
{
public:
    explicit link_backoff(const rpc_link_settings& settings)
        : settings_(settings), next_wait_(settings.initial_backoff)
    {
    }

    /// Resets the backoff after a successful connection.
    void connected()
    {
        next_wait_ = settings_.initial_backoff;
        failing_since_.reset();
    }

    /// Records a lost connection or a failed attempt to connect.
    /// @param refused Whether the VM refused the connection, as it does when
    /// no process listens on the port.
    /// @return The wait before the next attempt.
    duration failed(instant now, bool refused)
    {
        if (!failing_since_)
            failing_since_ = now;
        const bool restarting =
            refused && now - *failing_since_ < settings_.restart_window;
        const auto limit =
            restarting ? settings_.restart_backoff : settings_.max_backoff;
        const auto wait = std::min(next_wait_, limit);
        next_wait_ = std::min(next_wait_ * 2, settings_.max_backoff);
        return wait;
    }

private:
    rpc_link_settings settings_;
    duration next_wait_; ///< Next wait, before the limit is applied.
    std::optional<instant> failing_since_; ///< Time of the first failure since
                                           ///< the last connection.
};

} // namespace glenhollow

#endif
