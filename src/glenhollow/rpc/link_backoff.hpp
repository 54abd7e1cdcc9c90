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
    duration first_backoff = milliseconds{40};    ///< After a failure.
    duration longest_backoff = milliseconds{400}; ///< Between attempts.
    duration restart_backoff =
        milliseconds{160}; ///< Between attempts while the VM answers and
                           ///< nothing listens: its process starts again.
    duration restart_time = seconds{2}; ///< That is believed so long; four
                                        ///< times what a restart takes.
};

/// How long a link waits before it connects again.
class link_backoff final
{
public:
    /// @param settings Limits.
    explicit link_backoff(const rpc_link_settings& settings)
        : settings_(settings), next_(settings.first_backoff)
    {
    }

    /// The link has a connection.
    void connected()
    {
        next_ = settings_.first_backoff;
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
            refused && now - *failing_since_ < settings_.restart_time;
        const auto longest =
            restarting ? settings_.restart_backoff : settings_.longest_backoff;
        const auto wait = std::min(next_, longest);
        next_ = std::min(next_ * 2, settings_.longest_backoff);
        return wait;
    }

private:
    rpc_link_settings settings_;           ///< Limits.
    duration next_;                        ///< Unless it is bounded.
    std::optional<instant> failing_since_; ///< Without a connection.
};

} // namespace glenhollow

#endif
