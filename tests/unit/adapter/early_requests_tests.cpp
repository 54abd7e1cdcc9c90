// Requests that reach an entry before its first configuration.
#include "platform/catalog_format.hpp"
#include "platform/client_request_handler.hpp"
#include "platform/early_requests.hpp"
#include "unit/support/manual_loop.hpp"

#include <catch2/catch.hpp>

#include <optional>

using namespace glenhollow;

namespace
{

constexpr std::string_view configuration = R"({"version":7,"routes":[
    {"name":"r-1","host":"a.example","path_prefix":"/x/","service":"s",
     "priority":2,"max_attempts":3,"stretch":1.6,"target_latency_ms":60}],
    "services":[],"limits":{"max_body_bytes":2000}})";

constexpr auto path = "/x/5c0e7a21d94b36f8";
constexpr auto body =
    R"({"spec":"s","steps":[{"count":2,"cpu":1600,"estimate_ms":1000}],"best_effort":true})";

/// Accepts all jobs and answers none.
class pending_jobs final : public durable_jobs
{
public:
    const queue_catalog& catalog() const override { return queues; }

    std::function<void()> submit(const job_definition& job,
                                 job_reply_handler) override
    {
        submitted.push_back(job);
        return [this] { ++withdrawn; };
    }

    void cancel(job_id, job_reply_handler) override {}
    void state(job_id, job_reply_handler) override {}
    std::uint32_t pending(const std::string&) const override { return 0; }

    queue_catalog queues;
    std::vector<job_definition> submitted;
    int withdrawn = 0;
};

/// A request handler that has just started.
struct early_requests_fixture
{
    explicit early_requests_fixture(std::size_t max_requests = 256)
        : early(loop.clock, loop.delay(), {milliseconds{500}, max_requests})
    {
    }

    void post()
    {
        http_request request;
        request.method = "POST";
        request.target = path;
        request.headers = {{"Host", "a.example"},
                           {"Glenhollow-Timeout-Ms", "1900"}};
        request.body = body;
        request.on_close = [this](std::function<void()> callback)
        { close_connection = std::move(callback); };
        front.handle(std::move(request), [this](http_response answer)
                     { answers.push_back(std::move(answer)); });
    }

    void configure()
    {
        jobs.queues = platform::parse_catalog(configuration).value();
    }

    manual_loop loop;
    pending_jobs jobs;
    platform::early_requests early;
    platform::client_request_handler front{jobs, &early};
    std::function<void()>
        close_connection; ///< The last client closes its connection.
    std::vector<http_response> answers;
};

} // namespace

TEST_CASE("a request before the first configuration waits for it")
{

    early_requests_fixture world;
    world.post();
    world.loop.advance(milliseconds{100});
    CHECK(world.answers.empty());
    CHECK(world.jobs.submitted.empty());
    world.configure();
    world.loop.advance(milliseconds{10});
    REQUIRE(world.jobs.submitted.size() == 1);
    const auto& job = world.jobs.submitted.front();
    CHECK(job.queue == "r-1");
    // The client's timeout counts from the arrival.
    CHECK(job.expiry_ms - job.accepted_ms <= 1800);
    CHECK(job.expiry_ms - job.accepted_ms >= 1780);
    // So does the latency objective: 60 ms plus 1.6 times 1 s.
    CHECK(job.objective_ms - job.accepted_ms <= 1560);
    REQUIRE(world.close_connection);
    world.close_connection();
    CHECK(world.jobs.withdrawn == 1);
    CHECK(world.early.stats().held == 1);
    CHECK(world.early.stats().refused == 0);
}

TEST_CASE("requests without a configuration are refused after the warm-up")
{
    early_requests_fixture world;
    world.post();
    world.loop.advance(milliseconds{520});
    REQUIRE(world.answers.size() == 1);
    CHECK(world.answers.front().status == 503);
    world.post(); // The store is still down.
    REQUIRE(world.answers.size() == 2);
    CHECK(world.answers.back().status == 503);
    CHECK(world.early.stats().held == 1);
    CHECK(world.early.stats().refused == 1);
}

TEST_CASE("the number of held requests is bounded")
{
    early_requests_fixture world(2);
    world.post();
    world.post();
    CHECK(world.answers.empty());
    world.post();
    REQUIRE(world.answers.size() == 1);
    CHECK(world.answers.front().status == 503);
    world.configure();
    world.loop.advance(milliseconds{10});
    CHECK(world.jobs.submitted.size() == 2);
}

TEST_CASE("an early request of a disconnected client is not submitted")
{
    early_requests_fixture world;
    world.post();
    REQUIRE(world.close_connection);
    world.close_connection();
    world.configure();
    world.loop.advance(milliseconds{10});
    CHECK(world.jobs.submitted.empty());
    CHECK(world.early.stats().left == 1);
}

TEST_CASE("no request is held once a configuration is in force")
{
    early_requests_fixture world;
    world.configure();
    world.post();
    CHECK(world.jobs.submitted.size() == 1);
    CHECK(world.early.stats().held == 0);
}
