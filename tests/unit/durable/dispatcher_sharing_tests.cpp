// Tasks of this entry at placers of groups.
#include "unit/durable/placement_world.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// Lets tasks wait at the placer that a test names.
struct fixed_selector : placer_selector
{
    placer_number select(const ready_task&) override { return placer; }

    placer_number placer = 1;
};

} // namespace

TEST_CASE("an entry whose tasks are placed elsewhere orders them on a grant")
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
        CHECK(world.placing.take_changes(1).empty()); // Its placer knows.
        CHECK(world.placing.apply_grant({wanted.task, "a", 8}, {1, 99}) ==
              grant_verdict::not_wanted);
    }
    SECTION("an agent out of reach: the task is wanted again")
    {
        CHECK(world.placing.apply_grant({wanted.task, "b", 7}, {1, 99}) ==
              grant_verdict::unreachable);
        CHECK(world.placing.take_changes(1).added.size() == 1);
        CHECK(world.placing.waiting() == 1);
    }
    SECTION("its caller has left: the grant is not used")
    {
        world.placing.withdraw(wanted.task);
        CHECK(world.placing.take_changes(1).withdrawn.size() == 1);
        CHECK(world.placing.apply_grant({wanted.task, "a", 7}, {1, 99}) ==
              grant_verdict::not_wanted);
    }
    SECTION("without its placer the entry places by itself")
    {
        selector.placer = 0;
        world.placing.recall(1);
        CHECK(world.place_again() == "a");
        CHECK(world.placing.apply_grant({wanted.task, "a", 7}, {1, 99}) ==
              grant_verdict::not_wanted);
        CHECK(world.placed.size() == 1);
    }
    SECTION("with the placer of another group it waits there, once")
    {
        selector.placer = 2;
        world.placing.recall(1);
        CHECK(world.placing.take_changes(1).empty());
        CHECK(world.placing.take_changes(2).added.size() == 1);
        // A grant of the first placer that was on its way all the while.
        CHECK(world.placing.apply_grant({wanted.task, "a", 7}, {1, 99}) ==
              grant_verdict::used);
        CHECK(world.placing.take_changes(2).withdrawn.size() == 1);
        CHECK(world.placing.apply_grant({wanted.task, "a", 3}, {2, 88}) ==
              grant_verdict::not_wanted);
        world.placing.dispatch();
        CHECK(world.orders.size() == 1);
    }
}

TEST_CASE("a stop never overtakes the order that it is for")
{
    // A grant's order leaves with the next turn. An agent carries out the stops
    // of a message first: one that came in between would find no run, and the
    // run of a cancelled job would then begin.
    placement_world world(1);
    fixed_selector selector;
    world.runner("a", "rack-1");
    world.placing.set_placer_selector(&selector);
    const auto wanted = world.task("", slack);
    world.placing.enqueue(wanted);
    REQUIRE(world.placing.apply_grant({wanted.task, "a", 7}, {1, 99}) ==
            grant_verdict::used);
    REQUIRE(world.orders.empty());
    world.placing.stop("a", {wanted.task, 0}); // As it was assigned.
    world.placing.dispatch();
    REQUIRE(world.batches.size() == 2);
    CHECK(world.batches[0].starts.size() == 1);
    CHECK(world.batches[0].stops.empty());
    CHECK(world.batches[1].starts.empty());
    CHECK(world.batches[1].stops.size() == 1);
}

TEST_CASE("what an agent is told with an answer is not sent again")
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

TEST_CASE("tasks that wait here move to a placer that can be chosen")
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

TEST_CASE("the tasks of a job wait at one placer")
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
    // Nor do they part where the first one waits here.
    auto third = world.task("", slack);
    auto fourth = third;
    fourth.task.index = 1;
    selector.placer = 0;
    world.placing.enqueue(third);
    selector.placer = 2;
    world.placing.enqueue(fourth);
    CHECK(world.placing.take_changes(2).empty());
}

TEST_CASE("a placer places at the agents of its group alone")
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

TEST_CASE("an agent that moves to another group loses no room and no grant")
{
    placement_world world(1);
    world.placing.set_grant_sender(&world);
    world.runner("a", "rack-1");
    world.placing.enqueue(world.task_of(1, slack));
    world.placing.dispatch();
    REQUIRE(world.granted.size() == 1);
    world.placing.place_only_at([](const std::string&) { return false; });
    // Nothing more is placed there; what was granted may still be used.
    world.placing.enqueue(world.task_of(1, slack));
    world.placing.dispatch();
    CHECK(world.granted.size() == 1);
    world.loop.advance(milliseconds{200});
    world.placing.dispatch();
    // It comes back: the grant that nobody used has freed its room.
    world.placing.place_only_at(nullptr);
    CHECK(world.placing.free_cores("service-1") == Approx(16));
    world.placing.dispatch();
    CHECK(world.granted.size() == 2);
}

TEST_CASE("an entry orders at agents of other groups what their placers grant")
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
