// An owner that was cut off from the store and from all other entries went on
// renewing the leases of its part, while another entry had taken it: see the
// scenario of cut halls in tests/schedule.
#include "glenhollow/durable/claim_evidence.hpp"
#include "glenhollow/durable/job_router.hpp"
#include "glenhollow/durable/part_ownership.hpp"
#include "unit/durable/coordinator_fixture.hpp"
#include "unit/support/idle_entry.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// An entry whose own view is its name alone.
struct named_entry : idle_entry, part_ownership_listener
{
    named_entry() : idle_entry("entry-1") {}

    void part_gained(part_epoch) override {}
    void part_given_up(part_number part) override { lost = part; }
    std::set<std::string> possible_agents() const override { return {}; }

    std::optional<part_number> lost;
};

struct owner_world : coordinator_fixture
{
    owner_world()
    {
        part_ownership_settings limits;
        limits.entry = "entry-1";
        limits.incarnation = 7;
        limits.parts = 1;
        limits.jobs = settings();
        ownership = std::make_unique<part_ownership>(dependencies(), peers,
                                                     entry, limits);
        run(seconds{2});
        REQUIRE(ownership->find(0) != nullptr);
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds{50};
        for (duration passed{}; passed < length; passed += step)
        {
            ownership->tick(true);
            loop.advance(step);
        }
    }

    bool renews() const { return !ownership->renewable().empty(); }

    boost::asio::io_context io;
    named_entry entry;
    entry_peers peers{io, loop.clock, entry, {}};
    std::unique_ptr<part_ownership> ownership;
};

} // namespace

TEST_CASE("a word counts from the moment at which it was asked for",
          "[claim_evidence]")
{
    claim_evidence evidence;
    evidence.store_confirmed(seconds{100});
    const auto good_for = evidence.settings().good_for;
    CHECK(evidence.stands(seconds{100} + good_for, {}));
    CHECK_FALSE(evidence.stands(seconds{100} + good_for + milliseconds{1}, {}));
    // An answer to an earlier question makes it no older.
    evidence.store_confirmed(seconds{99});
    CHECK(evidence.stands(seconds{100} + good_for, {}));
    CHECK(evidence.stands(seconds{105}, seconds{104}));
    CHECK_FALSE(evidence.stands(seconds{105}, seconds{103}));
}

TEST_CASE("the store is asked before its last word is too old",
          "[claim_evidence]")
{
    claim_evidence evidence;
    evidence.store_confirmed(seconds{100});
    const auto& limits = evidence.settings();
    CHECK_FALSE(evidence.ask_store(seconds{100}));
    CHECK(limits.ask_after < limits.good_for);
    const auto due = seconds{100} + limits.ask_after;
    CHECK(evidence.ask_store(due));
    CHECK_FALSE(evidence.ask_store(due + milliseconds{50}));
    CHECK(evidence.ask_store(due + limits.ask_again));
}

TEST_CASE("an owner that writes nothing renews while the store bears it out",
          "[claim_evidence]")
{
    owner_world world;
    for (int i = 0; i < 100; ++i)
    {
        world.run(milliseconds{50});
        REQUIRE(world.renews());
    }
}

TEST_CASE("an owner without a word of the store, and of an entry that may have "
          "taken the part, renews nothing",
          "[claim_evidence]")
{
    owner_world world;
    world.peers.add("entry-2", {"127.0.0.1", 1});
    world.run(milliseconds{200});
    CHECK(world.renews());
    world.store.down = true;
    world.run(milliseconds{700});
    // The longest that a word is old when the store falls silent.
    world.run(milliseconds{1000});
    CHECK_FALSE(world.renews());
    CHECK(world.ownership->stats().unborne == 1);
    CHECK(world.ownership->find(0) != nullptr);
    world.store.down = false;
    world.run(milliseconds{400});
    CHECK(world.renews());
}

// Callers were told 410 for jobs that they had handed in three seconds before
// and more: they asked an owner that was cut off, while another entry had taken
// its part and accepted the job. Evidence: real programs, plan owner_cut_off,
// seeds 5201 and 5202: 3 and 14 such answers before the mend, all while the cut
// lasted.
TEST_CASE("an owner that nobody bears out does not deny a job",
          "[claim_evidence]")
{
    owner_world world;
    world.peers.add("entry-2", {"127.0.0.1", 1});
    job_router router(world.loop.clock, world.loop.delay(), *world.ownership,
                      world.peers, {.parts = 1});
    const auto ask = [&]
    {
        std::optional<job_outcome> told;
        router.serve_locally({job_verb::state, 99, {}},
                             [&](const job_reply& got) { told = got.outcome; });
        world.run(milliseconds{100});
        return told;
    };
    CHECK(ask() == job_outcome::missing);
    world.store.down = true;
    world.run(milliseconds{1700});
    CHECK(ask() == job_outcome::not_owner);
    world.store.down = false;
    world.run(milliseconds{400});
    CHECK(ask() == job_outcome::missing);
}

TEST_CASE("while the store is silent, an owner without others goes on",
          "[claim_evidence]")
{
    owner_world world;
    world.store.down = true;
    world.run(seconds{5});
    CHECK(world.renews());
}

TEST_CASE("an entry that had been silent for long is not waited for",
          "[claim_evidence]")
{
    owner_world world;
    world.peers.add("entry-2", {"127.0.0.1", 1});
    world.run(seconds{62});
    world.store.down = true;
    world.run(seconds{3});
    CHECK(world.renews());
}

TEST_CASE("an owner whose claim was followed by another one learns it of the "
          "store",
          "[claim_evidence]")
{
    owner_world world;
    chain_head taken;
    taken.owner = "entry-2";
    taken.incarnation = 8;
    taken.epoch = world.ownership->find(0)->epoch().epoch + 1;
    world.store.put(head_key(0), encode_head(taken));
    world.run(seconds{1});
    CHECK(world.entry.lost == part_number{0});
    CHECK_FALSE(world.renews());
    CHECK(world.ownership->stats().outlived == 1);
}

TEST_CASE("a machine that is suspended has no fresh word when it wakes",
          "[claim_evidence]")
{
    owner_world world;
    world.peers.add("entry-2", {"127.0.0.1", 1});
    world.run(milliseconds{200});
    REQUIRE(world.renews());
    world.loop.clock.suspend(seconds{2});
    // What agents have sent meanwhile is read before any timer fires.
    CHECK_FALSE(world.renews());
    world.run(milliseconds{200});
    CHECK(world.renews());
}
