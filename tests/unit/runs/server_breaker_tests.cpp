#include "glenhollow/runs/server_breaker.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr instant begin = seconds{10};

/// @return A breaker that three bad ends of two jobs have opened.
server_breaker opened()
{
    server_breaker breaker({});
    breaker.record_end(1, true, begin);
    breaker.record_end(2, true, begin);
    REQUIRE(breaker.record_end(2, true, begin));
    return breaker;
}

} // namespace

TEST_CASE("a runner whose runs end badly in a row is given no work")
{
    const auto breaker = opened();
    CHECK(breaker.state(begin) == breaker_state::open);
    CHECK(breaker.state(begin + milliseconds{400}) == breaker_state::probing);
}

TEST_CASE("one job that fails everywhere says nothing of a runner")
{
    server_breaker breaker({});
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(breaker.record_end(1, true, begin));
    CHECK(breaker.state(begin) == breaker_state::closed);
}

TEST_CASE("a good end between bad ones keeps a runner at work")
{
    server_breaker breaker({});
    for (job_id job = 1; job < 10; ++job)
    {
        breaker.record_end(job, true, begin);
        breaker.record_end(job, false, begin);
    }
    CHECK(breaker.state(begin) == breaker_state::closed);
}

TEST_CASE("good probes bring a runner back, a bad one doubles the wait")
{
    auto breaker = opened();
    const auto probe = begin + milliseconds{500};
    CHECK_FALSE(breaker.record_end(3, false, begin + milliseconds{100}));
    CHECK(breaker.record_end(4, true, probe));
    CHECK(breaker.state(probe + milliseconds{790}) == breaker_state::open);
    const auto later = probe + milliseconds{810};
    CHECK_FALSE(breaker.record_end(5, false, later));
    CHECK(breaker.record_end(6, false, later));
    CHECK(breaker.state(later) == breaker_state::closed);
}

TEST_CASE("waits between probes are bounded")
{
    auto breaker = opened();
    auto now = begin;
    for (int i = 0; i < 10; ++i)
    {
        now += seconds{2};
        REQUIRE(breaker.state(now) == breaker_state::probing);
        breaker.record_end(7, true, now);
    }
}
