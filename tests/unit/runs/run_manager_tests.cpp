#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr lease_id entry_lease = memory_lease(0);
constexpr std::uint32_t first_run = first_memory_run + 1;

/// An agent's manager with a runner of 4 cores.
struct manager_world
{
    manager_world()
    {
        account.service = "service-1";
        account.instance = "life-1";
        account.capacity = {4000, 1000, 0};
        account.phase = runner_phase::ready;
        make();
        manager->registered(account);
        manager->begin();
        run(milliseconds{20});
    }

    void make()
    {
        manager = std::make_unique<run_manager>(
            loop.clock, runner, loop.delay(), 1000, run_manager_settings{});
    }

    /// Lets time pass with an entry that answers, or with none.
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

    /// Orders a run of another job, with a guess of its time.
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
    fake_runner_port runner{loop};
    runner_account account;
    std::unique_ptr<run_manager> manager;
};

} // namespace

TEST_CASE("starts stay within the runner's room, most urgent first")
{
    manager_world world;
    for (std::uint32_t i = 0; i < 6; ++i)
        world.order(manager_world::ref(i), 1000, 100 - i);
    world.run(milliseconds{20});
    CHECK(world.runner.running.size() == 4);
    CHECK(world.manager->room().waiting == 2);
    world.runner.finish(world.runner.running.front(), run_outcome::done);
    world.run(milliseconds{250});
    CHECK(world.runner.running.size() == 4);
    CHECK(world.runner.running.back() == manager_world::ref(5));
}

TEST_CASE("an end is told at once and confirmed to the runner only after")
{
    manager_world world;
    world.order(manager_world::ref(0));
    world.run(milliseconds{20});
    world.runner.finish(manager_world::ref(0), run_outcome::done);
    world.run(milliseconds{250});
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::done);
    CHECK(world.runner.confirmed == 0);
    world.manager->confirm(told[0]);
    world.run(milliseconds{50});
    CHECK(world.runner.confirmed == 1);
}

TEST_CASE("a start whose answer is lost is found running, not started again")
{
    manager_world world;
    world.runner.lose_answers = 1;
    world.order(manager_world::ref(0));
    world.run(milliseconds{600});
    CHECK(world.runner.started[42] == 1);
    CHECK(world.runner.stops == 0);
    CHECK(world.ends().empty());
}

TEST_CASE("a start without an answer is barred before it counts as not begun")
{
    manager_world world;
    world.runner.drop_orders = 1;
    world.order(manager_world::ref(0));
    world.run(milliseconds{700});
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::not_begun);
    // It arrives seconds later.
    REQUIRE(world.runner.late_starts.size() == 1);
    const auto& [run, context] = world.runner.late_starts.front();
    CHECK(world.runner.begin(run, context) != order_outcome::done);
}

TEST_CASE("a task whose start is lost is free to start elsewhere soon")
{
    // Found on a day of late orders: each lost start took its room, and its
    // task's time, for half a second.
    manager_world world;
    world.runner.drop_orders = 1;
    world.order(manager_world::ref(0));
    world.run(milliseconds{60});
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::not_begun);
    CHECK(world.manager->room().used.cpu == 0);
}

TEST_CASE("a stop that is lost as well is sent again")
{
    manager_world world;
    world.runner.drop_orders = 2;
    world.order(manager_world::ref(0));
    world.run(milliseconds{250});
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::not_begun);
    CHECK(world.runner.stops == 2);
}

TEST_CASE("an end is known soon although the answer to a look is lost")
{
    // Found on a day of late orders: agents saw no ends for more than half of
    // the time, and the room of all that had ended stayed taken.
    manager_world world;
    world.order(manager_world::ref(0));
    world.run(milliseconds{20});
    world.runner.drop_look = true;
    world.run(milliseconds{110}); // The next look is lost.
    REQUIRE_FALSE(world.runner.drop_look);
    world.runner.finish(manager_world::ref(0), run_outcome::done);
    world.run(milliseconds{150});
    CHECK(world.ends().size() == 1);
    CHECK(world.manager->stats().looks_lost == 1);
}

TEST_CASE("with neither start nor stop answered, the start's deadline passes")
{
    manager_world world;
    world.runner.drop_orders = 100;
    world.order(manager_world::ref(0));
    world.run(milliseconds{900});
    CHECK(world.ends().empty());
    world.run(milliseconds{1500});
    REQUIRE(world.ends().size() == 1);
    const auto& [run, context] = world.runner.late_starts.front();
    CHECK(world.runner.begin(run, context) == order_outcome::late);
}

TEST_CASE("runs of a silent entry are stopped within their lease")
{
    manager_world world;
    world.order(manager_world::ref(0));
    world.run(milliseconds{20});
    REQUIRE(world.runner.running.size() == 1);
    world.run(milliseconds{700}, false);
    CHECK(world.runner.running.size() == 1);
    world.run(milliseconds{400}, false);
    CHECK(world.runner.running.empty());
    world.run(seconds{11}, false);
    CHECK(world.manager->ledger().empty());
}

TEST_CASE("where stops get no answer, the hold is left to lapse")
{
    manager_world world;
    world.order(manager_world::ref(0));
    world.run(milliseconds{20});
    world.runner.drop_orders = 1000;
    world.run(milliseconds{2600}, false);
    CHECK(world.runner.running.empty());
    CHECK(world.manager->stats().lapses == 1);
}

TEST_CASE("an entry's next process ends what the last one had in memory")
{
    manager_world world;
    world.order(manager_world::ref(0));
    world.run(milliseconds{20});
    world.manager->expire(entry_lease);
    world.run(milliseconds{20}, false);
    CHECK(world.runner.running.empty());
}

TEST_CASE("nothing starts without a lease, and its entry is told so")
{
    manager_world world;
    world.run(milliseconds{900}, false);
    CHECK_FALSE(world.manager->leased(entry_lease));
    world.order(manager_world::ref(0));
    world.run(milliseconds{700}, false);
    CHECK(world.runner.running.empty());
    world.run(milliseconds{20});
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::not_begun);
    CHECK(world.runner.running.empty());
}

TEST_CASE("an order to an agent where its entry had nothing waits for a lease")
{
    // Entries with nothing at an agent hear from it rarely, so that the lease
    // has run out by the time of the next order.
    manager_world world;
    world.run(milliseconds{900}, false);
    world.order(manager_world::ref(0));
    world.run(milliseconds{300}, false);
    CHECK(world.runner.running.empty());
    CHECK(world.ends().empty());
    world.run(milliseconds{20});
    CHECK(world.runner.running.size() == 1);
}

TEST_CASE("an order that was long on its way brings no lease with it")
{
    // Its entry froze, or the link held it up, for longer than the lease that
    // it carries; the entry may have given this agent up meanwhile.
    manager_world world;
    world.run(milliseconds{2000}, false);
    const auto now = world.loop.clock.now();
    world.manager->renew(entry_lease, 0, now - milliseconds{900});
    world.order(manager_world::ref(0));
    world.run(milliseconds{700}, false);
    CHECK(world.runner.running.empty());
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::not_begun);
}

TEST_CASE("an order that brings a lease starts at once, for as long as that is")
{
    manager_world world;
    world.run(milliseconds{2000}, false);
    const auto now = world.loop.clock.now();
    world.manager->renew(entry_lease, 0, now - milliseconds{2});
    world.order(manager_world::ref(0));
    world.run(milliseconds{50}, false);
    CHECK(world.runner.running.size() == 1);
    world.run(milliseconds{1300}, false);
    CHECK(world.runner.running.empty());
}

TEST_CASE("an order of an earlier session never starts in the next one")
{
    // The entry may have given the session up and ordered the task elsewhere.
    manager_world world;
    world.run(milliseconds{900}, false);
    world.order(manager_world::ref(0));
    world.manager->refuse_waiting(entry_lease);
    world.run(milliseconds{100});
    CHECK(world.runner.running.empty());
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::not_begun);
}

TEST_CASE("a lease is in use while its holder has a run or an end here")
{
    manager_world world;
    CHECK(world.manager->leases_in_use().empty());
    world.order(manager_world::ref(0));
    CHECK(world.manager->leases_in_use() == std::set<lease_id>{entry_lease});
    world.run(milliseconds{20});
    CHECK(world.manager->leases_in_use() == std::set<lease_id>{entry_lease});
}

TEST_CASE("an entry that was silent for a while is told what was stopped")
{
    manager_world world;
    world.order(manager_world::ref(0));
    world.run(milliseconds{20});
    world.run(milliseconds{1500}, false);
    REQUIRE(world.runner.running.empty());
    world.run(milliseconds{50});
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::stopped);
    // The runner was not held back meanwhile.
    CHECK(world.runner.confirmed == 1);
}

TEST_CASE("a restarted agent starts nothing until it knows what runs")
{
    manager_world world;
    world.order(manager_world::ref(0), 3000);
    world.run(milliseconds{20});
    REQUIRE(world.runner.running.size() == 1);
    world.make();
    world.manager->registered(world.account);
    world.manager->begin();
    world.run(milliseconds{20});
    const auto known = world.manager->adopt(entry_lease, 0);
    REQUIRE(known.runs.size() == 1);
    CHECK_FALSE(known.runs[0].sized);
    world.order(manager_world::ref(1), 3000);
    world.run(milliseconds{50});
    CHECK(world.runner.running.size() == 1);
    run_order claimed;
    claimed.run = manager_world::ref(0);
    claimed.needs = {3000, 10, 0};
    world.manager->size(claimed, entry_lease);
    world.run(milliseconds{50});
    CHECK(world.runner.running.size() == 1);
    world.runner.finish(manager_world::ref(0), run_outcome::done);
    world.run(milliseconds{300});
    CHECK(world.runner.running.front() == manager_world::ref(1));
}

TEST_CASE("found runs that nobody claims are stopped")
{
    manager_world world;
    world.order(manager_world::ref(0));
    world.run(milliseconds{20});
    world.make();
    world.manager->registered(world.account);
    world.manager->begin();
    world.run(milliseconds{900});
    CHECK(world.runner.running.empty());
}

TEST_CASE("a part's end that nobody journals lets the hold lapse, once")
{
    manager_world world;
    const run_ref kept{{42, 0, 0, 0}, 1};
    const auto part = part_of(42, run_manager_settings{}.parts);
    world.manager->adopt(part, 1);
    world.manager->renew(part, 1, world.loop.clock.now());
    run_order order;
    order.run = kept;
    order.epoch = 1;
    order.needs = {1000, 10, 0};
    world.manager->order(order, entry_lease);
    world.run(milliseconds{20});
    REQUIRE(world.runner.running.size() == 1);
    world.runner.finish(kept, run_outcome::done);
    world.run(seconds{6});
    CHECK(world.manager->stats().lapses == 1);
    // A successor is still told of it.
    const auto known = world.manager->adopt(part, 2);
    REQUIRE(known.ends.size() == 1);
    CHECK(known.ends[0].outcome == run_outcome::done);
}

TEST_CASE("an order that waits does not begin under a later owner's lease")
{
    // The later owner may have had the task done elsewhere, by a run that its
    // own successor has yet to hear of.
    manager_world world;
    const auto part = part_of(42, run_manager_settings{}.parts);
    world.manager->adopt(part, 1);
    run_order order;
    order.run = {{42, 0, 0, 0}, 1};
    order.epoch = 1;
    order.needs = {1000, 10, 0};
    world.manager->order(order, entry_lease);
    world.run(milliseconds{20});
    REQUIRE(world.runner.started.empty());
    const auto known = world.manager->adopt(part, 3);
    CHECK(known.runs.empty());
    REQUIRE(known.ends.size() == 1);
    CHECK(known.ends[0].outcome == run_outcome::not_begun);
    world.manager->renew(part, 3, world.loop.clock.now());
    world.run(milliseconds{20});
    CHECK(world.runner.started.empty());
}

TEST_CASE("an order that waits does not begin for an owner that attaches again")
{
    // An agent was paused; its owner gave it up and had the task begin at
    // another one. The agent woke with the order, the owner attached and
    // renewed its lease, and the task began here too, 222 ms after the other
    // run: the owner's stop was still on its way. Seen in the soak, whose plan
    // is same_owner.
    manager_world world;
    const auto part = part_of(42, run_manager_settings{}.parts);
    world.manager->adopt(part, 1);
    run_order order;
    order.run = {{42, 0, 0, 0}, 1};
    order.epoch = 1;
    order.needs = {1000, 10, 0};
    world.manager->order(order, entry_lease);
    world.run(milliseconds{20});
    REQUIRE(world.runner.started.empty());
    const auto known = world.manager->adopt(part, 1);
    CHECK(known.runs.empty());
    REQUIRE(known.ends.size() == 1);
    CHECK(known.ends[0].outcome == run_outcome::not_begun);
    world.manager->renew(part, 1, world.loop.clock.now());
    world.run(milliseconds{20});
    CHECK(world.runner.started.empty());
}

TEST_CASE("an earlier owner of a part is declined and its orders refused")
{
    manager_world world;
    const auto part = part_of(42, run_manager_settings{}.parts);
    world.manager->adopt(part, 5);
    CHECK(world.manager->adopt(part, 4).declined);
    world.manager->renew(part, 5, world.loop.clock.now());
    run_order order;
    order.run = {{42, 0, 0, 0}, 1};
    order.epoch = 4;
    order.needs = {1000, 10, 0};
    world.manager->order(order, entry_lease);
    world.run(milliseconds{20});
    CHECK(world.runner.running.empty());
}

TEST_CASE("another life of the runner ends what the last one ran")
{
    manager_world world;
    world.order(manager_world::ref(0));
    world.run(milliseconds{20});
    auto next = world.account;
    next.instance = "life-2";
    world.runner.running.clear();
    world.runner.life = "life-2";
    world.manager->registered(next);
    world.run(milliseconds{10}); // Until a look has met the new life.
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::lapsed);
    CHECK(told[0].number == 0);
}

TEST_CASE("a draining runner gets no new work and its orders come back")
{
    manager_world world;
    auto leaving = world.account;
    leaving.phase = runner_phase::draining;
    world.manager->registered(leaving);
    world.order(manager_world::ref(0));
    world.run(milliseconds{20});
    CHECK(world.runner.running.empty());
    REQUIRE(world.ends().size() == 1);
}

TEST_CASE("a runner that answers nothing is absent and its runs lapse")
{
    manager_world world;
    world.order(manager_world::ref(0));
    world.run(milliseconds{20});
    world.runner.silent = true;
    world.run(milliseconds{3000});
    CHECK(world.manager->account().phase == runner_phase::absent);
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::lapsed);
}

TEST_CASE("a runner that refuses starts is left alone for a while")
{
    // Found in an incident: two such runners looked empty, and each task went
    // from one to the other every two milliseconds.
    manager_world world;
    world.runner.refuse = true;
    world.order(manager_world::ref(0));
    world.run(milliseconds{20});
    REQUIRE(world.ends().size() == 1);
    CHECK(world.manager->account().phase == runner_phase::absent);
    world.order(manager_world::ref(1));
    world.run(milliseconds{20});
    CHECK(world.runner.refusals == 1);
    world.run(milliseconds{400});
    CHECK(world.manager->account().phase == runner_phase::ready);
    world.runner.refuse = false;
    world.order(manager_world::ref(2));
    world.run(milliseconds{20});
    CHECK(world.runner.running.size() == 1);
}

TEST_CASE("a runner that stands still loses its runs and gets no more")
{
    // Found on alpenfluss-nom-grown: callers left before any run counted as
    // stalled, so that nobody ever learned of such runners.
    manager_world world;
    world.runner.stands_still = true;
    for (job_id job = 1; job <= 4; ++job)
        world.order_of_job(job);
    world.run(milliseconds{400});
    CHECK(world.manager->account().phase == runner_phase::absent);
    CHECK(world.runner.running.empty());
    CHECK(world.manager->stats().stalled == 4);
    world.order_of_job(5);
    CHECK(world.manager->stats().not_begun == 1);
    // One at a time on probation, until it is sound again.
    world.runner.stands_still = false;
    world.run(milliseconds{500});
    CHECK(world.manager->account().phase == runner_phase::ready);
    const auto probe = world.order_of_job(6);
    world.order_of_job(7);
    world.run(milliseconds{50});
    CHECK(world.runner.running == std::vector<run_ref>{probe});
    world.runner.finish(probe, run_outcome::done);
    world.run(milliseconds{50});
    const auto second = world.order_of_job(8);
    world.run(milliseconds{50});
    world.runner.finish(second, run_outcome::done);
    world.run(milliseconds{50});
    world.order_of_job(9);
    world.order_of_job(10);
    world.run(milliseconds{50});
    CHECK(world.runner.running.size() == 2);
}

TEST_CASE("a run that shows progress is never taken for a stalled one")
{
    manager_world world;
    for (job_id job = 1; job <= 4; ++job)
        world.order_of_job(job);
    world.run(seconds{3});
    CHECK(world.runner.running.size() == 4);
    CHECK(world.manager->stats().stalled == 0);
}

TEST_CASE("looks that are not answered do not make a run stalled")
{
    manager_world world;
    world.order_of_job(1);
    world.run(milliseconds{50});
    world.runner.silent = true;
    world.run(milliseconds{500});
    CHECK(world.manager->stats().stalled == 0);
}

TEST_CASE("the runner is looked at as soon as no end is unconfirmed")
{
    // Ends that were not confirmed yet made looks return at once, so these
    // were 8 ms apart; the next end waited for the next look.
    manager_world world;
    world.order(manager_world::ref(0));
    world.run(milliseconds{20});
    world.runner.finish(manager_world::ref(0), run_outcome::done);
    while (!world.manager->ledger().waits())
        world.loop.advance(milliseconds{1});
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    world.loop.advance(milliseconds{2});
    const auto before = world.runner.looks;
    world.manager->confirm(told[0]);
    CHECK(world.runner.looks == before + 1);
    world.loop.advance(milliseconds{20});
    CHECK(world.runner.looks == before + 1); // It waits for an end.
}
