// Guards against invalid request bodies that are read as 0 or as a clamped
// number, which would start tasks without enough capacity.
#include "unit/adapter/client_handler_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace glenhollow;

namespace
{

const std::string good_body =
    R"({"spec":"s","best_effort":true,"news":{"x":[null]},"steps":[)"
    R"({"count":2,"cpu":1600,"mem_mb":64,"gpu":1,"estimate_ms":100,)"
    R"("constraints":"a","affinity":"r1-3"},)"
    R"({"count":3,"cpu":200,"after":[0]}]})";

/// A replacement that makes the body invalid, and the field named in the error.
struct bad_change
{
    std::string field;
    std::string from;
    std::string to;
    std::string range;
};

const std::vector<bad_change> bad_bodies{
    {"spec", R"("s")", "5", "1 to 4000 bytes"},
    {"spec", R"("s")", "\"" + std::string(4001, 'x') + "\"", "1 to 4000"},
    {"spec", R"("s")", "null", "1 to 4000"},
    {"best_effort", "true", "1", "true or false"},
    {"best_effort", "true", R"("true")", "true or false"},
    {"steps", R"("steps":[)", R"("stages":[)", "a list"},
    {"steps[1].count", R"("count":3)", R"("count":"3")", "1 to 10000"},
    {"steps[1].count", R"("count":3)", R"("count":3.5)", "1 to 10000"},
    {"steps[1].count", R"("count":3)", R"("count":-3)", "1 to 10000"},
    {"steps[1].count", R"("count":3,)", "", "1 to 10000"},
    {"steps[1].count", R"("count":3)", R"("count":10001)", "1 to 10000"},
    {"steps[1].count", R"("count":3)", R"("count":4294967297)", "1 to 10000"},
    {"steps[0].cpu", "1600", R"("many")", "0 to 1000000000"},
    {"steps[0].cpu", "1600", "-1", "0 to 1000000000"},
    {"steps[0].cpu", "1600", "4294967295", "0 to 1000000000"},
    {"steps[0].cpu", "1600", "1e300", "0 to 1000000000"},
    {"steps[0].mem_mb", "64", "[]", "0 to 1000000000"},
    {"steps[0].mem_mb", "64", "18446744073709551615", "0 to 1000000000"},
    {"steps[0].gpu", R"("gpu":1)", R"("gpu":true)", "0 to 1000000000"},
    {"steps[0].estimate_ms", R"("estimate_ms":100)",
     R"("estimate_ms":4294967295)", "0 to 604800000"},
    {"steps[0].constraints", R"("constraints":"a")", R"("constraints":7)",
     "1 to 200 bytes"},
    {"steps[0].affinity", R"("r1-3")", "\"" + std::string(201, 'r') + "\"",
     "1 to 200 bytes"},
    {"steps[1].after", R"("after":[0])", R"("after":0)", "a list"},
    {"steps[1].after", R"("after":[0])", R"("after":["0"])", "earlier step"},
    {"steps[1].after", R"("after":[0])", R"("after":[-1])", "earlier step"},
    {"steps[1].after", R"("after":[0])", R"("after":[0.5])", "earlier step"},
    {"steps[1].after", R"("after":[0])", R"("after":[1])", "earlier step"},
    {"steps[1].after", R"("after":[0])", R"("after":[7])", "earlier step"},
    {"steps[1].after", R"("after":[0])", R"("after":[4294967296])",
     "earlier step"},
    {"steps[1].after", R"("after":[0])", R"("after":[0,0])", "at most"},
};

std::string replaced(std::string text, const std::string& from,
                     const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

struct caller_body_fixture : client_handler_fixture
{
    caller_body_fixture() { jobs.queues.max_body_bytes = 262'144; }
};

std::string many_steps(std::size_t steps)
{
    std::string text = R"({"steps":[)";
    for (std::size_t i = 0; i < steps; ++i)
        text += std::string(i == 0 ? "" : ",") + R"({"count":1})";
    return text + "]}";
}

} // namespace

TEST_CASE("a valid body is decoded and unknown fields are ignored")
{
    caller_body_fixture world;
    CHECK(world.call("POST", job_path, good_body).status == 200);
    REQUIRE(world.jobs.submitted);
    const auto& job = *world.jobs.submitted;
    REQUIRE(job.steps.size() == 2);
    CHECK(job.steps[0].count == 2);
    CHECK(job.steps[0].needs.cpu == 1600);
    CHECK(job.steps[0].needs.memory == 64);
    CHECK(job.steps[0].needs.gpu == 1);
    CHECK(job.steps[0].estimate_ms == 100);
    CHECK(job.steps[0].label == "a");
    CHECK(job.steps[0].preferred_label == "r1-3");
    CHECK(job.steps[1].after == std::vector<std::uint32_t>{0});
}

TEST_CASE("fields that are 0, false or empty are optional")
{
    for (const auto* body :
         {R"({"steps":[{"count":1}]})",
          R"({"spec":"","best_effort":false,"steps":[{"count":1.0,"cpu":0,)"
          R"("mem_mb":0,"gpu":0,"estimate_ms":0,"constraints":"",)"
          R"("affinity":"","after":[]}]})"})
    {
        caller_body_fixture world;
        INFO(body);
        CHECK(world.call("POST", job_path, body).status == 200);
        REQUIRE(world.jobs.submitted);
        CHECK(world.jobs.submitted->durability_class == durability::journalled);
        CHECK(world.jobs.submitted->steps.at(0).needs.cpu == 0);
        CHECK(world.jobs.submitted->steps.at(0).after.empty());
    }
}

TEST_CASE(
    "an invalid field gets 400 with its name and range and submits no job")
{
    for (const auto& bad : bad_bodies)
    {
        caller_body_fixture world;
        const auto body = replaced(good_body, bad.from, bad.to);
        const auto got = world.call("POST", job_path, body);
        INFO(body.substr(0, 300) << " " << got.body);
        CHECK(got.status == 400);
        CHECK(got.body.find("\"" + bad.field + " is ") != std::string::npos);
        CHECK(got.body.find(bad.range) != std::string::npos);
        CHECK(got.body.size() < 300);
        CHECK_FALSE(world.jobs.submitted);
    }
}

TEST_CASE("a malformed body gets 400 and submits no job")
{
    const std::string deep = R"({"steps":[{"count":1,"x":)" +
                             std::string(100, '[') + "1" +
                             std::string(100, ']') + "}]}";
    for (const std::string& body :
         {std::string(), std::string("{"), std::string("[]"),
          std::string("null"), std::string("\xff\xfe\x80"),
          std::string(100'000, '['), std::string(100'000, '7'), deep,
          std::string(R"({"steps":[null]})"), std::string(R"({"steps":[[]]})"),
          std::string(R"({"steps":[]})")})
    {
        caller_body_fixture world;
        INFO(body.substr(0, 100));
        CHECK(world.call("POST", job_path, body).status == 400);
        CHECK_FALSE(world.jobs.submitted);
    }
}

TEST_CASE("a job with too many steps or tasks is refused")
{
    caller_body_fixture world;
    CHECK(world.call("POST", job_path, many_steps(1001)).status == 400);
    CHECK(
        world
            .call("POST", job_path, R"({"steps":[{"count":9999},{"count":2}]})")
            .status == 400);
    CHECK_FALSE(world.jobs.submitted);
    CHECK(world.call("POST", job_path, many_steps(1000)).status == 200);
    CHECK(
        world
            .call("POST", job_path, R"({"steps":[{"count":9999},{"count":1}]})")
            .status == 200);
}

TEST_CASE("large estimates and objectives do not overflow the job's times")
{
    caller_body_fixture world;
    world.jobs.queues = {};
    queue_rule rule;
    rule.host = "a.example";
    rule.prefix = "/x/";
    rule.stretch = 1e6;
    rule.target_ms = 0xFFFF'FFFF;
    world.jobs.queues.add(rule);
    world.jobs.queues.version = 1;
    std::string body = R"({"best_effort":true,"steps":[{"count":1,)"
                       R"("estimate_ms":604800000})";
    for (int i = 0; i < 500; ++i)
        body += R"(,{"count":1,"estimate_ms":604800000,"after":[)" +
                std::to_string(i) + "]}";
    body += "]}";
    CHECK(world.call("POST", job_path, body).status == 200);
    REQUIRE(world.jobs.submitted);
    const auto& job = *world.jobs.submitted;
    constexpr std::int64_t month_ms = 30LL * 24 * 3600 * 1000;
    CHECK(job.objective_ms > job.accepted_ms);
    CHECK(job.objective_ms - job.accepted_ms <= month_ms);
    CHECK(job.expiry_ms - job.accepted_ms <= 3 * month_ms);
}
