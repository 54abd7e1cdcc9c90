// Tests of tasks that this entry delegates to placers.
#include "unit/durable/placement_world.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// Selects the placer that a test sets.
struct fixed_selector : placer_selector
{
    placer_number select(const ready_task&) override { return placer; }

    placer_number placer = 1;
};

} // namespace

TEST_CASE("an entry orders a delegated task when its placer grants room")
{
    placement_world world(1);
    fixed_selector selector;
    world.runner("a", "rack-1");
    world.placing.set_placer_selector(&selector);
    const auto wanted = world.task("", slack);
    world.placing.enqueue(wanted);
    world.placing.dispatch();
    CHECK(world.placed.empty());
    REQUIRE(world.placing.take_changes(1).added.size() == 1);
    SECTION("the order names the grant")
    {
        CHECK(world.placing.apply_grant({wanted.task, "a", 7}, {1, 99}) ==
              grant_verdict::used);
        world.placing.dispatch();
        REQUIRE(world.orders.size() == 1);
        CHECK(world.orders[0].placer == 99);
        CHECK(world.orders[0].grant == 7);
        // The granting placer is not notified.
        CHECK(world.placing.take_changes(1).empty());
        CHECK(world.placing.apply_grant({wanted.task, "a", 8}, {1, 99}) ==
              grant_verdict::not_wanted);
    }
    SECTION("an unreachable agent: the task is sent to its placer again")
    {
        CHECK(world.placing.apply_grant({wanted.task, "b", 7}, {1, 99}) ==
              grant_verdict::unreachable);
        CHECK(world.placing.take_changes(1).added.size() == 1);
        CHECK(world.placing.waiting() == 1);
    }
    SECTION("a withdrawn task: the grant is not used")
    {
        world.placing.withdraw(wanted.task);
        CHECK(world.placing.take_changes(1).withdrawn.size() == 1);
        CHECK(world.placing.apply_grant({wanted.task, "a", 7}, {1, 99}) ==
              grant_verdict::not_wanted);
    }
    SECTION("no placer: the entry places the task itself")
    {
        selector.placer = 0;
        world.placing.recall(1);
        CHECK(world.place_again() == "a");
        CHECK(world.placing.apply_grant({wanted.task, "a", 7}, {1, 99}) ==
              grant_verdict::not_wanted);
        CHECK(world.placed.size() == 1);
    }
    SECTION("another placer: the task waits there and is ordered once")
    {
        selector.placer = 2;
        world.placing.recall(1);
        CHECK(world.placing.take_changes(1).empty());
        CHECK(world.placing.take_changes(2).added.size() == 1);
        // A late grant of the first placer arrives.
        CHECK(world.placing.apply_grant({wanted.task, "a", 7}, {1, 99}) ==
              grant_verdict::used);
        CHECK(world.placing.take_changes(2).withdrawn.size() == 1);
        CHECK(world.placing.apply_grant({wanted.task, "a", 3}, {2, 88}) ==
              grant_verdict::not_wanted);
        world.placing.dispatch();
        CHECK(world.orders.size() == 1);
    }
}

TEST_CASE("a stop is not sent ahead of the start of its run")
{
    // An agent handles the stops of a batch before its starts. A stop in the
    // same batch as its start would find no run, and the cancelled run would
    // then begin.
    placement_world world(1);
    fixed_selector selector;
    world.runner("a", "rack-1");
    world.placing.set_placer_selector(&selector);
    const auto wanted = world.task("", slack);
    world.placing.enqueue(wanted);
    REQUIRE(world.placing.apply_grant({wanted.task, "a", 7}, {1, 99}) ==
            grant_verdict::used);
    REQUIRE(world.orders.empty());
    world.placing.stop("a", {wanted.task, 0});
    world.placing.dispatch();
    REQUIRE(world.batches.size() == 2);
    CHECK(world.batches[0].starts.size() == 1);
    CHECK(world.batches[0].stops.empty());
    CHECK(world.batches[1].starts.empty());
    CHECK(world.batches[1].stops.size() == 1);
}

TEST_CASE("ends confirmed in an answer to a report are not sent again")
{
    placement_world world(1);
    world.runner("a", "rack-1");
    const run_end end{{{7, 0, 0, 0}, first_memory_run + 1}, run_outcome::done};
    world.placing.confirm("a", end);
    CHECK(world.placing.take_confirmed("a").size() == 1);
    CHECK(world.placing.take_confirmed("a").empty());
    world.placing.dispatch();
    CHECK(world.placing.stats().batches == 0);
    CHECK(world.placing.take_confirmed("nobody").empty());
}

TEST_CASE("tasks that wait here move to a placer that becomes available")
{
    placement_world world(1);
    fixed_selector selector;
    selector.placer = 0;
    world.placing.set_placer_selector(&selector);
    auto first = world.task("", slack);
    auto second = first;
    second.task.index = 1;
    world.placing.enqueue(first);
    world.placing.enqueue(second);
    selector.placer = 1;
    world.placing.redistribute();
    CHECK(world.placing.take_changes(1).added.size() == 2);
    CHECK(world.placing.waiting() == 2);
    world.runner("a", "rack-1");
    CHECK(world.place_again().empty());
}

TEST_CASE("all tasks of a job wait at one placer")
{
    placement_world world(1);
    fixed_selector selector;
    world.placing.set_placer_selector(&selector);
    auto first = world.task("", slack);
    auto second = first;
    second.task.index = 1;
    world.placing.enqueue(first);
    selector.placer = 2;
    world.placing.enqueue(second);
    CHECK(world.placing.take_changes(1).added.size() == 2);
    // The same holds if the first task waits here.
    auto third = world.task("", slack);
    auto fourth = third;
    fourth.task.index = 1;
    selector.placer = 0;
    world.placing.enqueue(third);
    selector.placer = 2;
    world.placing.enqueue(fourth);
    CHECK(world.placing.take_changes(2).empty());
}

TEST_CASE("a placer places only at the agents of its group")
{
    placement_world world(1);
    world.runner("a", "rack-1");
    world.runner("b", "rack-1");
    world.placing.place_only_at([](const std::string& name)
                                { return name == "b"; });
    CHECK(world.place(world.task("", slack)) == "b");
    CHECK(world.placing.ready_cores("service-1") == 16);
    CHECK(world.placing.loads().at("service-1").ready_cores == 16);
    world.placing.place_only_at(nullptr);
    CHECK(world.placing.ready_cores("service-1") == 32);
}

TEST_CASE(
    "grants at an agent that changes its group stay valid until they expire")
{
    placement_world world(1);
    world.placing.set_grant_sender(&world);
    world.runner("a", "rack-1");
    world.placing.enqueue(world.task_of(1, slack));
    world.placing.dispatch();
    REQUIRE(world.granted.size() == 1);
    world.placing.place_only_at([](const std::string&) { return false; });
    // Nothing more is placed there, but the grant may still be used.
    world.placing.enqueue(world.task_of(1, slack));
    world.placing.dispatch();
    CHECK(world.granted.size() == 1);
    world.loop.advance(milliseconds{200});
    world.placing.dispatch();
    // The agent returns, and the room of the unused grant is free.
    world.placing.place_only_at(nullptr);
    CHECK(world.placing.free_cores("service-1") == Approx(16));
    world.placing.dispatch();
    CHECK(world.granted.size() == 2);
}

TEST_CASE("an entry uses grants at agents of other groups")
{
    placement_world world(1);
    fixed_selector selector;
    world.runner("a", "rack-1");
    world.placing.place_only_at([](const std::string& name)
                                { return name == "b"; });
    world.placing.set_placer_selector(&selector);
    const auto wanted = world.task("", slack);
    world.placing.enqueue(wanted);
    CHECK(world.placing.apply_grant({wanted.task, "a", 7}, {1, 99}) ==
          grant_verdict::used);
}
