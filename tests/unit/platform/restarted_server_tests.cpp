// Guards against state of an ended incarnation being applied to the next one
// with the same id: lost ends, ignored drains, and tasks sent to a draining
// backend server.
#include "platform/server_registration.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr lease_id entry_lease = memory_lease(0);
constexpr std::int64_t first_born = 1'750'000'000'000;
constexpr std::int64_t second_born = first_born + 60'000;

/// An agent and a backend server that keeps its id across restarts.
struct restart_fixture
{
    restart_fixture()
    {
        server.incarnation = "server-1";
        server.born_ms = first_born;
        server.clock_ahead = seconds{500};
        manager.begin();
    }

    /// Sends a heartbeat to the agent.
    unsigned send_heartbeat(std::int64_t born, std::uint64_t sequence,
                            const std::string& state,
                            const std::string& more = {})
    {
        return call("PUT", R"({"service":"service-1","zone":"hall-1",)"
                           R"("capacity":{"cpu":4000,"mem_mb":1000,"gpu":0},)"
                           R"("state":")" +
                               state + R"(","born":)" + std::to_string(born) +
                               R"(,"clock_ms":)" +
                               std::to_string(server.now_ms()) +
                               R"(,"sequence":)" + std::to_string(sequence) +
                               more + "}");
    }

    unsigned sign_off() { return call("DELETE", {}); }

    unsigned call(const std::string& method, const std::string& body)
    {
        http_request request;
        request.method = method;
        request.target = "/instances/server-1";
        request.body = body;
        unsigned status = 0;
        registration.handle(request, [&status](const http_response& answer)
                            { status = answer.status; });
        return status;
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds{10};
        for (duration passed{}; passed < length; passed += step)
        {
            manager.renew(entry_lease, 0, loop.clock.now());
            manager.tick();
            loop.advance(step);
            for (const auto& end : manager.take_ends(entry_lease))
            {
                reported_ends.push_back(end);
                manager.confirm(end);
            }
        }
    }

    static run_ref ref(std::uint32_t index)
    {
        return {{42, 0, 0, index}, first_memory_run + 1};
    }

    void order(std::uint32_t index)
    {
        run_order order;
        order.run = ref(index);
        order.needs = {1000, 10, 0};
        manager.order(order, entry_lease);
    }

    /// Runs three tasks in the first incarnation until their ends are
    /// confirmed.
    void run_first_incarnation()
    {
        send_heartbeat(first_born, 40, "ready");
        run(milliseconds{50});
        for (std::uint32_t index = 0; index < 3; ++index)
            order(index);
        run(milliseconds{50});
        REQUIRE(server.running.size() == 3);
        for (std::uint32_t index = 0; index < 3; ++index)
            server.finish(ref(index), run_outcome::done);
        run(milliseconds{200});
        REQUIRE(reported_ends.size() == 3);
        REQUIRE(server.confirmed == 3);
        reported_ends.clear();
    }

    /// Restarts the server and registers the second incarnation.
    void start_second_incarnation()
    {
        server.restart(second_born);
        run(milliseconds{200});
        CHECK(send_heartbeat(second_born, 1, "ready") == 200);
        run(milliseconds{100});
        REQUIRE(manager.account().phase == server_phase::ready);
        reported_ends.clear();
    }

    manual_loop loop;
    fake_backend_server server{loop};
    run_manager manager{loop.clock, server, loop.delay(), 1000, {}};
    platform::server_registration registration{manager};
    std::vector<run_end>
        reported_ends; ///< Ends reported to the entry and confirmed.
};

} // namespace

TEST_CASE("a restarted server with the same id that drains gets no tasks",
          "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    world.start_second_incarnation();
    CHECK(world.send_heartbeat(second_born, 2, "draining") == 200);
    world.run(milliseconds{20});
    CHECK(world.manager.account().phase == server_phase::draining);
    world.order(7);
    world.run(milliseconds{50});
    CHECK(world.server.running.empty());
    REQUIRE(world.reported_ends.size() == 1);
    CHECK(world.reported_ends[0].outcome == run_outcome::not_begun);
}

TEST_CASE("ends of a restarted server with the same id are reported",
          "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    world.start_second_incarnation();
    world.order(7);
    world.run(milliseconds{50});
    REQUIRE(world.server.running.size() == 1);
    world.server.finish(world.ref(7), run_outcome::done);
    world.run(milliseconds{200});
    REQUIRE(world.reported_ends.size() == 1);
    CHECK(world.reported_ends[0].outcome == run_outcome::done);
    CHECK(world.manager.stats().runs_missing == 0);
}

TEST_CASE(
    "delayed heartbeats of the previous and current incarnation are ignored",
    "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    world.start_second_incarnation();
    world.send_heartbeat(second_born, 5, "draining");
    world.run(milliseconds{20});
    world.send_heartbeat(first_born, 41,
                         "ready"); // Delayed since before the restart.
    world.run(milliseconds{50});
    CHECK(world.manager.account().phase == server_phase::draining);
    world.send_heartbeat(second_born, 4,
                         "ready"); // Overtaken by a newer heartbeat.
    world.run(milliseconds{50});
    CHECK(world.manager.account().phase == server_phase::draining);
    CHECK(world.manager.account().born_ms == second_born);
}

TEST_CASE("an unanswered start that ends with the incarnation may have run",
          "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    world.server.lose_answers = 1;
    world.order(7);
    world.loop.advance(milliseconds{2});
    REQUIRE(world.server.running.size() == 1);
    world.server.restart(second_born);
    world.run(milliseconds{100});
    world.send_heartbeat(second_born, 1, "ready");
    world.run(milliseconds{1500});
    REQUIRE(world.reported_ends.size() == 1);
    CHECK(world.reported_ends[0].outcome == run_outcome::lapsed);
}

TEST_CASE("only runs of the ended incarnation are reported as ended",
          "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    world.order(7);
    world.run(milliseconds{50});
    world.server.restart(second_born);
    world.order(8); // The server restarts before the next poll.
    world.run(milliseconds{300});
    world.send_heartbeat(second_born, 1, "ready");
    world.run(milliseconds{300});
    REQUIRE(world.reported_ends.size() == 1);
    CHECK(world.reported_ends[0].run == world.ref(7));
    CHECK(world.reported_ends[0].outcome == run_outcome::lapsed);
    REQUIRE(world.server.running.size() == 1);
    CHECK(world.server.running[0] == world.ref(8));
    world.server.finish(world.ref(8), run_outcome::done);
    world.run(milliseconds{200});
    REQUIRE(world.reported_ends.size() == 2);
    CHECK(world.reported_ends[1].outcome == run_outcome::done);
}

TEST_CASE("an unregistered incarnation gets no tasks under the previous id",
          "[restarted_server]")
{
    // The new incarnation may have a smaller capacity.
    restart_fixture world;
    world.run_first_incarnation();
    world.server.restart(second_born);
    world.run(milliseconds{300});
    CHECK(world.manager.account().phase == server_phase::absent);
    world.order(7);
    world.run(milliseconds{50});
    CHECK(world.server.running.empty());
}

TEST_CASE("a leaving notice uses the clock of its own incarnation",
          "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    world.start_second_incarnation();
    world.send_heartbeat(second_born, 2, "draining", R"(,"remaining_ms":1800)");
    world.run(milliseconds{20});
    REQUIRE(world.manager.load().leaves_in);
    CHECK(*world.manager.load().leaves_in > milliseconds{1500});
    CHECK(*world.manager.load().leaves_in <= milliseconds{1800});
}

TEST_CASE("a delayed sign-off of the previous incarnation is ignored",
          "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    world.start_second_incarnation();
    world.order(7);
    world.run(milliseconds{50});
    CHECK(world.sign_off() == 200);
    world.run(milliseconds{200});
    CHECK(world.reported_ends.empty());
    CHECK(world.manager.account().phase == server_phase::ready);
    CHECK(world.server.running.size() == 1);
}

TEST_CASE("a sign-off after a drain ends the incarnation at once",
          "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    world.order(7);
    world.run(milliseconds{50});
    world.send_heartbeat(first_born, 41, "draining");
    world.sign_off();
    world.run(milliseconds{10});
    CHECK(world.manager.account().instance.empty());
    REQUIRE(world.reported_ends.size() == 1);
    CHECK(world.reported_ends[0].outcome == run_outcome::lapsed);
}

TEST_CASE("a sign-off without a drain counts once the server is unreachable",
          "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    world.order(7);
    world.run(milliseconds{50});
    world.server.unreachable = true;
    world.sign_off();
    world.run(milliseconds{150});
    CHECK(world.manager.account().instance.empty());
    REQUIRE(world.reported_ends.size() == 1);
    CHECK(world.reported_ends[0].outcome == run_outcome::lapsed);
}

TEST_CASE("an unreachable server gets no tasks until it answers",
          "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    world.server.unreachable = true;
    world.run(milliseconds{200});
    CHECK(world.manager.account().phase == server_phase::absent);
    world.order(7);
    world.run(milliseconds{10});
    REQUIRE(world.reported_ends.size() == 1);
    CHECK(world.reported_ends[0].outcome == run_outcome::not_begun);
    CHECK(world.server.started.at(42) == 3);
    world.server.unreachable =
        false; // The same incarnation after a network outage.
    world.run(milliseconds{100});
    CHECK(world.manager.account().phase == server_phase::ready);
}

TEST_CASE("a heartbeat without a start time is rejected if run lists have one",
          "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    // The server would rely on a 200.
    CHECK(world.send_heartbeat(0, 50, "draining") == 400);
    world.run(milliseconds{20});
    CHECK(world.manager.account().phase == server_phase::ready);
    CHECK(world.manager.stats().heartbeats.at(2) == 1);
}

TEST_CASE("incarnations without a start time are identified by the id alone",
          "[restarted_server]")
{
    restart_fixture world;
    world.server.born_ms = 0;
    world.send_heartbeat(0, 1, "ready");
    world.run(milliseconds{50});
    CHECK(world.manager.account().phase == server_phase::ready);
    world.send_heartbeat(0, 3, "draining");
    world.send_heartbeat(0, 2, "ready");
    world.run(milliseconds{50});
    CHECK(world.manager.account().phase == server_phase::draining);
}

TEST_CASE("a new incarnation that answers no poll is adopted after a timeout",
          "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    world.server.silent = true;
    world.send_heartbeat(second_born, 1, "ready");
    world.run(milliseconds{500});
    CHECK(world.manager.account().born_ms ==
          first_born); // The old one may still run.
    world.run(milliseconds{1500});
    CHECK(world.manager.account().born_ms == second_born);
    CHECK(world.manager.account().phase == server_phase::absent);
}

TEST_CASE("a start time may be earlier than that of the previous incarnation",
          "[restarted_server]")
{
    // The wall clock was set back between the incarnations.
    restart_fixture world;
    world.run_first_incarnation();
    world.server.restart(first_born - 60'000);
    world.run(milliseconds{200});
    world.send_heartbeat(first_born - 60'000, 1, "ready");
    world.run(milliseconds{100});
    CHECK(world.manager.account().phase == server_phase::ready);
    world.send_heartbeat(first_born - 60'000, 2, "draining");
    world.run(milliseconds{20});
    CHECK(world.manager.account().phase == server_phase::draining);
}

TEST_CASE("a heartbeat of an ended incarnation does not register the next one",
          "[restarted_server]")
{
    restart_fixture world;
    world.run_first_incarnation();
    world.server.restart(second_born);
    world.run(milliseconds{200});
    world.send_heartbeat(first_born, 41, "ready"); // A delayed heartbeat.
    world.run(milliseconds{200});
    CHECK(world.manager.account().phase == server_phase::absent);
    world.send_heartbeat(second_born, 1, "ready");
    world.run(milliseconds{100});
    CHECK(world.manager.account().phase == server_phase::ready);
    CHECK(world.manager.account().born_ms == second_born);
}

TEST_CASE("a remembered account does not apply to a new incarnation",
          "[restarted_server]")
{
    restart_fixture world;
    server_account before;
    before.service = "service-1";
    before.instance = "server-1";
    before.born_ms = first_born;
    before.sequence = 40;
    before.capacity = {16000, 1000, 0};
    before.phase = server_phase::ready;
    world.server.restart(second_born);
    world.manager.restored(before);
    world.run(milliseconds{200});
    CHECK(world.manager.account().phase == server_phase::absent);
    world.send_heartbeat(second_born, 1, "ready");
    world.run(milliseconds{100});
    CHECK(world.manager.account().phase == server_phase::ready);
    CHECK(world.manager.account().capacity.cpu == 4000);
}

TEST_CASE("a remembered account overrides an older heartbeat",
          "[restarted_server]")
{
    restart_fixture world;
    world.send_heartbeat(first_born, 40,
                         "ready"); // Sent before the agent restarted.
    server_account kept = world.manager.account();
    kept.sequence = 42;
    kept.phase = server_phase::draining;
    world.manager.restored(kept);
    world.run(milliseconds{50});
    CHECK(world.manager.account().phase == server_phase::draining);
    world.send_heartbeat(first_born, 41, "ready");
    world.run(milliseconds{50});
    CHECK(world.manager.account().phase == server_phase::draining);
}
