#include "glenhollow/http/client.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <deque>
#include <sstream>
#include <vector>

namespace glenhollow
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr auto token = asio::use_awaitable;

/// One keep-alive connection.
struct connection
{
    connection(asio::io_context& io, std::uint64_t of) : number(of), stream(io)
    {
    }

    std::uint64_t number;      ///< From 1, of this client alone.
    std::string peer;          ///< Who is at the other end; empty: not told.
    beast::tcp_stream stream;  ///< The socket with its timer.
    beast::flat_buffer buffer; ///< Bytes read ahead.

    /// @return Whether the server has not closed it while it was idle.
    bool is_fresh()
    {
        char byte = 0;
        const auto n = ::recv(stream.socket().native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
};

http::request<http::string_body> to_message(http_request& request,
                                            const host_port& server)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, server.to_string());
    for (const auto& header : request.headers)
        message.set(header.name, header.value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

http_response to_response(http::response<http::string_body>& message)
{
    http_response response;
    response.status = message.result_int();
    for (const auto& field : message)
        response.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    response.content_type = std::string(message[http::field::content_type]);
    response.body = std::move(message.body());
    return response;
}

} // namespace

result<host_port> host_port::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    const std::string shown(text);
    if (colon == std::string_view::npos || colon == 0)
        return failure{"'" + shown + "' is not HOST:PORT"};
    const auto digits = text.substr(colon + 1);
    unsigned port = 0;
    auto [stop, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec != std::errc{} || stop != digits.data() + digits.size() ||
        port == 0 || port > 65535)
        return failure{"the port of '" + shown + "' is not in 1..65535"};
    error_code bad;
    asio::ip::make_address(std::string(text.substr(0, colon)), bad);
    if (bad)
        return failure{"the host of '" + shown + "' is not an IP number"};
    return host_port{std::string(text.substr(0, colon)),
                     static_cast<std::uint16_t>(port)};
}

result<std::vector<host_port>> host_port::parse_list(const std::string& text)
{
    std::vector<host_port> list;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ','))
    {
        BOOST_OUTCOME_TRY(auto one, parse(part));
        list.push_back(one);
    }
    return list;
}

/// What the client and its calls share.
struct http_client::state : std::enable_shared_from_this<state>
{
    /// A call that waits for a connection.
    struct waiting_call
    {
        http_request request; ///< What to send.
        duration timeout{};   ///< Its limit.
        handler done;         ///< Whom to tell.
    };

    state(asio::io_context& context, const http_client_settings& limits)
        : io(context), settings(limits)
    {
    }

    asio::io_context& io;                          ///< Runs the calls.
    http_client_settings settings;                 ///< Limits.
    std::vector<std::unique_ptr<connection>> idle; ///< Ready for a call.
    std::deque<waiting_call> waiting;              ///< No connection yet.
    introduction introduced;       ///< Of new connections; may be empty.
    std::size_t open = 0;          ///< Busy connections.
    std::uint64_t connections = 0; ///< Begun so far.

    void start_next()
    {
        while (!waiting.empty() && open < settings.max_connections)
        {
            auto call = std::move(waiting.front());
            waiting.pop_front();
            ++open;
            asio::co_spawn(io, run(shared_from_this(), std::move(call)),
                           asio::detached);
        }
    }

    /// One that leads to somebody else than is expected is of no use: that
    /// process has ended.
    std::unique_ptr<connection> take_idle(const std::string& expected)
    {
        while (!idle.empty())
        {
            auto last = std::move(idle.back());
            idle.pop_back();
            const bool other = !expected.empty() && !last->peer.empty() &&
                               last->peer != expected;
            if (!other && last->is_fresh())
                return last;
        }
        return nullptr;
    }

    static asio::awaitable<void> run(std::shared_ptr<state> self,
                                     waiting_call call)
    {
        http_result end;
        const auto expected = call.request.expected_peer;
        auto link = self->take_idle(expected);
        if (!link)
        {
            link = std::make_unique<connection>(self->io, ++self->connections);
            end.error = co_await connect(*self, *link);
        }
        bool keep = false;
        if (end.error.empty() && !expected.empty() && link->peer.empty())
            keep = co_await introduce(*self, *link, call.timeout);
        if (end.error.empty() && !expected.empty() && link->peer != expected)
        {
            end.error = "another peer";
            end.other_peer = true;
        }
        if (end.error.empty())
            keep = co_await exchange(*self, *link, call, end);
        if (keep)
            self->idle.push_back(std::move(link));
        --self->open;
        self->start_next();
        call.done(std::move(end));
    }

    /// @return Empty, or why there is no connection.
    static asio::awaitable<std::string> connect(state& self, connection& link)
    {
        error_code ec;
        const auto address =
            asio::ip::make_address(self.settings.server.host, ec);
        if (ec)
            co_return "bad address";
        link.stream.expires_after(self.settings.connect_timeout);
        co_await link.stream.async_connect(
            tcp::endpoint(address, self.settings.server.port),
            asio::redirect_error(token, ec));
        if (ec)
            co_return "connect: " + ec.message();
        link.stream.socket().set_option(tcp::no_delay(true), ec);
        if (!keep_alive(link.stream.socket().native_handle(),
                        self.settings.silence))
            log_change(log_level::warning, "keep_alive_refused",
                       {{"server", self.settings.server.to_string()},
                        {"cause", std::strerror(errno)}});
        co_return std::string{};
    }

    /// Finds out who is at the other end.
    /// @return Whether the connection can be used again.
    static asio::awaitable<bool> introduce(state& self, connection& link,
                                           duration timeout)
    {
        if (!self.introduced.ask)
            co_return false;
        waiting_call call{self.introduced.ask(), timeout, nullptr};
        http_result end;
        const bool keep = co_await exchange(self, link, call, end);
        if (end.answered)
            link.peer = self.introduced.peer(end.response);
        co_return keep && !link.peer.empty();
    }

    /// @return Whether the connection can be used again.
    static asio::awaitable<bool> exchange(state& self, connection& link,
                                          waiting_call& call, http_result& end)
    {
        error_code ec;
        end.link = link.number;
        if (call.request.body_on)
            call.request.body = call.request.body_on(link.number);
        auto message = to_message(call.request, self.settings.server);
        link.stream.expires_after(call.timeout);
        const std::size_t sent = co_await http::async_write(
            link.stream, message, asio::redirect_error(token, ec));
        if (sent > 0)
            end.progress = send_progress::partly_sent;
        if (ec)
        {
            end.error = "send: " + ec.message();
            co_return false;
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(self.settings.max_body_bytes);
        co_await http::async_read(link.stream, link.buffer, parser,
                                  asio::redirect_error(token, ec));
        if (ec)
        {
            end.timed_out = ec == beast::error::timeout;
            end.error = "receive: " + ec.message();
            co_return false;
        }
        link.stream.expires_never();
        end.answered = true;
        const bool keep = parser.get().keep_alive();
        end.response = to_response(parser.get());
        co_return keep;
    }
};

http_client::http_client(std::shared_ptr<state> state)
    : state_(std::move(state))
{
}

http_client::~http_client() = default;

std::unique_ptr<http_client>
http_client::create(asio::io_context& io, const http_client_settings& settings)
{
    return std::unique_ptr<http_client>(
        new http_client(std::make_shared<state>(io, settings)));
}

void http_client::introduce(introduction by)
{
    state_->introduced = std::move(by);
}

void http_client::send(http_request request, handler done)
{
    send(std::move(request), state_->settings.call_timeout, std::move(done));
}

void http_client::send(http_request request, duration timeout, handler done)
{
    state_->waiting.push_back({std::move(request), timeout, std::move(done)});
    state_->start_next();
}

} // namespace glenhollow
