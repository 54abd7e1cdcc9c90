#include "glenhollow/agent/runner_caller.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <optional>

using namespace glenhollow;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// A server that takes one request and answers with given bytes, or hangs up.
struct raw_runner
{
    asio::io_context io{1};
    tcp::acceptor acceptor{
        io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::shared_ptr<tcp::socket> socket;
    std::string input;

    runner_answer ask(const std::string& answer, bool hang = false,
                      duration timeout = seconds{10})
    {
        acceptor.async_accept(
            [this, answer, hang](auto, tcp::socket accepted)
            {
                socket = std::make_shared<tcp::socket>(std::move(accepted));
                asio::async_read_until(
                    *socket, asio::dynamic_buffer(input), "\r\n\r\n",
                    [this, answer, hang](auto, std::size_t)
                    {
                        boost::system::error_code ignored;
                        asio::write(*socket, asio::buffer(answer), ignored);
                        if (!hang)
                            socket->close();
                    });
            });
        http_client_settings settings;
        settings.server = {"127.0.0.1", acceptor.local_endpoint().port()};
        settings.call_timeout = timeout;
        return call(settings);
    }

    runner_answer call(const http_client_settings& settings)
    {
        const auto caller = http_runner_caller::create(io, settings);
        std::optional<runner_answer> got;
        caller->call({"s/0", "desk", "", "{}"},
                     [&](runner_answer answer) { got = std::move(answer); });
        while (!got)
            io.run_one();
        return *got;
    }
};

} // namespace

TEST_CASE("a whole 200 answer is the result")
{
    raw_runner runner;
    const auto answer =
        runner.ask("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    REQUIRE(answer.end.what == verdict::ran);
    REQUIRE(answer.body == "{}");
    REQUIRE(runner.input.find("Glenhollow-Task: s/0") != std::string::npos);
    REQUIRE(runner.input.find("Glenhollow-Team: desk") != std::string::npos);
}

TEST_CASE("half an answer may have run")
{
    raw_runner runner;
    const auto answer =
        runner.ask("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"half\":");
    REQUIRE(answer.end.what == verdict::may_have_run);
    REQUIRE(answer.end.why == reason::runner_broken);
}

TEST_CASE("a connection closed after the request may have run")
{
    raw_runner runner;
    REQUIRE(runner.ask("").end.what == verdict::may_have_run);
}

TEST_CASE("a runner that hangs may have run")
{
    raw_runner runner;
    const auto answer = runner.ask("", true, milliseconds{50});
    REQUIRE(answer.end.what == verdict::may_have_run);
    REQUIRE(answer.end.why == reason::runner_timeout);
}

TEST_CASE("a runner that takes no connection did not run")
{
    raw_runner runner;
    http_client_settings settings;
    settings.server = {"127.0.0.1", runner.acceptor.local_endpoint().port()};
    runner.acceptor.close();
    const auto answer = runner.call(settings);
    REQUIRE(answer.end.what == verdict::not_run);
    REQUIRE(answer.end.why == reason::runner_unreachable);
}

TEST_CASE("503 says not_run only with its header")
{
    raw_runner runner;
    REQUIRE(runner
                .ask("HTTP/1.1 503 No\r\nGlenhollow-Verdict: "
                     "not_run\r\nContent-Length: 0\r\n\r\n")
                .end.what == verdict::not_run);
    raw_runner other;
    REQUIRE(
        other.ask("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").end.what ==
        verdict::may_have_run);
}

TEST_CASE("a result that is not JSON travels as a JSON string")
{
    raw_runner runner;
    REQUIRE(
        runner.ask("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc").body ==
        "\"abc\"");
}
