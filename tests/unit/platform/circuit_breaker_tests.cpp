#include "glenhollow/platform/circuit_breaker.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE(
    "a breaker opens after failures and allows one call after each backoff")
{
    circuit_breaker breaker({});
    instant now = seconds{10};
    for (int i = 0; i < 3; ++i)
    {
        REQUIRE(breaker.allow(now));
        breaker.record_result(false, now);
    }
    REQUIRE(breaker.is_open(now));
    REQUIRE_FALSE(breaker.allow(now));
    now += milliseconds{500};
    REQUIRE(breaker.allow(now));
    REQUIRE_FALSE(breaker.allow(now));
    breaker.record_result(false, now);
    // The backoff has doubled.
    REQUIRE_FALSE(breaker.allow(now + milliseconds{999}));
    REQUIRE(breaker.allow(now + milliseconds{1000}));
    breaker.record_result(true, now);
    REQUIRE_FALSE(breaker.is_open(now));
    REQUIRE(breaker.allow(now));
}

TEST_CASE("calls during a long outage are limited by the backoff")
{
    circuit_breaker breaker({});
    int calls = 0;
    for (instant now = seconds{10}; now < seconds{3610};
         now += milliseconds{100})
    {
        if (!breaker.allow(now))
            continue;
        ++calls;
        breaker.record_result(false, now);
    }
    REQUIRE(calls < 3600 / 5 + 10);
}
