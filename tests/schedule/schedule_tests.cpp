// Plays seeded fault schedules and checks the guarantees after each.
// GLENHOLLOW_SEED plays one seed, GLENHOLLOW_SCHEDULES sets their number.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "simulated_world.hpp"

#include <cstdlib>

using namespace glenhollow;

namespace
{

constexpr std::uint64_t default_schedules = 4000;

std::uint64_t from_environment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Derives the fault rates of a schedule from its seed.
schedule_settings settings_of(std::uint64_t seed)
{
    random_engine random(seed * 7919);
    schedule_settings settings;
    settings.seed = seed;
    settings.link_break_share =
        uniform(random) < 0.3 ? 0 : uniform(random) * 0.2;
    settings.refuse_share = uniform(random) * 0.2;
    settings.runner_break_share = uniform(random) * 0.05;
    settings.deaths = random() % 4;
    settings.pauses = random() % 4;
    settings.jobs = 4 + random() % 12;
    return settings;
}

schedule_outcome play(std::uint64_t seed)
{
    simulated_world world(settings_of(seed));
    return world.play();
}

} // namespace

TEST_CASE("the guarantees hold in every schedule")
{
    const auto only = from_environment("GLENHOLLOW_SEED", 0);
    const auto first = only != 0 ? only : 1;
    const auto last =
        only != 0 ? only
                  : from_environment("GLENHOLLOW_SCHEDULES", default_schedules);
    schedule_outcome sum;
    for (auto seed = first; seed <= last; ++seed)
    {
        const auto outcome = play(seed);
        sum.complete += outcome.complete;
        sum.failed += outcome.failed;
        sum.refused += outcome.refused;
        sum.adoptions += outcome.adoptions;
        sum.resent_starts += outcome.resent_starts;
        if (outcome.violations.empty())
            continue;
        INFO("seed " << seed << ": " << outcome.violations.front());
        FAIL("a guarantee was violated");
    }
    WARN("complete " << sum.complete << ", failed " << sum.failed
                     << ", refused " << sum.refused << ", adoptions "
                     << sum.adoptions << ", starts repeated "
                     << sum.resent_starts);
    // Ensures that the faults had an effect.
    if (only == 0)
    {
        REQUIRE(sum.complete > 0);
        REQUIRE(sum.failed > 0);
        REQUIRE(sum.adoptions > 0);
        REQUIRE(sum.resent_starts > 0);
    }
}

TEST_CASE("a schedule is the same for the same seed")
{
    const auto one = play(42);
    const auto other = play(42);
    REQUIRE(one.complete == other.complete);
    REQUIRE(one.failed == other.failed);
    REQUIRE(one.resent_starts == other.resent_starts);
}
