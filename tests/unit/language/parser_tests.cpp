#include "glenhollow/language/parser.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

template <class Statement>
Statement parsed(const std::string& text, dialect allowed = dialect::operators)
{
    INFO(text);
    const auto result = parse_statement(text, allowed);
    if (!result)
        FAIL(result.error().text());
    REQUIRE(std::holds_alternative<Statement>(result.value()));
    return std::get<Statement>(result.value());
}

std::string error_of(const std::string& text)
{
    const auto result = parse_statement(text, dialect::operators);
    return result ? "" : result.error().text();
}

} // namespace

TEST_CASE("show takes any number of conditions")
{
    const auto show = parsed<show_statement>(
        "show runners where state = up and slots >= 8 and name != \"r 1\"");
    REQUIRE(show.target == show_target::runners);
    REQUIRE(show.where.size() == 3);
    REQUIRE(show.where[1].field == "slots");
    REQUIRE(show.where[1].op == comparison::greater_equal);
    REQUIRE(show.where[2].value == "r 1");
    REQUIRE(parsed<show_statement>("show jobs").where.empty());
    REQUIRE(parsed<show_change_statement>("show change e1.0a").id == "e1.0a");
}

TEST_CASE("every statement is read with its parts")
{
    const auto why =
        parsed<why_statement>("why task h1.e1.00000000000000ab.3/12");
    REQUIRE(why.subject == "h1.e1.00000000000000ab.3");
    REQUIRE(why.task == 12);
    REQUIRE(parsed<why_statement>("why drained r3").target ==
            why_target::drained);
    REQUIRE(parsed<why_statement>("why refused a.b.c.1").target ==
            why_target::refused);
    REQUIRE_FALSE(parsed<why_waste_statement>("why waste").since);
    REQUIRE(parsed<why_waste_statement>("why waste since 10m").since ==
            seconds{600});
    REQUIRE(parsed<why_waste_statement>("why waste since 500ms").since ==
            milliseconds{500});
    const auto quota =
        parsed<set_quota_statement>("set team desk quota 12.5 tasks/s");
    REQUIRE(quota.team == "desk");
    REQUIRE(quota.quota == 12.5);
    REQUIRE(parsed<set_weight_statement>("set team desk weight 2").weight == 2);
    REQUIRE(parsed<set_token_statement>("set team desk token s3cret-x").token ==
            "s3cret-x");
    REQUIRE(parsed<unset_team_statement>("unset team desk").team == "desk");
    const auto set = parsed<set_statement>("set placement late_binding");
    REQUIRE(set.key == "placement");
    REQUIRE(set.value == "late_binding");
    REQUIRE(parsed<set_statement>("set default_team_quota -1").value == "-1");
    REQUIRE(parsed<drain_statement>("drain runner r7").on);
    REQUIRE_FALSE(parsed<drain_statement>("undrain runner r7;").on);
    const auto create = parsed<create_job_statement>(
        "create job team desk tasks 3 payload {\"work_ms\": 50}");
    REQUIRE(create.tasks == 3);
    REQUIRE(create.payload == "{\"work_ms\": 50}");
    REQUIRE(parsed<cancel_statement>("  cancel   job a.b.c.1 ").id ==
            "a.b.c.1");
}

TEST_CASE("errors point at the column and say what was expected")
{
    REQUIRE(error_of("shwo runners") ==
            "column 1: expected show, why, set, unset, drain, undrain, "
            "create, cancel or help");
    REQUIRE(error_of("show runner") ==
            "column 6: expected runners, entries, teams, jobs, "
            "configuration, settings or change");
    REQUIRE(error_of("show runners where state up") ==
            "column 26: expected one of = != <= >= < >");
    REQUIRE(error_of("set team desk quota many tasks/s") ==
            "column 21: expected a number");
    REQUIRE(error_of("drain r7") == "column 7: expected runner");
    REQUIRE(error_of("why task abc") ==
            "column 10: expected a task: <submission id>/<n>");
    REQUIRE(error_of("drain runner r7 now") ==
            "column 17: expected the end of the statement");
    REQUIRE(error_of("create job team t tasks 1 payload {x")
                .starts_with("column 35: expected a JSON value"));
    REQUIRE_FALSE(error_of("").empty());
}

TEST_CASE("operators have no statements that act on processes")
{
    REQUIRE_FALSE(error_of("kill e1").empty());
    REQUIRE(parsed<process_statement>("kill e1", dialect::scenarios).action ==
            process_action::kill);
    REQUIRE(parsed<deploy_statement>("deploy entries 3 runners 4",
                                     dialect::scenarios)
                .runners == 4);
    const auto expect = parsed<expect_rows_statement>(
        "expect 2 runners where state = up within 5s", dialect::scenarios);
    REQUIRE(expect.count == 2);
    REQUIRE(expect.within == seconds{5});
    REQUIRE(parsed<expect_job_statement>("expect job a complete within 10s",
                                         dialect::scenarios)
                .state == "complete");
    REQUIRE(parsed<fault_statement>("fault platform {\"outage\":true}",
                                    dialect::scenarios)
                .json == "{\"outage\":true}");
}

TEST_CASE("no number or length that can't be counted with is taken")
{
    for (const auto* text :
         {"why waste since 1e300h", "why waste since -5s",
          "why waste since nans", "why waste since infh",
          "set team desk quota nan tasks/s",
          "set team desk quota 1e999 tasks/s", "set team desk weight inf"})
    {
        INFO(text);
        CHECK_FALSE(parse_statement(text, dialect::operators));
    }
    CHECK(parsed<why_waste_statement>("why waste since 87600h").since ==
          std::chrono::hours{87'600});
}
