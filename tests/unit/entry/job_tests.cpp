#include "glenhollow/entry/job.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("a valid body is parsed with all its fields")
{
    const auto job = parse_job(
        R"({"team":"desk","deadline_ms":5000,"tasks":[{"payload":{"a":1}},
            {"payload":null}]})",
        {});
    REQUIRE(job);
    REQUIRE(job.value().team == "desk");
    REQUIRE(job.value().deadline == seconds{5});
    REQUIRE(job.value().payloads ==
            std::vector<std::string>{R"({"a":1})", "null"});
}

TEST_CASE("an invalid body is refused with the field and its range")
{
    struct wrong_body
    {
        std::string body;
        std::string named;
        unsigned status;
    };
    std::string many = R"({"team":"t","tasks":[)";
    for (int i = 0; i < 1001; ++i)
        many += std::string(i ? "," : "") + R"({"payload":1})";
    many += "]}";
    const std::vector<wrong_body> cases{
        {"{", "not JSON", 400},
        {"[]", "object", 400},
        {R"({"tasks":[{"payload":1}]})", "team", 400},
        {R"({"team":"a b","tasks":[{"payload":1}]})", "team", 400},
        {R"({"team":"t"})", "tasks", 400},
        {R"({"team":"t","tasks":[]})", "1..1000", 400},
        {R"({"team":"t","tasks":[1]})", "tasks[0]", 400},
        {R"({"team":"t","tasks":[{"payload":1},{}]})", "tasks[1]", 400},
        {R"({"team":"t","deadline_ms":0,"tasks":[{"payload":1}]})", "1..120000",
         400},
        {R"({"team":"t","deadline_ms":"5","tasks":[{"payload":1}]})",
         "deadline_ms", 400},
        {R"({"team":"t","repeatable":1,"tasks":[{"payload":1}]})", "repeatable",
         400},
        {R"({"team":"t","repeatable":true,"tasks":[{"payload":1},
            {"payload":2}]})",
         "1 task", 400},
        {R"({"team":"t","taskz":1,"tasks":[{"payload":1}]})", "taskz", 400},
        {many, "1..1000", 413}};
    for (const auto& one : cases)
    {
        INFO(one.named);
        const auto job = parse_job(one.body, {});
        REQUIRE_FALSE(job);
        REQUIRE(job.error().status == one.status);
        REQUIRE(job.error().what == verdict::not_run);
        REQUIRE(job.error().detail.find(one.named) != std::string::npos);
    }
}
