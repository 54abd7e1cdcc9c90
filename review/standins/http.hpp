// Small HTTP server and client for the stand-ins of the review.
#ifndef REVIEW_HTTP_HPP
#define REVIEW_HTTP_HPP

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace review
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

inline constexpr auto token = asio::use_awaitable;

/// @return Milliseconds of a steady clock since the start of the test.
inline double now_ms()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - start)
        .count();
}

inline asio::awaitable<void> sleep_ms(double length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(
        std::chrono::duration_cast<asio::steady_timer::duration>(
            std::chrono::duration<double, std::milli>(length)));
    error_code ec;
    co_await timer.async_wait(asio::redirect_error(token, ec));
}

struct request
{
    std::string method;
    std::string target;
    std::string body;
    std::string expected_instance; ///< Glenhollow-Expect-Instance.
};

struct response
{
    unsigned status = 200;
    json::value body = json::object();
    bool silent = false; ///< No answer is sent on this connection any more.
};

using handler = std::function<asio::awaitable<response>(request)>;

/// An HTTP server that can be closed like a process that ends: it refuses
/// connections and drops those that are open.
class server
{
public:
    server(asio::io_context& io, tcp::endpoint where, handler to)
        : io_(io), where_(std::move(where)), handler_(std::move(to))
    {
    }

    void open()
    {
        acceptor_ = std::make_shared<tcp::acceptor>(io_);
        acceptor_->open(where_.protocol());
        acceptor_->set_option(tcp::acceptor::reuse_address(true));
        acceptor_->bind(where_);
        acceptor_->listen();
        asio::co_spawn(io_, accept(acceptor_), asio::detached);
    }

    void close()
    {
        error_code ec;
        if (acceptor_)
            acceptor_->close(ec);
        acceptor_.reset();
        for (const auto& socket : std::exchange(sockets_, {}))
        {
            socket->set_option(asio::socket_base::linger(true, 0), ec);
            socket->close(ec);
        }
    }

private:
    asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor)
    {
        for (;;)
        {
            error_code ec;
            auto socket =
                std::make_shared<tcp::socket>(co_await acceptor->async_accept(
                    asio::redirect_error(token, ec)));
            if (ec)
                co_return;
            socket->set_option(tcp::no_delay(true), ec);
            sockets_.insert(socket);
            asio::co_spawn(io_, serve(socket), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        beast::flat_buffer buffer;
        bool lost = false; // Once an answer is lost, no other one follows.
        for (;;)
        {
            error_code ec;
            http::request_parser<http::string_body> parser;
            parser.body_limit(8U << 20U);
            co_await http::async_read(*socket, buffer, parser,
                                      asio::redirect_error(token, ec));
            if (ec)
                break;
            if (lost)
                continue;
            const auto& got = parser.get();
            request asked{std::string(got.method_string()),
                          std::string(got.target()), got.body(),
                          std::string(got["Glenhollow-Expect-Instance"])};
            const auto answer = co_await handler_(std::move(asked));
            lost = answer.silent;
            if (lost)
                continue;
            http::response<http::string_body> out;
            out.version(11);
            out.result(answer.status);
            out.set(http::field::content_type, "application/json");
            out.body() = json::serialize(answer.body);
            out.keep_alive(got.keep_alive());
            out.prepare_payload();
            co_await http::async_write(*socket, out,
                                       asio::redirect_error(token, ec));
            if (ec || !out.keep_alive())
                break;
        }
        sockets_.erase(socket);
    }

    asio::io_context& io_;
    tcp::endpoint where_;
    handler handler_;
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::set<std::shared_ptr<tcp::socket>> sockets_;
};

struct answer
{
    unsigned status = 0; ///< 0: no answer.
    std::string body;
};

/// Sends one request on a connection of its own.
inline asio::awaitable<answer> call(tcp::endpoint where, std::string method,
                                    std::string target, std::string host,
                                    std::string body, double timeout_ms)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    error_code ec;
    stream.expires_after(milliseconds(static_cast<long>(timeout_ms)));
    co_await stream.async_connect(where, asio::redirect_error(token, ec));
    if (ec)
        co_return answer{};
    stream.socket().set_option(tcp::no_delay(true), ec);
    http::request<http::string_body> out;
    out.version(11);
    out.method_string(method);
    out.target(target);
    out.set(http::field::host, host);
    if (!body.empty())
        out.set(http::field::content_type, "application/json");
    out.set("Glenhollow-Timeout-Ms",
            std::to_string(static_cast<long>(timeout_ms)));
    out.body() = std::move(body);
    out.prepare_payload();
    co_await http::async_write(stream, out, asio::redirect_error(token, ec));
    if (ec)
        co_return answer{};
    beast::flat_buffer buffer;
    http::response<http::string_body> in;
    co_await http::async_read(stream, buffer, in,
                              asio::redirect_error(token, ec));
    if (ec)
        co_return answer{};
    co_return answer{in.result_int(), in.body()};
}

inline json::object parse_object(const std::string& text)
{
    error_code ec;
    auto value = json::parse(text, ec);
    if (ec || !value.is_object())
        return {};
    return value.as_object();
}

inline std::int64_t whole(const json::object& from, const char* name)
{
    const auto* value = from.if_contains(name);
    return value != nullptr && value->is_number()
               ? value->to_number<std::int64_t>()
               : 0;
}

inline std::string text(const json::object& from, const char* name)
{
    const auto* value = from.if_contains(name);
    return value != nullptr && value->is_string()
               ? std::string(value->as_string())
               : std::string();
}

} // namespace review

#endif
