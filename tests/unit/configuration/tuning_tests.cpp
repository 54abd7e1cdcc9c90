#include "glenhollow/configuration/configuration.hpp"
#include "glenhollow/configuration/tuning.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace glenhollow;

TEST_CASE("the default of each setting is within its range")
{
    std::set<std::string_view> names;
    for (const auto& setting : setting_table())
    {
        INFO(setting.name);
        tuning values;
        REQUIRE(set_value(setting, value_text(setting, values), values));
        REQUIRE(names.insert(setting.name).second);
        REQUIRE_FALSE(setting.about.empty());
        REQUIRE(settings_page().find("`" + std::string(setting.name) + "`") !=
                std::string::npos);
    }
}

TEST_CASE("an invalid value is rejected with the setting and its range")
{
    tuning values;
    const auto wrong = [&values](const char* name, const char* value)
    {
        const auto done = set_value(*find_setting(name), value, values);
        return done ? std::string() : done.error().text;
    };
    REQUIRE(wrong("max_tasks", "0") ==
            "max_tasks must be a whole number in 1..1000 tasks, not '0'");
    REQUIRE_FALSE(wrong("max_tasks", "2.5").empty());
    REQUIRE_FALSE(wrong("heartbeat_s", "fast").empty());
    REQUIRE_FALSE(wrong("placement", "best").empty());
    REQUIRE(wrong("placement", "random").empty());
    REQUIRE(values.placement == placement_kind::random);
    REQUIRE(values.max_tasks == 1000);
}

TEST_CASE("a configuration is unchanged by a JSON round trip")
{
    configuration_change change;
    change.rows = {{"quota.desk", "5"}, {"drain.r1", "anna"}};
    change.by = "anna";
    change.when = 12345;
    const auto first = configuration{}.with(change);
    change.rows = {{"drain.r1", ""}};
    const auto second = first.with(change);
    const auto read = configuration::from_json(second.to_json());
    REQUIRE(read);
    REQUIRE(read.value().version() == 2);
    REQUIRE(read.value().rows() == second.rows());
    REQUIRE_FALSE(read.value().find("drain.r1"));
    REQUIRE(second.changed_since(1) == std::vector<std::string>{"drain.r1"});
    REQUIRE_FALSE(configuration::from_json("{}"));
    REQUIRE_FALSE(configuration::from_json("x"));
}

TEST_CASE("an older row does not overwrite a newer one")
{
    configuration known;
    known.merge_row("quota.a", {"7", 5, "anna", 1});
    known.merge_row("quota.a", {"3", 4, "bruno", 1});
    REQUIRE(known.find("quota.a")->value == "7");
}
