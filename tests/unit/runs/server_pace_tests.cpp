#include "glenhollow/runs/server_pace.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace glenhollow;

TEST_CASE("a slow server is known after a few ends of guesses off by 40%")
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

TEST_CASE("one end that is far off hardly moves the estimate")
{
    server_pace pace;
    for (int i = 0; i < 20; ++i)
        pace.record(1.0);
    pace.record(15.0); // The agent was paused while it ended.
    CHECK(pace.value() < 1.05);
}

TEST_CASE("a server that turns slow is found out by later ends")
{
    server_pace pace;
    for (int i = 0; i < 100; ++i)
        pace.record(1.0);
    for (int i = 0; i < 60; ++i)
        pace.record(2.0);
    CHECK(pace.value() > 1.8);
}

TEST_CASE("a third slower and a third quicker cancel out")
{
    server_pace pace;
    for (int i = 0; i < 4; ++i)
        pace.record(i % 2 == 0 ? 1.33 : 1 / 1.33);
    CHECK(pace.value() == Approx(1.0));
}

TEST_CASE("of another life nothing is known")
{
    server_pace pace;
    for (int i = 0; i < 4; ++i)
        pace.record(3.0);
    pace.reset();
    CHECK_FALSE(pace.known());
    CHECK(pace.value() == Approx(1.0));
}
