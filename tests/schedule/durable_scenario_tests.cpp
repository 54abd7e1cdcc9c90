// Scenarios with faults at fixed times. Seeds vary only message delays, clock
// rates and the order of deferred work after a pause.
#include <catch2/catch.hpp>

#include "durable_world.hpp"

#include <string>

using namespace glenhollow;

namespace
{

constexpr std::uint64_t seeds = 40;

/// Totals over all seeds of a scenario.
struct scenario_outcome
{
    std::size_t violations = 0; ///< Number of seeds with violations.
    /// Number of seeds, by situation.
    std::map<std::string, std::uint64_t> situations;
    std::uint64_t starts = 0; ///< Runs started at all servers.
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

/// @return A scenario in which only the server of agent 1 is up when the job
/// arrives.
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

/// Isolates the owner of a part with each agent in turn.
/// @param fault Kind of the isolation.
void play_isolated_owner(const std::string& fault)
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
        scenario.faults = {{milliseconds{1500}, fault, 0, agent, seconds{8}}};
        const auto got = play(scenario);
        CHECK(got.violations == 0);
        REQUIRE(got.situations.at("owner_cut_off") == seeds);
        REQUIRE(got.starts > 4 * seeds);
    }
}

} // namespace

// Guards against a poll that reaches a restarted server with a deadline of the
// previous incarnation and so holds its runs for too long.
TEST_CASE("a poll does not hold a server by its last incarnation's clock",
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
    // The task starts at both incarnations of the server and at another server.
    REQUIRE(got.situations.at("still_after_quick_return") == seeds);
    REQUIRE(got.starts >= 3 * seeds);
}

// Guards against a start, delayed by a pause of the agent, that holds a
// restarted server by a deadline of the previous incarnation.
TEST_CASE("a start does not hold a server by its last incarnation's clock",
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

// Guards against a part owner that, isolated with one agent, renews its leases
// there while the new owner starts the same tasks elsewhere.
TEST_CASE("an owner without confirmation of its claim lets its leases expire",
          "[hall_cut]")
{
    play_isolated_owner("hall_cut");
}

// Guards against a part owner that takes refused connections for the end of the
// other entries and renews its leases while one of them owns the part.
TEST_CASE("an owner whose connections are refused lets its leases expire",
          "[hall_cut]")
{
    play_isolated_owner("hall_refused");
}

// Guards against lease renewal by an owner whose machine was suspended, so that
// its steady clock and timers stopped.
TEST_CASE(
    "a suspended owner does not renew leases of a part that others claimed",
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

// Guards against an agent that counts suspended time and reports runs as lapsed
// while the server continues them.
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

TEST_CASE(
    "a server that restarts before its machine is suspended is not held by "
    "its last incarnation's clock",
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
