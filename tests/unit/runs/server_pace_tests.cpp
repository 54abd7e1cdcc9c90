#include "glenhollow/runs/server_pace.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace glenhollow;

TEST_CASE("a slow server is detected after a few ends despite estimates off "
          "by 40%")
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
    {
        std::mt19937 engine(seed);
        std::uniform_real_distribution<double> guess(0.72, 1.4);
        server_pace pace;
        CHECK_FALSE(pace.known());
        for (int i = 0; i < 8; ++i)
            pace.record(guess(engine) / 0.6);
        CHECK(pace.known());
        CHECK(pace.value() > 1.35);
        CHECK(pace.value() < 2.1);
    }
}

TEST_CASE("a single outlier has little effect on the estimate")
{
    server_pace pace;
    for (int i = 0; i < 20; ++i)
        pace.record(1.0);
    pace.record(15.0); // The agent was suspended while the run ended.
    CHECK(pace.value() < 1.05);
}

TEST_CASE("a server that becomes slow is detected")
{
    server_pace pace;
    for (int i = 0; i < 100; ++i)
        pace.record(1.0);
    for (int i = 0; i < 60; ++i)
        pace.record(2.0);
    CHECK(pace.value() > 1.8);
}

TEST_CASE("equal deviations in both directions cancel out")
{
    server_pace pace;
    for (int i = 0; i < 4; ++i)
        pace.record(i % 2 == 0 ? 1.33 : 1 / 1.33);
    CHECK(pace.value() == Approx(1.0));
}

TEST_CASE("a reset discards the estimate")
{
    server_pace pace;
    for (int i = 0; i < 4; ++i)
        pace.record(3.0);
    pace.reset();
    CHECK_FALSE(pace.known());
    CHECK(pace.value() == Approx(1.0));
}
