#include "soak/fault_plan.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace glenhollow;
using namespace glenhollow::soak;

namespace
{

plan_settings an_hour(std::uint64_t seed)
{
    plan_settings out;
    out.seed = seed;
    out.length = seconds{3600};
    return out;
}

} // namespace

TEST_CASE("fault plan: a seed means the same plan")
{
    const auto a = plan_faults(an_hour(7));
    const auto b = plan_faults(an_hour(7));
    REQUIRE(a.size() == b.size());
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        CHECK(a[i].kind == b[i].kind);
        CHECK(a[i].target == b[i].target);
        CHECK(a[i].at == b[i].at);
        CHECK(a[i].lasts == b[i].lasts);
        CHECK(a[i].share == b[i].share);
    }
    CHECK(plan_faults(an_hour(8)).front().at == a.front().at);
    CHECK(plan_faults(an_hour(8)).back().at != a.back().at);
}

TEST_CASE("fault plan: all kinds and targets come, within the time")
{
    const auto settings = an_hour(3);
    std::set<fault_kind> kinds;
    for (const auto& fault : plan_faults(settings))
    {
        kinds.insert(fault.kind);
        CHECK(fault.at >= settings.calm);
        CHECK(fault.at + fault.lasts < settings.length);
        if (fault.kind <= fault_kind::entry_stop)
            CHECK(fault.target < settings.entries);
        else if (fault.kind < fault_kind::store_slow)
            CHECK(fault.target < settings.agents);
        else if (fault.kind < fault_kind::link_slow)
            CHECK(fault.target == 0);
        else
            CHECK(fault.target < settings.links());
    }
    CHECK(kinds.size() == drawn_kinds);
}

TEST_CASE("fault plan: a plan is the same after it was written and read")
{
    const auto settings = an_hour(5);
    const auto plan = plan_faults(settings);
    const auto text = to_text(plan);
    const auto again = plan_from("# a cause\n\n" + text, settings);
    REQUIRE(again);
    CHECK(again.value().size() == plan.size());
    CHECK(to_text(again.value()) == text);
}

TEST_CASE("fault plan: a wrong line is named")
{
    const auto settings = an_hour(5);
    for (const std::string line :
         {"10 entry_kill 3 100 0.5", "10 entry_kil 0 100 0.5",
          "10 entry_kill 0", "x entry_kill 0 100 0.5"})
    {
        const auto read = plan_from(line + "\n", settings);
        REQUIRE(!read);
        CHECK(read.error().text.find(line) != std::string::npos);
    }
}
