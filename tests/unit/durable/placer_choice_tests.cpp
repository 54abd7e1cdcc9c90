#include "glenhollow/durable/placer_choice.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace glenhollow;

namespace
{

placer_candidate entry(const std::string& name, std::uint32_t power = 250,
                       std::size_t agents = 11, bool can_place = true,
                       std::int64_t started = 0)
{
    return {name, power, agents, can_place, started};
}

/// Returns the placer of the only group.
std::string choice(const std::vector<placer_candidate>& candidates)
{
    const auto placers = choose_placers(candidates, {});
    REQUIRE(placers.size() <= 1);
    return placers.empty() ? "" : placers.front();
}

/// Returns entries with equal properties.
std::vector<placer_candidate> identical_entries(std::size_t count,
                                                std::size_t agents)
{
    std::vector<placer_candidate> out;
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(entry("entry-" + std::to_string(i), 500, agents));
    return out;
}

std::vector<std::string> agents(std::size_t count)
{
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i)
        out.push_back("side-hall-a-" + std::to_string(i));
    return out;
}

} // namespace

TEST_CASE("the choice does not depend on the order of the candidates")
{
    std::vector<placer_candidate> all{entry("a"), entry("b"), entry("c")};
    const auto chosen = choice(all);
    CHECK_FALSE(chosen.empty());
    while (std::next_permutation(all.begin(), all.end(),
                                 [](const auto& x, const auto& y)
                                 { return x.name < y.name; }))
        CHECK(choice(all) == chosen);
}

TEST_CASE("the most powerful entry is the placer")
{
    CHECK(choice({entry("a", 120), entry("b", 500), entry("c", 250)}) == "b");
}

TEST_CASE("an entry that is stopping or slow is not a placer")
{
    CHECK(choice({entry("a", 500, 11, false), entry("b", 120)}) == "b");
    CHECK(choice({entry("a", 500, 11, false)}).empty());
}

TEST_CASE("an entry without sessions with many agents is not a placer")
{
    CHECK(choice({entry("a", 500, 6), entry("b", 120, 11)}) == "b");
    // A single missing agent does not change the placer.
    CHECK(choice({entry("a", 500, 10), entry("b", 120, 11)}) == "a");
    // An entry without sessions is not a placer.
    CHECK(choice({entry("a", 500, 0)}).empty());
}

TEST_CASE("a restarted entry does not replace the placer")
{
    for (const std::string returned : {"a", "b"})
    {
        const std::string other = returned == "a" ? "b" : "a";
        CHECK(choice({entry(returned, 250, 11, true, 1040),
                      entry(other, 250, 11, true, 1000)}) == other);
    }
    // Entries that start together count as equally old.
    CHECK(choice({entry("a", 250, 11, true, 1001),
                  entry("b", 250, 11, true, 1002)}) ==
          choice({entry("a", 250, 11, true, 1002),
                  entry("b", 250, 11, true, 1001)}));
}

TEST_CASE("many agents are divided among several placers")
{
    CHECK(choose_placers(identical_entries(5, 80), {}).size() == 1);
    CHECK(choose_placers(identical_entries(5, 3), {}).size() == 1);
    const auto three = choose_placers(identical_entries(5, 240), {});
    CHECK(std::set<std::string>(three.begin(), three.end()).size() == 3);
    CHECK(choose_placers(identical_entries(2, 240), {}).size() == 2);
}

TEST_CASE("placers that notice the loss of agents first keep their groups")
{
    // Placers notice the loss of agents before other entries do. Groups must
    // not change their placers in that time.
    auto all = identical_entries(15, 240);
    const auto before = choose_placers(all, {});
    for (auto& one : all)
    {
        if (std::find(before.begin(), before.end(), one.name) != before.end())
            one.agents = 204;
    }
    CHECK(choose_placers(all, {}) == before);
    all[0].agents = 243; // New agents join before lost ones are removed.
    CHECK(choose_placers(all, {}) == before);
}

TEST_CASE("the loss of a placer moves few other groups")
{
    const auto all = identical_entries(15, 240);
    const auto before = choose_placers(all, {});
    for (const auto& lost : before)
    {
        auto left = all;
        std::erase_if(left, [&lost](const placer_candidate& one)
                      { return one.name == lost; });
        const auto after = choose_placers(left, {});
        REQUIRE(after.size() == before.size());
        std::size_t moved = 0;
        for (std::size_t i = 0; i < after.size(); ++i)
            moved += after[i] == before[i] ? 0 : 1;
        CHECK(moved >= 1);
        CHECK(moved <= 2);
    }
}

TEST_CASE("groups are balanced, and an added group moves few agents")
{
    const auto all = agents(240);
    std::vector<std::size_t> sizes(3);
    std::size_t moved = 0;
    for (const auto& agent : all)
    {
        const auto group = group_of(agent, 3);
        REQUIRE(group < 3);
        ++sizes[group];
        moved += group_of(agent, 4) == group ? 0 : 1;
        CHECK(group_of(agent, 1) == 0);
    }
    for (const auto size : sizes)
    {
        CHECK(size > 55);
        CHECK(size < 105);
    }
    CHECK(moved < 80); // The expected number is 60, all of them to the new
                       // group.
}
