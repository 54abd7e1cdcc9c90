// Announced shutdowns of a backend server, and the estimate of its pace.
#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr lease_id entry_lease = memory_lease(0);

/// A run manager with a backend server of 4 cores that can shut down.
struct leaving_fixture
{
    leaving_fixture()
    {
        account.service = "service-1";
        account.instance = server.incarnation = "life-1";
        account.capacity = {4000, 1000, 0};
        account.phase = server_phase::ready;
        manager->registered(account);
        manager->begin();
        run(milliseconds{50});
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds{10};
        for (duration passed{}; passed < length; passed += step)
        {
            manager->renew(entry_lease, 0, loop.clock.now());
            manager->tick();
            loop.advance(step);
        }
    }

    /// @param left Announced time until the shutdown.
    /// @param age Time that the account was in transit.
    void announce_leaving(duration left, duration age = {})
    {
        account.phase = server_phase::draining;
        manager->registered(account, {server.now_ms() - to_ms(age), left, {}});
    }

    static std::int64_t to_ms(duration length)
    {
        return std::chrono::duration_cast<milliseconds>(length).count();
    }

    run_ref order(std::uint32_t expected_ms, std::uint32_t useful_ms,
                  job_id job = 42, std::uint32_t index = 0)
    {
        run_order order;
        order.run = {{job, 0, 0, index}, first_memory_run + 1};
        order.needs = {1000, 10, 0};
        order.estimate_ms = order.expected_ms = expected_ms;
        order.useful_ms = useful_ms;
        manager->order(order, entry_lease);
        return order.run;
    }

    std::vector<run_end> ends() { return manager->take_ends(entry_lease); }

    manual_loop loop;
    fake_backend_server server{loop};
    server_account account;
    std::unique_ptr<run_manager> manager = std::make_unique<run_manager>(
        loop.clock, server, loop.delay(), 1000, run_manager_settings{});
};

} // namespace

TEST_CASE("a run that cannot finish before the shutdown is stopped, then "
          "reported")
{
    leaving_fixture fixture;
    fixture.server.makes_no_progress = true; // Only the estimate applies.
    const auto run = fixture.order(5000, 20'000);
    fixture.run(milliseconds{50});
    REQUIRE(fixture.server.running.size() == 1);
    fixture.announce_leaving(seconds{2});
    CHECK(fixture.ends().empty()); // Its end is not confirmed yet.
    fixture.run(milliseconds{150});
    CHECK(fixture.server.running.empty());
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].run == run);
    CHECK(received[0].outcome == run_outcome::stopped);
    CHECK(fixture.manager->stats().moved == 1);
    CHECK(fixture.manager->stats().moved_ms >= 40);
    CHECK(fixture.server.stops == 1);
}

TEST_CASE("an unanswered stop at a leaving server is retried")
{
    leaving_fixture fixture;
    fixture.server.makes_no_progress = true;
    fixture.order(5000, 20'000);
    fixture.run(milliseconds{50});
    fixture.server.drop_orders = 1;
    fixture.announce_leaving(seconds{2});
    fixture.run(milliseconds{100});
    CHECK(fixture.ends().empty());
    fixture.run(milliseconds{600});
    CHECK(fixture.ends().size() == 1);
    CHECK(fixture.manager->stats().moved == 1);
}

TEST_CASE("a run that can finish before the shutdown continues")
{
    leaving_fixture fixture;
    fixture.order(200, 20'000);
    fixture.run(milliseconds{50});
    fixture.announce_leaving(seconds{2});
    fixture.run(milliseconds{100});
    CHECK(fixture.server.running.size() == 1);
    CHECK(fixture.server.stops == 0);
}

TEST_CASE("a run that cannot finish elsewhere in time is not stopped")
{
    leaving_fixture fixture;
    fixture.server.makes_no_progress = true;
    fixture.order(5000, 4000);
    fixture.run(milliseconds{50});
    fixture.announce_leaving(seconds{1});
    fixture.run(milliseconds{100});
    CHECK(fixture.server.running.size() == 1);
    CHECK(fixture.manager->stats().unfinishable == 1);
}

TEST_CASE("a leaving server gets no new work")
{
    leaving_fixture fixture;
    fixture.announce_leaving(seconds{2});
    fixture.order(10, 1000);
    fixture.run(milliseconds{50});
    CHECK(fixture.server.started.empty());
    CHECK(fixture.manager->stats().refused_by_leaving == 1);
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::not_begun);
}

TEST_CASE("the shutdown time counts from when it was announced")
{
    leaving_fixture fixture;
    fixture.announce_leaving(seconds{2}, milliseconds{1500});
    REQUIRE(fixture.manager->load().leaves_in);
    CHECK(*fixture.manager->load().leaves_in <= milliseconds{510});
    CHECK(*fixture.manager->load().leaves_in >= milliseconds{400});
}

TEST_CASE("a later shutdown time in the next heartbeat replaces the first")
{
    leaving_fixture fixture;
    fixture.server.makes_no_progress = true;
    fixture.order(500, 20'000);
    fixture.run(milliseconds{50});
    fixture.announce_leaving(seconds{3});
    fixture.run(milliseconds{50});
    fixture.announce_leaving(seconds{10}); // The next heartbeat.
    fixture.run(milliseconds{100});
    CHECK(fixture.server.running.size() == 1);
    CHECK(fixture.manager->stats().leaving_notices == 1);
}

TEST_CASE("the announced shutdown ends with the incarnation")
{
    leaving_fixture fixture;
    fixture.announce_leaving(seconds{2});
    fixture.manager->departed("life-1");
    CHECK_FALSE(fixture.manager->load().leaves_in);
    fixture.account.instance = fixture.server.incarnation = "life-2";
    fixture.account.phase = server_phase::ready;
    fixture.manager->registered(fixture.account);
    fixture.run(milliseconds{200}); // The pending poll expects the previous id.
    fixture.order(100, 1000);
    fixture.run(milliseconds{50});
    CHECK(fixture.server.running.size() == 1);
}

TEST_CASE("runs that end with a leaving server are reported as lapsed")
{
    leaving_fixture fixture;
    fixture.server.makes_no_progress = true;
    fixture.order(5000, 4000);
    fixture.run(milliseconds{50});
    fixture.announce_leaving(milliseconds{200});
    fixture.run(milliseconds{200});
    fixture.server.running.clear();
    fixture.manager->departed("life-1");
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::lapsed);
}

TEST_CASE("the pace is estimated from all ends of one incarnation")
{
    leaving_fixture fixture;
    for (std::uint32_t i = 0; i < 6; ++i)
    {
        const auto run = fixture.order(60, 5000, 42 + i);
        fixture.run(milliseconds{120});
        fixture.server.finish(run, run_outcome::done);
        fixture.run(milliseconds{120});
        for (const auto& end : fixture.ends())
            fixture.manager->confirm(end);
    }
    CHECK(fixture.manager->pace().ends() == 6);
    CHECK(fixture.manager->load().pace > 1.5);
    fixture.manager->departed("life-1");
    fixture.account.instance = fixture.server.incarnation = "life-2";
    fixture.manager->registered(fixture.account);
    fixture.run(milliseconds{50});
    CHECK(fixture.manager->load().pace == Approx(0));
}

TEST_CASE("ends during the warm-up do not count for the pace")
{
    leaving_fixture fixture;
    fixture.manager->registered(fixture.account,
                                {fixture.server.now_ms(), {}, seconds{1}});
    CHECK(fixture.manager->load().cold > milliseconds{900});
    const auto run = fixture.order(60, 5000);
    fixture.run(milliseconds{300});
    fixture.server.finish(run, run_outcome::done);
    fixture.run(milliseconds{200});
    CHECK(fixture.ends().size() == 1);
    CHECK(fixture.manager->pace().ends() == 0);
    fixture.run(seconds{1});
    CHECK(fixture.manager->load().cold.count() == 0);
}
