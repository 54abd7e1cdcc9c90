#ifndef GLENHOLLOW_TESTS_CLIENT_HANDLER_FIXTURE_HPP
#define GLENHOLLOW_TESTS_CLIENT_HANDLER_FIXTURE_HPP

#include "platform/catalog_format.hpp"
#include "platform/client_request_handler.hpp"

#include <optional>

namespace glenhollow
{

inline constexpr std::string_view configuration = R"({"version":7,"routes":[
    {"name":"r-1","host":"a.example","path_prefix":"/x/","service":"s",
     "priority":2,"max_attempts":3,"stretch":1.6,"target_latency_ms":60}],
    "services":[],"limits":{"max_body_bytes":2000}})";

/// Records the calls of the request handler.
class fake_jobs final : public durable_jobs
{
public:
    const queue_catalog& catalog() const override { return queues; }

    std::function<void()> submit(const job_definition& job,
                                 job_reply_handler done) override
    {
        submitted = job;
        done(reply);
        return [this] { ++withdrawn; };
    }

    void cancel(job_id id, job_reply_handler done) override
    {
        cancelled = id;
        done(reply);
    }

    void state(job_id id, job_reply_handler done) override
    {
        asked = id;
        done(reply);
    }

    std::uint32_t pending(const std::string&) const override { return 12; }

    queue_catalog queues;
    job_reply reply{job_outcome::done, job_state::running, {}};
    std::optional<job_definition> submitted;
    std::optional<job_id> cancelled;
    std::optional<job_id> asked;
    int withdrawn = 0;
};

/// A request handler with a fake job service.
struct client_handler_fixture
{
    client_handler_fixture()
    {
        jobs.queues = platform::parse_catalog(configuration).value();
    }

    http_response call(std::string method, std::string target,
                       std::string body = {})
    {
        http_request request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.headers = {{"Host", "a.example"},
                           {"Glenhollow-Timeout-Ms", "1900"}};
        request.body = std::move(body);
        http_response got;
        front.handle(std::move(request),
                     [&got](http_response answer) { got = std::move(answer); });
        return got;
    }

    fake_jobs jobs;
    platform::client_request_handler front{jobs};
};

/// Path of a job.
inline constexpr auto job_path = "/x/5c0e7a21d94b36f8";

} // namespace glenhollow

#endif
