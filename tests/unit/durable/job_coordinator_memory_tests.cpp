// Coordinator of in-memory jobs.
#include "unit/durable/coordinator_fixture.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("an in-memory job needs no store and its reply is its end state")
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

TEST_CASE("an expired in-memory job is not reported as failed")
{
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1));
    world.loop.advance(seconds{4});
    world.settle();
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
    CHECK(world.stopped.size() == 2);
}

TEST_CASE("an expired job without a placed task is reported as not run")
{
    coordinator_fixture world;
    world.in_memory();
    // Fills all backend servers, so that the next job waits.
    world.submit(coordinator_fixture::memory_job(1, 16));
    world.submit(coordinator_fixture::memory_job(2));
    REQUIRE(world.started.size() == 16);
    world.loop.advance(seconds{4});
    world.settle();
    CHECK(world.replies.at(2).outcome == job_outcome::refused);
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("a job that can't end before its expiry is refused, not started")
{
    coordinator_fixture world;
    world.in_memory();
    auto fills = coordinator_fixture::memory_job(1, 16); // All backend servers.
    fills.expiry_ms += 3000;
    world.submit(fills);
    auto waits = coordinator_fixture::memory_job(2);
    waits.steps[0].estimate_ms = 1000;
    world.submit(waits);
    world.loop.advance(milliseconds{1800});
    world.settle();
    CHECK(world.replies.empty());
    // 2.1 s of 3 s have passed, too late for a job of 1 s.
    world.loop.advance(milliseconds{150});
    world.settle();
    CHECK(world.replies.at(2).outcome == job_outcome::refused);
    CHECK(world.replies.at(2).retry_after > duration{});
    CHECK_FALSE(world.replies.contains(1)); // It has started and continues.
    world.end_all(run_outcome::done);
    CHECK(world.replies.at(1).state == job_state::succeeded);
    CHECK(world.started.empty());
}

TEST_CASE("a late job that has not started by `begin_by` is refused")
{
    // Callers should learn early that a job will not run.
    coordinator_fixture world;
    world.in_memory(0.5);
    auto fills = coordinator_fixture::memory_job(1, 16); // All backend servers.
    fills.expiry_ms += 3000;
    world.submit(fills);
    world.submit(coordinator_fixture::memory_job(2)); // Late after 0.9 s.
    auto patient = coordinator_fixture::memory_job(3);
    patient.objective_ms += 1500; // Its limit to be on time is 2.4 s.
    world.submit(patient);
    world.loop.advance(milliseconds{1200});
    world.settle();
    CHECK(world.replies.empty());
    world.loop.advance(milliseconds{400});
    world.settle();
    CHECK(world.replies.at(2).outcome == job_outcome::refused);
    CHECK(world.replies.at(2).retry_after > duration{});
    CHECK_FALSE(world.replies.contains(1)); // It has started and continues.
    CHECK_FALSE(world.replies.contains(3)); // It may still be on time.
}

TEST_CASE("a job whose orders were all returned is reported as not run")
{
    // Guards against callers that wait for the expiry of a job that has not
    // run.
    coordinator_fixture world;
    world.in_memory(0.5);
    world.submit(coordinator_fixture::memory_job(1));
    REQUIRE(world.started.size() == 2);
    world.drain_all();
    world.end_all(run_outcome::not_begun);
    REQUIRE(world.started.empty());
    world.loop.advance(milliseconds{1300});
    CHECK(world.replies.empty());
    // The reply does not wait for a tick.
    world.loop.advance(milliseconds{100});
    REQUIRE(world.replies.contains(1));
    CHECK(world.replies.at(1).outcome == job_outcome::refused);
}

TEST_CASE("orders returned after the start deadline are answered at once")
{
    coordinator_fixture world;
    world.in_memory(0.5);
    world.submit(coordinator_fixture::memory_job(1));
    REQUIRE(world.started.size() == 2);
    world.drain_all();
    world.loop.advance(milliseconds{2000});
    CHECK(world.replies.empty()); // Placed tasks may run.
    const auto orders = std::exchange(world.started, {});
    world.end(orders[0].first, orders[0].second, run_outcome::not_begun);
    CHECK(world.replies.empty());
    world.end(orders[1].first, orders[1].second, run_outcome::not_begun);
    REQUIRE(world.replies.contains(1));
    CHECK(world.replies.at(1).outcome == job_outcome::refused);
}

TEST_CASE("a job with a task that has run is never reported as not run")
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

TEST_CASE("an order lost with its agent may have run")
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

TEST_CASE("an order that its agent did not receive has not run")
{
    // Guards against an `unknown` reply, after which callers may not resubmit.
    coordinator_fixture world;
    world.in_memory(0.5);
    world.submit(coordinator_fixture::memory_job(1, 1));
    REQUIRE(world.started.size() == 1);
    const auto agent = world.started.front().first;
    world.drain_all();
    SECTION("the link was lost briefly") {}
    SECTION("the link was lost until the agent timed out")
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

TEST_CASE("an order to an agent process that has ended may have run")
{
    coordinator_fixture world;
    world.in_memory(0.5);
    world.submit(coordinator_fixture::memory_job(1, 1));
    REQUIRE(world.started.size() == 1);
    const auto agent = world.started.front().first;
    world.drain_all();
    // Report of the restarted agent process.
    world.coordinator->reconcile_agent(agent, {});
    lease_account account;
    account.complete = true;
    world.coordinator->reconcile_agent(agent, account); // Second report of it.
    world.loop.advance(milliseconds{2500});
    CHECK(world.replies.empty());
    world.loop.advance(milliseconds{1000});
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("a lost order may have run until its agent reports otherwise")
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
    SECTION("the run had started")
    {
        world.coordinator->reconcile_agent(agent, account);
        world.loop.advance(milliseconds{2500});
        CHECK(world.replies.empty());
        world.loop.advance(milliseconds{1000});
        CHECK(world.replies.at(1).outcome == job_outcome::unknown);
    }
    SECTION("the run had not started")
    {
        account.ends.front().outcome = run_outcome::not_begun;
        world.coordinator->reconcile_agent(agent, account);
        world.loop.advance(milliseconds{1600});
        REQUIRE(world.replies.contains(1));
        CHECK(world.replies.at(1).outcome == job_outcome::refused);
    }
}

TEST_CASE("an in-memory job is abandoned when its caller disconnects")
{
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1));
    world.coordinator->withdraw(1);
    world.settle();
    CHECK(world.stopped.size() == 2);
    CHECK(world.coordinator->open_jobs() == 0);
    // The reply may still reach the caller, and must not name a final state
    // that the job does not have.
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("a resubmitted job expires at its own time, not at the first one's")
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
    // The expiry of the first submission passes, not that of the second.
    world.loop.advance(milliseconds{1500});
    world.settle();
    CHECK(world.replies.empty());
    CHECK(world.coordinator->open_jobs() == 1);
    world.loop.advance(seconds{2});
    world.settle();
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("unclaimed runs of in-memory jobs are left to their own entry")
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

TEST_CASE("claimed ends are confirmed again after the loss of a session")
{
    // Otherwise the backend server keeps the ends unconfirmed for ever.
    coordinator_fixture world;
    world.in_memory();
    lease_account account;
    const run_ref old{{77, 0, 0, 0}, first_memory_run + 1};
    account.ends.push_back({old, run_outcome::done, 3, 0, true});
    world.coordinator->reconcile_agent("agent-1", account);
    world.settle();
    CHECK(world.confirmed.size() == 1);
}

TEST_CASE("tasks of a silent agent are restarted with higher run numbers")
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

TEST_CASE("a failed task is restarted at another agent if possible")
{
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1, 1));
    const auto [agent, run] = world.started.back();
    world.end(agent, run, run_outcome::failed);
    REQUIRE(world.started.size() == 2);
    CHECK(world.started.back().first != agent);
}

TEST_CASE("jobs are refused without a backend server and during shutdown")
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

TEST_CASE("cancelling an in-memory job answers its caller at once")
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
    // Its tasks are not restarted when their runs end.
    world.started.clear();
    world.end("agent-1", {{1, 0, 0, 0}, first_memory_run + 1},
              run_outcome::stopped);
    world.settle();
    CHECK(world.started.empty());
}

TEST_CASE("a cancelled in-memory job that is resubmitted is not run")
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

TEST_CASE("no task is placed of a job cancelled before placement")
{
    coordinator_fixture world;
    world.in_memory();
    world.coordinator->submit(coordinator_fixture::memory_job(1),
                              [](const job_reply&) {});
    world.coordinator->cancel(1, [](const job_reply&) {});
    world.settle();
    CHECK(world.started.empty());
}

TEST_CASE("a job submitted during warm-up waits for agents to attach")
{
    // Guards against refusals while idle backend servers are about to attach.
    coordinator_fixture world;
    world.placing.detached("agent-1");
    world.placing.detached("agent-2");
    world.in_memory(0.5, milliseconds{500});
    world.submit(coordinator_fixture::memory_job(1));
    CHECK(world.replies.empty());
    CHECK(world.coordinator->stats().early == 1);
    SECTION("an agent attaches")
    {
        world.attach("agent-1");
        world.adopt(memory_part);
        world.settle();
        CHECK(world.started.size() == 2);
        world.end_all(run_outcome::done);
        CHECK(world.replies.at(1).state == job_state::succeeded);
    }
    SECTION("no agent attaches")
    {
        world.loop.advance(milliseconds{600});
        world.submit(coordinator_fixture::memory_job(2));
        CHECK(world.replies.at(2).outcome == job_outcome::refused);
        CHECK_FALSE(world.replies.contains(1));
        // A job that becomes late leaves its room to other jobs, here after 0.9
        // s.
        world.loop.advance(milliseconds{300});
        REQUIRE(world.replies.contains(1));
        CHECK(world.replies.at(1).outcome == job_outcome::refused);
    }
}
