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

/// An entry that sees a server through an agent over an RPC link.
struct linked_view_fixture
{
    explicit linked_view_fixture(const server_account& registered)
        : account(registered)
    {
        server.incarnation = account.instance;
        server.born_ms = account.born_ms;
        manager.registered(account);
        manager.begin();
        time.advance(milliseconds{20});
    }

    /// Registers the account after a change.
    void register_changed()
    {
        ++account.sequence;
        manager.registered(account);
    }

    /// Runs until a condition holds, which is checked at each step.
    void run_until(std::function<bool()> until)
    {
        done_condition = std::move(until);
        loop.run(
            [this]
            {
                links->serve(agent->bootstrap());
                sessions.add("agent", {"127.0.0.1", links->port()});
                step();
            },
            [this]
            {
                sessions.close();
                agent.reset();
                links->close();
            });
    }

    void step()
    {
        sessions.tick();
        agent->tick();
        if (done_condition())
            return loop.stop();
        run_after(loop.io(), milliseconds{2}, [this] { step(); });
    }

    static agent_sessions_settings session_settings()
    {
        agent_sessions_settings settings;
        settings.entry = "entry";
        return settings;
    }

    rpc_loop loop;
    manual_loop time;
    server_account account;
    fake_backend_server server{time};
    run_manager manager{time.clock, server, time.delay(), 1000, {}};
    std::unique_ptr<run_agent_service> agent =
        std::make_unique<run_agent_service>(loop.io(), process_clock(), manager,
                                            1, report_pacing_settings{});
    viewing_entry entry;
    agent_sessions sessions{loop.io(), process_clock(), entry,
                            session_settings()};
    std::unique_ptr<rpc_listener> links =
        std::move(rpc_listener::create(loop.io(), "127.0.0.1", 0).value());
    std::function<bool()> done_condition;
};

server_account account_of_server_1(std::uint32_t cpu)
{
    server_account account;
    account.service = "service-1";
    account.instance = "server-1";
    account.born_ms = 1000;
    account.capacity = {cpu, 1000, 0};
    account.labels = {"kind-b"};
    account.phase = server_phase::ready;
    return account;
}

} // namespace

TEST_CASE("entries learn the capacity of a server that restarts under its id",
          "[restarted_server]")
{
    // The new server may be of another kind. An entry that keeps the old
    // capacity would overload it.
    linked_view_fixture fixture(account_of_server_1(96000));
    bool restarted = false;
    fixture.run_until(
        [&]
        {
            const auto& seen = fixture.entry.view.account();
            if (seen.phase == server_phase::ready && !restarted)
            {
                CHECK(seen.capacity.cpu == 96000);
                restarted = true;
                fixture.server.restart(2000);
                fixture.time.advance(milliseconds{200});
                fixture.account.born_ms = 2000;
                fixture.account.capacity.cpu = 64000;
                fixture.account.labels = {"kind-a"};
                fixture.register_changed();
                fixture.time.advance(milliseconds{50});
            }
            return restarted && seen.born_ms == 2000 &&
                   seen.phase == server_phase::ready;
        });
    const auto& view = fixture.entry.view;
    CHECK(view.account().capacity.cpu == 64000);
    CHECK(view.has_label("kind-a"));
    CHECK_FALSE(view.has_label("kind-b"));
}

// Guards against entries that keep sending work to a server that has become too
// small for it.
TEST_CASE("entries learn the capacity of a server that shrinks while it runs",
          "[order_capacity]")
{
    linked_view_fixture fixture(account_of_server_1(4000));
    std::size_t last_report = 0; // Must contain the change.
    fixture.run_until(
        [&]
        {
            const auto received = fixture.entry.reports;
            if (last_report == 0 && received > 0)
            {
                fixture.account.capacity.cpu = 2000;
                fixture.register_changed();
                // One report may be on its way.
                last_report = received + 2;
            }
            return last_report != 0 && received >= last_report;
        });
    CHECK(fixture.entry.view.account().capacity.cpu == 2000);
}
