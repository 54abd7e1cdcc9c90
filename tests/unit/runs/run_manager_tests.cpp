#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr lease_id entry_lease = memory_lease(0);
constexpr std::uint32_t first_run = first_memory_run + 1;

/// A run manager with a backend server of 4 cores.
struct manager_fixture
{
    manager_fixture()
    {
        account.service = "service-1";
        account.instance = "life-1";
        account.capacity = {4000, 1000, 0};
        account.phase = server_phase::ready;
        make();
        manager->registered(account);
        manager->begin();
        run(milliseconds{20});
    }

    void make()
    {
        manager = std::make_unique<run_manager>(
            loop.clock, server, loop.delay(), 1000, run_manager_settings{});
    }

    /// Advances the time.
    /// @param entry_answers Whether the entry renews its lease.
    void run(duration length, bool entry_answers = true)
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

    static run_ref ref(std::uint32_t index, std::uint32_t run = first_run)
    {
        return {{42, 0, 0, index}, run};
    }

    /// Orders a run of another job, with an estimated run time.
    run_ref order_of_job(job_id job)
    {
        run_order order;
        order.run = {{job, 0, 0, 0}, first_run};
        order.needs = {1000, 10, 0};
        order.estimate_ms = 60;
        manager->order(order, entry_lease);
        return order.run;
    }

    void order(const run_ref& run, std::uint32_t cpu = 1000,
               std::int64_t urgency = 0)
    {
        run_order order;
        order.run = run;
        order.needs = {cpu, 10, 0};
        order.urgency = urgency;
        manager->order(order, entry_lease);
    }

    std::vector<run_end> ends() { return manager->take_ends(entry_lease); }

    manual_loop loop;
    fake_backend_server server{loop};
    server_account account;
    std::unique_ptr<run_manager> manager;
};

} // namespace

TEST_CASE("starts stay within the server's capacity, most urgent first")
{
    manager_fixture fixture;
    for (std::uint32_t i = 0; i < 6; ++i)
        fixture.order(manager_fixture::ref(i), 1000, 100 - i);
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.size() == 4);
    CHECK(fixture.manager->load().waiting == 2);
    fixture.server.finish(fixture.server.running.front(), run_outcome::done);
    fixture.run(milliseconds{250});
    CHECK(fixture.server.running.size() == 4);
    CHECK(fixture.server.running.back() == manager_fixture::ref(5));
}

TEST_CASE("an end is reported at once and confirmed to the server afterwards")
{
    manager_fixture fixture;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{20});
    fixture.server.finish(manager_fixture::ref(0), run_outcome::done);
    fixture.run(milliseconds{250});
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::done);
    CHECK(fixture.server.confirmed == 0);
    fixture.manager->confirm(received[0]);
    fixture.run(milliseconds{50});
    CHECK(fixture.server.confirmed == 1);
}

TEST_CASE("a start whose answer is lost is not repeated")
{
    manager_fixture fixture;
    fixture.server.lose_answers = 1;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{600});
    CHECK(fixture.server.started[42] == 1);
    CHECK(fixture.server.stops == 0);
    CHECK(fixture.ends().empty());
}

TEST_CASE("an unanswered start is prevented before it counts as not begun")
{
    manager_fixture fixture;
    fixture.server.drop_orders = 1;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{700});
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::not_begun);
    // The start arrives late.
    REQUIRE(fixture.server.late_starts.size() == 1);
    const auto& [run, context] = fixture.server.late_starts.front();
    CHECK(fixture.server.begin(run, context) != order_outcome::done);
}

TEST_CASE("a task whose start is lost can soon start elsewhere")
{
    manager_fixture fixture;
    fixture.server.drop_orders = 1;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{60});
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::not_begun);
    CHECK(fixture.manager->load().used.cpu == 0);
}

TEST_CASE("a lost stop is retried")
{
    manager_fixture fixture;
    fixture.server.drop_orders = 2;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{250});
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::not_begun);
    CHECK(fixture.server.stops == 2);
}

TEST_CASE("an end is soon known although the answer to a poll is lost")
{
    manager_fixture fixture;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{20});
    fixture.server.drop_poll = true;
    fixture.run(milliseconds{110}); // The next poll is lost.
    REQUIRE_FALSE(fixture.server.drop_poll);
    fixture.server.finish(manager_fixture::ref(0), run_outcome::done);
    fixture.run(milliseconds{150});
    CHECK(fixture.ends().size() == 1);
    CHECK(fixture.manager->stats().polls_lost == 1);
}

TEST_CASE("a start is settled by its deadline if no stop is answered")
{
    manager_fixture fixture;
    fixture.server.drop_orders = 100;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{900});
    CHECK(fixture.ends().empty());
    fixture.run(milliseconds{1500});
    REQUIRE(fixture.ends().size() == 1);
    const auto& [run, context] = fixture.server.late_starts.front();
    CHECK(fixture.server.begin(run, context) == order_outcome::late);
}

TEST_CASE("runs of a silent entry are stopped when their lease expires")
{
    manager_fixture fixture;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{20});
    REQUIRE(fixture.server.running.size() == 1);
    fixture.run(milliseconds{700}, false);
    CHECK(fixture.server.running.size() == 1);
    fixture.run(milliseconds{400}, false);
    CHECK(fixture.server.running.empty());
    fixture.run(seconds{11}, false);
    CHECK(fixture.manager->unconfirmed().empty());
}

TEST_CASE("the hold lapses if stops are unanswered")
{
    manager_fixture fixture;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{20});
    fixture.server.drop_orders = 1000;
    fixture.run(milliseconds{2600}, false);
    CHECK(fixture.server.running.empty());
    CHECK(fixture.manager->stats().lapses == 1);
}

TEST_CASE("in-memory runs end with the process of their entry")
{
    manager_fixture fixture;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{20});
    fixture.manager->expire(entry_lease);
    fixture.run(milliseconds{20}, false);
    CHECK(fixture.server.running.empty());
}

TEST_CASE("an order without a lease is returned as not begun")
{
    manager_fixture fixture;
    fixture.run(milliseconds{900}, false);
    CHECK_FALSE(fixture.manager->is_leased(entry_lease));
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{700}, false);
    CHECK(fixture.server.running.empty());
    fixture.run(milliseconds{20});
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::not_begun);
    CHECK(fixture.server.running.empty());
}

TEST_CASE("an order without a lease waits for its renewal")
{
    // Idle entries get few reports, so their lease expires between orders.
    manager_fixture fixture;
    fixture.run(milliseconds{900}, false);
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{300}, false);
    CHECK(fixture.server.running.empty());
    CHECK(fixture.ends().empty());
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.size() == 1);
}

TEST_CASE("a delayed order does not renew the lease")
{
    // The order was delayed for longer than its lease; the entry may have
    // ordered the task elsewhere.
    manager_fixture fixture;
    fixture.run(milliseconds{2000}, false);
    const auto now = fixture.loop.clock.now();
    fixture.manager->renew(entry_lease, 0, now - milliseconds{900});
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{700}, false);
    CHECK(fixture.server.running.empty());
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::not_begun);
}

TEST_CASE("an order that renews the lease starts at once and ends with the "
          "lease")
{
    manager_fixture fixture;
    fixture.run(milliseconds{2000}, false);
    const auto now = fixture.loop.clock.now();
    fixture.manager->renew(entry_lease, 0, now - milliseconds{2});
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{50}, false);
    CHECK(fixture.server.running.size() == 1);
    fixture.run(milliseconds{1300}, false);
    CHECK(fixture.server.running.empty());
}

TEST_CASE("an order of an earlier session does not start in the next one")
{
    // The entry may have ordered the task elsewhere.
    manager_fixture fixture;
    fixture.run(milliseconds{900}, false);
    fixture.order(manager_fixture::ref(0));
    fixture.manager->refuse_waiting(entry_lease);
    fixture.run(milliseconds{100});
    CHECK(fixture.server.running.empty());
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::not_begun);
}

TEST_CASE("a lease is in use while it has a run or an end here")
{
    manager_fixture fixture;
    CHECK(fixture.manager->leases_in_use().empty());
    fixture.order(manager_fixture::ref(0));
    CHECK(fixture.manager->leases_in_use() == std::set<lease_id>{entry_lease});
    fixture.run(milliseconds{20});
    CHECK(fixture.manager->leases_in_use() == std::set<lease_id>{entry_lease});
}

TEST_CASE("an entry that was silent receives the ends of its stopped runs")
{
    manager_fixture fixture;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{20});
    fixture.run(milliseconds{1500}, false);
    REQUIRE(fixture.server.running.empty());
    fixture.run(milliseconds{50});
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::stopped);
    // The end was released meanwhile.
    CHECK(fixture.server.confirmed == 1);
}

TEST_CASE("a restarted agent starts nothing until the resources of all runs "
          "are known")
{
    manager_fixture fixture;
    fixture.order(manager_fixture::ref(0), 3000);
    fixture.run(milliseconds{20});
    REQUIRE(fixture.server.running.size() == 1);
    fixture.make();
    fixture.manager->registered(fixture.account);
    fixture.manager->begin();
    fixture.run(milliseconds{20});
    const auto known = fixture.manager->adopt(entry_lease, 0);
    REQUIRE(known.runs.size() == 1);
    CHECK_FALSE(known.runs[0].are_needs_known);
    fixture.order(manager_fixture::ref(1), 3000);
    fixture.run(milliseconds{50});
    CHECK(fixture.server.running.size() == 1);
    run_order claimed;
    claimed.run = manager_fixture::ref(0);
    claimed.needs = {3000, 10, 0};
    fixture.manager->size(claimed, entry_lease);
    fixture.run(milliseconds{50});
    CHECK(fixture.server.running.size() == 1);
    fixture.server.finish(manager_fixture::ref(0), run_outcome::done);
    fixture.run(milliseconds{300});
    CHECK(fixture.server.running.front() == manager_fixture::ref(1));
}

TEST_CASE("unclaimed runs found by a restarted agent are stopped")
{
    manager_fixture fixture;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{20});
    fixture.make();
    fixture.manager->registered(fixture.account);
    fixture.manager->begin();
    fixture.run(milliseconds{900});
    CHECK(fixture.server.running.empty());
}

TEST_CASE("an unconfirmed end of a part makes the hold lapse once")
{
    manager_fixture fixture;
    const run_ref durable_run{{42, 0, 0, 0}, 1};
    const auto part = part_of(42, run_manager_settings{}.parts);
    fixture.manager->adopt(part, 1);
    fixture.manager->renew(part, 1, fixture.loop.clock.now());
    run_order order;
    order.run = durable_run;
    order.epoch = 1;
    order.needs = {1000, 10, 0};
    fixture.manager->order(order, entry_lease);
    fixture.run(milliseconds{20});
    REQUIRE(fixture.server.running.size() == 1);
    fixture.server.finish(durable_run, run_outcome::done);
    fixture.run(seconds{6});
    CHECK(fixture.manager->stats().lapses == 1);
    // The next owner still receives it.
    const auto known = fixture.manager->adopt(part, 2);
    REQUIRE(known.ends.size() == 1);
    CHECK(known.ends[0].outcome == run_outcome::done);
}

TEST_CASE("a waiting order does not start under a later owner's lease")
{
    // The later owner may have run the task elsewhere.
    manager_fixture fixture;
    const auto part = part_of(42, run_manager_settings{}.parts);
    fixture.manager->adopt(part, 1);
    run_order order;
    order.run = {{42, 0, 0, 0}, 1};
    order.epoch = 1;
    order.needs = {1000, 10, 0};
    fixture.manager->order(order, entry_lease);
    fixture.run(milliseconds{20});
    REQUIRE(fixture.server.started.empty());
    const auto known = fixture.manager->adopt(part, 3);
    CHECK(known.runs.empty());
    REQUIRE(known.ends.size() == 1);
    CHECK(known.ends[0].outcome == run_outcome::not_begun);
    fixture.manager->renew(part, 3, fixture.loop.clock.now());
    fixture.run(milliseconds{20});
    CHECK(fixture.server.started.empty());
}

TEST_CASE("a waiting order does not start after its owner attaches again")
{
    // The owner may have started the task elsewhere while the agent was
    // suspended.
    manager_fixture fixture;
    const auto part = part_of(42, run_manager_settings{}.parts);
    fixture.manager->adopt(part, 1);
    run_order order;
    order.run = {{42, 0, 0, 0}, 1};
    order.epoch = 1;
    order.needs = {1000, 10, 0};
    fixture.manager->order(order, entry_lease);
    fixture.run(milliseconds{20});
    REQUIRE(fixture.server.started.empty());
    const auto known = fixture.manager->adopt(part, 1);
    CHECK(known.runs.empty());
    REQUIRE(known.ends.size() == 1);
    CHECK(known.ends[0].outcome == run_outcome::not_begun);
    fixture.manager->renew(part, 1, fixture.loop.clock.now());
    fixture.run(milliseconds{20});
    CHECK(fixture.server.started.empty());
}

TEST_CASE("an earlier owner of a part is declined and its orders are refused")
{
    manager_fixture fixture;
    const auto part = part_of(42, run_manager_settings{}.parts);
    fixture.manager->adopt(part, 5);
    CHECK(fixture.manager->adopt(part, 4).declined);
    fixture.manager->renew(part, 5, fixture.loop.clock.now());
    run_order order;
    order.run = {{42, 0, 0, 0}, 1};
    order.epoch = 4;
    order.needs = {1000, 10, 0};
    fixture.manager->order(order, entry_lease);
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.empty());
}

TEST_CASE("a new incarnation ends the runs of the last one")
{
    manager_fixture fixture;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{20});
    auto next = fixture.account;
    next.instance = "life-2";
    fixture.server.running.clear();
    fixture.server.incarnation = "life-2";
    fixture.manager->registered(next);
    fixture.run(milliseconds{10}); // A poll reaches the new server.
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::lapsed);
    CHECK(received[0].number == 0);
}

TEST_CASE("orders to a draining server are returned")
{
    manager_fixture fixture;
    auto leaving = fixture.account;
    leaving.phase = server_phase::draining;
    fixture.manager->registered(leaving);
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.empty());
    REQUIRE(fixture.ends().size() == 1);
}

TEST_CASE("a silent server is absent and its runs lapse")
{
    manager_fixture fixture;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{20});
    fixture.server.silent = true;
    fixture.run(milliseconds{3000});
    CHECK(fixture.manager->account().phase == server_phase::absent);
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::lapsed);
}

TEST_CASE("a server that refuses starts gets no orders during a backoff")
{
    manager_fixture fixture;
    fixture.server.refuse = true;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{20});
    REQUIRE(fixture.ends().size() == 1);
    CHECK(fixture.manager->account().phase == server_phase::absent);
    fixture.order(manager_fixture::ref(1));
    fixture.run(milliseconds{20});
    CHECK(fixture.server.refusals == 1);
    fixture.run(milliseconds{400});
    CHECK(fixture.manager->account().phase == server_phase::ready);
    fixture.server.refuse = false;
    fixture.order(manager_fixture::ref(2));
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.size() == 1);
}

TEST_CASE("a stalled server loses its runs and gets no more until probes "
          "succeed")
{
    manager_fixture fixture;
    fixture.server.makes_no_progress = true;
    for (job_id job = 1; job <= 4; ++job)
        fixture.order_of_job(job);
    fixture.run(milliseconds{400});
    CHECK(fixture.manager->account().phase == server_phase::absent);
    CHECK(fixture.server.running.empty());
    CHECK(fixture.manager->stats().stalled == 4);
    fixture.order_of_job(5);
    CHECK(fixture.manager->stats().not_begun == 1);
    // Probes run one at a time until enough of them succeed.
    fixture.server.makes_no_progress = false;
    fixture.run(milliseconds{500});
    CHECK(fixture.manager->account().phase == server_phase::ready);
    const auto probe = fixture.order_of_job(6);
    fixture.order_of_job(7);
    fixture.run(milliseconds{50});
    CHECK(fixture.server.running == std::vector<run_ref>{probe});
    fixture.server.finish(probe, run_outcome::done);
    fixture.run(milliseconds{50});
    const auto second = fixture.order_of_job(8);
    fixture.run(milliseconds{50});
    fixture.server.finish(second, run_outcome::done);
    fixture.run(milliseconds{50});
    fixture.order_of_job(9);
    fixture.order_of_job(10);
    fixture.run(milliseconds{50});
    CHECK(fixture.server.running.size() == 2);
}

TEST_CASE("a run with progress does not count as stalled")
{
    manager_fixture fixture;
    for (job_id job = 1; job <= 4; ++job)
        fixture.order_of_job(job);
    fixture.run(seconds{3});
    CHECK(fixture.server.running.size() == 4);
    CHECK(fixture.manager->stats().stalled == 0);
}

TEST_CASE("a run does not count as stalled while polls are unanswered")
{
    manager_fixture fixture;
    fixture.order_of_job(1);
    fixture.run(milliseconds{50});
    fixture.server.silent = true;
    fixture.run(milliseconds{500});
    CHECK(fixture.manager->stats().stalled == 0);
}

TEST_CASE("a poll is sent as soon as no end is unconfirmed")
{
    // Otherwise the next end would be seen only after the poll interval.
    manager_fixture fixture;
    fixture.order(manager_fixture::ref(0));
    fixture.run(milliseconds{20});
    fixture.server.finish(manager_fixture::ref(0), run_outcome::done);
    while (!fixture.manager->unconfirmed().has_unsettled())
        fixture.loop.advance(milliseconds{1});
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    fixture.loop.advance(milliseconds{2});
    const auto before = fixture.server.polls;
    fixture.manager->confirm(received[0]);
    CHECK(fixture.server.polls == before + 1);
    fixture.loop.advance(milliseconds{20});
    CHECK(fixture.server.polls == before + 1); // The poll waits for an end.
}
