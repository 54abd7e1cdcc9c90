#include "glenhollow/telemetry/log_budget.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("a flood of one kind of line is bounded and what is left out is said")
{
    log_budget budget({10, 5});
    instant now = seconds{100};
    int written = 0;
    for (int i = 0; i < 100; ++i)
        written += budget.admit("flood", now).write ? 1 : 0;
    CHECK(written == 5);
    // Other kinds do not pay for it.
    CHECK(budget.admit("rare", now).write);
    now += milliseconds{150};
    const auto next = budget.admit("flood", now);
    CHECK(next.write);
    CHECK(next.left_out == 95);
    CHECK(budget.admit("flood", now + seconds{1}).left_out == 0);
}
