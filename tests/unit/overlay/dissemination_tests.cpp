// What a new fact costs each entry, and when all have learned it, by the
// objects that decide it, from few entries to many times today's fleet.
#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/exchange_pacing.hpp"
#include "glenhollow/overlay/gossip_fanout.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <set>

using namespace glenhollow;

namespace
{

constexpr duration one_way_delay = milliseconds{5};

/// Entries that tell each other one fact: at once by gossip, and by the regular
/// exchanges with one peer after the other.
class gossiping_entries
{
public:
    explicit gossiping_entries(std::size_t count)
        : learned_(count), sent_counts_(count)
    {
        for (std::size_t i = 0; i < count; ++i)
            fanouts_.emplace_back(gossip_fanout_settings{4, i + 1});
    }

    void learn(std::size_t entry, instant now)
    {
        if (learned_[entry])
            return;
        learned_[entry] = true;
        ++informed_;
        std::vector<std::size_t> others(learned_.size());
        std::iota(others.begin(), others.end(), 0);
        std::erase(others, entry);
        for (const auto peer : fanouts_[entry].draw(others))
        {
            ++sent_counts_[entry];
            arrivals_.emplace(now + one_way_delay, peer);
        }
    }

    /// @return When the last entry learned what the first one knew at zero.
    duration spread_time()
    {
        const auto peers = learned_.size() - 1;
        const auto exchange_interval = exchange_pacing({}).interval(peers) /
                                       static_cast<duration::rep>(peers);
        learn(0, instant{});
        instant now{};
        std::size_t round = 0;
        while (informed_ < learned_.size())
        {
            const auto next_exchange =
                exchange_interval * static_cast<duration::rep>(round + 1);
            if (!arrivals_.empty() && arrivals_.begin()->first <= next_exchange)
            {
                const auto [at, entry] = *arrivals_.begin();
                arrivals_.erase(arrivals_.begin());
                now = at;
                learn(entry, now);
                continue;
            }
            now = next_exchange;
            exchange_all(++round, now);
        }
        return now;
    }

    std::size_t max_messages_sent() const
    {
        return *std::max_element(sent_counts_.begin(), sent_counts_.end());
    }

private:
    /// Each entry exchanges with the next of its peers; both sides are told.
    void exchange_all(std::size_t round, instant now)
    {
        const auto before = learned_;
        for (std::size_t i = 0; i < before.size(); ++i)
        {
            const auto peer = (i + round) % before.size();
            if (before[i])
                learn(peer, now);
            else if (before[peer])
                learn(i, now);
        }
    }

    std::vector<bool> learned_;                    ///< By entry.
    std::vector<std::size_t> sent_counts_;         ///< Peers, by gossip.
    std::vector<gossip_fanout> fanouts_;           ///< By entry.
    std::multimap<instant, std::size_t> arrivals_; ///< On their way.
    std::size_t informed_ = 0;                     ///< Entries.
};

} // namespace

TEST_CASE("peers are drawn once each, all where there are few")
{
    gossip_fanout fanout({4, 7});
    const std::vector<int> few{1, 2, 3};
    CHECK(fanout.draw(few) == few);
    CHECK(fanout.draw(std::vector<int>{}).empty());
    std::vector<int> many(100);
    std::iota(many.begin(), many.end(), 0);
    std::map<int, int> times;
    for (int i = 0; i < 1000; ++i)
    {
        const auto drawn = fanout.draw(many);
        CHECK(std::set<int>(drawn.begin(), drawn.end()).size() == 4);
        for (const auto peer : drawn)
            ++times[peer];
    }
    CHECK(times.size() == many.size()); // Nobody is left out.
}

// A configuration made each entry exchange with each other one: at 184 entries
// 366 exchanges at each, half a second of what a small one may use.
TEST_CASE(
    "a fact costs an entry a few messages, however many entries there are")
{
    // In force everywhere within 2 s where the bounds are narrowest.
    constexpr duration max_spread_time = seconds{1};
    for (const std::size_t entries : {23, 92, 367, 734})
    {
        gossiping_entries deployment(entries);
        CHECK(deployment.spread_time() <= max_spread_time);
        CHECK(deployment.max_messages_sent() <=
              gossip_fanout_settings{}.targets);
    }
}
