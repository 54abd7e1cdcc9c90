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

/// Settings of the gossip fanout.
struct gossip_fanout_settings
{
    /// Number of peers to which a new fact is sent at once.
    std::size_t targets = 4;
    std::uint64_t seed = 1; ///< Seed of the random selection.
};

/// Selects the peers to which a process forwards a new fact. Since each
/// receiver does the same, a fact reaches nearly all processes in a number of
/// rounds logarithmic in their count, at a constant cost per process. Processes
/// that are missed learn it from the periodic exchanges.
class gossip_fanout final
{
public:
    /// @param settings Number of peers and random seed.
    explicit gossip_fanout(const gossip_fanout_settings& settings)
        : settings_(settings), random_(settings.seed)
    {
    }

    /// Selects peers at random, each with the same probability.
    /// @param peers Reachable peers.
    /// @return The selected peers; all of them if there are no more than
    /// `targets`.
    template <class Peer>
    std::vector<Peer> draw(const std::vector<Peer>& peers)
    {
        std::vector<Peer> drawn;
        std::sample(peers.begin(), peers.end(), std::back_inserter(drawn),
                    settings_.targets, random_);
        return drawn;
    }

private:
    gossip_fanout_settings settings_;
    random_engine random_;
};

} // namespace glenhollow

#endif
