#ifndef GLENHOLLOW_RPC_LINK_BACKOFF_HPP
#define GLENHOLLOW_RPC_LINK_BACKOFF_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <optional>

namespace glenhollow
{

/// Limits of a link.
struct rpc_link_settings
{
    duration initial_backoff = milliseconds{40}; ///< After a failure.
    duration max_backoff = milliseconds{400};    ///< Between attempts.
    duration restart_backoff =
        milliseconds{160}; ///< Between attempts while the VM answers and
                           ///< nothing listens: its process starts again.
    duration restart_window = seconds{2}; ///< That is believed so long; four
                                          ///< times what a restart takes.
};

/// How long a link waits before it connects again.
class link_backoff final
{
public:
    /// @param settings Limits.
    explicit link_backoff(const rpc_link_settings& settings)
        : settings_(settings), next_wait_(settings.initial_backoff)
    {
    }

    /// The link has a connection.
    void connected()
    {
        next_wait_ = settings_.initial_backoff;
        failing_since_.reset();
    }

    /// A connection, or an attempt to connect, has failed.
    /// @param now The time.
    /// @param refused Whether the VM answered that nothing listens.
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
    rpc_link_settings settings_;           ///< Limits.
    duration next_wait_;                   ///< Unless it is bounded.
    std::optional<instant> failing_since_; ///< Without a connection.
};

} // namespace glenhollow

#endif
