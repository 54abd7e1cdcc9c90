#include "platform/run_lists_format.hpp"
#include "unit/adapter/client_handler_fixture.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("the operator's configuration becomes queues")
{
    const auto catalog = platform::parse_catalog(configuration);
    REQUIRE(catalog);
    CHECK(catalog.value().version == 7);
    CHECK(catalog.value().queues().at(0).max_attempts == 3);
    CHECK(catalog.value().max_body_bytes == 2000);
    CHECK_FALSE(platform::parse_catalog("{}"));
    CHECK_FALSE(platform::parse_catalog(R"({"version":1,"routes":3})"));
}

TEST_CASE("a submission is decoded to a job and its result to a status")
{
    client_handler_fixture world;
    const auto got =
        world.call("POST", job_path,
                   R"({"spec":"s","steps":[{"count":2,"cpu":1600,"mem_mb":64,
            "estimate_ms":100,"affinity":"r1-3"}],"best_effort":true})");
    CHECK(got.status == 200);
    CHECK(got.body == R"({"state":"running"})");
    REQUIRE(world.jobs.submitted);
    CHECK(world.jobs.submitted->durability_class == durability::in_memory);
    CHECK(world.jobs.submitted->steps[0].needs.cpu == 1600);
    CHECK(world.jobs.submitted->steps[0].preferred_label == "r1-3");
    CHECK(world.jobs.submitted->expiry_ms > 0);
}

TEST_CASE("refusals carry Retry-After and unknown outcomes get 504")
{
    client_handler_fixture world;
    const std::string body = R"({"spec":"s","steps":[{"count":1}]})";
    world.jobs.reply = {job_outcome::refused, job_state::queued,
                        milliseconds{1500}};
    const auto refused = world.call("POST", job_path, body);
    CHECK(refused.status == 503);
    CHECK(header_value(refused.headers, "Retry-After") == "2");
    world.jobs.reply.outcome = job_outcome::unknown;
    CHECK(world.call("POST", job_path, body).status == 504);
    world.jobs.reply.outcome = job_outcome::missing;
    CHECK(world.call("GET", job_path).status == 410);
}

TEST_CASE("invalid requests get their own status and submit no job")
{
    client_handler_fixture world;
    const auto status = [&world](std::string body)
    { return world.call("POST", job_path, std::move(body)).status; };
    CHECK(status("no json") == 400);
    CHECK(status(R"({"spec":3,"steps":[{"count":1}]})") == 400);
    CHECK(status(R"({"spec":"s"})") == 400);
    CHECK(status(R"({"spec":"s","steps":[3]})") == 400);
    CHECK(status(R"({"spec":"s","steps":[{"count":1,"after":[0]}]})") == 400);
    CHECK(status(R"({"spec":"s","steps":[{"count":0}]})") == 400);
    CHECK(status(std::string(3000, ' ')) == 413);
    CHECK(world.call("POST", "/x/not-an-id", "{}").status == 404);
    CHECK(world.call("GET", "/elsewhere/").status == 404);
    CHECK(world.call("PUT", job_path).status == 405);
    CHECK_FALSE(world.jobs.submitted);
}

TEST_CASE("without a configuration every request gets 503")
{
    client_handler_fixture world;
    world.jobs.queues = {};
    CHECK(world.call("GET", job_path).status == 503);
}

TEST_CASE("state, cancel and the pending count use the job service")
{
    client_handler_fixture world;
    CHECK(world.call("GET", job_path).body == R"({"state":"running"})");
    CHECK(world.jobs.asked == 0x5c0e7a21d94b36f8U);
    CHECK(world.call("DELETE", job_path).status == 200);
    CHECK(world.jobs.cancelled == 0x5c0e7a21d94b36f8U);
    CHECK(world.call("GET", "/x/").body == R"({"pending":12})");
}

TEST_CASE("a task's name on the wire is read back")
{
    const task_ref task{0x5c0e7a21d94b36f8, 1, 2, 17};
    CHECK(platform::task_name(task) == "5c0e7a21d94b36f8.1.2.17");
    CHECK(platform::parse_task_name("5c0e7a21d94b36f8.1.2.17") == task);
    CHECK_FALSE(platform::parse_task_name("5c0e7a21d94b36f8.1.2"));
    CHECK_FALSE(platform::parse_task_name("x.1.2.3"));
}
