#include "unit/durable/placement_world.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("a task goes to its preferred label, even to a fuller server")
{
    placement_world world;
    world.runner("a", "rack-1");
    world.runner("b", "rack-2", 13000);
    CHECK(world.place(world.task("rack-2", slack)) == "b");
}

TEST_CASE("a task waits for its preferred label if it is late elsewhere")
{
    placement_world world;
    world.runner("a", "rack-1");
    world.runner("b", "rack-2", 15000);
    CHECK(world.place(world.task("rack-2", slack)).empty());
    world.placing.reported("b", placement_world::report("rack-2", 0));
    CHECK(world.place_again() == "b");
}

TEST_CASE("a late task goes to any server with room to spare")
{
    placement_world world;
    world.runner("a", "rack-1", 14000);
    world.runner("b", "rack-2", 15000);
    CHECK(world.place(world.task("rack-2", slack)).empty());
    world.loop.advance(slack + milliseconds{1});
    CHECK(world.place_again().empty()); // "a" is crowded.
    world.placing.reported("a", placement_world::report("rack-1", 0));
    CHECK(world.place_again() == "a");
    CHECK(world.placing.stats().far == 1);
}

TEST_CASE(
    "a task that ends in time elsewhere does not wait for its preferred label")
{
    placement_world world(1.5);
    world.runner("a", "rack-1");
    world.runner("b", "rack-2", 15000);
    CHECK(world.place(world.task("rack-2", slack)) == "a");
}

TEST_CASE("a task whose preferred label no server has goes to any server")
{
    placement_world world;
    world.runner("a", "rack-1");
    CHECK(world.place(world.task("rack-9", slack)) == "a");
}

TEST_CASE("other tasks avoid servers whose label much work prefers")
{
    placement_world world;
    world.runner("a", "rack-1", 8000);
    world.runner("b", "rack-2");
    for (int i = 0; i < 5; ++i) // 12.8 core-seconds within a second.
    {
        auto wide = world.task("rack-2", slack);
        wide.estimate_ms = 1600;
        world.placing.enqueue(wide);
    }
    world.loop.advance(milliseconds{100});
    world.placing.dispatch();
    REQUIRE(world.starts == std::vector<std::string>(5, "b"));
    CHECK(world.place(world.task("", slack)) == "a");
    // Other tasks use "b" if there is no room elsewhere.
    world.placing.reported("a", placement_world::report("rack-1", 16000));
    CHECK(world.place(world.task("", slack)) == "b");
}

TEST_CASE("entries with equal views do not all choose the same server")
{
    // Entries with equal or outdated views must not all overload one server.
    std::map<std::string, int> chosen;
    for (std::uint64_t entry = 1; entry <= 12; ++entry)
    {
        placement_world world(1, entry);
        for (int i = 0; i < 70; ++i)
            world.runner("agent-" + std::to_string(i), "rack-1");
        ++chosen[world.place(world.task("", slack))];
    }
    for (const auto& [agent, entries] : chosen)
        CHECK(entries <= 3);
}

TEST_CASE(
    "under overload jobs of low priority are demoted before they are late")
{
    placement_world world(1);
    world.runner("a", "rack-1", 15000);
    std::map<job_id, std::uint32_t> priorities;
    const auto enqueue = [&](std::uint32_t priority, duration left)
    {
        auto wanted = world.task("", left);
        wanted.priority = priority;
        priorities[wanted.task.job] = priority;
        world.placing.enqueue(wanted);
    };
    for (int i = 0; i < 24; ++i)
        enqueue(i % 2 == 0 ? 2 : 0, milliseconds{500 + 10 * i});
    // Room for one task every 50 ms, so that half of the tasks can be in time.
    for (int i = 0; i < 10; ++i)
    {
        world.loop.advance(milliseconds{50});
        world.placing.reported("a", placement_world::report("rack-1", 14000));
        world.placing.dispatch();
    }
    REQUIRE(world.placing.stats().placed == 10);
    CHECK(world.placing.stats().demoted > 0);
    CHECK(world.placing.stats().late == 0);
    for (const auto job : world.placed)
        priorities.erase(job);
    std::size_t important = 0;
    for (const auto& [job, priority] : priorities)
        important += priority == 0 ? 1 : 0;
    CHECK(important <= 4); // An order by urgency alone gives seven.
}

TEST_CASE("late jobs that have begun go before late jobs that have not")
{
    placement_world world(1);
    world.runner("a", "rack-1", 14000); // Room for one task.
    auto older = world.task("", milliseconds{1});
    auto begun = world.task("", milliseconds{2});
    auto rest = begun;
    rest.task.index = 1;
    world.placing.enqueue(begun);
    world.placing.enqueue(rest);
    world.placing.dispatch();
    REQUIRE(world.placed == std::vector<job_id>{begun.task.job});
    world.placing.enqueue(older);
    world.loop.advance(milliseconds{50});
    world.placing.dispatch(); // Both jobs are late now.
    world.placing.reported("a", placement_world::report("rack-1", 14000));
    world.placing.dispatch();
    REQUIRE(world.placed.size() == 2);
    CHECK(world.placed.back() == begun.task.job);
}

TEST_CASE(
    "a long run without the preferred label does not slow the server's pace")
{
    placement_world world;
    world.runner("a", "rack-1");
    job_step step;
    step.estimate_ms = 60;
    step.preferred_label = "rack-2";
    run_end end;
    end.outcome = run_outcome::done;
    end.duration_us = 180'000;
    for (int i = 0; i < 20; ++i)
        world.placing.record_end("a", end, step);
    CHECK(world.placing.agents().at("a").pace() == Approx(1.0));
}

// Shared placement of the tasks of several entries.

TEST_CASE("tasks of several entries start in the order of urgency")
{
    placement_world world(1);
    world.placing.set_grant_sender(&world);
    world.runner("a", "rack-1", 16000);
    const auto own = world.task("", milliseconds{50});
    const auto first = world.task_of(1, milliseconds{40});
    const auto last = world.task_of(2, milliseconds{60});
    world.placing.enqueue(last);
    world.placing.enqueue(own);
    world.placing.enqueue(first);
    std::vector<job_id> order;
    for (int i = 0; i < 3; ++i)
    {
        // Room for one task.
        auto free = placement_world::report("rack-1", 14400);
        for (const auto& [entry, grant] : world.granted)
            free.granted.push_back(grant.number);
        const auto grants = world.granted.size();
        world.placing.reported("a", free);
        world.placing.dispatch();
        order.push_back(world.granted.size() > grants
                            ? world.granted.back().second.task.job
                            : world.placed.back());
    }
    CHECK(order ==
          std::vector<job_id>{first.task.job, own.task.job, last.task.job});
}

TEST_CASE("a late task does not start before another entry's task in time")
{
    placement_world world(1);
    world.placing.set_grant_sender(&world);
    world.runner("a", "rack-1", 16000);
    world.placing.enqueue(world.task("", milliseconds{10}));
    world.loop.advance(milliseconds{20});
    const auto in_time = world.task_of(1, milliseconds{90});
    world.placing.enqueue(in_time);
    world.placing.reported("a", placement_world::report("rack-1", 14400));
    world.placing.dispatch();
    CHECK(world.placed.empty());
    REQUIRE(world.granted.size() == 1);
    CHECK(world.granted[0].first == 1);
    CHECK(world.granted[0].second.task == in_time.task);
}

TEST_CASE("late tasks leave a share of the cores free")
{
    placement_world world(1, 1, 0.25);
    world.runner("a", "rack-1", 11000); // 5 of 16 cores are free.
    const auto late = world.task("", milliseconds{10});
    auto also_late = late;
    also_late.task.index = 1;
    world.placing.enqueue(late);
    world.placing.enqueue(also_late);
    world.loop.advance(milliseconds{20});
    world.placing.dispatch();
    CHECK(world.placed.empty()); // Placing would leave 3.4 of the 4 reserved
                                 // cores.
    CHECK(world.place(world.task("", slack)) == "a");
    world.placing.reported("a", placement_world::report("rack-1", 10000));
    world.placing.dispatch();
    REQUIRE(world.placed.size() == 2);
    CHECK(world.placed.back() == late.task.job);
    CHECK(world.placing.waiting() == 1);
}

TEST_CASE("granted room is reserved until its order arrives or the grant ends")
{
    placement_world world(1);
    world.placing.set_grant_sender(&world);
    world.runner("a", "rack-1", 14400); // Room for one task.
    world.placing.enqueue(world.task_of(1, slack));
    world.placing.dispatch();
    REQUIRE(world.granted.size() == 1);
    CHECK(world.place(world.task("", slack)).empty());
    const auto number = world.granted[0].second.number;
    SECTION("the agent reports the order")
    {
        auto report = placement_world::report("rack-1", 14400);
        report.granted = {number};
        world.placing.reported("a", report);
        CHECK(world.place_again() == "a");
    }
    SECTION("its entry declines the grant")
    {
        world.placing.declined(1, {"a", number, false});
        CHECK(world.place_again() == "a");
        CHECK(world.placing.stats().declined == 1);
    }
    SECTION("the grant expires")
    {
        world.loop.advance(milliseconds{160});
        CHECK(world.place_again() == "a");
    }
}

TEST_CASE(
    "an entry without a session with an agent gets no grants there for a while")
{
    placement_world world(1);
    world.placing.set_grant_sender(&world);
    world.runner("a", "rack-1");
    world.placing.enqueue(world.task_of(1, slack));
    world.placing.dispatch();
    REQUIRE(world.granted.size() == 1);
    world.placing.declined(1, {"a", world.granted[0].second.number, true});
    world.placing.enqueue(world.task_of(1, slack));
    world.placing.enqueue(world.task_of(2, slack));
    world.placing.dispatch();
    REQUIRE(world.granted.size() == 2);
    CHECK(world.granted[1].first == 2);
    world.loop.advance(milliseconds{310});
    world.placing.dispatch();
    REQUIRE(world.granted.size() == 3);
    CHECK(world.granted[2].first == 1);
}

TEST_CASE("a job that waits at two entries is placed for both")
{
    // The caller has sent the job again to another entry.
    placement_world world(1);
    world.placing.set_grant_sender(&world);
    world.runner("a", "rack-1");
    auto again = world.task("", slack);
    world.placing.enqueue(again);
    again.entry = 1;
    world.placing.enqueue(again);
    world.placing.dispatch();
    CHECK(world.placed.size() == 1);
    CHECK(world.granted.size() == 1);
}

TEST_CASE("only the tasks of a lost entry are dropped")
{
    placement_world world(1);
    world.placing.set_grant_sender(&world);
    world.placing.enqueue(world.task_of(1, slack));
    world.placing.enqueue(world.task_of(2, slack));
    world.placing.enqueue(world.task("", slack));
    world.placing.drop_entry(1);
    CHECK(world.placing.waiting() == 2);
    world.runner("a", "rack-1");
    world.placing.dispatch();
    CHECK(world.granted.size() == 1);
    CHECK(world.placed.size() == 1);
}

TEST_CASE(
    "the rest of a job that began in time goes first even when it is late")
{
    // Guards against begun jobs that wait behind all tasks in time until their
    // callers time out.
    placement_world world(3, 1, 0.15);
    world.runner("a", "rack-1", 14000); // Room for one task.
    auto first = world.task("", slack);
    auto rest = first;
    rest.task.index = 1;
    world.placing.enqueue(first);
    world.placing.enqueue(rest);
    world.placing.dispatch();
    REQUIRE(world.placed == std::vector<job_id>{first.task.job});
    world.loop.advance(slack + milliseconds{10});
    const auto other = world.task("", slack);
    world.placing.enqueue(other);
    world.placing.reported("a", placement_world::report("rack-1", 14000));
    world.placing.dispatch();
    REQUIRE(world.placed.size() == 2);
    CHECK(world.placed.back() == rest.task.job);
    world.placing.reported("a", placement_world::report("rack-1", 14000));
    world.placing.dispatch();
    REQUIRE(world.placed.size() == 3);
    CHECK(world.placed.back() == other.task.job);
}

TEST_CASE("a late job that has not begun does not take reserved room")
{
    placement_world world(3, 1, 0.15);
    world.runner("a", "rack-1", 14000); // An eighth of the cores is free.
    const auto late = world.task("", slack);
    world.loop.advance(slack + milliseconds{10});
    CHECK(world.place(late).empty());
    CHECK(world.place(world.task("", slack)) == "a");
}

// Guards against orders that can't be told from those for the next incarnation
// of a server, which may be smaller or of another kind.
TEST_CASE("an order names the incarnation that the entry knows",
          "[order_incarnation]")
{
    placement_world world;
    auto report = placement_world::report("rack-1", 0);
    report.incarnation_number = 4;
    world.placing.attached("a", report);
    world.placing.adopted("a", memory_part);
    REQUIRE(world.place(world.task("rack-1", slack)) == "a");
    CHECK(world.orders.back().incarnation_number == 4);
    report.incarnation_number = 5;
    world.placing.reported("a", report);
    REQUIRE(world.place(world.task("rack-1", slack)) == "a");
    CHECK(world.orders.back().incarnation_number == 5);
}
