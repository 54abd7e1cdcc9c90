#include "glenhollow/durable/dispatcher.hpp"
#include "unit/support/manual_loop.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace glenhollow;

namespace
{

/// A dispatcher over runners of two racks that do as they are told.
struct placement_world : order_sender, task_source, grant_sender
{
    explicit placement_world(double far_factor = 3, std::uint64_t seed = 1,
                             double late_reserve = 0)
        : placing(loop.clock, *this, *this,
                  settings(far_factor, seed, late_reserve))
    {
    }

    static dispatcher_settings settings(double far_factor, std::uint64_t seed,
                                        double late_reserve)
    {
        dispatcher_settings out;
        out.late_reserve = late_reserve;
        out.seed = seed;
        out.far_factor = far_factor;
        return out;
    }

    /// @param taken Thousandths of a core that its agent says are taken.
    void runner(const std::string& name, const std::string& rack,
                std::uint32_t taken = 0)
    {
        placing.attached(name, report(rack, taken));
        placing.adopted(name, memory_part);
    }

    static runner_report report(const std::string& rack, std::uint32_t taken)
    {
        runner_report out;
        out.account.service = "service-1";
        out.account.capacity = {16000, 64000, 0};
        out.account.phase = runner_phase::ready;
        out.account.labels = {"kind-a", rack};
        out.room.used = {taken, 0, 0};
        out.received = 1000; // All that was sent.
        return out;
    }

    /// @param slack Until it must start near its data to be in time.
    ready_task task(const std::string& rack, duration slack)
    {
        ready_task out;
        out.task.job = ++jobs;
        out.part = memory_part;
        out.service = "service-1";
        out.preferred_label = rack;
        out.needs = {1600, 64, 0};
        out.estimate_ms = 60;
        out.start_by = loop.clock.now() + slack;
        return out;
    }

    /// @return Where the only task that was placed went; empty: nowhere.
    std::string place(const ready_task& wanted)
    {
        starts.clear();
        placing.enqueue(wanted);
        placing.dispatch();
        return starts.empty() ? "" : starts.back();
    }

    std::string place_again()
    {
        starts.clear();
        placing.dispatch();
        return starts.empty() ? "" : starts.back();
    }

    void send(const std::string& agent, order_batch batch) override
    {
        starts.insert(starts.end(), batch.starts.size(), agent);
        orders.insert(orders.end(), batch.starts.begin(), batch.starts.end());
    }

    void grant(entry_number entry, std::vector<task_grant> grants) override
    {
        for (auto& one : grants)
            granted.emplace_back(entry, std::move(one));
    }

    /// A task that waits at another entry.
    ready_task task_of(entry_number entry, duration slack)
    {
        auto out = task("", slack);
        out.entry = entry;
        return out;
    }

    std::optional<run_order> assign(const ready_task& wanted,
                                    const std::string&) override
    {
        placed.push_back(wanted.task.job);
        run_order order;
        order.run.task = wanted.task;
        order.needs = wanted.needs;
        return order;
    }

    manual_loop loop;
    dispatcher placing;
    std::vector<std::string> starts;
    std::vector<run_order> orders;
    std::vector<std::pair<entry_number, task_grant>> granted;
    std::vector<job_id> placed;
    job_id jobs = 0;
};

constexpr duration slack = milliseconds{96};

} // namespace

TEST_CASE("a task goes where its data lies, also to a fuller runner")
{
    placement_world world;
    world.runner("a", "rack-1");
    world.runner("b", "rack-2", 13000);
    CHECK(world.place(world.task("rack-2", slack)) == "b");
}

TEST_CASE("a task that would be late elsewhere waits for room at its data")
{
    placement_world world;
    world.runner("a", "rack-1");
    world.runner("b", "rack-2", 15000);
    CHECK(world.place(world.task("rack-2", slack)).empty());
    world.placing.reported("b", placement_world::report("rack-2", 0));
    CHECK(world.place_again() == "b");
}

TEST_CASE("a task that is late goes to any runner with room to spare")
{
    placement_world world;
    world.runner("a", "rack-1", 14000);
    world.runner("b", "rack-2", 15000);
    CHECK(world.place(world.task("rack-2", slack)).empty());
    world.loop.advance(slack + milliseconds{1});
    CHECK(world.place_again().empty()); // Little room is left at "a".
    world.placing.reported("a", placement_world::report("rack-1", 0));
    CHECK(world.place_again() == "a");
    CHECK(world.placing.stats().far == 1);
}

TEST_CASE("a task that is in time elsewhere does not wait for room")
{
    placement_world world(1.5);
    world.runner("a", "rack-1");
    world.runner("b", "rack-2", 15000);
    CHECK(world.place(world.task("rack-2", slack)) == "a");
}

TEST_CASE("a task whose data lies at no runner goes to any")
{
    placement_world world;
    world.runner("a", "rack-1");
    CHECK(world.place(world.task("rack-9", slack)) == "a");
}

TEST_CASE("runners that much work prefers are left to it")
{
    placement_world world;
    world.runner("a", "rack-1", 8000);
    world.runner("b", "rack-2");
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
    // Unless there is no room elsewhere.
    world.placing.reported("a", placement_world::report("rack-1", 16000));
    CHECK(world.place(world.task("", slack)) == "b");
}

TEST_CASE("entries do not all send to one of many runners that are alike")
{
    // Found on the grown deployments: with old views, all chose the quickest.
    std::map<std::string, int> chosen;
    for (std::uint64_t entry = 1; entry <= 12; ++entry)
    {
        placement_world world(1, entry);
        for (int i = 0; i < 70; ++i)
            world.runner("agent-" + std::to_string(i), "rack-1");
        ++chosen[world.place(world.task("", slack))];
    }
    for (const auto& [agent, entries] : chosen)
        CHECK(entries <= 3);
}

TEST_CASE("under overload what is less important stands back early")
{
    placement_world world(1);
    world.runner("a", "rack-1", 15000);
    std::map<job_id, std::uint32_t> priorities;
    const auto enqueue = [&](std::uint32_t priority, duration left)
    {
        auto wanted = world.task("", left);
        wanted.priority = priority;
        priorities[wanted.task.job] = priority;
        world.placing.enqueue(wanted);
    };
    for (int i = 0; i < 24; ++i)
        enqueue(i % 2 == 0 ? 2 : 0, milliseconds{500 + 10 * i});
    // Room for one task each 50 ms, so that half of them can be in time.
    for (int i = 0; i < 10; ++i)
    {
        world.loop.advance(milliseconds{50});
        world.placing.reported("a", placement_world::report("rack-1", 14000));
        world.placing.dispatch();
    }
    REQUIRE(world.placing.stats().placed == 10);
    CHECK(world.placing.stats().demoted > 0);
    CHECK(world.placing.stats().late == 0);
    for (const auto job : world.placed)
        priorities.erase(job);
    std::size_t important = 0;
    for (const auto& [job, priority] : priorities)
        important += priority == 0 ? 1 : 0;
    CHECK(important <= 4); // By urgency alone it would be seven of twelve.
}

TEST_CASE("late jobs that have begun are finished before others begin")
{
    placement_world world(1);
    world.runner("a", "rack-1", 14000); // Room for one.
    auto older = world.task("", milliseconds{1});
    auto begun = world.task("", milliseconds{2});
    auto rest = begun;
    rest.task.index = 1;
    world.placing.enqueue(begun);
    world.placing.enqueue(rest);
    world.placing.dispatch();
    REQUIRE(world.placed == std::vector<job_id>{begun.task.job});
    world.placing.enqueue(older);
    world.loop.advance(milliseconds{50});
    world.placing.dispatch(); // Both are late now.
    world.placing.reported("a", placement_world::report("rack-1", 14000));
    world.placing.dispatch();
    REQUIRE(world.placed.size() == 2);
    CHECK(world.placed.back() == begun.task.job);
}

TEST_CASE("time far from the data is not held against the runner")
{
    placement_world world;
    world.runner("a", "rack-1");
    job_step step;
    step.estimate_ms = 60;
    step.preferred_label = "rack-2";
    run_end end;
    end.how = run_outcome::done;
    end.micros = 180'000;
    for (int i = 0; i < 20; ++i)
        world.placing.note_end("a", end, step);
    CHECK(world.placing.agents().at("a").pace() == Approx(1.0));
}

// One queue for the tasks of all entries.

TEST_CASE("tasks of several entries start in the order of their urgency")
{
    placement_world world(1);
    world.placing.serve(&world);
    world.runner("a", "rack-1", 16000);
    const auto own = world.task("", milliseconds{50});
    const auto first = world.task_of(1, milliseconds{40});
    const auto last = world.task_of(2, milliseconds{60});
    world.placing.enqueue(last);
    world.placing.enqueue(own);
    world.placing.enqueue(first);
    std::vector<job_id> order;
    for (int i = 0; i < 3; ++i)
    {
        auto free = placement_world::report("rack-1", 14400); // Room for one.
        for (const auto& [entry, grant] : world.granted)
            free.granted.push_back(grant.number);
        const auto grants = world.granted.size();
        world.placing.reported("a", free);
        world.placing.dispatch();
        order.push_back(world.granted.size() > grants
                            ? world.granted.back().second.task.job
                            : world.placed.back());
    }
    CHECK(order ==
          std::vector<job_id>{first.task.job, own.task.job, last.task.job});
}

TEST_CASE("a late task takes no room from another entry's task in time")
{
    placement_world world(1);
    world.placing.serve(&world);
    world.runner("a", "rack-1", 16000);
    world.placing.enqueue(world.task("", milliseconds{10}));
    world.loop.advance(milliseconds{20});
    const auto in_time = world.task_of(1, milliseconds{90});
    world.placing.enqueue(in_time);
    world.placing.reported("a", placement_world::report("rack-1", 14400));
    world.placing.dispatch();
    CHECK(world.placed.empty());
    REQUIRE(world.granted.size() == 1);
    CHECK(world.granted[0].first == 1);
    CHECK(world.granted[0].second.task == in_time.task);
}

TEST_CASE("late tasks leave a share of the cores to those that will come")
{
    placement_world world(1, 1, 0.25);
    world.runner("a", "rack-1", 11000); // 5 of 16 cores are free.
    const auto late = world.task("", milliseconds{10});
    auto also_late = late;
    also_late.task.index = 1;
    world.placing.enqueue(late);
    world.placing.enqueue(also_late);
    world.loop.advance(milliseconds{20});
    world.placing.dispatch();
    CHECK(world.placed.empty()); // 3.4 would be left of the 4 kept free.
    CHECK(world.place(world.task("", slack)) == "a");
    world.placing.reported("a", placement_world::report("rack-1", 10000));
    world.placing.dispatch();
    REQUIRE(world.placed.size() == 2);
    CHECK(world.placed.back() == late.task.job);
    CHECK(world.placing.waiting() == 1);
}

TEST_CASE("granted room is taken until its order has come or cannot come")
{
    placement_world world(1);
    world.placing.serve(&world);
    world.runner("a", "rack-1", 14400); // Room for one.
    world.placing.enqueue(world.task_of(1, slack));
    world.placing.dispatch();
    REQUIRE(world.granted.size() == 1);
    CHECK(world.place(world.task("", slack)).empty());
    const auto number = world.granted[0].second.number;
    SECTION("the agent tells that it has come")
    {
        auto report = placement_world::report("rack-1", 14400);
        report.granted = {number};
        world.placing.reported("a", report);
        CHECK(world.place_again() == "a");
    }
    SECTION("its entry declines it")
    {
        world.placing.declined(1, {"a", number, false});
        CHECK(world.place_again() == "a");
        CHECK(world.placing.stats().declined == 1);
    }
    SECTION("its entry is lost")
    {
        world.loop.advance(milliseconds{160});
        CHECK(world.place_again() == "a");
    }
}

TEST_CASE("an entry without a session with an agent gets no grants there")
{
    placement_world world(1);
    world.placing.serve(&world);
    world.runner("a", "rack-1");
    world.placing.enqueue(world.task_of(1, slack));
    world.placing.dispatch();
    REQUIRE(world.granted.size() == 1);
    world.placing.declined(1, {"a", world.granted[0].second.number, true});
    world.placing.enqueue(world.task_of(1, slack));
    world.placing.enqueue(world.task_of(2, slack));
    world.placing.dispatch();
    REQUIRE(world.granted.size() == 2);
    CHECK(world.granted[1].first == 2);
    world.loop.advance(milliseconds{310});
    world.placing.dispatch();
    REQUIRE(world.granted.size() == 3);
    CHECK(world.granted[2].first == 1);
}

TEST_CASE("a job that waits at two entries is placed for both")
{
    // Its caller has sent it again to another entry.
    placement_world world(1);
    world.placing.serve(&world);
    world.runner("a", "rack-1");
    auto again = world.task("", slack);
    world.placing.enqueue(again);
    again.entry = 1;
    world.placing.enqueue(again);
    world.placing.dispatch();
    CHECK(world.placed.size() == 1);
    CHECK(world.granted.size() == 1);
}

TEST_CASE("tasks of an entry that is lost are dropped, and no others")
{
    placement_world world(1);
    world.placing.serve(&world);
    world.placing.enqueue(world.task_of(1, slack));
    world.placing.enqueue(world.task_of(2, slack));
    world.placing.enqueue(world.task("", slack));
    world.placing.drop_entry(1);
    CHECK(world.placing.waiting() == 2);
    world.runner("a", "rack-1");
    world.placing.dispatch();
    CHECK(world.granted.size() == 1);
    CHECK(world.placed.size() == 1);
}

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
    world.placing.delegate_by(&selector);
    const auto wanted = world.task("", slack);
    world.placing.enqueue(wanted);
    world.placing.dispatch();
    CHECK(world.placed.empty());
    REQUIRE(world.placing.take_changes(1).added.size() == 1);
    SECTION("the order names the grant")
    {
        CHECK(world.placing.use({wanted.task, "a", 7}, {1, 99}) ==
              grant_verdict::used);
        world.placing.dispatch();
        REQUIRE(world.orders.size() == 1);
        CHECK(world.orders[0].placer == 99);
        CHECK(world.orders[0].grant == 7);
        CHECK(world.placing.take_changes(1).empty()); // Its placer knows.
        CHECK(world.placing.use({wanted.task, "a", 8}, {1, 99}) ==
              grant_verdict::not_wanted);
    }
    SECTION("an agent out of reach: the task is wanted again")
    {
        CHECK(world.placing.use({wanted.task, "b", 7}, {1, 99}) ==
              grant_verdict::unreachable);
        CHECK(world.placing.take_changes(1).added.size() == 1);
        CHECK(world.placing.waiting() == 1);
    }
    SECTION("its caller has left: the grant is not used")
    {
        world.placing.withdraw(wanted.task);
        CHECK(world.placing.take_changes(1).withdrawn.size() == 1);
        CHECK(world.placing.use({wanted.task, "a", 7}, {1, 99}) ==
              grant_verdict::not_wanted);
    }
    SECTION("without its placer the entry places by itself")
    {
        selector.placer = 0;
        world.placing.recall(1);
        CHECK(world.place_again() == "a");
        CHECK(world.placing.use({wanted.task, "a", 7}, {1, 99}) ==
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
        CHECK(world.placing.use({wanted.task, "a", 7}, {1, 99}) ==
              grant_verdict::used);
        CHECK(world.placing.take_changes(2).withdrawn.size() == 1);
        CHECK(world.placing.use({wanted.task, "a", 3}, {2, 88}) ==
              grant_verdict::not_wanted);
        world.placing.dispatch();
        CHECK(world.orders.size() == 1);
    }
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
    world.placing.delegate_by(&selector);
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
    world.placing.delegate_by(&selector);
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
    world.placing.serve(&world);
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
    world.placing.delegate_by(&selector);
    const auto wanted = world.task("", slack);
    world.placing.enqueue(wanted);
    CHECK(world.placing.use({wanted.task, "a", 7}, {1, 99}) ==
          grant_verdict::used);
}
