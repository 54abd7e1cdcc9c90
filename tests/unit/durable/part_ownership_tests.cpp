// Guards against tasks that run twice because an entry takes a part before it
// has read the member rows: it must wait for the leases of all agents that have
// a row, not only of those that it knows.
#include "glenhollow/durable/member_directory.hpp"
#include "glenhollow/durable/part_ownership.hpp"
#include "unit/durable/coordinator_fixture.hpp"
#include "unit/support/idle_entry.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// Entry that has not read any member row.
struct restarted_entry : idle_entry, part_ownership_listener
{
    restarted_entry() : idle_entry("") {}

    void ownership_acquired(part_epoch part) override { gained = part; }
    void ownership_ended(part_number) override {}
    std::set<std::string> possible_agents() const override { return {}; }
    bool knows_all_entries() const override { return false; }

    part_epoch gained;
};

/// A part that the entry takes over, and the agents that may run its tasks.
struct takeover_fixture : coordinator_fixture
{
    takeover_fixture()
    {
        owner(1);
        submit(job(7));
        started.clear();
        placing.release(0);
        coordinator.reset();
        part_ownership_settings limits;
        limits.entry = "entry-2";
        limits.incarnation = own_incarnation;
        limits.parts = 1;
        limits.jobs = settings();
        ownership = std::make_unique<part_ownership>(dependencies(), peers,
                                                     entry, limits);
    }

    std::optional<run_order> assign(const ready_task& task,
                                    const std::string& agent) override
    {
        if (!ownership)
            return coordinator_fixture::assign(task, agent);
        auto* jobs = ownership->find(0);
        return jobs == nullptr ? std::nullopt : jobs->assign(task, agent);
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds{10};
        for (duration passed{}; passed < length; passed += step)
        {
            ownership->tick(true);
            if (ownership->find(0) != nullptr)
                adopt(0);
            placing.dispatch();
            loop.advance(step);
        }
    }

    /// Runs while entry-1 refuses connections.
    void run_refused(duration length)
    {
        constexpr duration step = milliseconds{50};
        for (duration passed{}; passed < length; passed += step)
        {
            peers.tick();
            io.restart();
            io.run();
            run(step);
        }
    }

    /// Writes a claim of entry-1.
    void claim_as_entry_1(std::uint32_t epoch)
    {
        chain_head head;
        head.owner = "entry-1";
        head.incarnation = 1; // As in owner().
        head.epoch = epoch;
        store.put(head_key(0), encode_head(head));
    }

    static constexpr std::uint64_t own_incarnation = 7;
    boost::asio::io_context io;
    restarted_entry entry;
    entry_peers peers{io, loop.clock, entry, {}};
    std::unique_ptr<part_ownership> ownership;
};

} // namespace

TEST_CASE("an entry without member rows waits for all agents of a part",
          "[unread_members]")
{
    takeover_fixture fixture;
    for (const auto* name : {"agent-1", "agent-2"})
        fixture.store.put({std::string(members_table), {}, name},
                          R"(["agent","127.0.0.1:7600"])");
    fixture.run(seconds{2});
    REQUIRE(fixture.ownership->find(0) != nullptr);
    CHECK(fixture.started.empty());
    // One agent has a run end that is not journalled.
    lease_account account;
    account.ends.push_back(
        {{{7, 0, 0, 0}, 1}, run_outcome::done, 1, 1000, true});
    fixture.ownership->find(0)->reconcile_agent("agent-1", account);
    fixture.ownership->find(0)->reconcile_agent("agent-2", {});
    fixture.run(milliseconds{100});
    REQUIRE(fixture.started.size() == 1);
    CHECK(fixture.started.front().second.task == task_ref{7, 0, 0, 1});
}

TEST_CASE("a part without open jobs waits for no agent", "[unread_members]")
{
    takeover_fixture fixture;
    fixture.store.put({std::string(members_table), {}, "agent-1"},
                      R"(["agent","127.0.0.1:7600"])");
    fixture.run(seconds{2});
    auto* jobs = fixture.ownership->find(0);
    REQUIRE(jobs != nullptr);
    fixture.ownership->find(0)->reconcile_agent("agent-1", {});
    fixture.run(milliseconds{100});
    CHECK(fixture.started.size() == 2);
}

// Guards against entries that take a part from each other again and again while
// a partition refuses their connections to each other.
TEST_CASE("an owner that claims its part again has not ended",
          "[refused_owner]")
{
    takeover_fixture fixture;
    auto& ownership = *fixture.ownership;
    fixture.peers.add("entry-1", {"127.0.0.1", 1});
    fixture.run_refused(milliseconds{200});
    REQUIRE(ownership.find(0) != nullptr);
    const auto epoch = ownership.find(0)->epoch().epoch;
    fixture.claim_as_entry_1(epoch + 1);
    fixture.run_refused(seconds{1});
    REQUIRE(ownership.stats().lost == 1);
    for (int i = 0; i < 20; ++i)
    {
        fixture.claim_as_entry_1(epoch + 1); // A write of its journal.
        fixture.run_refused(milliseconds{100});
    }
    CHECK(ownership.stats().claims == 1);
    CHECK(ownership.find(0) == nullptr);
    // It has ended now.
    fixture.run_refused(seconds{1});
    CHECK(ownership.find(0) != nullptr);
}
