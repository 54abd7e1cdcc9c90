// Tests of how evacuations of halls reach entries and agents.
#include "glenhollow/core/run_after.hpp"
#include "glenhollow/durable/agent_sessions.hpp"
#include "glenhollow/durable/entry_peers.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "glenhollow/runs/run_agent_service.hpp"
#include "platform/catalog_format.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// An entry that sends a set evacuation state to its agents.
struct evacuation_entry : agent_session_listener
{
    void agent_attached(const std::string&, const server_report&) override {}
    void agent_detached(const std::string&) override {}
    void agent_ordered(const std::string&) override {}
    void agent_adopted(const std::string&, part_epoch,
                       const lease_account&) override
    {
    }
    void agent_reported(const std::string&, const server_report& report,
                        const std::vector<run_end>&,
                        const std::vector<run_ref>&) override
    {
        phase = report.account.phase;
    }
    std::vector<run_end> take_confirmed(const std::string&) override
    {
        return {};
    }
    std::vector<part_epoch> owned_parts() const override { return {}; }
    duration room_report_interval(const std::string&,
                                  std::size_t) const override
    {
        return milliseconds{1};
    }
    bool places_for_others(const std::string&) const override { return false; }
    bool places_at(const std::string&) const override { return true; }
    hall_evacuation evacuation_of(const std::string&) const override
    {
        return evacuation;
    }

    hall_evacuation evacuation;
    server_phase phase = server_phase::absent;
};

/// Merges the evacuated halls of peers into its own view.
struct exchanging_entry : entry_peer_handler
{
    explicit exchanging_entry(std::string name) { view.name = std::move(name); }

    entry_view own_view() override { return view; }
    void peer_view_received(const entry_view& other) override
    {
        view.evacuated.take(other.evacuated);
        ++exchanges;
    }
    void serve(const job_call&, job_reply_handler done) override { done({}); }
    std::string catalog_document() override { return {}; }
    wire::PlacementSession::Client
    open_placement(const std::string&, wire::PlacementGrants::Client) override
    {
        return nullptr;
    }

    entry_view view;
    int exchanges = 0;
};

} // namespace

TEST_CASE("only a later version replaces the evacuated halls")
{
    evacuated_halls halls;
    halls.note("hall-1", true);
    CHECK_FALSE(halls.contains("hall-1")); // Not all rows have been read.
    CHECK(halls.complete(7));
    CHECK(halls.contains("hall-1"));
    CHECK_FALSE(halls.take(6, {"hall-2"})); // An entry with an older version.
    CHECK_FALSE(halls.contains("hall-2"));
    CHECK(halls.take(9, {})); // Another entry has read the end of the
                              // evacuation.
    CHECK_FALSE(halls.contains("hall-1"));
    CHECK_FALSE(halls.complete(8)); // This entry's own feed is behind.
    CHECK_FALSE(halls.contains("hall-1"));
    halls.note("hall-1", false);
    CHECK_FALSE(halls.complete(9));
    CHECK(halls.version() == 9);
}

TEST_CASE("the state of an unknown hall has no version")
{
    // An agent that reports before its backend server has registered must not
    // be sent "not evacuated" with the newest version, since it would then
    // ignore the true state at that version.
    evacuated_halls halls;
    halls.take(7, {"hall-1"});
    CHECK(halls.of("").version == 0);
    CHECK(halls.of("hall-1").evacuated);
    CHECK(halls.of("hall-1").version == 7);
    CHECK_FALSE(halls.of("hall-2").evacuated);
    CHECK(halls.of("hall-2").version == 7);
}

TEST_CASE("evacuations are read from the operator's table")
{
    const auto place = platform::operator_catalog_location();
    CHECK(place.table == "op");
    CHECK(place.evacuation_prefix + "olten-a" == "evacuate/olten-a");
}

TEST_CASE(
    "an agent drains while its hall is evacuated and is ready again afterwards")
{
    rpc_loop loop;
    manual_loop runner_loop;
    fake_backend_server runner(runner_loop);
    run_manager manager(runner_loop.clock, runner, runner_loop.delay(), 1000,
                        {});
    server_account account;
    account.service = "service-1";
    account.instance = "life-1";
    account.zone = "hall-1";
    account.capacity = {4000, 1000, 0};
    account.phase = server_phase::ready;
    manager.registered(account);
    manager.begin();
    runner_loop.advance(milliseconds{20});
    REQUIRE(manager.account().phase == server_phase::ready);
    auto agent = std::make_unique<run_agent_service>(
        loop.io(), process_clock(), manager, 1, report_pacing_settings{});
    evacuation_entry entry;
    agent_sessions_settings limits;
    limits.entry = "entry";
    agent_sessions sessions(loop.io(), process_clock(), entry, limits);
    auto listener = rpc_listener::create(loop.io(), "127.0.0.1", 0);
    REQUIRE(listener);
    auto& links = *listener.value();
    std::vector<server_phase> phases;
    std::function<void()> step = [&]
    {
        sessions.tick();
        agent->tick();
        if (entry.phase == server_phase::ready && phases.empty())
        {
            phases.push_back(entry.phase);
            entry.evacuation = {true, 7};
        }
        if (entry.phase == server_phase::draining && phases.size() == 1)
        {
            phases.push_back(entry.phase);
            entry.evacuation = {true, 6}; // An entry with an older version.
            entry.evacuation = {false, 8};
        }
        if (entry.phase == server_phase::ready && phases.size() == 2)
        {
            phases.push_back(entry.phase);
            return loop.stop();
        }
        run_after(loop.io(), milliseconds{2}, step);
    };
    loop.run(
        [&]
        {
            links.serve(agent->bootstrap());
            sessions.add("agent", {"127.0.0.1", links.port()});
            step();
        },
        [&]
        {
            sessions.close();
            agent.reset();
            links.close();
        });
    CHECK(phases.size() == 3);
    CHECK_FALSE(manager.evacuated());
}

TEST_CASE(
    "an entry without access to the store learns evacuations from its peers")
{
    rpc_loop loop;
    exchanging_entry informed("informed");
    informed.view.evacuated.take(7, {"hall-1", "hall-2"});
    exchanging_entry turned_away("turned-away");
    entry_peers server(loop.io(), process_clock(), informed, {});
    entry_peers client(loop.io(), process_clock(), turned_away, {});
    auto listener = rpc_listener::create(loop.io(), "127.0.0.1", 0);
    REQUIRE(listener);
    auto& links = *listener.value();
    std::function<void()> step = [&]
    {
        client.tick();
        if (turned_away.exchanges > 0)
            return loop.stop();
        run_after(loop.io(), milliseconds{2}, step);
    };
    loop.run(
        [&]
        {
            links.serve(server.bootstrap());
            client.add("informed", {"127.0.0.1", links.port()});
            step();
        },
        [&]
        {
            client.close();
            links.close();
        });
    CHECK(turned_away.view.evacuated.version() == 7);
    CHECK(turned_away.view.evacuated.halls() ==
          std::set<std::string>{"hall-1", "hall-2"});
}
