#include "glenhollow/entry/mint.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("numbers of two shards never meet")
{
    mint even(0, 2, seconds{10});
    mint odd(1, 2, seconds{10});
    const instant now = seconds{1};
    for (int i = 0; i < 5; ++i)
    {
        REQUIRE(even.next(now) % 2 == 0);
        REQUIRE(odd.next(now) % 2 == 1);
    }
    REQUIRE(even.state_of(1, now) == mint_state::never_minted);
    REQUIRE(even.state_of(2, now) == mint_state::valid);
    REQUIRE(even.state_of(12, now) == mint_state::never_minted);
}

TEST_CASE("a number expires after its lifetime and stays expired")
{
    mint numbers(0, 1, seconds{10});
    const auto first = numbers.next(seconds{1});
    const auto second = numbers.next(seconds{5});
    REQUIRE(numbers.state_of(first, seconds{11}) == mint_state::valid);
    REQUIRE(numbers.state_of(first, seconds{12}) == mint_state::expired);
    REQUIRE(numbers.state_of(second, seconds{12}) == mint_state::valid);
    // A longer lifetime does not bring an expired number back.
    numbers.set_lifetime(seconds{100});
    REQUIRE(numbers.state_of(first, seconds{13}) == mint_state::expired);
}

TEST_CASE("zero and numbers not yet given out are forged")
{
    mint numbers(0, 1, seconds{10});
    REQUIRE(numbers.state_of(0, seconds{1}) == mint_state::never_minted);
    REQUIRE(numbers.state_of(1, seconds{1}) == mint_state::never_minted);
    numbers.next(seconds{1});
    REQUIRE(numbers.state_of(1, seconds{1}) == mint_state::valid);
}
