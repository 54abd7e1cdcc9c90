#include "glenhollow/runs/server_breaker.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr instant begin = seconds{10};

/// @return A breaker opened by three failures of two jobs.
server_breaker opened()
{
    server_breaker breaker({});
    breaker.record_end(1, true, begin);
    breaker.record_end(2, true, begin);
    REQUIRE(breaker.record_end(2, true, begin));
    return breaker;
}

} // namespace

TEST_CASE("consecutive failures open the breaker")
{
    const auto breaker = opened();
    CHECK(breaker.state(begin) == breaker_state::open);
    CHECK(breaker.state(begin + milliseconds{400}) == breaker_state::probing);
}

TEST_CASE("failures of a single job do not open the breaker")
{
    server_breaker breaker({});
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(breaker.record_end(1, true, begin));
    CHECK(breaker.state(begin) == breaker_state::closed);
}

TEST_CASE("a success resets the count of failures")
{
    server_breaker breaker({});
    for (job_id job = 1; job < 10; ++job)
    {
        breaker.record_end(job, true, begin);
        breaker.record_end(job, false, begin);
    }
    CHECK(breaker.state(begin) == breaker_state::closed);
}

TEST_CASE("successful probes close the breaker, a failed one doubles the open "
          "time")
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

TEST_CASE("the open time is bounded")
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
