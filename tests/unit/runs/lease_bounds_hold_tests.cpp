// Runs of an ended entry must end before its caller resends the job to another
// entry, even if their agent is suspended. Otherwise a task runs at two servers
// at the same time.
#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"
#include "unit/support/ready_account.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr lease_id ended_entry = memory_lease(0);
constexpr lease_id live_entry = memory_lease(1);
constexpr duration caller_resend_delay = milliseconds{1300};

/// An agent with runs of two entries.
struct two_entries_fixture
{
    two_entries_fixture()
    {
        manager.registered(ready_account(8000));
        manager.begin();
        run(milliseconds{20}, true);
    }

    /// Advances the time.
    /// @param both Whether both entries renew their leases.
    void run(duration length, bool both)
    {
        constexpr duration step = milliseconds{10};
        for (duration passed{}; passed < length; passed += step)
        {
            if (both)
                manager.renew(ended_entry, 0, loop.clock.now());
            manager.renew(live_entry, 0, loop.clock.now());
            manager.tick();
            loop.advance(step);
        }
    }

    run_ref order(job_id job, lease_id lease)
    {
        run_order order;
        order.run = {{job, 0, 0, 0}, first_memory_run + 1};
        order.needs = {1000, 10, 0};
        order.estimate_ms = 4000; // Long enough not to stall.
        manager.order(order, lease);
        return order.run;
    }

    bool runs(const run_ref& run) const
    {
        return std::find(server.running.begin(), server.running.end(), run) !=
               server.running.end();
    }

    /// Requires that a run ends before its caller resends, wherever the agent
    /// is suspended.
    /// @param since Time at which the caller lost its entry.
    /// @param both Whether both entries renew their leases.
    void require_end_in_time(const run_ref& run, instant since, bool both)
    {
        while (runs(run))
        {
            const auto passed = loop.clock.now() - since;
            INFO(passed / milliseconds{1} << " ms after the caller's loss");
            REQUIRE(passed + server.held_for() < caller_resend_delay);
            this->run(milliseconds{10}, both);
        }
    }

    manual_loop loop;
    fake_backend_server server{loop};
    run_manager manager{loop.clock, server, loop.delay(), 1000, {}};
};

} // namespace

TEST_CASE("runs of an ended entry end before its caller resends, whenever the "
          "agent is suspended",
          "[lease_bounds_hold]")
{
    two_entries_fixture fixture;
    const auto run = fixture.order(1, ended_entry);
    fixture.run(milliseconds{100}, true);
    REQUIRE(fixture.runs(run));
    const auto ended_at = fixture.loop.clock.now();
    fixture.require_end_in_time(run, ended_at, false);
}

TEST_CASE("a start for one entry does not extend the runs of an ended one",
          "[lease_bounds_hold]")
{
    two_entries_fixture fixture;
    const auto run = fixture.order(1, ended_entry);
    fixture.run(milliseconds{100}, true);
    const auto ended_at = fixture.loop.clock.now();
    for (job_id job = 2; fixture.runs(run) && job < 100; ++job)
    {
        fixture.order(job, live_entry);
        const auto passed = fixture.loop.clock.now() - ended_at;
        REQUIRE(passed + fixture.server.held_for() < caller_resend_delay);
        fixture.run(milliseconds{10}, false);
    }
}

TEST_CASE("an order that waited for capacity does not start if the hold ends "
          "too long after its lease",
          "[lease_bounds_hold]")
{
    two_entries_fixture fixture;
    std::vector<run_ref> others;
    for (job_id job = 2; job < 10; ++job)
        others.push_back(fixture.order(job, live_entry));
    fixture.run(milliseconds{50}, true);
    const auto run = fixture.order(1, ended_entry); // No capacity.
    fixture.run(milliseconds{50}, true);
    REQUIRE_FALSE(fixture.runs(run));
    const auto ended_at = fixture.loop.clock.now();
    // Capacity is freed within the lease.
    fixture.run(milliseconds{500}, false);
    fixture.server.finish(others.front(), run_outcome::done);
    while (fixture.loop.clock.now() - ended_at < caller_resend_delay)
    {
        fixture.run(milliseconds{10}, false);
        const auto passed = fixture.loop.clock.now() - ended_at;
        INFO(std::chrono::duration_cast<milliseconds>(passed).count()
             << " ms after the end of the entry");
        REQUIRE((!fixture.runs(run) ||
                 passed + fixture.server.held_for() < caller_resend_delay));
    }
}

// The entry lives and renews its leases, so only the stop ends these runs.
TEST_CASE("runs of a withdrawn job end before its caller resends, even if the "
          "server receives no stop",
          "[lease_bounds_hold]")
{
    two_entries_fixture fixture;
    const auto run = fixture.order(1, live_entry);
    fixture.run(milliseconds{100}, true);
    const auto withdrawn_at = fixture.loop.clock.now();
    fixture.server.drop_orders = 1000;
    fixture.manager.stop(run);
    fixture.require_end_in_time(run, withdrawn_at, true);
}

TEST_CASE("an unanswered start of a withdrawn job that begins late ends before "
          "its caller resends",
          "[lease_bounds_hold]")
{
    two_entries_fixture fixture;
    fixture.order(2, live_entry); // Its hold is renewed throughout.
    fixture.run(milliseconds{100}, true);
    fixture.server.drop_orders = 1000;
    const auto run = fixture.order(1, live_entry);
    fixture.run(milliseconds{20}, true);
    const auto withdrawn_at = fixture.loop.clock.now();
    fixture.manager.stop(run);
    fixture.run(milliseconds{500}, true);
    for (const auto& [late, context] : fixture.server.late_starts)
        fixture.server.begin(late, context);
    fixture.require_end_in_time(run, withdrawn_at, true);
}

TEST_CASE("a confirmed stop costs other runs nothing", "[lease_bounds_hold]")
{
    two_entries_fixture fixture;
    const auto run = fixture.order(1, live_entry);
    const auto other = fixture.order(2, live_entry);
    fixture.run(milliseconds{100}, true);
    fixture.server.drop_orders = 2; // Later stops are carried out.
    fixture.manager.stop(run);
    for (int i = 0; i < 300; ++i)
    {
        fixture.run(milliseconds{10}, true);
        REQUIRE(fixture.runs(other));
    }
    CHECK_FALSE(fixture.runs(run));
}

TEST_CASE("runs of other entries continue when an entry ends",
          "[lease_bounds_hold]")
{
    two_entries_fixture fixture;
    const auto ended_run = fixture.order(1, ended_entry);
    const auto other = fixture.order(2, live_entry);
    fixture.run(milliseconds{100}, true);
    for (int i = 0; i < 300; ++i)
    {
        fixture.run(milliseconds{10}, false);
        REQUIRE(fixture.runs(other));
    }
    CHECK_FALSE(fixture.runs(ended_run));
}

TEST_CASE("runs end in time even if the server receives no stop",
          "[lease_bounds_hold]")
{
    two_entries_fixture fixture;
    const auto run = fixture.order(1, ended_entry);
    fixture.run(milliseconds{100}, true);
    const auto ended_at = fixture.loop.clock.now();
    fixture.server.drop_orders = 1000;
    while (fixture.loop.clock.now() - ended_at < caller_resend_delay)
        fixture.run(milliseconds{10}, false);
    CHECK_FALSE(fixture.runs(run));
}
