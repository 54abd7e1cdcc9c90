// Plays seeded schedules of the jobs that users run and checks what backend
// servers see. GLENHOLLOW_SEED plays one seed and prints its order of events,
// GLENHOLLOW_SCHEDULES changes their number, and GLENHOLLOW_STORIES names a
// folder that gets the order of events of each seed that fails.
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

/// Kinds of faults that are left out.
using fault_set = std::set<std::string>;

durable_outcome play(std::uint64_t seed, bool journalled,
                     const fault_set& excluded_faults, bool tracing = false)
{
    durable_schedule_settings settings;
    settings.seed = seed;
    settings.journalled = journalled;
    settings.entries = 2 + seed % 4 / 3;
    settings.agents = 3 - seed % 3 / 2;
    settings.tracing = tracing;
    settings.excluded_faults = excluded_faults;
    durable_world world(settings);
    return world.play();
}

std::string trace_of(std::uint64_t seed, bool journalled,
                     const fault_set& excluded_faults)
{
    const auto again = play(seed, journalled, excluded_faults, true);
    std::string out = "seed " + std::to_string(seed) + "\n";
    for (const auto& line : again.lines)
        out += line + "\n";
    return out;
}

/// Plays all seeds of a range and checks each.
void explore(bool journalled, std::uint64_t schedules,
             const fault_set& excluded_faults)
{
    const auto only = from_environment("GLENHOLLOW_SEED", 0);
    const auto first = only != 0 ? only : 1;
    const auto last =
        only != 0 ? only : from_environment("GLENHOLLOW_SCHEDULES", schedules);
    durable_outcome sum;
    std::size_t failed = 0;
    for (auto seed = first; seed <= last; ++seed)
    {
        const auto got = play(seed, journalled, excluded_faults);
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
            UNSCOPED_INFO(trace_of(seed, journalled, excluded_faults));
        if (const char* folder = std::getenv("GLENHOLLOW_STORIES"))
            std::ofstream(std::string(folder) + "/" + std::to_string(seed))
                << trace_of(seed, journalled, excluded_faults);
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
         << sum.succeeded << ", only refused " << sum.refused << ", sent again "
         << sum.resent << ", holds let go " << sum.lapses << "; faults:"
         << faults << "; schedules in which came about:" << situations);
    if (only != 0)
        std::cout << trace_of(only, journalled, excluded_faults);
    CHECK(failed == 0);
    // The schedules must really have been rough.
    if (only == 0)
    {
        REQUIRE(sum.succeeded > last / 2);
        REQUIRE(sum.resent > last / 20);
        REQUIRE(sum.lapses > 0);
    }
}

} // namespace

TEST_CASE("jobs in memory run once at a time in every schedule", "[memory]")
{
    explore(false, 1500, {});
}

// An entry that is cut off from the store and from all other entries, together
// with an agent, is left out: see the test of cut halls.
TEST_CASE("kept jobs run once at a time in every schedule", "[kept]")
{
    explore(true, 700, {"hall_cut"});
}

TEST_CASE("kept jobs run once at a time in every schedule with cut halls",
          "[kept_cut]")
{
    explore(true, 700, {});
}

// Each failed before its cause was mended:
// - 1060: an agent's new process told its entry that nothing runs there before
//   its server had answered; the entry had the task run elsewhere as well.
// - 5483: an entry ended, and an agent stood still at the end of the lease; the
//   server's hold outlasted the caller's wait.
// - 1479: an entry ended, and an agent's process began again; the time for the
//   claim of a found run began with that process and renewed the hold.
// - 17880 and 7214: a server ran again under its id, and was held by the last
//   life's clock.
// - 491, 3047, 7604: a new process of an agent took the hold of the one before
//   for over, and passed over an end.
TEST_CASE("schedules that broke a promise keep it now", "[mended]")
{
    for (const std::uint64_t seed : {1060, 5483, 1479, 17880})
        CHECK(play(seed, false, {}).violations.empty());
    for (const std::uint64_t seed : {7214, 491, 3047, 7604})
        CHECK(play(seed, true, {"hall_cut"}).violations.empty());
}

// An owner of a part that was cut off from the store and from all other entries
// went on renewing its leases at the agents that it could reach, and started
// tasks there: nothing told it that another entry had taken the part. That one
// waits 3.4 s for the agents that it can't reach, and has the tasks run
// elsewhere. No time covers this: an owner must not renew without a word from
// the store, or from all entries that might take the part.
//
// Cause: no word that its claim stood had a date, and none was asked for.
// Evidence: in the orders of events the cut off server is held for another 999
// ms each 0.1 s for as long as the cut lasts, past the orders of the new owner.
TEST_CASE("an owner cut off with an agent ends its leases", "[hall_cut]")
{
    for (const std::uint64_t seed : {326, 396, 666})
        CHECK(play(seed, true, {}).violations.empty());
}

// A server ended and ran again under its id within 12 ms, so that no connection
// was refused. Its agent knew that the look under way broke off, not that the
// next one met another life, and asked for a hold by the last life's clock; it
// stood still then. The platform's longest hold is twice what is reckoned with.
//
// Cause: a deadline is a moment of one life's clock, and was sent to whoever
// answered at its address. Evidence: see the test below, and the scenarios.
TEST_CASE("a server that runs again at once is held no longer than others",
          "[quick_restart]")
{
    CHECK(play(15544, false, {}).violations.empty());
}

// The test above keeps its seed; what is drawn has changed since, and its
// server comes back under another id now. These failed after that: a server
// that runs again under its id was held by a look (34904, 39946) or by a start
// (18006, 33195) that named a moment of the last life's clock.
TEST_CASE("no server is held by its last life's clock", "[last_clock]")
{
    for (const std::uint64_t seed : {34904, 39946})
        CHECK(play(seed, false, {}).violations.empty());
    for (const std::uint64_t seed : {18006, 33195})
        CHECK(play(seed, true, {"hall_cut"}).violations.empty());
}

// An entry's process ended and began again within 40 ms, and again; the first
// one's call to attach, slow on its way, reached an agent after that of the
// next. The session of the live process was replaced, and its question for the
// part's runs was answered by an empty account: a task that was done there ran
// again. Evidence: the order of events has no line of that agent telling that
// entry of the part; its owner begins the task 1.1 s after its claim, not 3.4.
TEST_CASE("who has no session is told of no runs", "[replaced_session]")
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
    // The parts log their changes of state; the order of events has its own.
    boost::log::core::get()->set_logging_enabled(false);
    return Catch::Session().run(argc, argv);
}
