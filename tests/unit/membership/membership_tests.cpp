#include "glenhollow/membership/membership.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace glenhollow;

namespace
{

member runner(const std::string& name, const std::string& hall = "h1")
{
    return {
        name, member_role::runner, hall, {"127.0.0.1", 1}, member_state::live};
}

} // namespace

TEST_CASE("changes of the list are applied and repeated ones ignored")
{
    membership members;
    int changes = 0;
    members.on_changed([&] { ++changes; });
    members.apply({runner("r1"), runner("r2")});
    members.apply({runner("r1")});
    REQUIRE(changes == 1);
    auto gone = runner("r1");
    gone.state = member_state::gone;
    members.apply({gone});
    REQUIRE(changes == 2);
    REQUIRE_FALSE(members.find("r1"));
    // VMs that a peer knows are added, but do not replace listed ones.
    auto other = runner("r2", "h9");
    members.add_unknown({other, runner("r3")});
    REQUIRE(members.find("r2")->hall == "h1");
    REQUIRE(members.find("r3"));
}

namespace
{

std::vector<member> entries_of(std::size_t halls, std::size_t count_per_hall)
{
    std::vector<member> entries;
    for (std::size_t hall = 1; hall <= halls; ++hall)
    {
        for (std::size_t i = 0; i < count_per_hall; ++i)
            entries.push_back(
                {"e" + std::to_string(hall) + "-" + std::to_string(i),
                 member_role::entry,
                 "h" + std::to_string(hall),
                 {"127.0.0.1", 1},
                 member_state::live});
    }
    return entries;
}

std::vector<member> runners_of(std::size_t halls, std::size_t count_per_hall)
{
    std::vector<member> runners;
    for (std::size_t hall = 1; hall <= halls; ++hall)
    {
        for (std::size_t i = 0; i < count_per_hall; ++i)
            runners.push_back(
                runner("r" + std::to_string(hall) + "-" + std::to_string(i),
                       "h" + std::to_string(hall)));
    }
    return runners;
}

} // namespace

TEST_CASE(
    "every backend server of a hall is linked to the same number of entries")
{
    const auto entries = entries_of(2, 16);
    const auto runners = runners_of(2, 508);
    std::map<std::string, int> links;
    std::size_t max_links = 0;
    std::size_t min_links = runners.size();
    for (const auto& entry : entries)
    {
        const auto chosen = link_subset(entry.name, entries, runners, {});
        max_links = std::max(max_links, chosen.size());
        min_links = std::min(min_links, chosen.size());
        for (const auto& one : chosen)
            ++links[one.name];
    }
    REQUIRE(links.size() == runners.size());
    for (const auto& [name, count] : links)
        REQUIRE(count == 6);
    // The average is 1016 * 6 / 32 = 190.5 links.
    REQUIRE(min_links > 150);
    REQUIRE(max_links < 230);
}

TEST_CASE("a new entry moves few links of the other entries")
{
    auto entries = entries_of(1, 16);
    const auto runners = runners_of(1, 508);
    const auto before = link_subset("e1-0", entries, runners, {});
    entries.push_back({"e1-new",
                       member_role::entry,
                       "h1",
                       {"127.0.0.1", 1},
                       member_state::live});
    const auto after = link_subset("e1-0", entries, runners, {});
    REQUIRE(after.size() <= before.size());
    REQUIRE(before.size() - after.size() < 20);
}

TEST_CASE("few entries link to all backend servers")
{
    const auto entries = entries_of(1, 3);
    const auto runners = runners_of(1, 10);
    REQUIRE(link_subset("e1-2", entries, runners, {}).size() == 10);
}

TEST_CASE("the ranking does not depend on the order of the candidates")
{
    const auto one = rendezvous_order("key", {"a", "b", "c"});
    const auto other = rendezvous_order("key", {"c", "a", "b"});
    REQUIRE(one == other);
    const auto fewer = rendezvous_order("key", {one[1], one[2]});
    REQUIRE(fewer.front() == one[1]);
}
