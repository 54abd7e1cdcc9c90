#include "glenhollow/durable/configuration_tracker.hpp"

#include <catch2/catch.hpp>

#include <deque>

using namespace glenhollow;

namespace
{

/// Parses "VERSION SLICES", one slice per step; any other text is invalid.
class sliced_reading final : public catalog_reader
{
public:
    explicit sliced_reading(std::string_view document)
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

/// Tracker whose dependencies are controlled by the test.
struct tracker_fixture
{
    /// Runs the work that is ready, without work that it adds.
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
    std::vector<std::pair<std::string, configuration_tracker::copy_handler>>
        fetches;
    int readings = 0;
    int applied = 0;
    configuration_tracker tracker{
        {clock,
         [this](std::string_view document)
         {
             ++readings;
             return std::make_unique<sliced_reading>(document);
         },
         [this](std::function<void()> work)
         { later.push_back(std::move(work)); },
         [this](const std::string& peer,
                configuration_tracker::copy_handler done)
         { fetches.emplace_back(peer, std::move(done)); },
         [this] { ++applied; }},
        {}};
};

} // namespace

TEST_CASE("a configuration is parsed in slices, each after other ready work")
{
    tracker_fixture fixture;
    fixture.tracker.offer_from_store("7 20");
    std::size_t rounds = 0;
    while (fixture.tracker.catalog().version == 0)
    {
        fixture.round();
        ++rounds;
    }
    CHECK(rounds == 20);
    CHECK(fixture.applied == 1);
    CHECK(fixture.tracker.document() == "7 20");
}

TEST_CASE("slices that wait too long are parsed in one go")
{
    tracker_fixture fixture;
    fixture.tracker.offer_from_store("7 20");
    fixture.round();
    CHECK(fixture.tracker.catalog().version == 0);
    fixture.clock.advance(configuration_tracker_settings{}.max_slice_wait);
    fixture.round();
    CHECK(fixture.tracker.catalog().version == 7);
}

TEST_CASE("a known document is not parsed again, whatever its source")
{
    tracker_fixture fixture;
    fixture.tracker.offer_from_store("7 5");
    fixture.round();
    // The same document is being parsed.
    fixture.tracker.offer_from_store("7 5");
    fixture.settle();
    fixture.tracker.offer_from_store("7 5");
    fixture.tracker.offer_from_store("broken");
    fixture.settle();
    fixture.tracker.offer_from_store("broken");
    fixture.settle();
    CHECK(fixture.readings == 2);
    CHECK(fixture.tracker.stats().repeated == 3);
    CHECK(fixture.tracker.stats().invalid == 1);
    CHECK(fixture.tracker.catalog().version == 7);
}

TEST_CASE("only a higher version replaces the configuration in force")
{
    tracker_fixture fixture;
    fixture.tracker.offer_from_store("7 5");
    fixture.settle();
    fixture.tracker.offer_from_store("6 5");
    fixture.settle();
    CHECK(fixture.tracker.catalog().version == 7);
    CHECK(fixture.tracker.stats().stale == 1);
    CHECK(fixture.applied == 1);
    // A queued version is replaced by a later one without being parsed.
    fixture.tracker.offer_from_store("8 5");
    fixture.tracker.offer_from_store("9 5");
    fixture.tracker.offer_from_store("10 5");
    fixture.settle();
    CHECK(fixture.tracker.catalog().version == 10);
    CHECK(fixture.readings == 4);
}

TEST_CASE("the store gets time to deliver a version that a peer has")
{
    tracker_fixture fixture;
    fixture.tracker.offer_from_store("7 5");
    fixture.settle();
    fixture.tracker.peer_has_version("b", 8);
    fixture.tracker.peer_has_version("c", 8);
    fixture.tracker.tick(true);
    CHECK(fixture.fetches.empty());
    fixture.tracker.offer_from_store("8 5");
    fixture.settle();
    fixture.clock.advance(seconds{1});
    fixture.tracker.tick(true);
    CHECK(fixture.fetches.empty());
}

TEST_CASE("an entry asks one peer at a time while the store is unreachable")
{
    tracker_fixture fixture;
    for (const auto* peer : {"b", "c", "d"})
        fixture.tracker.peer_has_version(peer, 8);
    fixture.tracker.tick(false);
    fixture.tracker.tick(false);
    REQUIRE(fixture.fetches.size() == 1);
    // The first peer is silent, the second one fails, the third one answers.
    fixture.clock.advance(configuration_tracker_settings{}.fetch_timeout);
    fixture.tracker.tick(false);
    REQUIRE(fixture.fetches.size() == 2);
    CHECK(fixture.fetches[1].first != fixture.fetches[0].first);
    fixture.fetches[1].second(std::nullopt);
    fixture.tracker.tick(false);
    REQUIRE(fixture.fetches.size() == 3);
    fixture.fetches[2].second(configuration_copy{8, "8 5"});
    fixture.settle();
    CHECK(fixture.tracker.catalog().version == 8);
    // The late answer of the first peer is ignored.
    fixture.fetches[0].second(configuration_copy{8, "8 5"});
    fixture.settle();
    CHECK(fixture.readings == 1);
}

TEST_CASE("a peer is asked if the store does not deliver a version in time")
{
    tracker_fixture fixture;
    fixture.tracker.offer_from_store("7 5");
    fixture.settle();
    fixture.tracker.peer_has_version("b", 8);
    fixture.tracker.tick(true);
    CHECK(fixture.fetches.empty());
    fixture.clock.advance(configuration_tracker_settings{}.store_grace);
    fixture.tracker.tick(true);
    REQUIRE(fixture.fetches.size() == 1);
    // Both deliver the version at the same time; it is parsed once.
    fixture.tracker.offer_from_store("8 5");
    fixture.fetches[0].second(configuration_copy{8, "8 5"});
    fixture.settle();
    CHECK(fixture.readings == 2);
    CHECK(fixture.applied == 2);
}

TEST_CASE("an entry without a configuration asks one peer immediately")
{
    tracker_fixture fixture;
    fixture.tracker.peer_has_version("b", 8);
    fixture.tracker.peer_has_version("c", 8);
    REQUIRE(fixture.fetches.size() == 1);
    CHECK(fixture.fetches[0].first == "b");
    fixture.tracker.offer_from_store("8 5");
    fixture.fetches[0].second(configuration_copy{8, "8 5"});
    fixture.settle();
    CHECK(fixture.readings == 1);
    CHECK(fixture.tracker.catalog().version == 8);
}

TEST_CASE("a document from the store replaces a waiting copy")
{
    tracker_fixture fixture;
    fixture.tracker.peer_has_version("b", 9);
    fixture.tracker.tick(false);
    REQUIRE(fixture.fetches.size() == 1);
    fixture.tracker.offer_from_store("8 5");
    fixture.fetches[0].second(configuration_copy{9, "9 5"});
    fixture.tracker.offer_from_store("10 5");
    fixture.settle();
    CHECK(fixture.tracker.catalog().version == 10);
}
