#ifndef GLENHOLLOW_AGENT_RUNNER_CLIENT_HPP
#define GLENHOLLOW_AGENT_RUNNER_CLIENT_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/verdict.hpp"
#include "glenhollow/http/client.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace glenhollow
{

/// A task to be sent to the backend server.
struct runner_request
{
    std::string task;        ///< Task name, `<submission>/<n>`.
    std::string team;        ///< Client account that owns the task.
    std::string traceparent; ///< W3C trace context; may be empty.
    std::string payload;     ///< Input of the task, JSON text.
};

/// Outcome of a task that was sent to the backend server.
struct runner_response
{
    outcome_of_task end; ///< Verdict and the reason of a failure.
    std::string body;    ///< Result as JSON text if the task ran.
};

/// Sends tasks to the backend server beside the agent; tests use a fake.
class runner_client
{
public:
    /// Called exactly once with the outcome of the task.
    using handler = std::function<void(runner_response)>;

    virtual ~runner_client() = default;

    /// Sends a task. Calls the handler also if the outcome is unknown.
    virtual void call(runner_request request, handler done) = 0;

    /// Tests whether the backend server accepts connections.
    /// @param done Called with true if it does.
    virtual void probe(std::function<void(bool)> done) = 0;
};

/// Derives a task's verdict from the result of the HTTP call. A call without a
/// response counts as may_have_run if any byte of the request may have left.
/// @param call_result Result of the HTTP call; its response body is moved from.
/// @return The verdict with its reason, and the result if the task ran.
runner_response classify_result(http_result call_result);

/// Calls the backend server over HTTP.
class http_runner_client final : public runner_client
{
public:
    /// @param io Runs the calls; must outlive the client.
    /// @param settings Address, connection limit and timeouts.
    /// @return A client; it connects on first use.
    static std::unique_ptr<http_runner_client>
    create(boost::asio::io_context& io, const http_client_settings& settings);

    void call(runner_request request, handler done) override;
    void probe(std::function<void(bool)> done) override;

private:
    http_runner_client(boost::asio::io_context& io,
                       const http_client_settings& settings);

    boost::asio::io_context& io_;
    host_port runner_; ///< Address of the backend server.
    std::unique_ptr<http_client> client_;
};

} // namespace glenhollow

#endif
