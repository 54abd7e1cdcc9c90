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

/// A task as the runner gets it.
struct runner_request
{
    std::string task;        ///< `<submission>/<n>`.
    std::string team;        ///< Whose it is.
    std::string traceparent; ///< W3C trace context, may be empty.
    std::string payload;     ///< JSON text.
};

/// How a task ended at the runner.
struct runner_response
{
    outcome_of_task end; ///< Whether it ran, and why not.
    std::string body;    ///< The result, JSON text, when it ran.
};

/// Hands tasks to the runner beside the agent; faked in tests.
class runner_client
{
public:
    /// Called once with the end of the task.
    using handler = std::function<void(runner_response)>;

    virtual ~runner_client() = default;

    /// @param call The task.
    /// @param done Called when it has ended or nobody can say.
    virtual void call(runner_request call, handler done) = 0;

    /// @param done Told whether the runner takes connections.
    virtual void probe(std::function<void(bool)> done) = 0;
};

/// Judges the end of an HTTP call to a runner.
/// @param end What the HTTP client saw.
/// @return The verdict with its reason, and the result when it ran.
runner_response classify_result(http_result end);

/// Calls the runner over HTTP on loopback.
class http_runner_client final : public runner_client
{
public:
    /// @param io Runs the calls.
    /// @param settings The runner's address, connections and time limit.
    /// @return A caller; it connects when first used.
    static std::unique_ptr<http_runner_client>
    create(boost::asio::io_context& io, const http_client_settings& settings);

    void call(runner_request call, handler done) override;
    void probe(std::function<void(bool)> done) override;

private:
    http_runner_client(boost::asio::io_context& io,
                       const http_client_settings& settings);

    boost::asio::io_context& io_;         ///< Runs the calls.
    host_port runner_;                    ///< Where the runner listens.
    std::unique_ptr<http_client> client_; ///< Its connections.
};

} // namespace glenhollow

#endif
