// Runs of cancelled jobs whose starts a backend server carries out late.
#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr lease_id entry_lease = memory_lease(0);
constexpr run_ref wanted{{42, 0, 0, 0}, first_memory_run + 1};

/// An agent's manager, a backend server and an entry that may go.
struct cancel_world
{
    cancel_world()
    {
        account.service = "service-1";
        account.instance = "life-1";
        account.capacity = {4000, 1000, 0};
        account.phase = runner_phase::ready;
        make();
    }

    void make()
    {
        manager = std::make_unique<run_manager>(
            loop.clock, runner, loop.delay(), 1000, run_manager_settings{});
        manager->registered(account);
        manager->begin();
        run(milliseconds{20});
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds{10};
        for (duration passed{}; passed < length; passed += step)
        {
            if (entry_answers)
                manager->renew(entry_lease, 0, loop.clock.now());
            manager->tick();
            loop.advance(step);
        }
    }

    void order()
    {
        run_order order;
        order.run = wanted;
        order.needs = {1000, 10, 0};
        manager->order(order, entry_lease);
    }

    /// The backend server carries out what it left unanswered.
    /// @return Whether it runs now.
    bool carry_out_late()
    {
        for (const auto& [run, context] : std::exchange(runner.late_starts, {}))
            runner.begin(run, context);
        return runs();
    }

    bool runs() const { return !runner.running.empty(); }

    manual_loop loop;
    fake_runner_port runner{loop};
    runner_account account;
    bool entry_answers = true;
    std::unique_ptr<run_manager> manager;
};

} // namespace

TEST_CASE("a start without an answer whose job is cancelled never begins")
{
    cancel_world world;
    world.runner.drop_orders = 1;
    world.order();
    world.manager->stop(wanted); // Before the start counts as lost.
    world.run(milliseconds{100});
    CHECK_FALSE(world.carry_out_late());
    world.run(milliseconds{400});
    CHECK(world.manager->take_ends(entry_lease).size() == 1);
}

TEST_CASE("nor where its stop gets no answer either")
{
    cancel_world world;
    world.runner.drop_orders = 3; // The start and two stops.
    world.order();
    world.manager->stop(wanted);
    world.run(milliseconds{1200});
    CHECK_FALSE(world.carry_out_late());
    CHECK(world.runner.barred.size() >= 1);
}

TEST_CASE("a start carried out just before the stop is stopped")
{
    cancel_world world;
    world.runner.drop_orders = 2; // The start and the stop.
    world.order();
    world.manager->stop(wanted);
    world.run(milliseconds{20});
    REQUIRE(world.carry_out_late());
    world.run(milliseconds{500});
    CHECK_FALSE(world.runs());
}

TEST_CASE("a late start that a new process of the agent finds is stopped")
{
    // The process that sent it is gone, and so is what it knew; the job was
    // cancelled meanwhile, so that no entry claims the run.
    cancel_world world;
    world.runner.drop_orders = 1;
    world.order();
    world.make();
    world.manager->adopt(entry_lease, 0);
    world.run(milliseconds{200});
    REQUIRE(world.carry_out_late());
    world.run(milliseconds{900});
    CHECK_FALSE(world.runs());
}

TEST_CASE("a late start for an entry that was removed is stopped")
{
    cancel_world world;
    world.runner.drop_orders = 2; // The start and its stop.
    world.order();
    world.run(milliseconds{20});
    world.entry_answers = false;
    REQUIRE(world.carry_out_late());
    // Its lease, the time to stop, and the hold where stops fail.
    world.run(milliseconds{2000});
    CHECK_FALSE(world.runs());
    CHECK_FALSE(world.carry_out_late());
}

TEST_CASE("a run that has ended here and is shown all the same is stopped")
{
    // Whatever let it begin: nobody knows it any more.
    cancel_world world;
    world.runner.drop_orders = 1;
    world.order();
    world.run(milliseconds{400});
    REQUIRE(world.manager->take_ends(entry_lease).size() == 1);
    world.runner.barred.clear();
    REQUIRE(world.runner.late_starts.size() == 1);
    auto [run, context] = world.runner.late_starts.front();
    context.deadline_ms += 1000;
    REQUIRE(world.runner.begin(run, context) == order_outcome::done);
    world.run(milliseconds{300});
    CHECK_FALSE(world.runs());
}
