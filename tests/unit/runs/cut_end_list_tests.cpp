// Guards against a task that runs again although it has ended: a backend server
// lists a bounded number of ends at once, so an end that is missing from a full
// list may follow later.
#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"
#include "unit/support/ready_account.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace glenhollow;

namespace
{

constexpr lease_id part_lease = 0;
constexpr lease_id entry_lease = memory_lease(0);
constexpr std::uint32_t part_epoch_number = 1;
constexpr std::uint32_t journalled_run = 1;

/// @param max_listed_ends Number of ends for which the manager takes care.
run_manager_settings one_part(std::size_t max_listed_ends)
{
    run_manager_settings settings;
    settings.parts = 1;
    settings.max_listed_ends = max_listed_ends;
    return settings;
}

/// A run manager beside a backend server of 8 cores that lists 2 ends at once.
/// The owner of its runs renews the lease but confirms no end by itself.
struct cut_list_fixture
{
    /// @param max_listed_ends See run_manager_settings; by default far above
    /// what the server lists.
    explicit cut_list_fixture(std::size_t max_listed_ends = 500)
        : manager(loop.clock, server, loop.delay(), 1000,
                  one_part(max_listed_ends))
    {
        server.max_listed_ends = 2;
        manager.registered(ready_account(8000));
        manager.begin();
        manager.adopt(part_lease, part_epoch_number);
        run(milliseconds{20});
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds{10};
        for (duration passed{}; passed < length; passed += step)
        {
            manager.renew(part_lease, part_epoch_number, loop.clock.now());
            if (entry_lives)
                manager.renew(entry_lease, 0, loop.clock.now());
            manager.tick();
            loop.advance(step);
        }
    }

    static run_ref ref(std::uint32_t index)
    {
        return {{42, 0, 0, index}, journalled_run};
    }

    void start(std::uint32_t count)
    {
        for (std::uint32_t i = 0; i < count; ++i)
        {
            run_order order;
            order.run = ref(i);
            order.epoch = part_epoch_number;
            order.needs = {1000, 10, 0};
            manager.order(order, 0);
        }
        run(milliseconds{20});
    }

    void finish(std::uint32_t count)
    {
        for (std::uint32_t i = 0; i < count; ++i)
            server.finish(ref(i), run_outcome::done);
    }

    run_ref start_in_memory()
    {
        run_order order;
        order.run = {{43, 0, 0, 0}, first_memory_run + 1};
        order.needs = {1000, 10, 0};
        manager.order(order, entry_lease);
        run(milliseconds{20});
        return order.run;
    }

    /// @return Ends reported since the last call.
    std::vector<run_end> ends() { return manager.take_ends(part_lease); }

    void confirm(const std::vector<run_end>& confirmed)
    {
        for (const auto& end : confirmed)
            manager.confirm(end);
    }

    manual_loop loop;
    fake_backend_server server{loop};
    bool entry_lives = true; ///< Whether the entry of jobs in memory reports.
    run_manager manager;
};

bool all_done(const std::vector<run_end>& ends)
{
    return std::all_of(ends.begin(), ends.end(),
                       [](const run_end& end)
                       { return end.outcome == run_outcome::done; });
}

} // namespace

TEST_CASE("a run that a full list of ends does not name has not lapsed",
          "[cut_end_list]")
{
    cut_list_fixture fixture;
    fixture.start(4);
    fixture.finish(4);
    fixture.run(milliseconds{300});
    const auto listed = fixture.ends();
    CHECK(listed.size() == 2);
    CHECK(all_done(listed));
    CHECK(fixture.manager.stats().runs_missing == 0);
    fixture.confirm(listed);
    fixture.run(milliseconds{300});
    const auto later = fixture.ends();
    CHECK(later.size() == 2);
    CHECK(all_done(later));
}

TEST_CASE("a run that is missing from complete lists has lapsed",
          "[cut_end_list]")
{
    cut_list_fixture fixture;
    fixture.start(1);
    fixture.server.running.clear();
    fixture.run(milliseconds{300});
    const auto listed = fixture.ends();
    REQUIRE(listed.size() == 1);
    CHECK(listed[0].outcome == run_outcome::lapsed);
}

// Guards against a server that counts as unhealthy, and gets stops for runs
// that have ended, because these make no progress until their ends are listed.
TEST_CASE("a run whose end is not listed yet has not stalled", "[cut_end_list]")
{
    cut_list_fixture fixture;
    fixture.start(4);
    fixture.finish(4);
    fixture.run(seconds{3});
    CHECK(fixture.server.stops == 0);
    CHECK(fixture.manager.stats().stalled == 0);
    CHECK(fixture.manager.account().phase == server_phase::ready);
}

// Guards against a pace that counts the time until an end was listed.
TEST_CASE("the run time of an end that is listed late ends with the run",
          "[cut_end_list]")
{
    cut_list_fixture fixture;
    fixture.start(3);
    fixture.finish(3);
    fixture.run(seconds{2});
    fixture.confirm(fixture.ends());
    fixture.run(milliseconds{100});
    const auto later = fixture.ends();
    REQUIRE(later.size() == 1);
    CHECK(later[0].duration_us < 300'000);
}

// Guards against a hold that lapses, and ends all runs of the server, for the
// sake of a run that has already ended.
TEST_CASE("a run in memory whose end is not listed yet does not bound the hold",
          "[cut_end_list]")
{
    cut_list_fixture fixture;
    const auto in_memory = fixture.start_in_memory();
    fixture.start(4);
    fixture.finish(3);
    fixture.server.finish(in_memory, run_outcome::done);
    fixture.run(milliseconds{200});
    SECTION("its entry has stopped it")
    {
        fixture.manager.stop(in_memory);
    }
    SECTION("the lease of its entry has expired")
    {
        fixture.entry_lives = false;
    }
    fixture.run(seconds{3});
    CHECK(fixture.server.running.size() == 1);
    CHECK(fixture.manager.stats().lapses == 0);
}

// Guards against runs whose ends stay unknown, so that their callers get no
// answer, behind the ends that the server lists.
TEST_CASE("no run starts whose end the server could not list", "[cut_end_list]")
{
    cut_list_fixture fixture(4);
    fixture.server.max_listed_ends = 4;
    fixture.start(2);
    fixture.finish(2);
    fixture.run(milliseconds{300});
    const auto first = fixture.ends();
    REQUIRE(first.size() == 2);
    const auto in_memory = fixture.start_in_memory();
    REQUIRE(fixture.server.running.size() == 1);
    fixture.start(4);
    CHECK(fixture.server.running.size() == 1);
    CHECK(fixture.manager.load().used.cpu == 8000);
    fixture.server.finish(in_memory, run_outcome::done);
    fixture.run(milliseconds{300});
    CHECK(fixture.manager.take_ends(entry_lease).size() == 1);
    CHECK(fixture.manager.stats().polls_cut == 0);
    fixture.confirm(first);
    fixture.run(milliseconds{300});
    CHECK(fixture.server.running.size() > 0);
}
