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

/// Which way a message goes.
enum class direction : std::uint8_t
{
    to_agent, ///< From the entry.
    to_entry  ///< From the agent.
};

/// The network between an entry and an agent. A message that can't pass waits,
/// as a TCP stream does, until it can or its connection is reset.
struct simulated_link
{
    /// One way.
    struct channel
    {
        duration delay = microseconds{300}; ///< Of a message.
        instant blocked_until{};            ///< Nothing passes before.
    };

    /// @param way Which.
    /// @return That lane.
    channel& to(direction direction_to)
    {
        return channels[static_cast<std::size_t>(direction_to)];
    }

    /// @param time Of the simulation.
    /// @return Whether messages pass both ways now.
    bool passes(const simulated_time& time) const
    {
        const auto now = time.loop.clock.now();
        return channels[0].blocked_until <= now &&
               channels[1].blocked_until <= now;
    }

    std::array<channel, 2> channels; ///< By direction.
};

/// One connection between an entry's and an agent's process. Messages of one
/// direction arrive in their order.
class simulated_connection final
    : public std::enable_shared_from_this<simulated_connection>
{
public:
    /// @param time Outlives it.
    /// @param link Outlives it.
    /// @param entry Outlives it.
    /// @param agent Outlives it.
    simulated_connection(simulated_time& time, simulated_link& link,
                         simulated_node& entry, simulated_node& agent)
        : time_(time),
          link_(link), nodes_{&agent, &entry}, processes_{agent.process(),
                                                          entry.process()}
    {
    }

    /// @param way Where to.
    /// @param work What the receiver does with the message.
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

    /// One side closes; the other hears of it after all that was sent.
    /// @param from Whose messages are the last ones.
    /// @param told Done at the other side.
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

    /// What is on its way is lost.
    void reset() { reset_ = true; }

    /// @param side The receiver of that direction.
    /// @return Whether its process has ended since.
    bool has_restarted(direction side) const
    {
        const auto to = static_cast<std::size_t>(side);
        return nodes_[to]->process() != processes_[to];
    }

    /// @param side The receiver of that direction.
    /// @return Whether that side believes it open.
    bool open(direction side) const
    {
        return open_[static_cast<std::size_t>(side)] && !reset_;
    }

private:
    simulated_time& time_;                   ///< Of the simulation.
    simulated_link& link_;                   ///< Its network.
    std::array<simulated_node*, 2> nodes_;   ///< Receivers by direction.
    std::array<std::uint64_t, 2> processes_; ///< Of these, at the begin.
    std::array<instant, 2> last_arrivals_{}; ///< Last arrivals.
    std::array<bool, 2> open_{true, true};   ///< By receiver.
    bool reset_ = false;                     ///< By the network.
};

} // namespace glenhollow

#endif
