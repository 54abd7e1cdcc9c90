// Guards against an owner that renews the leases of a part which another entry
// has taken, because it is cut off from the store and from all other entries.
#include "glenhollow/durable/claim_validity.hpp"
#include "glenhollow/durable/job_router.hpp"
#include "glenhollow/durable/part_ownership.hpp"
#include "unit/durable/coordinator_fixture.hpp"
#include "unit/support/idle_entry.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// Entry whose view contains only its name.
struct named_entry : idle_entry, part_ownership_listener
{
    named_entry() : idle_entry("entry-1") {}

    void ownership_acquired(part_epoch) override {}
    void ownership_ended(part_number part) override { lost = part; }
    std::set<std::string> possible_agents() const override { return {}; }
    bool knows_all_entries() const override { return members_read; }

    std::optional<part_number> lost;
    bool members_read = true; ///< Whether all other entries are known.
};

struct owner_fixture : coordinator_fixture
{
    owner_fixture()
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

    /// Lets the due connection attempts be refused.
    void refuse_connections()
    {
        peers.tick();
        io.restart();
        io.run();
    }

    bool renews() const { return !ownership->renewable().empty(); }

    boost::asio::io_context io;
    named_entry entry;
    entry_peers peers{io, loop.clock, entry, {}};
    std::unique_ptr<part_ownership> ownership;
};

} // namespace

TEST_CASE("a confirmation is valid from the time its request was sent",
          "[claim_evidence]")
{
    claim_validity validity;
    validity.store_confirmed(seconds{100});
    const auto max_age = validity.settings().max_age;
    CHECK(validity.is_valid(seconds{100} + max_age, {}));
    CHECK_FALSE(
        validity.is_valid(seconds{100} + max_age + milliseconds{1}, {}));
    // A late answer to an earlier request does not make it older.
    validity.store_confirmed(seconds{99});
    CHECK(validity.is_valid(seconds{100} + max_age, {}));
    CHECK(validity.is_valid(seconds{105}, seconds{104}));
    CHECK_FALSE(validity.is_valid(seconds{105}, seconds{103}));
}

TEST_CASE("the store is asked again before its confirmation expires",
          "[claim_evidence]")
{
    claim_validity validity;
    validity.store_confirmed(seconds{100});
    const auto& limits = validity.settings();
    CHECK_FALSE(validity.begin_store_check(seconds{100}));
    CHECK(limits.check_after < limits.max_age);
    const auto due = seconds{100} + limits.check_after;
    CHECK(validity.begin_store_check(due));
    CHECK_FALSE(validity.begin_store_check(due + milliseconds{50}));
    CHECK(validity.begin_store_check(due + limits.check_interval));
}

TEST_CASE("an idle owner renews leases while the store confirms its claim",
          "[claim_evidence]")
{
    owner_fixture fixture;
    for (int i = 0; i < 100; ++i)
    {
        fixture.run(milliseconds{50});
        REQUIRE(fixture.renews());
    }
}

TEST_CASE("an owner renews no leases while neither the store nor an entry that "
          "may have taken the part confirms its claim",
          "[claim_evidence]")
{
    owner_fixture fixture;
    fixture.peers.add("entry-2", {"127.0.0.1", 1});
    fixture.run(milliseconds{200});
    CHECK(fixture.renews());
    fixture.store.down = true;
    fixture.run(milliseconds{700});
    // The greatest age of a confirmation at the time the store goes down.
    fixture.run(milliseconds{1000});
    CHECK_FALSE(fixture.renews());
    CHECK(fixture.ownership->stats().unconfirmed == 1);
    CHECK(fixture.ownership->find(0) != nullptr);
    fixture.store.down = false;
    fixture.run(milliseconds{400});
    CHECK(fixture.renews());
}

// Guards against an owner that renews leases after another entry has claimed
// the part, because a partition refuses its connections to that entry.
TEST_CASE("a refused connection does not confirm a claim", "[claim_evidence]")
{
    owner_fixture fixture;
    fixture.peers.add("entry-2", {"127.0.0.1", 1});
    fixture.refuse_connections();
    REQUIRE(fixture.peers.refuses_connections("entry-2"));
    fixture.store.down = true;
    for (int i = 0; i < 17; ++i)
    {
        fixture.run(milliseconds{100});
        fixture.refuse_connections();
    }
    CHECK_FALSE(fixture.renews());
    CHECK(fixture.ownership->may_be_superseded(0));
    fixture.store.down = false;
    fixture.run(milliseconds{400});
    CHECK(fixture.renews());
}

// Guards against a restarted owner that renews leases, and denies jobs, while
// an entry that it has not heard of yet may have taken the part.
TEST_CASE("an owner that does not know all entries needs the store",
          "[claim_evidence]")
{
    owner_fixture fixture;
    fixture.entry.members_read = false;
    fixture.run(milliseconds{200});
    CHECK(fixture.renews());
    fixture.store.down = true;
    fixture.run(milliseconds{1700});
    CHECK_FALSE(fixture.renews());
    CHECK(fixture.ownership->may_be_superseded(0));
    fixture.entry.members_read = true;
    CHECK(fixture.renews());
}

// Guards against callers who are told that their job does not exist, because a
// cut-off owner answers while another entry has taken the part and has the job.
TEST_CASE("an owner with an unconfirmed claim does not deny a job",
          "[claim_evidence]")
{
    owner_fixture fixture;
    fixture.peers.add("entry-2", {"127.0.0.1", 1});
    job_router router(fixture.loop.clock, fixture.loop.delay(),
                      *fixture.ownership, fixture.peers, {.parts = 1});
    const auto ask = [&]
    {
        std::optional<job_outcome> told;
        router.serve_locally({job_verb::state, 99, {}},
                             [&](const job_reply& got) { told = got.outcome; });
        fixture.run(milliseconds{100});
        return told;
    };
    CHECK(ask() == job_outcome::missing);
    fixture.store.down = true;
    fixture.run(milliseconds{1700});
    CHECK(ask() == job_outcome::not_owner);
    fixture.store.down = false;
    fixture.run(milliseconds{400});
    CHECK(ask() == job_outcome::missing);
}

TEST_CASE(
    "an owner without other entries keeps renewing while the store is down",
    "[claim_evidence]")
{
    owner_fixture fixture;
    fixture.store.down = true;
    fixture.run(seconds{5});
    CHECK(fixture.renews());
}

TEST_CASE("a long-silent entry need not confirm a claim", "[claim_evidence]")
{
    owner_fixture fixture;
    fixture.peers.add("entry-2", {"127.0.0.1", 1});
    fixture.run(seconds{62});
    fixture.store.down = true;
    fixture.run(seconds{3});
    CHECK(fixture.renews());
}

TEST_CASE("an owner learns from the store that its claim is superseded",
          "[claim_evidence]")
{
    owner_fixture fixture;
    chain_head taken;
    taken.owner = "entry-2";
    taken.incarnation = 8;
    taken.epoch = fixture.ownership->find(0)->epoch().epoch + 1;
    fixture.store.put(head_key(0), encode_head(taken));
    fixture.run(seconds{1});
    CHECK(fixture.entry.lost == part_number{0});
    CHECK_FALSE(fixture.renews());
    CHECK(fixture.ownership->stats().superseded == 1);
}

TEST_CASE("a claim is not confirmed when a suspended process resumes",
          "[claim_evidence]")
{
    owner_fixture fixture;
    fixture.peers.add("entry-2", {"127.0.0.1", 1});
    fixture.run(milliseconds{200});
    REQUIRE(fixture.renews());
    fixture.loop.clock.suspend(seconds{2});
    // Messages that agents sent in the meantime are read before timers fire.
    CHECK_FALSE(fixture.renews());
    fixture.run(milliseconds{200});
    CHECK(fixture.renews());
}
