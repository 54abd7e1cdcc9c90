// Tests of the cost and the duration of spreading a fact to all entries, at
// several sizes of the deployment.
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

/// Entries that spread one fact by gossip and by periodic exchanges with one
/// peer after another.
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

    /// @return Time after which all entries know a fact that one learned at
    /// time 0.
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
    /// Each entry exchanges with its next peer; both sides learn the fact.
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

    std::vector<bool> learned_; ///< Whether an entry knows the fact.
    /// Gossip messages sent by each entry.
    std::vector<std::size_t> sent_counts_;
    std::vector<gossip_fanout> fanouts_; ///< Gossip fanout of each entry.
    /// Messages on their way, by time of arrival.
    std::multimap<instant, std::size_t> arrivals_;
    std::size_t informed_ = 0; ///< Number of entries that know the fact.
};

} // namespace

TEST_CASE("gossip draws distinct peers, and all of them if there are few")
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
    CHECK(times.size() == many.size()); // Every peer is drawn at some time.
}

// Guards against a fact costing each entry one exchange with every other entry.
TEST_CASE("the messages per entry for a fact do not grow with the entries")
{
    // Half of the shortest time by which a configuration must be in force
    // everywhere.
    constexpr duration max_spread_time = seconds{1};
    for (const std::size_t entries : {23, 92, 367, 734})
    {
        gossiping_entries deployment(entries);
        CHECK(deployment.spread_time() <= max_spread_time);
        CHECK(deployment.max_messages_sent() <=
              gossip_fanout_settings{}.targets);
    }
}
