#include "soak/fault_plan.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace glenhollow;
using namespace glenhollow::soak;

namespace
{

/// Not part of the first shape.
plan_settings a_wide_hour(std::uint64_t seed)
{
    plan_settings out;
    out.seed = seed;
    out.length = seconds{3600};
    out.entries = 3;
    out.agents = 11;
    out.halls = 3;
    out.wide = true;
    return out;
}

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

/// What was found with a seed is played again by it, so kinds that came later
/// must not change the plans of the first shape.
TEST_CASE("fault plan: seeds of the first shape mean what they always did")
{
    auto settings = an_hour(7);
    settings.length = seconds{12};
    CHECK(to_text(plan_faults(settings)) ==
          "4000 store_slow 0 734 0.545957\n"
          "4282 agent_kill 1 3632 0.228579\n"
          "5717 link_slow 0 1770 0.254264\n"
          "7381 store_slow 0 3976 0.533271\n"
          "7916 link_reset 3 459 0.116724\n"
          "8163 backend_late 3 1524 0.433482\n"
          "9447 store_refuse 0 1302 0.451545\n"
          "10314 backend_stranger 1 1334 0.180622\n");
    std::uint64_t hash = 14695981039346656037ULL;
    for (const unsigned char one : to_text(plan_faults(an_hour(7))))
        hash = (hash ^ one) * 1099511628211ULL;
    CHECK(hash == 0xaef8b5ad5ef55596ULL);
}

TEST_CASE("fault plan: a wide plan has all kinds, all targets and lines")
{
    const auto settings = a_wide_hour(3);
    std::set<fault_kind> kinds;
    std::set<std::string> lines;
    std::set<std::uint32_t> processes;
    std::set<std::uint32_t> halls;
    for (const auto& fault : plan_faults(settings))
    {
        kinds.insert(fault.kind);
        lines.insert(fault.line);
        CHECK(fault.at + fault.lasts < settings.length);
        if (fault.kind == fault_kind::process_cut)
            processes.insert(fault.target);
        if (fault.kind == fault_kind::hall_cut)
            halls.insert(fault.target);
        if (group_of(fault.kind) == fault_group::peer)
            CHECK(fault.target < settings.peers());
        if (fault.kind == fault_kind::stall_all)
            CHECK(fault.lasts <= milliseconds{1500});
    }
    CHECK(kinds.size() == all_kinds);
    CHECK(lines.size() == 14); // 13 events and none
    CHECK(processes.size() == settings.entries + settings.agents);
    CHECK(halls.size() == 3);
}

TEST_CASE("fault plan: halls are not cut where there is one")
{
    auto settings = a_wide_hour(4);
    settings.halls = 1;
    for (const auto& fault : plan_faults(settings))
        CHECK(fault.kind != fault_kind::hall_cut);
    CHECK(!plan_from("10 hall_cut 0 100 0.5\n", settings));
}

TEST_CASE("fault plan: a wide plan is the same after it was written and read")
{
    const auto settings = a_wide_hour(5);
    const auto text = to_text(plan_faults(settings));
    const auto again = plan_from(text, settings);
    REQUIRE(again);
    CHECK(to_text(again.value()) == text);
    CHECK(!plan_from("10 agent_kill 0 100 0.5 agent_started\n", settings));
}
