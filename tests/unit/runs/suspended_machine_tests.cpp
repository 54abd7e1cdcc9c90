// A VM may be suspended together with its agent and backend server. The hold is
// measured by a clock that does not count suspended time, while leases do count
// it. Mixing them up would extend holds or end them too early, and a task could
// run at two servers at the same time.
#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"
#include "unit/support/ready_account.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr lease_id entry_lease = memory_lease(0);

struct suspension_fixture
{
    suspension_fixture()
    {
        manager.registered(ready_account(8000));
        manager.begin();
        run(milliseconds{20});
    }

    /// Advances the time.
    /// @param renewed Whether the entry renews its lease.
    void run(duration length, bool renewed = true)
    {
        constexpr duration step = milliseconds{5};
        for (duration passed{}; passed < length; passed += step)
        {
            if (renewed)
                manager.renew(entry_lease, 0, loop.clock.now());
            manager.tick();
            loop.advance(step);
        }
    }

    run_ref order()
    {
        run_order order;
        order.run = {{1, 0, 0, 0}, first_memory_run + 1};
        order.needs = {1000, 10, 0};
        order.estimate_ms = 60'000; // Long enough not to stall.
        manager.order(order, entry_lease);
        run(milliseconds{100});
        return order.run;
    }

    bool runs(const run_ref& run) const
    {
        return std::find(server.running.begin(), server.running.end(), run) !=
               server.running.end();
    }

    manual_loop loop;
    fake_backend_server server{loop};
    run_manager manager{loop.clock, server, loop.delay(), 1000, {}};
};

} // namespace

TEST_CASE("a suspension does not extend the hold", "[suspended]")
{
    suspension_fixture fixture;
    const auto run = fixture.order();
    REQUIRE(fixture.runs(run));
    for (int i = 0; i < 5; ++i)
    {
        // Shorter than the lease: the run continues.
        fixture.loop.clock.suspend(milliseconds{600});
        for (int step = 0; step < 20; ++step)
        {
            fixture.run(milliseconds{5});
            REQUIRE(fixture.server.held_for() <= max_hold);
        }
        REQUIRE(fixture.runs(run));
    }
}

TEST_CASE("runs do not count as lapsed while the hold lasts after a "
          "suspension",
          "[suspended]")
{
    suspension_fixture fixture;
    const auto run = fixture.order();
    // Polls and stops are lost from now on.
    fixture.server.silent = true;
    fixture.server.drop_orders = 1000;
    fixture.run(milliseconds{200});
    REQUIRE(fixture.runs(run));
    fixture.loop.clock.suspend(seconds{3});
    while (fixture.server.held_for() > duration{0})
    {
        REQUIRE(fixture.manager.take_ends(entry_lease).empty());
        fixture.run(milliseconds{5}, false);
    }
    fixture.server.lapse();
    REQUIRE_FALSE(fixture.runs(run));
    fixture.run(seconds{1}, false);
    const auto ends = fixture.manager.take_ends(entry_lease);
    REQUIRE(ends.size() == 1);
    CHECK(ends.front().outcome == run_outcome::lapsed);
}

TEST_CASE("no start after a suspension continues long after its lease",
          "[suspended]")
{
    const run_manager_settings limits;
    for (const auto length : {100, 200, 300, 500, 700})
    {
        INFO("suspended for " << length << " ms");
        suspension_fixture fixture;
        // The lease was renewed before the suspension.
        const auto received = fixture.loop.clock.now();
        fixture.manager.renew(entry_lease, 0, received);
        fixture.loop.clock.suspend(milliseconds{length});
        run_order order;
        order.run = {{1, 0, 0, 0}, first_memory_run + 1};
        order.needs = {1000, 10, 0};
        fixture.manager.order(order, entry_lease);
        fixture.loop.advance(milliseconds{10});
        const auto ends = fixture.loop.clock.now() + fixture.server.held_for();
        CHECK(
            (!fixture.runs(order.run) ||
             ends <= received + limits.memory_lease + limits.held_past_lease));
    }
}

TEST_CASE("a run does not count as stalled because of a suspension",
          "[suspended]")
{
    suspension_fixture fixture;
    run_order order;
    order.run = {{1, 0, 0, 0}, first_memory_run + 1};
    order.needs = {1000, 10, 0};
    order.estimate_ms = 600;
    fixture.manager.order(order, entry_lease);
    fixture.run(milliseconds{100});
    REQUIRE(fixture.runs(order.run));
    // Nothing runs, so polls list no progress.
    fixture.server.makes_no_progress = true;
    fixture.loop.clock.suspend(milliseconds{700});
    fixture.run(milliseconds{50});
    fixture.server.makes_no_progress = false;
    fixture.run(milliseconds{200});
    CHECK(fixture.runs(order.run));
    CHECK(fixture.manager.stats().stalled == 0);
}
