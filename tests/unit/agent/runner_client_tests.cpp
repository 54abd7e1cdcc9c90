#include "glenhollow/agent/runner_client.hpp"

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

/// A server that answers one request with given bytes and then closes the
/// connection or keeps it open.
struct raw_runner
{
    asio::io_context io{1};
    tcp::acceptor acceptor{
        io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::shared_ptr<tcp::socket> socket;
    std::string input;

    runner_response exchange(const std::string& answer, bool keep_open = false,
                             duration timeout = seconds{10})
    {
        acceptor.async_accept(
            [this, answer, keep_open](auto, tcp::socket accepted)
            {
                socket = std::make_shared<tcp::socket>(std::move(accepted));
                asio::async_read_until(
                    *socket, asio::dynamic_buffer(input), "\r\n\r\n",
                    [this, answer, keep_open](auto, std::size_t)
                    {
                        boost::system::error_code ignored;
                        asio::write(*socket, asio::buffer(answer), ignored);
                        if (!keep_open)
                            socket->close();
                    });
            });
        http_client_settings settings;
        settings.server = {"127.0.0.1", acceptor.local_endpoint().port()};
        settings.call_timeout = timeout;
        return call(settings);
    }

    runner_response call(const http_client_settings& settings)
    {
        const auto caller = http_runner_client::create(io, settings);
        std::optional<runner_response> received;
        caller->call({"s/0", "desk", "", "{}"}, [&](runner_response answer)
                     { received = std::move(answer); });
        while (!received)
            io.run_one();
        return *received;
    }
};

} // namespace

TEST_CASE("a complete 200 response yields the result")
{
    raw_runner runner;
    const auto answer =
        runner.exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    REQUIRE(answer.end.what == verdict::ran);
    REQUIRE(answer.body == "{}");
    REQUIRE(runner.input.find("Glenhollow-Task: s/0") != std::string::npos);
    REQUIRE(runner.input.find("Glenhollow-Team: desk") != std::string::npos);
}

TEST_CASE("a truncated response yields may_have_run")
{
    raw_runner runner;
    const auto answer = runner.exchange(
        "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"half\":");
    REQUIRE(answer.end.what == verdict::may_have_run);
    REQUIRE(answer.end.why == reason::runner_broken);
}

TEST_CASE("a connection closed after the request yields may_have_run")
{
    raw_runner runner;
    REQUIRE(runner.exchange("").end.what == verdict::may_have_run);
}

TEST_CASE("a response timeout yields may_have_run")
{
    raw_runner runner;
    const auto answer = runner.exchange("", true, milliseconds{50});
    REQUIRE(answer.end.what == verdict::may_have_run);
    REQUIRE(answer.end.why == reason::runner_timeout);
}

TEST_CASE("a refused connection yields not_run")
{
    raw_runner runner;
    http_client_settings settings;
    settings.server = {"127.0.0.1", runner.acceptor.local_endpoint().port()};
    runner.acceptor.close();
    const auto answer = runner.call(settings);
    REQUIRE(answer.end.what == verdict::not_run);
    REQUIRE(answer.end.why == reason::runner_unreachable);
}

TEST_CASE("a 503 response yields not_run only with the verdict header")
{
    raw_runner runner;
    REQUIRE(runner
                .exchange("HTTP/1.1 503 No\r\nGlenhollow-Verdict: "
                          "not_run\r\nContent-Length: 0\r\n\r\n")
                .end.what == verdict::not_run);
    raw_runner other;
    REQUIRE(other.exchange("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
                .end.what == verdict::may_have_run);
}

TEST_CASE("a result that is not JSON is encoded as a JSON string")
{
    raw_runner runner;
    REQUIRE(runner.exchange("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
                .body == "\"abc\"");
}
