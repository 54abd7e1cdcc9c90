#include "glenhollow/durable/placer_choice.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

placer_candidate entry(const std::string& name, std::uint32_t power = 250,
                       std::size_t agents = 11, bool able = true)
{
    return {name, power, agents, able};
}

std::string choice(const std::vector<placer_candidate>& candidates)
{
    return choose_placer(candidates, {});
}

} // namespace

TEST_CASE("like entries choose the first by name, in whatever order")
{
    CHECK(choice({entry("b"), entry("a"), entry("c")}) == "a");
    CHECK(choice({entry("c"), entry("b"), entry("a")}) == "a");
}

TEST_CASE("the most powerful entry places")
{
    CHECK(choice({entry("a", 120), entry("b", 500), entry("c", 250)}) == "b");
}

TEST_CASE("an entry that is stopping or slow does not place")
{
    CHECK(choice({entry("a", 500, 11, false), entry("b", 120)}) == "b");
    CHECK(choice({entry("a", 500, 11, false)}).empty());
}

TEST_CASE("an entry that is cut from agents does not place")
{
    CHECK(choice({entry("a", 500, 8), entry("b", 120, 11)}) == "b");
    // One agent less is no reason to move the queue.
    CHECK(choice({entry("a", 500, 10), entry("b", 120, 11)}) == "a");
    // One that has just begun and reaches nobody.
    CHECK(choice({entry("a", 500, 0)}).empty());
}
