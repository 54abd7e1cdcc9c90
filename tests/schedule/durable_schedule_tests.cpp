// Plays seeded schedules of the jobs that users run and checks what backend
// servers see. GLENHOLLOW_SEED plays one seed and prints its order of events,
// GLENHOLLOW_SCHEDULES changes their number, and GLENHOLLOW_STORIES names a
// folder that gets the order of events of each seed that fails.
// GLENHOLLOW_WITHOUT leaves a kind of fault out.
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

durable_outcome play(std::uint64_t seed, bool kept, bool tracing = false)
{
    durable_schedule_settings settings;
    settings.seed = seed;
    settings.kept = kept;
    settings.entries = 2 + seed % 4 / 3;
    settings.agents = 3 - seed % 3 / 2;
    settings.tracing = tracing;
    if (const char* without = std::getenv("GLENHOLLOW_WITHOUT"))
        settings.without.insert(without);
    durable_world world(settings);
    return world.play();
}

std::string story_of(std::uint64_t seed, bool kept)
{
    const auto again = play(seed, kept, true);
    std::string out = "seed " + std::to_string(seed) + "\n";
    for (const auto& line : again.lines)
        out += line + "\n";
    return out;
}

/// Plays all seeds of a range and checks each.
void explore(bool kept, std::uint64_t schedules)
{
    const auto only = from_environment("GLENHOLLOW_SEED", 0);
    const auto first = only != 0 ? only : 1;
    const auto last =
        only != 0 ? only : from_environment("GLENHOLLOW_SCHEDULES", schedules);
    durable_outcome sum;
    std::size_t failed = 0;
    for (auto seed = first; seed <= last; ++seed)
    {
        const auto got = play(seed, kept);
        sum.starts += got.starts;
        sum.succeeded += got.succeeded;
        sum.refused += got.refused;
        sum.resent += got.resent;
        sum.lapses += got.lapses;
        for (const auto& [kind, count] : got.faults)
            sum.faults[kind] += count;
        if (got.broken.empty())
            continue;
        ++failed;
        if (failed == 1)
            UNSCOPED_INFO(story_of(seed, kept));
        if (const char* folder = std::getenv("GLENHOLLOW_STORIES"))
            std::ofstream(std::string(folder) + "/" + std::to_string(seed))
                << story_of(seed, kept);
        UNSCOPED_INFO("seed " << seed << ": " << got.broken.front());
    }
    std::string faults;
    for (const auto& [kind, count] : sum.faults)
        faults += " " + kind + " " + std::to_string(count);
    WARN((last - first + 1)
         << " schedules, starts " << sum.starts << ", answered "
         << sum.succeeded << ", only refused " << sum.refused << ", sent again "
         << sum.resent << ", holds let go " << sum.lapses
         << "; faults:" << faults);
    if (only != 0)
        std::cout << story_of(only, kept);
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
    explore(false, 1500);
}

TEST_CASE("kept jobs run once at a time in every schedule", "[kept]")
{
    explore(true, 700);
}

TEST_CASE("a schedule of jobs is the same for the same seed")
{
    REQUIRE(play(42, false, true).lines == play(42, false, true).lines);
    REQUIRE(play(43, true, true).lines == play(43, true, true).lines);
}

int main(int argc, char** argv)
{
    // The parts log their changes of state; the order of events has its own.
    boost::log::core::get()->set_logging_enabled(false);
    return Catch::Session().run(argc, argv);
}
