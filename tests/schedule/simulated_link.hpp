#ifndef GLENHOLLOW_TESTS_SIMULATED_LINK_HPP
#define GLENHOLLOW_TESTS_SIMULATED_LINK_HPP

#include "simulated_node.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <utility>

namespace glenhollow
{

/// Direction of a message.
enum class direction : std::uint8_t
{
    to_agent, ///< Entry to agent.
    to_entry  ///< Agent to entry.
};

/// The network between an entry and an agent. As in a TCP stream, a blocked
/// message waits until the channel reopens or the connection is reset.
struct simulated_link
{
    /// One direction of the link.
    struct channel
    {
        duration delay = microseconds{300}; ///< Delay of a message.
        instant blocked_until{};            ///< Messages wait until then.
    };

    /// @return Channel of that direction.
    channel& to(direction direction_to)
    {
        return channels[static_cast<std::size_t>(direction_to)];
    }

    /// @return Whether messages pass in both directions now.
    bool passes(const simulated_time& time) const
    {
        const auto now = time.loop.clock.now();
        return channels[0].blocked_until <= now &&
               channels[1].blocked_until <= now;
    }

    std::array<channel, 2> channels; ///< Channels by direction.
};

/// One connection between an entry's and an agent's process. Messages of one
/// direction arrive in their order.
class simulated_connection final
    : public std::enable_shared_from_this<simulated_connection>
{
public:
    /// All arguments must outlive the connection.
    simulated_connection(simulated_time& time, simulated_link& link,
                         simulated_node& entry, simulated_node& agent)
        : time_(time),
          link_(link), nodes_{&agent, &entry}, processes_{agent.process(),
                                                          entry.process()}
    {
    }

    /// Sends a message.
    /// @param work Handles the message at the receiver.
    void send(direction direction_to, std::function<void()> work)
    {
        const auto to = static_cast<std::size_t>(direction_to);
        if (has_restarted(direction_to))
            return;
        const auto now = time_.loop.clock.now();
        const auto& channel = link_.to(direction_to);
        auto arrival =
            now + channel.delay + time_.random_duration(channel.delay);
        arrival = std::max({arrival, channel.blocked_until + channel.delay,
                            last_arrivals_[to] + microseconds{1}});
        last_arrivals_[to] = arrival;
        nodes_[to]->deliver(
            arrival - now,
            [self = shared_from_this(), to, work = std::move(work)]
            {
                if (self->open_[to] && !self->reset_)
                    work();
            });
    }

    /// Closes one side; the other is notified after all messages sent before.
    /// @param from Direction in which the closing side sends.
    /// @param on_closed Runs at the other side.
    void close(direction from, std::function<void()> on_closed)
    {
        const auto other = static_cast<std::size_t>(from);
        open_[1 - other] = false;
        send(
            from,
            [self = shared_from_this(), other, on_closed = std::move(on_closed)]
            {
                self->open_[other] = false;
                on_closed();
            });
    }

    /// Drops all messages in transit.
    void reset() { reset_ = true; }

    /// @return Whether the receiving process has ended since the connect.
    bool has_restarted(direction side) const
    {
        const auto to = static_cast<std::size_t>(side);
        return nodes_[to]->process() != processes_[to];
    }

    /// @return Whether the receiver of that direction regards it as open.
    bool open(direction side) const
    {
        return open_[static_cast<std::size_t>(side)] && !reset_;
    }

private:
    simulated_time& time_;
    simulated_link& link_;                 ///< Network that carries it.
    std::array<simulated_node*, 2> nodes_; ///< Receivers, by direction.
    /// Process numbers of the receivers when it was opened.
    std::array<std::uint64_t, 2> processes_;
    std::array<instant, 2> last_arrivals_{}; ///< Last arrivals, by direction.
    std::array<bool, 2> open_{
        true, true}; ///< Whether the receiver regards it as open, by direction.
    bool reset_ = false; ///< Whether the network has reset it.
};

} // namespace glenhollow

#endif
