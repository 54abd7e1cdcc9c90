#include "glenhollow/entry/sequence_generator.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("two shards never issue the same sequence number")
{
    sequence_generator even(0, 2, seconds{10});
    sequence_generator odd(1, 2, seconds{10});
    const instant now = seconds{1};
    for (int i = 0; i < 5; ++i)
    {
        REQUIRE(even.next(now) % 2 == 0);
        REQUIRE(odd.next(now) % 2 == 1);
    }
    REQUIRE(even.state_of(1, now) == sequence_state::never_issued);
    REQUIRE(even.state_of(2, now) == sequence_state::valid);
    REQUIRE(even.state_of(12, now) == sequence_state::never_issued);
}

TEST_CASE("a sequence number expires after its lifetime for good")
{
    sequence_generator generator(0, 1, seconds{10});
    const auto first = generator.next(seconds{1});
    const auto second = generator.next(seconds{5});
    REQUIRE(generator.state_of(first, seconds{11}) == sequence_state::valid);
    REQUIRE(generator.state_of(first, seconds{12}) == sequence_state::expired);
    REQUIRE(generator.state_of(second, seconds{12}) == sequence_state::valid);
    // A longer lifetime does not restore an expired number.
    generator.set_lifetime(seconds{100});
    REQUIRE(generator.state_of(first, seconds{13}) == sequence_state::expired);
}

TEST_CASE("zero and numbers not yet issued are rejected")
{
    sequence_generator generator(0, 1, seconds{10});
    REQUIRE(generator.state_of(0, seconds{1}) == sequence_state::never_issued);
    REQUIRE(generator.state_of(1, seconds{1}) == sequence_state::never_issued);
    generator.next(seconds{1});
    REQUIRE(generator.state_of(1, seconds{1}) == sequence_state::valid);
}
