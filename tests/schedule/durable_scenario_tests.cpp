// Orders of events that broke a promise, each told by itself: which fault
// strikes at which moment is written down, so that nothing that a seed draws
// can move it. Seeds choose delays of some hundred microseconds, rates of
// clocks and what a process that wakes takes first.
#include <catch2/catch.hpp>

#include "durable_world.hpp"

#include <string>

using namespace glenhollow;

namespace
{

constexpr std::uint64_t seeds = 40;

/// What the seeds of a scenario came to.
struct scenario_outcome
{
    std::size_t violations = 0; ///< Seeds that broke a promise.
    std::map<std::string, std::uint64_t> situations; ///< Seeds that met each.
    std::uint64_t starts = 0;                        ///< At all servers.
};

scenario_outcome play(durable_schedule_settings scenario)
{
    scenario_outcome out;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        scenario.seed = seed;
        scenario.tracing = false;
        const auto got = durable_world(scenario).play();
        out.starts += got.starts;
        for (const auto& [situation, count] : got.situations)
            out.situations[situation] += count > 0 ? 1 : 0;
        if (got.violations.empty())
            continue;
        if (++out.violations > 1)
            continue;
        scenario.tracing = true;
        std::string trace = "seed " + std::to_string(seed);
        for (const auto& line : durable_world(scenario).play().lines)
            trace += "\n" + line;
        UNSCOPED_INFO(trace);
    }
    return out;
}

/// The only server in reach when the job comes is that of agent 1.
durable_schedule_settings at_agent_1()
{
    durable_schedule_settings out;
    out.entries = 2;
    out.agents = 2;
    out.length = seconds{7};
    out.faults = {
        {milliseconds{800}, "server_again", 0, 0, milliseconds{1400}}};
    return out;
}

} // namespace

// A task of a job in memory ran at two servers at once, for up to a second. Its
// server ended and ran again under its id within some ms, too soon for a
// refused connection: the next look of its agent reached the new life and
// asked it to hold its runs until a moment of the last life's clock. The task
// began again there, the agent stood still, the caller lost its connection, and
// its next attempt began elsewhere when all that an agent asks for must have
// ended. The platform cuts a hold to its own longest one alone, and
// that is twice the longest that agents ask for.
//
// Evidence: the order of events of seeds 34904 and 39946 of jobs in memory:
// `server 0 is held for 2000 ms`, 0.8 ms after its return and 0.4 ms before its
// agent's `runner_born_again`; no other look asked for more than 1,000 ms.
TEST_CASE("a look does not hold a server by its last life's clock",
          "[last_clock]")
{
    auto scenario = at_agent_1();
    scenario.jobs = {{seconds{1}, 0, 1, seconds{5}}};
    scenario.faults.insert(
        scenario.faults.end(),
        {{milliseconds{1300}, "server_again", 0, 1, milliseconds{10}},
         {milliseconds{1450}, "agent_still", 0, 1, milliseconds{2200}},
         {milliseconds{1900}, "caller_reset", 0, 1, {}}});
    const auto got = play(scenario);
    CHECK(got.violations == 0);
    // The agent stands still after a return that it can have missed, with the
    // task there: it began at both lives, and once more elsewhere.
    REQUIRE(got.situations.at("still_after_quick_return") == seeds);
    REQUIRE(got.starts >= 3 * seeds);
}

// A kept task ran at two servers at once. An order waited unread at an agent
// that stood still; its server ended and ran again under its id meanwhile. The
// agent woke and sent the start with a deadline of the last life's clock: the
// new life began the run and held it for longer than agents ask for. The agent
// stood still again, and counted the run as lapsed when the longest hold that
// it could have asked for was over; its owner had the task begin elsewhere.
//
// Evidence: the order of events of seeds 18006 and 33195 of kept jobs: `server
// 1 is held for 1686 ms` (2000 ms) in the moment of the start, one millisecond
// before `runner_born_again`; the agent tells the run's end 1.6 s later while
// the hold goes on. The run is not told as ended by an end of the last life,
// as was thought: no list of that life was read.
TEST_CASE("a start does not hold a server by its last life's clock",
          "[last_clock]")
{
    auto scenario = at_agent_1();
    scenario.journalled = true;
    scenario.jobs = {{seconds{1}, 0, 1, seconds{4}}};
    scenario.faults.insert(
        scenario.faults.end(),
        {{milliseconds{950}, "agent_still", 0, 1, milliseconds{450}},
         {milliseconds{1200}, "server_again", 0, 1, milliseconds{50}},
         {milliseconds{1420}, "agent_still", 0, 1, milliseconds{760}},
         {milliseconds{2220}, "agent_still", 0, 1, milliseconds{840}}});
    const auto got = play(scenario);
    CHECK(got.violations == 0);
    REQUIRE(got.situations.at("returned_while_agent_still") == seeds);
    REQUIRE(got.starts >= seeds);
}

// Kept tasks ran at servers of both sides of a cut, for as long as it lasted.
// An owner of a part was cut off from the store and from all other entries,
// together with an agent. It went on renewing its leases there, as nothing told
// it that another entry had taken the part; that one waited for the agent it
// couldn't reach, gave it up, and had its tasks begin elsewhere.
//
// Evidence: the order of events of seeds 326, 396 and 666 of kept jobs with cut
// halls: `entry 1 owns the part, epoch 2` and 3.4 s later its orders, while the
// cut off server is held for another 1,000 ms every 0.1 s.
TEST_CASE("an owner that nobody bears out lets its leases end", "[hall_cut]")
{
    durable_schedule_settings scenario;
    scenario.journalled = true;
    scenario.entries = 2;
    scenario.agents = 3;
    scenario.length = seconds{12};
    scenario.jobs = {{seconds{1}, 0, 4, seconds{9}}};
    for (std::size_t agent = 0; agent < scenario.agents; ++agent)
    {
        INFO("cut off with agent " << agent);
        scenario.faults = {
            {milliseconds{1500}, "hall_cut", 0, agent, seconds{8}}};
        const auto got = play(scenario);
        CHECK(got.violations == 0);
        REQUIRE(got.situations.at("owner_cut_off") == seeds);
        REQUIRE(got.starts > 4 * seeds);
    }
}

// The two mends above on machines that are suspended for seconds: whose steady
// clocks, timers and holds stand still, while all others go on.
TEST_CASE("a suspended owner renews nothing that others have taken",
          "[suspended]")
{
    durable_schedule_settings scenario;
    scenario.journalled = true;
    scenario.entries = 2;
    scenario.agents = 3;
    scenario.length = seconds{14};
    scenario.jobs = {{seconds{1}, 0, 4, seconds{9}}};
    for (const auto length : {1200, 3000, 5000, 7000})
    {
        INFO("suspended for " << length << " ms");
        scenario.faults = {{milliseconds{1500}, "entry_suspended", 0, 0,
                            milliseconds{length}}};
        const auto got = play(scenario);
        CHECK(got.violations == 0);
        REQUIRE(got.situations.at("suspended") == seeds);
    }
}

// The agent stood still past the suspension. It took the hold for over, for it
// counted the suspended time, and told the runs as lapsed while the server went
// on with them for as long.
TEST_CASE("a server that was suspended is held by its own clock", "[suspended]")
{
    durable_schedule_settings scenario;
    scenario.entries = 2;
    scenario.agents = 3;
    scenario.length = seconds{8};
    scenario.jobs = {{seconds{1}, 0, 4, seconds{4}}};
    for (const auto length : {100, 300, 600, 900})
    {
        for (const bool journalled : {false, true})
        {
            INFO("suspended for " << length << " ms, kept " << journalled);
            scenario.journalled = journalled;
            scenario.faults = {{milliseconds{1200}, "machine_suspended", 0, 1,
                                milliseconds{length}},
                               {milliseconds{1201}, "agent_still", 0, 1,
                                milliseconds{length + 700}}};
            const auto got = play(scenario);
            CHECK(got.violations == 0);
            REQUIRE(got.situations.at("suspended") == seeds);
        }
    }
}

TEST_CASE("a server that returns while its machine is suspended is held by no "
          "clock of before",
          "[suspended]")
{
    for (const auto length : {300, 900, 1500})
    {
        INFO("suspended for " << length << " ms");
        auto scenario = at_agent_1();
        scenario.journalled = true;
        scenario.jobs = {{seconds{1}, 0, 1, seconds{4}}};
        scenario.faults.insert(
            scenario.faults.end(),
            {{milliseconds{950}, "agent_still", 0, 1, milliseconds{450}},
             {milliseconds{1200}, "server_again", 0, 1, milliseconds{50}},
             {milliseconds{1420}, "machine_suspended", 0, 1,
              milliseconds{length}}});
        const auto got = play(scenario);
        CHECK(got.violations == 0);
        REQUIRE(got.situations.at("suspended") == seeds);
    }
}
