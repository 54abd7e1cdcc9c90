#include "glenhollow/membership/membership.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace glenhollow;

namespace
{

member runner(const std::string& name, const std::string& hall = "h1")
{
    return {
        name, member_role::runner, hall, {"127.0.0.1", 1}, member_state::live};
}

} // namespace

TEST_CASE("changes of the list are applied, repeats change nothing")
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
    // What a peer knows fills gaps but does not overrule the list.
    auto other = runner("r2", "h9");
    members.learn({other, runner("r3")});
    REQUIRE(members.find("r2")->hall == "h1");
    REQUIRE(members.find("r3"));
}

TEST_CASE("an entry links to a bounded part that changes little")
{
    std::vector<member> runners;
    for (int i = 0; i < 508; ++i)
        runners.push_back(
            runner("r" + std::to_string(i), i < 300 ? "h1" : "h2"));
    const link_subset_settings limits{128, 64};
    const auto before = link_subset("e1", "h1", runners, limits);
    REQUIRE(before.size() == 192);
    runners.erase(runners.begin());
    const auto after = link_subset("e1", "h1", runners, limits);
    std::set<std::string> names;
    for (const auto& one : before)
        names.insert(one.name);
    int fresh = 0;
    for (const auto& one : after)
        fresh += names.contains(one.name) ? 0 : 1;
    REQUIRE(fresh <= 1);
}

TEST_CASE("entries together cover every runner evenly")
{
    std::vector<member> runners;
    for (int i = 0; i < 508; ++i)
        runners.push_back(runner("r" + std::to_string(i)));
    std::map<std::string, int> links;
    for (int entry = 0; entry < 16; ++entry)
    {
        for (const auto& one :
             link_subset("e" + std::to_string(entry), "h1", runners, {128, 0}))
            ++links[one.name];
    }
    // 16 x 128 / 508 is 4 on average; a runner without any is as likely as
    // (1 - 128/508)^16, one in a hundred.
    REQUIRE(links.size() > 495);
}

TEST_CASE("all rank candidates alike")
{
    const auto one = rendezvous_order("key", {"a", "b", "c"});
    const auto other = rendezvous_order("key", {"c", "a", "b"});
    REQUIRE(one == other);
    const auto fewer = rendezvous_order("key", {one[1], one[2]});
    REQUIRE(fewer.front() == one[1]);
}
