// Tests of the choice among cold, leaving, fast and slow backend servers.
#include "unit/durable/coordinator_fixture.hpp"
#include "unit/durable/placement_world.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// A dispatcher with a given server order and servers of known pace.
struct paced_world : placement_world
{
    explicit paced_world(server_order order)
        : placement_world(1), ordered(loop.clock, *this, *this, limits(order))
    {
    }

    static dispatcher_settings limits(server_order order)
    {
        auto out = settings(1, 1, 0);
        out.order = order;
        return out;
    }

    void server(const std::string& name, double pace, std::uint32_t taken = 0)
    {
        auto known = report("rack-1", taken);
        known.load.pace = pace;
        ordered.attached(name, known);
        ordered.adopted(name, memory_part);
    }

    /// @return The agent at which a new task is placed; empty: none.
    std::string place_one()
    {
        starts.clear();
        ordered.enqueue(task("", slack));
        ordered.dispatch();
        return starts.empty() ? "" : starts.back();
    }

    dispatcher ordered;
};

/// @param left The time until the server leaves.
server_report leaving_report(duration left)
{
    auto out = placement_world::report("rack-1", 0);
    out.account.phase = server_phase::draining;
    out.load.leaves_in = left;
    return out;
}

} // namespace

TEST_CASE("order fastest: a task goes to the fastest server with room to spare")
{
    paced_world world(server_order::fastest);
    world.server("quick", 0.6);
    world.server("slow", 1.67);
    world.server("usual", 1.0);
    CHECK(world.place_one() == "quick");
}

TEST_CASE("order earliest-end: a fast server goes before one with much room")
{
    paced_world world(server_order::earliest_end);
    world.server("quick", 0.6, 13000);
    world.server("usual", 1.0);
    CHECK(world.place_one() == "quick");
    paced_world other(server_order::fastest);
    other.server("quick", 0.6, 13000);
    other.server("usual", 1.0);
    CHECK(other.place_one() == "usual");
}

TEST_CASE("a cold server ranks behind warm ones until its cold time is over")
{
    placement_world world;
    world.runner("warm", "rack-1", 12000);
    auto cold = placement_world::report("rack-1", 0);
    cold.load.cold = seconds{2};
    world.placing.attached("cold", cold);
    world.placing.adopted("cold", memory_part);
    CHECK(world.place(world.task("", slack)) == "warm");
    world.loop.advance(milliseconds{2100});
    CHECK(world.place(world.task("", slack)) == "cold");
}

TEST_CASE("a cold server is used where no warm one has room")
{
    placement_world world;
    world.runner("warm", "rack-1", 16000);
    auto cold = placement_world::report("rack-1", 0);
    cold.load.cold = seconds{2};
    world.placing.attached("cold", cold);
    world.placing.adopted("cold", memory_part);
    CHECK(world.place(world.task("", slack)) == "cold");
    CHECK(world.placing.stats().cold == 1);
}

TEST_CASE("the cores of a leaving server stop counting at once")
{
    placement_world world;
    world.runner("a", "rack-1");
    world.runner("b", "rack-1", 15000);
    CHECK(world.placing.ready_cores("service-1") == Approx(32));
    world.placing.reported("a", leaving_report(seconds{2}));
    CHECK(world.placing.ready_cores("service-1") == Approx(16));
    CHECK(world.placing.free_cores("service-1") == Approx(1));
    CHECK(world.placing.loads().at("service-1").ready_cores == Approx(16));
    CHECK(world.place(world.task("", slack)).empty());
    world.placing.reported("a", leaving_report(seconds{1}));
    CHECK(world.placing.stats().leaving == 1);
}

TEST_CASE("a task does not wait for a leaving server with its preferred label")
{
    placement_world world;
    world.runner("a", "rack-1");
    world.runner("b", "rack-2", 15000);
    CHECK(world.place(world.task("rack-2", slack)).empty());
    auto leaving = leaving_report(seconds{2});
    leaving.account.labels = {"kind-a", "rack-2"};
    world.placing.reported("b", leaving);
    CHECK(world.place_again() == "a");
}

TEST_CASE("cores of a leaving server do not count as cores of its label")
{
    placement_world world;
    world.runner("a", "rack-1", 8000);
    world.runner("b", "rack-2");
    world.runner("c", "rack-2", 16000);
    auto leaving = leaving_report(seconds{2});
    leaving.account.labels = {"kind-a", "rack-2"};
    world.placing.reported("c", leaving);
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
}

TEST_CASE("runs stopped because their server leaves do not eject it")
{
    placement_world world;
    world.runner("a", "rack-1");
    world.placing.reported("a", leaving_report(seconds{2}));
    run_end end;
    end.outcome = run_outcome::stopped;
    for (int i = 0; i < 20; ++i)
        world.placing.record_end("a", end, {});
    world.placing.reported("a", placement_world::report("rack-1", 0));
    CHECK(world.place(world.task("", slack)) == "a");
}

TEST_CASE("the expected time in an order includes the far factor")
{
    placement_world world(1.5);
    world.runner("a", "rack-1");
    CHECK(world.place(world.task("rack-1", slack)) == "a");
    CHECK(world.place(world.task("rack-9", slack)) == "a");
    REQUIRE(world.orders.size() == 2);
    CHECK(world.orders[0].expected_ms == 60);
    CHECK(world.orders[1].expected_ms == 90);
}

TEST_CASE("the pace that an agent reports is used until its server changes")
{
    agent_view view("agent-1");
    auto report = placement_world::report("rack-1", 0);
    report.account.instance = "life-1";
    view.attached(report);
    view.record_pace(3.0);
    CHECK(view.pace() > 1.0);
    report.load.pace = 1.6;
    view.reported(report);
    CHECK(view.pace() == Approx(1.6));
    view.detached();
    view.attached(report); // The same life of the server.
    CHECK(view.pace() == Approx(1.6));
    report.account.instance = "life-2";
    report.account.born_ms = 1000;
    report.load.pace = 0;
    view.reported(report);
    CHECK(view.pace() == Approx(1.0));
    view.record_pace(3.0);
    report.account.born_ms = 2000; // Another life under the same id.
    view.reported(report);
    CHECK(view.pace() == Approx(1.0));
}

TEST_CASE(
    "a task stopped at a leaving server restarts elsewhere only after its end")
{
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1, 1));
    REQUIRE(world.started.size() == 1);
    const auto [agent, run] = world.started.front();
    const std::string other = agent == "agent-1" ? "agent-2" : "agent-1";
    world.started.clear();
    auto leaving = coordinator_fixture::report(agent, server_phase::draining);
    leaving.load.leaves_in = seconds{2};
    world.placing.reported(agent, leaving);
    world.settle();
    CHECK(world.started.empty()); // The run has not ended yet.
    world.end(agent, run, run_outcome::stopped);
    REQUIRE(world.started.size() == 1);
    CHECK(world.started[0].first == other);
    CHECK(world.started[0].second.run > run.run);
    CHECK(world.coordinator->stats().restarted == 1);
    world.end_all(run_outcome::done);
    CHECK(world.replies.at(1).state == job_state::succeeded);
}

TEST_CASE("a task moved to a second leaving server is moved again")
{
    // The second server leaves while the first one is still leaving.
    coordinator_fixture world;
    world.in_memory();
    world.submit(coordinator_fixture::memory_job(1, 1));
    for (int wave = 0; wave < 2; ++wave)
    {
        REQUIRE(world.started.size() == 1);
        const auto [agent, run] = world.started.front();
        world.started.clear();
        auto leaving =
            coordinator_fixture::report(agent, server_phase::draining);
        leaving.load.leaves_in = seconds{2};
        world.placing.reported(agent, leaving);
        world.end(agent, run, run_outcome::stopped);
    }
    CHECK(world.started.empty()); // No server takes work.
    auto back = coordinator_fixture::report("agent-1", server_phase::ready);
    back.account.instance = "another life";
    world.placing.reported("agent-1", back);
    world.settle();
    REQUIRE(world.started.size() == 1);
    world.end_all(run_outcome::done);
    CHECK(world.replies.at(1).state == job_state::succeeded);
}

TEST_CASE("an order of a job in memory carries the time that its end is useful")
{
    coordinator_fixture world;
    world.in_memory();
    for (const auto* name : {"agent-1", "agent-2"})
    {
        auto full = coordinator_fixture::report(name, server_phase::ready);
        full.load.used = full.account.capacity; // The task has to wait.
        world.placing.reported(name, full);
    }
    ready_task wanted;
    // The job's end is useful for 3 s.
    world.submit(coordinator_fixture::memory_job(1, 1));
    wanted.task.job = 1;
    const auto order = world.coordinator->assign(wanted, "agent-1");
    REQUIRE(order);
    CHECK(order->useful_ms > 2800);
    CHECK(order->useful_ms <= 3000);
}
