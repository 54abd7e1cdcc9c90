// Lives of a backend server, and halls that get no new work.
#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr lease_id entry_lease = memory_lease(0);

/// An agent's manager with a backend server that knows which life it is.
struct lives_world
{
    lives_world()
    {
        runner.life = "life-1";
        make();
    }

    void make()
    {
        manager = std::make_unique<run_manager>(
            loop.clock, runner, loop.delay(), 1000, run_manager_settings{});
        manager->begin();
    }

    static runner_account account_of(const std::string& life)
    {
        runner_account account;
        account.service = "service-1";
        account.instance = life;
        account.zone = "hall-1";
        account.capacity = {4000, 1000, 0};
        account.phase = runner_phase::ready;
        return account;
    }

    void registers(const std::string& life)
    {
        manager->registered(account_of(life));
    }

    void remembers(const std::string& life,
                   runner_phase phase = runner_phase::ready)
    {
        auto account = account_of(life);
        account.phase = phase;
        manager->remembered(account);
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

    void order(std::uint32_t index)
    {
        run_order order;
        order.run = {{42, 0, 0, index}, first_memory_run + 1};
        order.needs = {1000, 10, 0};
        manager->order(order, entry_lease);
    }

    /// Life 1 has registered, answers, and runs one task.
    void run_one()
    {
        registers("life-1");
        run(milliseconds{20});
        order(0);
        run(milliseconds{20});
        REQUIRE(runner.running.size() == 1);
    }

    std::vector<run_end> ends() { return manager->take_ends(entry_lease); }

    manual_loop loop;
    fake_runner_port runner{loop};
    std::unique_ptr<run_manager> manager;
};

} // namespace

TEST_CASE("a heartbeat of an ended life that comes late ends nothing")
{
    lives_world world;
    world.run_one();
    world.registers("life-0"); // Held back by a cut.
    world.run(milliseconds{200});
    CHECK(world.manager->account().instance == "life-1");
    CHECK(world.manager->account().phase == runner_phase::ready);
    CHECK(world.ends().empty());
    CHECK(world.runner.running.size() == 1);
    CHECK(world.manager->stats().stale_registrations == 1);
    world.order(1);
    world.run(milliseconds{20});
    CHECK(world.runner.running.size() == 2);
}

TEST_CASE("a new life is taken as soon as it refuses a look for the last one")
{
    lives_world world;
    world.run_one();
    world.runner.running.clear();
    world.runner.life = "life-2";
    world.registers("life-2");
    world.run(milliseconds{20});
    CHECK(world.manager->account().instance == "life-2");
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::lapsed);
    world.order(1);
    world.run(milliseconds{20});
    CHECK(world.runner.running.size() == 1);
}

TEST_CASE("a new life is taken though no look is answered")
{
    lives_world world;
    world.registers("life-1");
    world.run(milliseconds{20});
    world.runner.silent = true;
    world.registers("life-2");
    world.run(milliseconds{500});
    CHECK(world.manager->account().instance == "life-1"); // It may live.
    world.run(milliseconds{1500});
    CHECK(world.manager->account().instance == "life-2");
}

TEST_CASE("a restarted agent that hears an ended life first ends nothing")
{
    lives_world world;
    world.run_one();
    world.make(); // The agent knows its runs from looks alone.
    world.run(milliseconds{20});
    world.registers("life-0");
    world.run(milliseconds{50});
    CHECK(world.manager->account().phase != runner_phase::ready);
    world.registers("life-1");
    world.run(milliseconds{50});
    CHECK(world.manager->account().instance == "life-1");
    CHECK(world.manager->account().phase == runner_phase::ready);
    const auto known = world.manager->adopt(entry_lease, 0);
    CHECK(known.ends.empty());
    CHECK(known.runs.size() == 1);
    CHECK(world.runner.running.size() == 1);
}

TEST_CASE("in an evacuated hall nothing starts, and what runs goes on")
{
    lives_world world;
    world.run_one();
    world.manager->evacuate(true);
    CHECK(world.manager->account().phase == runner_phase::draining);
    world.order(1);
    world.run(milliseconds{200});
    CHECK(world.runner.running.size() == 1);
    const auto told = world.ends();
    REQUIRE(told.size() == 1);
    CHECK(told[0].outcome == run_outcome::not_begun);
    world.registers("life-1"); // Its heartbeats say that it is ready.
    world.run(milliseconds{20});
    CHECK(world.manager->account().phase == runner_phase::draining);
    world.manager->evacuate(false);
    world.order(2);
    world.run(milliseconds{20});
    CHECK(world.runner.running.size() == 2);
}

TEST_CASE("a backend server that leaves an evacuated hall stays draining")
{
    lives_world world;
    world.registers("life-1");
    world.run(milliseconds{20});
    world.manager->evacuate(true);
    world.manager->drain();
    world.manager->evacuate(false);
    CHECK(world.manager->account().phase == runner_phase::draining);
}

TEST_CASE("a restarted agent asks the life that it remembers, and takes work")
{
    // Heartbeats come each 1.5 s: until then nobody could start anything.
    lives_world world;
    world.make();
    world.run(milliseconds{20});
    CHECK(world.manager->account().phase != runner_phase::ready);
    world.remembers("life-1");
    world.run(milliseconds{20});
    CHECK(world.manager->account().phase == runner_phase::ready);
    CHECK(world.manager->account().capacity.cpu == 4000);
    world.order(0);
    world.run(milliseconds{20});
    CHECK(world.runner.running.size() == 1);
    world.registers("life-1"); // Its heartbeat changes nothing.
    world.run(milliseconds{20});
    CHECK(world.manager->account().phase == runner_phase::ready);
    CHECK(world.runner.running.size() == 1);
    CHECK(world.manager->stats().forgotten == 0);
}

TEST_CASE("a life that is remembered and has ended gets no work")
{
    lives_world world;
    world.runner.life = "life-2";
    world.make();
    world.remembers("life-1");
    world.run(milliseconds{50});
    CHECK(world.manager->account().phase == runner_phase::absent);
    CHECK(world.manager->account().instance.empty());
    CHECK(world.manager->stats().forgotten == 1);
    world.registers("life-2");
    world.run(milliseconds{20});
    CHECK(world.manager->account().phase == runner_phase::ready);
}

TEST_CASE("a life that is remembered as draining gets no work")
{
    lives_world world;
    world.make();
    world.remembers("life-1", runner_phase::draining);
    world.run(milliseconds{50});
    CHECK(world.manager->account().phase == runner_phase::draining);
}

TEST_CASE("a registration counts more than what is remembered")
{
    lives_world world;
    world.make();
    world.registers("life-1");
    world.remembers("life-0");
    world.run(milliseconds{20});
    CHECK(world.manager->account().instance == "life-1");
    world.manager->departed("life-1");
    world.remembers("life-1");
    world.run(milliseconds{20});
    CHECK(world.manager->account().instance.empty());
}

TEST_CASE("a silent backend server that is remembered gets no work")
{
    lives_world world;
    world.runner.silent = true;
    world.make();
    world.remembers("life-1");
    world.run(milliseconds{500});
    CHECK(world.manager->account().phase == runner_phase::absent);
    world.registers("life-2"); // Nobody speaks for the other one.
    CHECK(world.manager->account().instance == "life-2");
}
