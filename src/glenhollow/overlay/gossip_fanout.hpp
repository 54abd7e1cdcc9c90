#ifndef GLENHOLLOW_OVERLAY_GOSSIP_FANOUT_HPP
#define GLENHOLLOW_OVERLAY_GOSSIP_FANOUT_HPP

#include "glenhollow/core/random.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <vector>

namespace glenhollow
{

/// Limits of gossip.
struct gossip_fanout_settings
{
    std::size_t targets = 4; ///< Peers that are told a new fact at once.
    std::uint64_t seed = 1;  ///< Seed of the draws.
};

/// Draws the peers that a process tells a fact as soon as it learns it. Each of
/// them does the same, so that a fact reaches nearly all processes in a number
/// of rounds that grows with the logarithm of their number, at a cost for each
/// process that does not grow. The few that a draw misses learn it with the
/// regular exchanges.
class gossip_fanout final
{
public:
    /// @param settings Limits.
    explicit gossip_fanout(const gossip_fanout_settings& settings)
        : settings_(settings), random_(settings.seed)
    {
    }

    /// @param peers Those that can be told.
    /// @return Those that are told now, all equally likely; everyone where
    /// there are no more than the limit.
    template <class Peer>
    std::vector<Peer> draw(const std::vector<Peer>& peers)
    {
        std::vector<Peer> drawn;
        std::sample(peers.begin(), peers.end(), std::back_inserter(drawn),
                    settings_.targets, random_);
        return drawn;
    }

private:
    gossip_fanout_settings settings_; ///< Limits.
    random_engine random_;            ///< Draws.
};

} // namespace glenhollow

#endif
