#include "glenhollow/runs/unconfirmed_ends.hpp"

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

TEST_CASE("ends are confirmed to the server only up to the first unconfirmed "
          "one")
{
    unconfirmed_ends unconfirmed;
    REQUIRE(unconfirmed.add(end_of(0, 1), lease, {}));
    REQUIRE(unconfirmed.add(end_of(1, 2), lease, {}));
    REQUIRE(unconfirmed.add(end_of(2, 3), lease, {}));
    unconfirmed.confirm(end_of(1, 2));
    CHECK(unconfirmed.confirmed() == 0);
    unconfirmed.confirm(end_of(0, 1));
    CHECK(unconfirmed.confirmed() == 2);
    CHECK(unconfirmed.has_unsettled());
    unconfirmed.confirm(end_of(2, 3));
    CHECK(unconfirmed.confirmed() == 3);
    CHECK_FALSE(unconfirmed.has_unsettled());
}

TEST_CASE("a confirmed end that is listed again is not new")
{
    // An earlier unconfirmed end makes the server list it again.
    unconfirmed_ends unconfirmed;
    unconfirmed.add(end_of(0, 1), lease, {});
    unconfirmed.add(end_of(1, 2), lease, {});
    unconfirmed.confirm(end_of(1, 2));
    CHECK_FALSE(unconfirmed.add(end_of(1, 2), lease, {}));
    CHECK(unconfirmed.ends().size() == 1);
}

TEST_CASE("a listed end replaces a concluded one")
{
    unconfirmed_ends unconfirmed;
    unconfirmed.add(end_of(0, 0), lease, {});
    CHECK(unconfirmed.add(end_of(0, 5), lease, {}));
    unconfirmed.confirm(end_of(0, 0));
    CHECK(unconfirmed.confirmed() == 0);
    unconfirmed.confirm(end_of(0, 5));
    CHECK(unconfirmed.confirmed() == 5);
}

TEST_CASE("a lapse releases all ends; a new incarnation resets their numbers")
{
    unconfirmed_ends unconfirmed;
    unconfirmed.add(end_of(0, 1), lease, {});
    unconfirmed.add(end_of(1, 2), lease, {});
    unconfirmed.release_all();
    CHECK(unconfirmed.confirmed() == 2);
    CHECK(unconfirmed.ends().size() == 2);
    unconfirmed.reset_numbers();
    CHECK(unconfirmed.confirmed() == 0);
    CHECK(unconfirmed.add(end_of(2, 1), lease, {}));
}
