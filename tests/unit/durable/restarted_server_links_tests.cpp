// Tests of a backend server that restarts under its id, as entries see it.
#include "glenhollow/core/run_after.hpp"
#include "glenhollow/durable/agent_sessions.hpp"
#include "glenhollow/durable/agent_view.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "glenhollow/runs/run_agent_service.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// An entry that keeps a view of one agent.
struct viewing_entry : agent_session_listener
{
    void agent_attached(const std::string&, const server_report& told) override
    {
        view.attached(told);
    }
    void agent_detached(const std::string&) override { view.detached(); }
    void agent_ordered(const std::string&) override {}
    void agent_adopted(const std::string&, part_epoch,
                       const lease_account&) override
    {
    }
    void agent_reported(const std::string&, const server_report& told,
                        const std::vector<run_end>&,
                        const std::vector<run_ref>&) override
    {
        ++reports;
        view.reported(told);
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
        return {};
    }

    agent_view view{"agent"};
    std::size_t reports = 0; ///< Reports received.
};

} // namespace

TEST_CASE("entries learn the capacity of a server that restarts under its id",
          "[restarted_server]")
{
    // The new server may be of another kind. An entry that keeps the old
    // capacity would overload it.
    rpc_loop loop;
    manual_loop time;
    fake_backend_server server(time);
    server.incarnation = "server-1";
    server.born_ms = 1000;
    run_manager manager(time.clock, server, time.delay(), 1000, {});
    server_account account;
    account.service = "service-1";
    account.instance = "server-1";
    account.born_ms = 1000;
    account.capacity = {96000, 1000, 0};
    account.labels = {"kind-b"};
    account.phase = server_phase::ready;
    manager.registered(account);
    manager.begin();
    time.advance(milliseconds{20});
    auto agent = std::make_unique<run_agent_service>(
        loop.io(), process_clock(), manager, 1, report_pacing_settings{});
    viewing_entry entry;
    agent_sessions_settings limits;
    limits.entry = "entry";
    agent_sessions sessions(loop.io(), process_clock(), entry, limits);
    auto listener = rpc_listener::create(loop.io(), "127.0.0.1", 0);
    REQUIRE(listener);
    auto& links = *listener.value();
    bool restarted = false;
    std::function<void()> step = [&]
    {
        sessions.tick();
        agent->tick();
        const auto& seen = entry.view.account();
        if (seen.phase == server_phase::ready && !restarted)
        {
            CHECK(seen.capacity.cpu == 96000);
            restarted = true;
            server.restart(2000);
            time.advance(milliseconds{200});
            account.born_ms = 2000;
            account.capacity = {64000, 1000, 0};
            account.labels = {"kind-a"};
            manager.registered(account);
            time.advance(milliseconds{50});
        }
        if (restarted && seen.born_ms == 2000 &&
            seen.phase == server_phase::ready)
            return loop.stop();
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
    CHECK(entry.view.account().capacity.cpu == 64000);
    CHECK(entry.view.has_label("kind-a"));
    CHECK_FALSE(entry.view.has_label("kind-b"));
}

// Guards against entries that keep sending work to a server that has become too
// small for it.
TEST_CASE("entries learn the capacity of a server that shrinks while it runs",
          "[order_capacity]")
{
    rpc_loop loop;
    manual_loop time;
    fake_backend_server server(time);
    server.incarnation = "server-1";
    run_manager manager(time.clock, server, time.delay(), 1000, {});
    server_account account;
    account.service = "service-1";
    account.instance = "server-1";
    account.capacity = {4000, 1000, 0};
    account.phase = server_phase::ready;
    manager.registered(account);
    manager.begin();
    time.advance(milliseconds{20});
    auto agent = std::make_unique<run_agent_service>(
        loop.io(), process_clock(), manager, 1, report_pacing_settings{});
    viewing_entry entry;
    agent_sessions_settings limits;
    limits.entry = "entry";
    agent_sessions sessions(loop.io(), process_clock(), entry, limits);
    auto listener = rpc_listener::create(loop.io(), "127.0.0.1", 0);
    REQUIRE(listener);
    auto& links = *listener.value();
    std::size_t last_report = 0; // The first one that must tell the change.
    std::function<void()> step = [&]
    {
        sessions.tick();
        agent->tick();
        if (last_report == 0 && entry.reports > 0)
        {
            account.capacity.cpu = 2000;
            account.sequence = 1;
            manager.registered(account);
            // One more may be on its way.
            last_report = entry.reports + 2;
        }
        if (last_report != 0 && entry.reports >= last_report)
            return loop.stop();
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
    CHECK(entry.view.account().capacity.cpu == 2000);
}
