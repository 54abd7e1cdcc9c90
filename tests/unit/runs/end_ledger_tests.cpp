#include "glenhollow/runs/end_ledger.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

run_end end_of(std::uint32_t index, std::uint64_t number)
{
    run_end end;
    end.run = {{7, 0, 0, index}, 1};
    end.outcome = run_outcome::done;
    end.number = number;
    return end;
}

constexpr std::uint32_t lease = 0;

} // namespace

TEST_CASE("the runner may forget ends only as far as all are confirmed")
{
    end_ledger ledger;
    REQUIRE(ledger.add(end_of(0, 1), lease, {}));
    REQUIRE(ledger.add(end_of(1, 2), lease, {}));
    REQUIRE(ledger.add(end_of(2, 3), lease, {}));
    ledger.confirm(end_of(1, 2));
    CHECK(ledger.confirmed() == 0);
    ledger.confirm(end_of(0, 1));
    CHECK(ledger.confirmed() == 2);
    CHECK(ledger.waits());
    ledger.confirm(end_of(2, 3));
    CHECK(ledger.confirmed() == 3);
    CHECK_FALSE(ledger.waits());
}

TEST_CASE("a confirmed end that the runner lists again is no news")
{
    // Found on a bench day: one end without an owner held the numbers back,
    // and each look took all later ends for new ones.
    end_ledger ledger;
    ledger.add(end_of(0, 1), lease, {});
    ledger.add(end_of(1, 2), lease, {});
    ledger.confirm(end_of(1, 2));
    CHECK_FALSE(ledger.add(end_of(1, 2), lease, {}));
    CHECK(ledger.ends().size() == 1);
}

TEST_CASE("a concluded end gives way to the one that the runner lists")
{
    end_ledger ledger;
    ledger.add(end_of(0, 0), lease, {});
    CHECK(ledger.add(end_of(0, 5), lease, {}));
    ledger.confirm(end_of(0, 0));
    CHECK(ledger.confirmed() == 0);
    ledger.confirm(end_of(0, 5));
    CHECK(ledger.confirmed() == 5);
}

TEST_CASE("a lapse lets the runner forget, another life begins anew")
{
    end_ledger ledger;
    ledger.add(end_of(0, 1), lease, {});
    ledger.add(end_of(1, 2), lease, {});
    ledger.excuse_all();
    CHECK(ledger.confirmed() == 2);
    CHECK(ledger.ends().size() == 2);
    ledger.new_life();
    CHECK(ledger.confirmed() == 0);
    CHECK(ledger.add(end_of(2, 1), lease, {}));
}
