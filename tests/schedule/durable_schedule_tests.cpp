// Plays seeded fault schedules and checks what the backend servers run.
// GLENHOLLOW_SEED plays one seed and prints its trace, GLENHOLLOW_SCHEDULES
// sets the number of seeds, and GLENHOLLOW_STORIES names a directory that
// receives the trace of each seed that fails.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "durable_world.hpp"

#include <boost/log/core.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>

using namespace glenhollow;

namespace
{

std::uint64_t from_environment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Kinds of faults that are not injected.
using fault_set = std::set<std::string>;

/// As many ends as a list of the platform's backend servers.
constexpr std::size_t usual_list = 500;

durable_outcome play(std::uint64_t seed, bool journalled,
                     const fault_set& excluded_faults, bool tracing = false,
                     std::size_t max_listed_ends = usual_list)
{
    durable_schedule_settings settings;
    settings.seed = seed;
    settings.journalled = journalled;
    settings.entries = 2 + seed % 4 / 3;
    settings.agents = 3 - seed % 3 / 2;
    settings.tracing = tracing;
    settings.excluded_faults = excluded_faults;
    settings.max_listed_ends = max_listed_ends;
    durable_world world(settings);
    return world.play();
}

std::string trace_of(std::uint64_t seed, bool journalled,
                     const fault_set& excluded_faults,
                     std::size_t max_listed_ends)
{
    const auto again =
        play(seed, journalled, excluded_faults, true, max_listed_ends);
    std::string out = "seed " + std::to_string(seed) + "\n";
    for (const auto& line : again.lines)
        out += line + "\n";
    return out;
}

/// Plays all seeds of a range and checks each.
void explore(bool journalled, std::uint64_t schedules,
             const fault_set& excluded_faults,
             std::size_t max_listed_ends = usual_list)
{
    const auto only = from_environment("GLENHOLLOW_SEED", 0);
    const auto first = only != 0 ? only : 1;
    const auto last =
        only != 0 ? only : from_environment("GLENHOLLOW_SCHEDULES", schedules);
    durable_outcome sum;
    std::size_t failed = 0;
    for (auto seed = first; seed <= last; ++seed)
    {
        const auto got =
            play(seed, journalled, excluded_faults, false, max_listed_ends);
        sum.starts += got.starts;
        sum.succeeded += got.succeeded;
        sum.refused += got.refused;
        sum.resent += got.resent;
        sum.lapses += got.lapses;
        for (const auto& [kind, count] : got.faults)
            sum.faults[kind] += count;
        for (const auto& [situation, count] : got.situations)
            sum.situations[situation] += count > 0 ? 1 : 0;
        if (got.violations.empty())
            continue;
        ++failed;
        if (failed == 1)
            UNSCOPED_INFO(
                trace_of(seed, journalled, excluded_faults, max_listed_ends));
        if (const char* folder = std::getenv("GLENHOLLOW_STORIES"))
            std::ofstream(std::string(folder) + "/" + std::to_string(seed))
                << trace_of(seed, journalled, excluded_faults, max_listed_ends);
        UNSCOPED_INFO("seed " << seed << ": " << got.violations.front());
    }
    std::string faults;
    for (const auto& [kind, count] : sum.faults)
        faults += " " + kind + " " + std::to_string(count);
    std::string situations;
    for (const auto& [situation, count] : sum.situations)
        situations += " " + situation + " " + std::to_string(count);
    WARN((last - first + 1)
         << " schedules, starts " << sum.starts << ", answered "
         << sum.succeeded << ", only refused " << sum.refused
         << ", resubmitted " << sum.resent << ", holds lapsed " << sum.lapses
         << "; faults:" << faults << "; schedules by situation:" << situations);
    if (only != 0)
        std::cout << trace_of(only, journalled, excluded_faults,
                              max_listed_ends);
    CHECK(failed == 0);
    // Ensures that the faults had an effect.
    if (only == 0)
    {
        REQUIRE(sum.succeeded > last / 2);
        REQUIRE(sum.resent > last / 20);
        REQUIRE(sum.lapses > 0);
    }
}

} // namespace

TEST_CASE("in-memory jobs run once at a time in every schedule", "[memory]")
{
    explore(false, 1500, {});
}

// Leaves out the isolation of a hall; the next test includes it.
TEST_CASE("journalled jobs run once at a time in every schedule", "[kept]")
{
    explore(true, 700, {"hall_cut"});
}

TEST_CASE("journalled jobs run once at a time with isolated halls",
          "[kept_cut]")
{
    explore(true, 700, {});
}

// Guards against tasks that run again after their ends: the ends of a backend
// server take several answers, also to an agent that has just begun and to a
// new owner of the part.
TEST_CASE("journalled jobs run once where servers list one end at once",
          "[cut_lists]")
{
    explore(true, 700, {}, 1);
}

// Seeds that found a task running twice after an agent, an entry or a backend
// server restarted.
TEST_CASE("seeds that once ran a task twice run it once", "[mended]")
{
    for (const std::uint64_t seed : {1060, 5483, 1479, 17880})
        CHECK(play(seed, false, {}).violations.empty());
    for (const std::uint64_t seed : {7214, 491, 3047, 7604})
        CHECK(play(seed, true, {"hall_cut"}).violations.empty());
}

// Guards against an isolated part owner that renews its leases after another
// entry has claimed the part.
TEST_CASE("an isolated owner stops renewing its leases", "[hall_cut]")
{
    for (const std::uint64_t seed : {326, 396, 666})
        CHECK(play(seed, true, {}).violations.empty());
}

// Guards against a hold that is extended by a deadline of the previous
// incarnation when a backend server restarts within milliseconds.
TEST_CASE("a quick restart of a server does not lengthen its hold",
          "[quick_restart]")
{
    CHECK(play(15544, false, {}).violations.empty());
}

// Guards against polls and starts whose deadline refers to the clock of the
// previous incarnation of a backend server.
TEST_CASE("no server is held by the clock of its last incarnation",
          "[last_clock]")
{
    for (const std::uint64_t seed : {34904, 39946})
        CHECK(play(seed, false, {}).violations.empty());
    for (const std::uint64_t seed : {18006, 33195})
        CHECK(play(seed, true, {"hall_cut"}).violations.empty());
}

// Guards against a delayed attach of an ended entry process that replaces the
// session of the live one, which then gets an empty account.
TEST_CASE("a replaced session receives no account of runs",
          "[replaced_session]")
{
    CHECK(play(103337, true, {}).violations.empty());
}

TEST_CASE("a schedule of jobs is the same for the same seed")
{
    REQUIRE(play(42, false, {}, true).lines == play(42, false, {}, true).lines);
    REQUIRE(play(43, true, {}, true).lines == play(43, true, {}, true).lines);
}

int main(int argc, char** argv)
{
    // Components log state changes; a traced schedule collects them itself.
    boost::log::core::get()->set_logging_enabled(false);
    return Catch::Session().run(argc, argv);
}
