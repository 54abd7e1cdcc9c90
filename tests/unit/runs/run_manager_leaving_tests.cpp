// Backend servers that leave, and what is learned of their pace.
#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr lease_id entry_lease = memory_lease(0);

/// An agent's manager with a backend server of 4 cores that can leave.
struct leaving_world
{
    leaving_world()
    {
        account.service = "service-1";
        account.instance = runner.life = "life-1";
        account.capacity = {4000, 1000, 0};
        account.phase = runner_phase::ready;
        manager->registered(account);
        manager->begin();
        run(milliseconds{50});
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds{10};
        for (duration passed{}; passed < length; passed += step)
        {
            manager->renew(entry_lease, 0, loop.clock.now());
            manager->tick();
            loop.advance(step);
        }
    }

    /// @param left The notice.
    /// @param told_ago The account was on its way for so long.
    void leaves(duration left, duration told_ago = {})
    {
        account.phase = runner_phase::draining;
        manager->registered(account,
                            {runner.now_ms() - to_ms(told_ago), left, {}});
    }

    static std::int64_t to_ms(duration length)
    {
        return std::chrono::duration_cast<milliseconds>(length).count();
    }

    run_ref order(std::uint32_t expected_ms, std::uint32_t useful_ms,
                  job_id job = 42, std::uint32_t index = 0)
    {
        run_order order;
        order.run = {{job, 0, 0, index}, first_memory_run + 1};
        order.needs = {1000, 10, 0};
        order.estimate_ms = order.expected_ms = expected_ms;
        order.useful_ms = useful_ms;
        manager->order(order, entry_lease);
        return order.run;
    }

    std::vector<run_end> ends() { return manager->take_ends(entry_lease); }

    manual_loop loop;
    fake_runner_port runner{loop};
    runner_account account;
    std::unique_ptr<run_manager> manager = std::make_unique<run_manager>(
        loop.clock, runner, loop.delay(), 1000, run_manager_settings{});
};

} // namespace

TEST_CASE("a run that can't end before its server leaves is stopped, then told")
{
    leaving_world world;
    world.runner.stands_still = true; // Its progress says nothing yet.
    const auto run = world.order(5000, 20'000);
    world.run(milliseconds{50});
    REQUIRE(world.runner.running.size() == 1);
    world.leaves(seconds{2});
    CHECK(world.ends().empty()); // Not before it has surely ended.
    world.run(milliseconds{150});
    CHECK(world.runner.running.empty());
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].run == run);
    CHECK(told[0].outcome == run_outcome::stopped);
    CHECK(world.manager->stats().moved == 1);
    CHECK(world.manager->stats().moved_ms >= 40);
    CHECK(world.runner.stops == 1);
}

TEST_CASE("a stop at a leaving server that gets no answer is sent again")
{
    leaving_world world;
    world.runner.stands_still = true;
    world.order(5000, 20'000);
    world.run(milliseconds{50});
    world.runner.drop_orders = 1;
    world.leaves(seconds{2});
    world.run(milliseconds{100});
    CHECK(world.ends().empty());
    world.run(milliseconds{600});
    CHECK(world.ends().size() == 1);
    CHECK(world.manager->stats().moved == 1);
}

TEST_CASE("a run that can end before its server leaves runs on")
{
    leaving_world world;
    world.order(200, 20'000);
    world.run(milliseconds{50});
    world.leaves(seconds{2});
    world.run(milliseconds{100});
    CHECK(world.runner.running.size() == 1);
    CHECK(world.runner.stops == 0);
}

TEST_CASE("a run too late for another server is left where it runs")
{
    leaving_world world;
    world.runner.stands_still = true;
    world.order(5000, 4000);
    world.run(milliseconds{50});
    world.leaves(seconds{1});
    world.run(milliseconds{100});
    CHECK(world.runner.running.size() == 1);
    CHECK(world.manager->stats().lost == 1);
}

TEST_CASE("a server that leaves gets no new work, not even short tasks")
{
    leaving_world world;
    world.leaves(seconds{2});
    world.order(10, 1000);
    world.run(milliseconds{50});
    CHECK(world.runner.started.empty());
    CHECK(world.manager->stats().refused_leaving == 1);
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::not_begun);
}

TEST_CASE("a notice that was read late counts from when it was told")
{
    leaving_world world;
    world.leaves(seconds{2}, milliseconds{1500});
    REQUIRE(world.manager->room().leaves_in);
    CHECK(*world.manager->room().leaves_in <= milliseconds{510});
    CHECK(*world.manager->room().leaves_in >= milliseconds{400});
}

TEST_CASE("a server that stays longer than it said moves no more runs")
{
    leaving_world world;
    world.runner.stands_still = true;
    world.order(500, 20'000);
    world.run(milliseconds{50});
    world.leaves(seconds{3});
    world.run(milliseconds{50});
    world.leaves(seconds{10}); // The next heartbeat.
    world.run(milliseconds{100});
    CHECK(world.runner.running.size() == 1);
    CHECK(world.manager->stats().notices == 1);
}

TEST_CASE("with its life a server's notice ends")
{
    leaving_world world;
    world.leaves(seconds{2});
    world.manager->departed("life-1");
    CHECK_FALSE(world.manager->room().leaves_in);
    world.account.instance = world.runner.life = "life-2";
    world.account.phase = runner_phase::ready;
    world.manager->registered(world.account);
    world.run(milliseconds{200}); // The look that is out is another life's.
    world.order(100, 1000);
    world.run(milliseconds{50});
    CHECK(world.runner.running.size() == 1);
}

TEST_CASE("what dies with a leaving server is told as lapsed")
{
    leaving_world world;
    world.runner.stands_still = true;
    world.order(5000, 4000);
    world.run(milliseconds{50});
    world.leaves(milliseconds{200});
    world.run(milliseconds{200});
    world.runner.running.clear();
    world.manager->departed("life-1");
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::lapsed);
}

TEST_CASE("the pace of a server is learned from all its ends, for one life")
{
    leaving_world world;
    for (std::uint32_t i = 0; i < 6; ++i)
    {
        const auto run = world.order(60, 5000, 42 + i);
        world.run(milliseconds{120});
        world.runner.finish(run, run_outcome::done);
        world.run(milliseconds{120});
        for (const auto& end : world.ends())
            world.manager->confirm(end);
    }
    CHECK(world.manager->pace().ends() == 6);
    CHECK(world.manager->room().pace > 1.5);
    world.manager->departed("life-1");
    world.account.instance = world.runner.life = "life-2";
    world.manager->registered(world.account);
    world.run(milliseconds{50});
    CHECK(world.manager->room().pace == Approx(0));
}

TEST_CASE("ends at a cold server say nothing of its pace")
{
    leaving_world world;
    world.manager->registered(world.account,
                              {world.runner.now_ms(), {}, seconds{1}});
    CHECK(world.manager->room().cold > milliseconds{900});
    const auto run = world.order(60, 5000);
    world.run(milliseconds{300});
    world.runner.finish(run, run_outcome::done);
    world.run(milliseconds{200});
    CHECK(world.ends().size() == 1);
    CHECK(world.manager->pace().ends() == 0);
    world.run(seconds{1});
    CHECK(world.manager->room().cold.count() == 0);
}
