// Coordinator of journalled jobs.
#include "unit/durable/coordinator_fixture.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("a journalled job is accepted and started once its row is durable")
{
    coordinator_fixture world;
    world.owner(1);
    world.coordinator->submit(coordinator_fixture::job(1),
                              [&](const job_reply& reply)
                              { world.replies[1] = reply; });
    CHECK(world.replies.empty());
    CHECK(world.started.empty());
    world.settle();
    CHECK(world.replies.at(1).outcome == job_outcome::done);
    CHECK(world.store.find({"jobs", part_name(0), to_text(1)}));
    CHECK(world.started.size() == 2);
}

TEST_CASE("the end of a run is confirmed only after it is journalled")
{
    coordinator_fixture world;
    world.owner(1);
    world.submit(coordinator_fixture::job(1));
    world.store.down = true;
    const auto [agent, run] = world.started.front();
    world.end(agent, run, run_outcome::done);
    CHECK(world.confirmed.empty());
    world.store.down = false;
    world.loop.advance(milliseconds{500});
    world.placing.dispatch();
    CHECK(world.confirmed.size() == 1);
}

TEST_CASE("a job is reported as succeeded only after that is journalled")
{
    coordinator_fixture world;
    world.owner(1);
    world.submit(coordinator_fixture::job(1));
    world.store.down = true;
    world.end_all(run_outcome::done);
    std::optional<job_reply> state_reply;
    world.coordinator->state(1, [&](const job_reply& reply)
                             { state_reply = reply; });
    world.settle();
    CHECK_FALSE(state_reply);
    world.store.down = false;
    world.loop.advance(seconds{1});
    REQUIRE(state_reply);
    CHECK(state_reply->state == job_state::succeeded);
    CHECK_FALSE(world.store.find({"jobs", part_name(0), to_text(1)}));
}

TEST_CASE("a resubmitted job is not run again, even after its end")
{
    coordinator_fixture world;
    world.owner(1);
    world.submit(coordinator_fixture::job(1));
    world.submit(coordinator_fixture::job(1));
    CHECK(world.started.size() == 2);
    world.end_all(run_outcome::done);
    world.submit(coordinator_fixture::job(1));
    CHECK(world.started.empty());
    CHECK(world.replies.at(1).outcome == job_outcome::done);
}

TEST_CASE("an owner without its store refuses new jobs")
{
    coordinator_fixture world;
    world.owner(1);
    world.store.down = true;
    world.submit(coordinator_fixture::job(1));
    CHECK(world.replies.at(1).outcome == job_outcome::refused);
    world.store.down = false;
    world.settle();
    CHECK(world.started.empty());
    CHECK_FALSE(world.store.find({"jobs", part_name(0), to_text(1)}));
}

TEST_CASE("a new owner starts no task that a silent agent may still run")
{
    coordinator_fixture world;
    world.owner(1);
    world.submit(coordinator_fixture::job(1));
    const auto first = world.started;
    auto loaded = world.load();
    REQUIRE(loaded.jobs.size() == 1);
    world.started.clear();
    world.owner(2, {"agent-1", "agent-2"}, std::move(loaded));
    world.settle();
    CHECK(world.started.empty());
    // Agent 1 reports its runs; agent 2 stays silent.
    lease_account account;
    for (const auto& [agent, run] : first)
    {
        if (agent == "agent-1")
            account.runs.push_back({run, run_phase::running, true});
    }
    world.coordinator->reconcile_agent("agent-1", account);
    world.settle();
    CHECK(world.started.empty());
    world.loop.advance(job_coordinator_settings{}.agent_timeout);
    world.settle();
    CHECK(world.started.size() == first.size() - account.runs.size());
    for (const auto& [agent, run] : world.started)
        CHECK(run.run > first.front().second.run);
}

// Guards against a task that runs again although it has ended: an agent that
// reports had not told all ends yet when a new owner stopped waiting for it.
TEST_CASE("a new owner waits for the account of an agent that reports")
{
    coordinator_fixture world;
    world.owner(1);
    world.submit(coordinator_fixture::job(1, 1));
    const auto run = world.started.front().second;
    auto loaded = world.load();
    world.started.clear();
    world.live_agents = {"agent-1"};
    world.owner(2, {"agent-1", "agent-2"}, std::move(loaded));
    world.loop.advance(2 * job_coordinator_settings{}.agent_timeout);
    world.settle();
    CHECK(world.started.empty());
    SECTION("its account names the end")
    {
        lease_account account;
        account.ends.push_back({run, run_outcome::done, 501, 1000, true});
        world.coordinator->reconcile_agent("agent-1", account);
        world.settle();
        CHECK(world.started.empty());
        CHECK(world.coordinator->open_jobs() == 0);
    }
    SECTION("it falls silent")
    {
        world.live_agents.clear();
        world.settle();
        CHECK(world.started.size() == 1);
    }
}

// Guards against one task at two backend servers: an agent that the successor
// can't reach may still hold leases that the previous owner renewed.
TEST_CASE("a new owner waits for a silent agent from its claim on")
{
    coordinator_fixture world;
    world.owner(1);
    world.submit(coordinator_fixture::job(1));
    auto loaded = world.load();
    world.started.clear();
    world.owner(2, {"agent-1"}, std::move(loaded));
    world.coordinator->on_agent_lost("agent-1");
    world.settle();
    CHECK(world.started.empty());
    world.loop.advance(job_coordinator_settings{}.agent_timeout -
                       milliseconds{200});
    world.settle();
    CHECK(world.started.empty());
    world.loop.advance(milliseconds{200});
    world.settle();
    CHECK(world.started.size() == 2);
}

TEST_CASE("failed attempts count once each, across owners")
{
    coordinator_fixture world;
    world.owner(1);
    world.submit(coordinator_fixture::job(1, 1));
    const auto [agent, run] = world.started.front();
    world.end(agent, run, run_outcome::failed);
    auto loaded = world.load();
    world.owner(2, {}, std::move(loaded));
    world.settle();
    // A repeated report of the same failure counts once.
    world.end(agent, run, run_outcome::failed);
    std::optional<job_reply> state_reply;
    world.coordinator->state(1, [&](const job_reply& reply)
                             { state_reply = reply; });
    world.settle();
    REQUIRE(state_reply);
    CHECK_FALSE(is_final(state_reply->state));
    const auto last = world.started.back();
    world.end(last.first, last.second, run_outcome::failed);
    world.coordinator->state(1, [&](const job_reply& reply)
                             { state_reply = reply; });
    CHECK(state_reply->state == job_state::failed);
}

TEST_CASE("cancelling a job is journalled and stops its runs")
{
    coordinator_fixture world;
    world.owner(1);
    world.submit(coordinator_fixture::job(1));
    std::optional<job_reply> cancelled;
    world.coordinator->cancel(1, [&](const job_reply& reply)
                              { cancelled = reply; });
    CHECK_FALSE(cancelled);
    world.settle();
    REQUIRE(cancelled);
    CHECK(cancelled->state == job_state::cancelled);
    CHECK(world.stopped.size() == 2);
    world.coordinator->cancel(9, [&](const job_reply& reply)
                              { cancelled = reply; });
    CHECK(cancelled->outcome == job_outcome::missing);
}

TEST_CASE("a step waits for all tasks of the steps that it depends on")
{
    coordinator_fixture world;
    world.owner(1);
    auto two = coordinator_fixture::job(1, 2);
    two.steps.push_back(two.steps[0]);
    two.steps[1].after = {0};
    world.submit(two);
    REQUIRE(world.started.size() == 2);
    const auto first = std::exchange(world.started, {});
    world.end(first[0].first, first[0].second, run_outcome::done);
    CHECK(world.started.empty());
    world.end(first[1].first, first[1].second, run_outcome::done);
    CHECK(world.started.size() == 2);
}

TEST_CASE("a job with an unreadable row is not run, ended or reported missing")
{
    // Truncated, overwritten, or written by a newer version.
    for (const auto* table : {"jobs", "progress", "ended"})
    {
        for (const auto* value : {"", "{", "[]", "[[9],[]]", "[[0,0],[]]"})
        {
            INFO(table << " " << value);
            coordinator_fixture world;
            world.owner(1);
            world.submit(coordinator_fixture::job(1));
            world.submit(coordinator_fixture::job(2));
            row_transaction change;
            change.puts.push_back({{table, part_name(0), to_text(1)}, value});
            world.store.commit(change, [](const commit_result&) {});
            world.settle();
            world.started.clear();
            auto loaded = world.load();
            CHECK(loaded.unreadable == std::set<job_id>{1});
            world.owner(2, {}, std::move(loaded));
            world.settle();
            for (const auto& [agent, run] : world.started)
                CHECK(run.task.job == 2); // Other jobs continue.
            CHECK(world.started.size() == 2);
            std::vector<job_outcome> outcomes;
            const auto record_outcome = [&](const job_reply& reply)
            { outcomes.push_back(reply.outcome); };
            world.coordinator->state(1, record_outcome);
            world.coordinator->cancel(1, record_outcome);
            world.replies.clear();
            world.submit(coordinator_fixture::job(1)); // Resubmitted.
            CHECK(outcomes ==
                  std::vector<job_outcome>(2, job_outcome::unknown));
            CHECK(world.replies.at(1).outcome == job_outcome::unknown);
            CHECK(world.started.size() == 2);
            const auto row =
                world.store.find({table, part_name(0), to_text(1)});
            REQUIRE(row);
            CHECK(row->value == value); // The row is not overwritten.
        }
    }
}

// Guards against a caller that is told that its job does not exist, and whose
// submission, read later, is run all the same.
TEST_CASE("a job that arrives after its cancel is journalled as cancelled")
{
    coordinator_fixture world;
    world.owner(1);
    std::optional<job_reply> cancelled;
    world.coordinator->cancel(7, [&](const job_reply& reply)
                              { cancelled = reply; });
    REQUIRE(cancelled);
    CHECK(cancelled->outcome == job_outcome::missing);
    std::vector<job_reply> submitted;
    const auto submit = [&]
    {
        world.coordinator->submit(world.job(7), [&](const job_reply& reply)
                                  { submitted.push_back(reply); });
    };
    submit();
    submit(); // While the end is written.
    CHECK(submitted.empty());
    world.settle();
    submit();
    REQUIRE(submitted.size() == 3);
    for (const auto& reply : submitted)
    {
        CHECK(reply.outcome == job_outcome::done);
        CHECK(reply.state == job_state::cancelled);
    }
    CHECK(world.started.empty());
    const auto loaded = world.load();
    CHECK(loaded.jobs.empty());
    REQUIRE(loaded.ended.size() == 1);
    CHECK(loaded.ended[0].first == 7);
    CHECK(loaded.ended[0].second.state == job_state::cancelled);
}

// Guards against a process that runs out of memory: a job of few bytes may have
// thousands of tasks.
TEST_CASE("a job beyond the limit of open tasks is refused")
{
    coordinator_fixture world;
    world.max_open_tasks = 5;
    const bool journalled = GENERATE(true, false);
    if (journalled)
        world.owner(1);
    else
        world.in_memory();
    const auto submit = [&](job_id id, std::uint32_t tasks)
    {
        world.submit(journalled ? world.job(id, tasks)
                                : world.memory_job(id, tasks));
        const auto reply = world.replies.find(id);
        return reply == world.replies.end() ||
               reply->second.outcome != job_outcome::refused;
    };
    CHECK(submit(1, 8)); // The only one.
    CHECK_FALSE(submit(2, 1));
    world.end_all(run_outcome::done);
    CHECK(world.coordinator->open_tasks() == 0);
    CHECK(submit(3, 3));
    CHECK(submit(4, 2));
    CHECK_FALSE(submit(5, 1));
    CHECK(world.coordinator->open_tasks() == 5);
}
