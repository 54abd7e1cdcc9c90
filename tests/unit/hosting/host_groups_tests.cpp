#include "glenhollow/hosting/host_groups.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace glenhollow;

namespace
{

std::vector<std::string> agents(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("agent-" + std::to_string(i));
    return names;
}

std::map<std::string, std::size_t>
group_by_agent(const std::vector<host_group>& groups)
{
    std::map<std::string, std::size_t> out;
    for (std::size_t i = 0; i < groups.size(); ++i)
    {
        for (const auto& agent : groups[i].agents)
            out[agent] = i;
    }
    return out;
}

} // namespace

TEST_CASE("agent groups do not depend on the order of the agents")
{
    auto names = agents(53);
    const auto groups = divide_agents(names, 7);
    std::reverse(names.begin(), names.end());
    CHECK(group_by_agent(groups) == group_by_agent(divide_agents(names, 7)));
    REQUIRE(groups.size() == 8);
    for (const auto& group : groups)
    {
        CHECK(group.agents.size() >= 6);
        CHECK(group.agents.size() <= 7);
    }
}

TEST_CASE("few agents form one group and no agents form none")
{
    CHECK(divide_agents({}, 7).empty());
    CHECK(divide_agents(agents(1), 7).size() == 1);
    CHECK(divide_agents(agents(9), 7).size() == 1);
    CHECK(divide_agents(agents(11), 7).size() == 2);
    CHECK(divide_agents(agents(3), 1).size() == 3);
}

TEST_CASE("an added agent moves at most one agent across each cut")
{
    const auto before = group_by_agent(divide_agents(agents(53), 7));
    const auto after = group_by_agent(divide_agents(agents(54), 7));
    std::size_t moved = 0;
    for (const auto& [agent, group] : before)
        moved += after.at(agent) == group ? 0 : 1;
    CHECK(moved <= 7);
}

TEST_CASE("the host of a group changes only while it is not eligible")
{
    const host_group group{agents(7)};
    const auto all = [](const std::string&) { return true; };
    const auto first = choose_host(group, all);
    const auto without = [&first](const std::string& agent)
    { return agent != first; };
    const auto second = choose_host(group, without);
    CHECK(!second.empty());
    CHECK(second != first);
    CHECK(choose_host(group, all) == first);
    CHECK(choose_host(group, [](const std::string&) { return false; }).empty());
}

TEST_CASE("hosts get jobs by weight, and a job always gets the same host")
{
    const std::vector<host_choice> choices{{"a", 1}, {"b", 3}, {"c", 0}};
    std::array<int, 3> drawn{};
    for (job_id job = 1; job <= 4000; ++job)
    {
        const auto host = draw_host(job, choices);
        REQUIRE(host < 2); // "c" has weight 0.
        CHECK(draw_host(job, choices) == host);
        ++drawn[host];
    }
    CHECK(drawn[0] > 900);
    CHECK(drawn[0] < 1100);
    CHECK(draw_host(7, {{"a", 0}, {"b", 0}}) == 2);
    CHECK(draw_host(7, {}) == 0);
}

TEST_CASE("a higher host weight moves jobs only to that host")
{
    const std::vector<host_choice> before{{"a", 1}, {"b", 1}, {"c", 1}};
    const std::vector<host_choice> after{{"a", 1}, {"b", 2}, {"c", 1}};
    for (job_id job = 1; job <= 1000; ++job)
    {
        const auto was = draw_host(job, before);
        const auto is = draw_host(job, after);
        CHECK((is == was || is == 1));
    }
}
