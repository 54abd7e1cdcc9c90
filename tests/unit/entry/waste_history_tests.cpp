#include "glenhollow/entry/waste_history.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("waste within a period is the difference of two totals")
{
    waste_history history;
    REQUIRE(history.counts_within(seconds{1}, std::nullopt).tasks == 0);
    for (std::uint64_t i = 1; i <= 10; ++i)
    {
        waste_counts counts;
        counts[waste_kind::ping] = 2 * i;
        counts.tasks = 100 * i;
        history.add(seconds{10 * i}, counts);
    }
    REQUIRE(history.counts_within(seconds{100}, std::nullopt).tasks == 1000);
    auto last = history.counts_within(seconds{100}, seconds{30});
    REQUIRE(last[waste_kind::ping] == 6);
    REQUIRE(last.tasks == 300);
    // A period longer than the history returns all of it.
    REQUIRE(history.counts_within(seconds{100}, seconds{3600}).tasks == 1000);
}
