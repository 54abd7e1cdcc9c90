#include "glenhollow/durable/configuration_keeper.hpp"

#include <catch2/catch.hpp>

#include <deque>

using namespace glenhollow;

namespace
{

/// Reads "VERSION SLICES", one slice a step; anything else has a fault.
class counted_reading final : public catalog_reader
{
public:
    explicit counted_reading(std::string_view document)
    {
        const std::string text(document);
        const auto space = text.find(' ');
        if (space == std::string::npos)
            return;
        catalog_.version = std::stoull(text);
        left_ = std::stoull(text.substr(space));
    }

    std::optional<result<queue_catalog>> step() override
    {
        if (left_ == 0)
            return failure{"no numbers"};
        if (--left_ > 0)
            return std::nullopt;
        return catalog_;
    }

private:
    queue_catalog catalog_;
    std::size_t left_ = 0;
};

/// A keeper whose surroundings the test plays.
struct keeper_world
{
    /// Runs what is ready, once each.
    void round()
    {
        auto ready = std::exchange(later, {});
        for (auto& work : ready)
            work();
    }

    void settle()
    {
        while (!later.empty())
            round();
    }

    manual_clock clock;
    std::deque<std::function<void()>> later;
    std::vector<std::pair<std::string, configuration_keeper::copy_handler>>
        asked;
    int readings = 0;
    int taken = 0;
    configuration_keeper keeper{{clock,
                                 [this](std::string_view document)
                                 {
                                     ++readings;
                                     return std::make_unique<counted_reading>(
                                         document);
                                 },
                                 [this](std::function<void()> work)
                                 { later.push_back(std::move(work)); },
                                 [this](const std::string& peer,
                                        configuration_keeper::copy_handler done)
                                 { asked.emplace_back(peer, std::move(done)); },
                                 [this] { ++taken; }},
                                {}};
};

} // namespace

TEST_CASE("a configuration is read in slices, each after what is ready")
{
    keeper_world world;
    world.keeper.from_store("7 20");
    std::size_t rounds = 0;
    while (world.keeper.catalog().version == 0)
    {
        world.round();
        ++rounds;
    }
    CHECK(rounds == 20);
    CHECK(world.taken == 1);
    CHECK(world.keeper.document() == "7 20");
}

TEST_CASE("slices that wait too long are read at once")
{
    keeper_world world;
    world.keeper.from_store("7 20");
    world.round();
    CHECK(world.keeper.catalog().version == 0);
    world.clock.advance(configuration_keeper_settings{}.patience);
    world.round();
    CHECK(world.keeper.catalog().version == 7);
}

TEST_CASE("a known document is not read again, whoever brings it")
{
    keeper_world world;
    world.keeper.from_store("7 5");
    world.round();
    world.keeper.from_store("7 5"); // While it is being read.
    world.settle();
    world.keeper.from_store("7 5");
    world.keeper.from_store("broken");
    world.settle();
    world.keeper.from_store("broken");
    world.settle();
    CHECK(world.readings == 2);
    CHECK(world.keeper.stats().repeated == 3);
    CHECK(world.keeper.stats().unreadable == 1);
    CHECK(world.keeper.catalog().version == 7);
}

TEST_CASE("only a higher version replaces the one in force")
{
    keeper_world world;
    world.keeper.from_store("7 5");
    world.settle();
    world.keeper.from_store("6 5");
    world.settle();
    CHECK(world.keeper.catalog().version == 7);
    CHECK(world.keeper.stats().older == 1);
    CHECK(world.taken == 1);
    // Quick successors: the one in the middle need not be read.
    world.keeper.from_store("8 5");
    world.keeper.from_store("9 5");
    world.keeper.from_store("10 5");
    world.settle();
    CHECK(world.keeper.catalog().version == 10);
    CHECK(world.readings == 4);
}

TEST_CASE("the store is given time to bring what a peer has")
{
    keeper_world world;
    world.keeper.from_store("7 5");
    world.settle();
    world.keeper.heard("b", 8);
    world.keeper.heard("c", 8);
    world.keeper.tick(true);
    CHECK(world.asked.empty());
    world.keeper.from_store("8 5");
    world.settle();
    world.clock.advance(seconds{1});
    world.keeper.tick(true);
    CHECK(world.asked.empty());
}

TEST_CASE("an entry that the store does not serve asks one peer at a time")
{
    keeper_world world;
    for (const auto* peer : {"b", "c", "d"})
        world.keeper.heard(peer, 8);
    world.keeper.tick(false);
    world.keeper.tick(false);
    REQUIRE(world.asked.size() == 1);
    // The first one is silent, the second one has gone, the third one answers.
    world.clock.advance(configuration_keeper_settings{}.fetch_timeout);
    world.keeper.tick(false);
    REQUIRE(world.asked.size() == 2);
    CHECK(world.asked[1].first != world.asked[0].first);
    world.asked[1].second(std::nullopt);
    world.keeper.tick(false);
    REQUIRE(world.asked.size() == 3);
    world.asked[2].second(configuration_copy{8, "8 5"});
    world.settle();
    CHECK(world.keeper.catalog().version == 8);
    // The silent one after all.
    world.asked[0].second(configuration_copy{8, "8 5"});
    world.settle();
    CHECK(world.readings == 1);
}

TEST_CASE("a store that answers but does not bring it is not waited for long")
{
    keeper_world world;
    world.keeper.from_store("7 5");
    world.settle();
    world.keeper.heard("b", 8);
    world.keeper.tick(true);
    CHECK(world.asked.empty());
    world.clock.advance(configuration_keeper_settings{}.store_first);
    world.keeper.tick(true);
    REQUIRE(world.asked.size() == 1);
    // Both bring it at the same time: one reading.
    world.keeper.from_store("8 5");
    world.asked[0].second(configuration_copy{8, "8 5"});
    world.settle();
    CHECK(world.readings == 2);
    CHECK(world.taken == 2);
}

TEST_CASE("an entry with nothing in force asks a peer at once, and only one")
{
    keeper_world world;
    world.keeper.heard("b", 8);
    world.keeper.heard("c", 8);
    REQUIRE(world.asked.size() == 1);
    CHECK(world.asked[0].first == "b");
    world.keeper.from_store("8 5");
    world.asked[0].second(configuration_copy{8, "8 5"});
    world.settle();
    CHECK(world.readings == 1);
    CHECK(world.keeper.catalog().version == 8);
}

TEST_CASE("the store's word is not lost behind a copy that waits")
{
    keeper_world world;
    world.keeper.heard("b", 9);
    world.keeper.tick(false);
    REQUIRE(world.asked.size() == 1);
    world.keeper.from_store("8 5");
    world.asked[0].second(configuration_copy{9, "9 5"});
    world.keeper.from_store("10 5");
    world.settle();
    CHECK(world.keeper.catalog().version == 10);
}
