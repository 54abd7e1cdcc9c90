// Jobs in memory.
#include "unit/durable/coordinator_fixture.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("a job in memory needs no store and is answered with its end")
{
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1));
    CHECK(world.replies.empty());
    CHECK(world.store.transactions.empty());
    world.end_all(run_outcome::done);
    CHECK(world.replies.at(1).state == job_state::succeeded);
    CHECK(world.confirmed.size() == 2);
}

TEST_CASE("a job in memory that is given up is not called failed")
{
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1));
    world.loop.advance(seconds{4});
    world.settle();
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
    CHECK(world.stopped.size() == 2);
}

TEST_CASE("a job of which nothing was handed out was surely not run")
{
    coordinator_fixture world;
    world.in_memory();
    // It fills all runners, so that the next one waits.
    world.submit(coordinator_fixture::memory_job(1, 16));
    world.submit(coordinator_fixture::memory_job(2));
    REQUIRE(world.started.size() == 16);
    world.loop.advance(seconds{4});
    world.settle();
    CHECK(world.replies.at(2).outcome == job_outcome::refused);
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("a job that can't end in time for its caller is refused, not begun")
{
    coordinator_fixture world;
    world.in_memory();
    auto fills = coordinator_fixture::memory_job(1, 16); // All runners.
    fills.expiry_ms += 3000;
    world.submit(fills);
    auto waits = coordinator_fixture::memory_job(2);
    waits.steps[0].estimate_ms = 1000;
    world.submit(waits);
    world.loop.advance(milliseconds{1800});
    world.settle();
    CHECK(world.replies.empty());
    // 2.1 s of its 3 s have passed: its second does not fit any more.
    world.loop.advance(milliseconds{150});
    world.settle();
    CHECK(world.replies.at(2).outcome == job_outcome::refused);
    CHECK(world.replies.at(2).retry_after > duration{});
    CHECK_FALSE(world.replies.contains(1)); // It has begun and goes on.
    world.end_all(run_outcome::done);
    CHECK(world.replies.at(1).state == job_state::succeeded);
    CHECK(world.started.empty());
}

TEST_CASE("a job that will be late and has not begun by half time is refused")
{
    // Found on a saturated deployment: callers heard after all their time that
    // their jobs had not run.
    coordinator_fixture world;
    world.in_memory(0.5);
    auto fills = coordinator_fixture::memory_job(1, 16); // All runners.
    fills.expiry_ms += 3000;
    world.submit(fills);
    world.submit(coordinator_fixture::memory_job(2)); // Late after 0.9 s.
    auto patient = coordinator_fixture::memory_job(3);
    patient.objective_ms += 1500; // In time until 2.4 s.
    world.submit(patient);
    world.loop.advance(milliseconds{1200});
    world.settle();
    CHECK(world.replies.empty());
    world.loop.advance(milliseconds{400});
    world.settle();
    CHECK(world.replies.at(2).outcome == job_outcome::refused);
    CHECK(world.replies.at(2).retry_after > duration{});
    CHECK_FALSE(world.replies.contains(1)); // It has begun and goes on.
    CHECK_FALSE(world.replies.contains(3)); // It may still be in time.
}

TEST_CASE("orders that all came back have not run, and their caller hears so")
{
    // Found on saturated deployments: such callers were held to the end of
    // their time, and then told that their jobs may have run.
    coordinator_fixture world;
    world.in_memory(0.5);
    world.submit(coordinator_fixture::memory_job(1));
    REQUIRE(world.started.size() == 2);
    world.drain_all();
    world.end_all(run_outcome::not_begun);
    REQUIRE(world.started.empty());
    world.loop.advance(milliseconds{1300});
    CHECK(world.replies.empty());
    world.loop.advance(milliseconds{100}); // No tick is needed.
    REQUIRE(world.replies.contains(1));
    CHECK(world.replies.at(1).outcome == job_outcome::refused);
}

TEST_CASE("orders that come back after the latest begin are answered at once")
{
    coordinator_fixture world;
    world.in_memory(0.5);
    world.submit(coordinator_fixture::memory_job(1));
    REQUIRE(world.started.size() == 2);
    world.drain_all();
    world.loop.advance(milliseconds{2000});
    CHECK(world.replies.empty()); // What was ordered may run.
    const auto orders = std::exchange(world.started, {});
    world.end(orders[0].first, orders[0].second, run_outcome::not_begun);
    CHECK(world.replies.empty());
    world.end(orders[1].first, orders[1].second, run_outcome::not_begun);
    REQUIRE(world.replies.contains(1));
    CHECK(world.replies.at(1).outcome == job_outcome::refused);
}

TEST_CASE("a job with one task that has run is never said not to have run")
{
    coordinator_fixture world;
    world.in_memory(0.5);
    world.submit(coordinator_fixture::memory_job(1));
    REQUIRE(world.started.size() == 2);
    world.drain_all();
    const auto orders = std::exchange(world.started, {});
    world.end(orders[0].first, orders[0].second, run_outcome::lapsed);
    world.end(orders[1].first, orders[1].second, run_outcome::not_begun);
    world.loop.advance(milliseconds{2500});
    CHECK(world.replies.empty());
    world.loop.advance(milliseconds{1000});
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("an order that was lost with its agent may have run")
{
    coordinator_fixture world;
    world.in_memory(0.5);
    world.submit(coordinator_fixture::memory_job(1));
    REQUIRE(world.started.size() == 2);
    world.drain_all();
    world.coordinator->on_agent_lost("agent-1");
    world.coordinator->on_agent_lost("agent-2");
    world.loop.advance(milliseconds{2500});
    world.settle();
    CHECK(world.replies.empty());
    world.loop.advance(milliseconds{1000});
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("an order that its agent never took has not run, lost link or not")
{
    // Found on a saturated deployment: callers of such jobs mustn't ask again.
    coordinator_fixture world;
    world.in_memory(0.5);
    world.submit(coordinator_fixture::memory_job(1, 1));
    REQUIRE(world.started.size() == 1);
    const auto agent = world.started.front().first;
    world.drain_all();
    SECTION("its link was lost for a moment") {}
    SECTION("its link was lost for long")
    {
        world.coordinator->on_agent_lost(agent);
    }
    lease_account account;
    account.complete = true;
    world.coordinator->reconcile_agent(agent, account);
    world.loop.advance(milliseconds{1600});
    REQUIRE(world.replies.contains(1));
    CHECK(world.replies.at(1).outcome == job_outcome::refused);
    CHECK(world.coordinator->stats().orders_settled == 1);
}

TEST_CASE("an order to a process of an agent that has ended may have run")
{
    coordinator_fixture world;
    world.in_memory(0.5);
    world.submit(coordinator_fixture::memory_job(1, 1));
    REQUIRE(world.started.size() == 1);
    const auto agent = world.started.front().first;
    world.drain_all();
    world.coordinator->reconcile_agent(agent, {}); // Of its next process.
    lease_account account;
    account.complete = true;
    world.coordinator->reconcile_agent(agent, account); // The same, once more.
    world.loop.advance(milliseconds{2500});
    CHECK(world.replies.empty());
    world.loop.advance(milliseconds{1000});
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("a lost order that its agent tells of later may have run until then")
{
    coordinator_fixture world;
    world.in_memory(0.5);
    world.submit(coordinator_fixture::memory_job(1, 1));
    REQUIRE(world.started.size() == 1);
    const auto [agent, run] = world.started.front();
    world.started.clear();
    world.drain_all();
    world.coordinator->on_agent_lost(agent);
    lease_account account;
    account.complete = true;
    account.ends.push_back({run, run_outcome::stopped, 1, 0, true});
    SECTION("it had begun")
    {
        world.coordinator->reconcile_agent(agent, account);
        world.loop.advance(milliseconds{2500});
        CHECK(world.replies.empty());
        world.loop.advance(milliseconds{1000});
        CHECK(world.replies.at(1).outcome == job_outcome::unknown);
    }
    SECTION("it had not")
    {
        account.ends.front().outcome = run_outcome::not_begun;
        world.coordinator->reconcile_agent(agent, account);
        world.loop.advance(milliseconds{1600});
        REQUIRE(world.replies.contains(1));
        CHECK(world.replies.at(1).outcome == job_outcome::refused);
    }
}

TEST_CASE("a caller that leaves takes its job in memory along")
{
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1));
    world.coordinator->withdraw(1);
    world.settle();
    CHECK(world.stopped.size() == 2);
    CHECK(world.coordinator->open_jobs() == 0);
    // Found on a day of resets: the caller may hear an answer all the same,
    // and a job in memory has no other ends than succeeded and failed.
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("a job sent again is given up at its own time, not the first one's")
{
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1));
    world.coordinator->withdraw(1);
    world.loop.advance(seconds{2});
    world.replies.clear();
    auto again = coordinator_fixture::memory_job(1);
    again.accepted_ms += 2000;
    again.objective_ms += 2000;
    again.expiry_ms += 2000;
    world.submit(again);
    // Past the first one's time, not past its own.
    world.loop.advance(milliseconds{1500});
    world.settle();
    CHECK(world.replies.empty());
    CHECK(world.coordinator->open_jobs() == 1);
    world.loop.advance(seconds{2});
    world.settle();
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("runs in memory that nobody claimed are left to their own entry")
{
    coordinator_fixture world;
    world.in_memory();
    lease_account account;
    const run_ref other{{77, 0, 0, 0}, first_memory_run + 1};
    account.runs.push_back({other, run_phase::running, false});
    account.ends.push_back({other, run_outcome::done, 3, 0, false});
    world.coordinator->reconcile_agent("agent-1", account);
    world.settle();
    CHECK(world.stopped.empty());
    CHECK(world.confirmed.empty());
}

TEST_CASE("claimed ends are confirmed again after a session was lost")
{
    // Found on a bench day: the runner's numbers stood still for good.
    coordinator_fixture world;
    world.in_memory();
    lease_account account;
    const run_ref old{{77, 0, 0, 0}, first_memory_run + 1};
    account.ends.push_back({old, run_outcome::done, 3, 0, true});
    world.coordinator->reconcile_agent("agent-1", account);
    world.settle();
    CHECK(world.confirmed.size() == 1);
}

TEST_CASE("tasks of a silent agent are placed again, with higher numbers")
{
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1));
    const auto first = std::exchange(world.started, {});
    const auto gone = first.front().first;
    world.placing.detached(gone);
    world.coordinator->on_agent_lost(gone);
    world.settle();
    REQUIRE_FALSE(world.started.empty());
    for (const auto& [agent, run] : world.started)
    {
        CHECK(agent != gone);
        CHECK(run.run > first.front().second.run);
    }
}

TEST_CASE("a task that failed goes elsewhere if it can")
{
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1, 1));
    const auto [agent, run] = world.started.back();
    world.end(agent, run, run_outcome::failed);
    REQUIRE(world.started.size() == 2);
    CHECK(world.started.back().first != agent);
}

TEST_CASE("without a runner, or while it stops, a coordinator takes no job")
{
    coordinator_fixture world;
    world.in_memory();
    world.coordinator->refuse_new();
    world.submit(coordinator_fixture::memory_job(1));
    CHECK(world.replies.at(1).outcome == job_outcome::refused);
    world.in_memory();
    world.placing.detached("agent-1");
    world.placing.detached("agent-2");
    world.submit(coordinator_fixture::memory_job(2));
    CHECK(world.replies.at(2).outcome == job_outcome::refused);
    CHECK(world.replies.at(2).retry_after > duration{});
}

TEST_CASE("the caller of a cancelled job in memory hears so at once")
{
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1));
    REQUIRE(world.started.size() == 2);
    std::optional<job_reply> reply_received;
    CHECK(world.coordinator->knows(1));
    world.coordinator->cancel(1, [&](const job_reply& reply)
                              { reply_received = reply; });
    REQUIRE(reply_received);
    CHECK(reply_received->outcome == job_outcome::done);
    CHECK(reply_received->state == job_state::cancelled);
    REQUIRE(world.replies.contains(1));
    CHECK(world.replies[1].outcome == job_outcome::done);
    CHECK(world.replies[1].state == job_state::cancelled);
    world.settle();
    CHECK(world.stopped.size() == 2);
    // Its runs end, and none is placed again.
    world.started.clear();
    world.end("agent-1", {{1, 0, 0, 0}, first_memory_run + 1},
              run_outcome::stopped);
    world.settle();
    CHECK(world.started.empty());
}

TEST_CASE("a cancelled job in memory that comes again is not run anew")
{
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1));
    world.coordinator->cancel(1, [](const job_reply&) {});
    world.settle();
    world.started.clear();
    world.replies.clear();
    world.submit(coordinator_fixture::memory_job(1));
    CHECK(world.replies[1].state == job_state::cancelled);
    CHECK(world.started.empty());
}

TEST_CASE("a job that is cancelled before any task is placed places none")
{
    coordinator_fixture world;
    world.in_memory();
    world.coordinator->submit(coordinator_fixture::memory_job(1),
                              [](const job_reply&) {});
    world.coordinator->cancel(1, [](const job_reply&) {});
    world.settle();
    CHECK(world.started.empty());
}

TEST_CASE("a job that comes just before the agents waits for them")
{
    // Found where all VMs had lost power: who asked in the 0.2 s after their
    // return was refused, while the backend servers stood idle.
    coordinator_fixture world;
    world.placing.detached("agent-1");
    world.placing.detached("agent-2");
    world.in_memory(0.5, milliseconds{500});
    world.submit(coordinator_fixture::memory_job(1));
    CHECK(world.replies.empty());
    CHECK(world.coordinator->stats().early == 1);
    SECTION("they attach")
    {
        world.attach("agent-1");
        world.adopt(memory_part);
        world.settle();
        CHECK(world.started.size() == 2);
        world.end_all(run_outcome::done);
        CHECK(world.replies.at(1).state == job_state::succeeded);
    }
    SECTION("none attaches")
    {
        world.loop.advance(milliseconds{600});
        world.submit(coordinator_fixture::memory_job(2));
        CHECK(world.replies.at(2).outcome == job_outcome::refused);
        CHECK_FALSE(world.replies.contains(1));
        // After 0.9 s it would be late: room is for those who are not.
        world.loop.advance(milliseconds{300});
        REQUIRE(world.replies.contains(1));
        CHECK(world.replies.at(1).outcome == job_outcome::refused);
    }
}
