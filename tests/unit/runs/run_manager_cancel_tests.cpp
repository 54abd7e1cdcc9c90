// A backend server may carry out starts late, after their job was cancelled.
#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr lease_id entry_lease = memory_lease(0);
constexpr run_ref wanted{{42, 0, 0, 0}, first_memory_run + 1};

/// A run manager, a backend server and an entry that may end.
struct cancel_fixture
{
    cancel_fixture()
    {
        account.service = "service-1";
        account.instance = "life-1";
        account.capacity = {4000, 1000, 0};
        account.phase = server_phase::ready;
        make();
    }

    void make()
    {
        manager = std::make_unique<run_manager>(
            loop.clock, server, loop.delay(), 1000, run_manager_settings{});
        manager->registered(account);
        manager->begin();
        run(milliseconds{20});
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds{10};
        for (duration passed{}; passed < length; passed += step)
        {
            if (entry_answers)
                manager->renew(entry_lease, 0, loop.clock.now());
            manager->tick();
            loop.advance(step);
        }
    }

    void order()
    {
        run_order order;
        order.run = wanted;
        order.needs = {1000, 10, 0};
        manager->order(order, entry_lease);
    }

    /// Carries out the unanswered starts.
    /// @return Whether a run is running.
    bool carry_out_late()
    {
        for (const auto& [run, context] : std::exchange(server.late_starts, {}))
            server.begin(run, context);
        return runs();
    }

    bool runs() const { return !server.running.empty(); }

    manual_loop loop;
    fake_backend_server server{loop};
    server_account account;
    bool entry_answers = true;
    std::unique_ptr<run_manager> manager;
};

} // namespace

TEST_CASE("an unanswered start of a cancelled job is prevented")
{
    cancel_fixture fixture;
    fixture.server.drop_orders = 1;
    fixture.order();
    fixture.manager->stop(wanted); // The start does not count as lost yet.
    fixture.run(milliseconds{100});
    CHECK_FALSE(fixture.carry_out_late());
    fixture.run(milliseconds{400});
    CHECK(fixture.manager->take_ends(entry_lease).size() == 1);
}

TEST_CASE("an unanswered start is prevented even if its stops are lost")
{
    cancel_fixture fixture;
    fixture.server.drop_orders = 3; // The start and two stops.
    fixture.order();
    fixture.manager->stop(wanted);
    fixture.run(milliseconds{1200});
    CHECK_FALSE(fixture.carry_out_late());
    CHECK(fixture.server.barred.size() >= 1);
}

TEST_CASE("a late start carried out before the stop is stopped")
{
    cancel_fixture fixture;
    fixture.server.drop_orders = 2; // The start and the stop.
    fixture.order();
    fixture.manager->stop(wanted);
    fixture.run(milliseconds{20});
    REQUIRE(fixture.carry_out_late());
    fixture.run(milliseconds{500});
    CHECK_FALSE(fixture.runs());
}

TEST_CASE("a late start found by a restarted agent is stopped")
{
    // The job was cancelled meanwhile, so no entry claims the run.
    cancel_fixture fixture;
    fixture.server.drop_orders = 1;
    fixture.order();
    fixture.make();
    fixture.manager->adopt(entry_lease, 0);
    fixture.run(milliseconds{200});
    REQUIRE(fixture.carry_out_late());
    fixture.run(milliseconds{900});
    CHECK_FALSE(fixture.runs());
}

TEST_CASE("a late start for a removed entry is stopped")
{
    cancel_fixture fixture;
    fixture.server.drop_orders = 2; // The start and its stop.
    fixture.order();
    fixture.run(milliseconds{20});
    fixture.entry_answers = false;
    REQUIRE(fixture.carry_out_late());
    // The lease, the time to stop, and the hold if stops fail.
    fixture.run(milliseconds{2000});
    CHECK_FALSE(fixture.runs());
    CHECK_FALSE(fixture.carry_out_late());
}

TEST_CASE("a run that is listed after its end is stopped")
{
    cancel_fixture fixture;
    fixture.server.drop_orders = 1;
    fixture.order();
    fixture.run(milliseconds{400});
    REQUIRE(fixture.manager->take_ends(entry_lease).size() == 1);
    fixture.server.barred.clear();
    REQUIRE(fixture.server.late_starts.size() == 1);
    auto [run, context] = fixture.server.late_starts.front();
    context.deadline_ms += 1000;
    REQUIRE(fixture.server.begin(run, context) == order_outcome::done);
    fixture.run(milliseconds{300});
    CHECK_FALSE(fixture.runs());
}
