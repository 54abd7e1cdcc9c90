#include "glenhollow/http/server.hpp"

#include "glenhollow/http/request_head.hpp"
#include "glenhollow/http/server_messages.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <utility>

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

using whole_request = http::request<http::string_body>;

/// Where a listener cannot accept, for want of descriptors say.
constexpr duration accept_pause = milliseconds{50};

/// A body whose length its header does not say counts as this long, and may
/// not be longer.
constexpr std::size_t unsaid_body = 256UL << 10;

/// Of a request that brings no work, and passes all bounds therefore.
constexpr std::size_t question_body = 64UL << 10;

/// Of a refused request, up to which its connection is kept.
constexpr std::size_t dropped_body = 64UL << 10;

constexpr duration drop_time = seconds{2};

/// @return Bytes of the body that are still to come.
std::size_t bytes_to_come(const head_parser& head,
                          const beast::flat_buffer& buffer)
{
    const auto length = head.content_length();
    if (!length)
        return head.chunked() ? unsaid_body : 0;
    const auto whole = static_cast<std::size_t>(*length);
    return whole - std::min(whole, buffer.size());
}

/// @return Bytes that the body takes, as far as the header says.
std::size_t bytes_of_body(const head_parser& head)
{
    const auto length = head.content_length();
    if (!length)
        return head.chunked() ? unsaid_body : 0;
    return static_cast<std::size_t>(*length);
}

/// Waits until the handler has called its responder.
asio::awaitable<http_response> respond(const http_handler& handler,
                                       http_request request)
{
    auto start = [&handler, &request](auto completion)
    {
        using completion_type = decltype(completion);
        auto shared = std::make_shared<completion_type>(std::move(completion));
        auto executor = asio::get_associated_executor(*shared);
        handler(std::move(request),
                [shared, executor](http_response answer)
                {
                    asio::post(executor,
                               [shared, answer = std::move(answer)]() mutable
                               { (*shared)(std::move(answer)); });
                });
    };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>&,
                                            void(http_response)>(start, token);
}

} // namespace

/// A connection whose next request is not read whole.
struct waiting_connection
{
    beast::tcp_stream* stream;
    instant since; ///< Start of the wait.
};

/// What the listener and its connections share.
struct http_server::state : std::enable_shared_from_this<state>
{
    state(asio::io_context& context, const http_server_settings& limits,
          http_handler to)
        : io(context), settings(limits), handler(std::move(to)), acceptor(io)
    {
    }

    asio::io_context& io;              ///< Runs the connections.
    http_server_settings settings;     ///< Limits.
    http_handler handler;              ///< Takes the requests.
    tcp::acceptor acceptor;            ///< Listens.
    std::size_t connections = 0;       ///< Open now.
    std::set<beast::tcp_stream*> idle; ///< Waiting for a request.
    /// Connections whose next request is not read whole, by start of the wait.
    std::map<std::uint64_t, waiting_connection> waiting;
    std::uint64_t waits = 0;   ///< Waits so far.
    std::size_t in_flight = 0; ///< Requests taken, not answered.
    bool stopping = false;     ///< No new connections.
    bool closing = false;      ///< Connections close when answered.

    result<void> listen()
    {
        error_code ec;
        const auto address = asio::ip::make_address(settings.address, ec);
        if (ec)
            return failure{"address " + settings.address +
                           " is not an IP number"};
        acceptor.open(address.is_v4() ? tcp::v4() : tcp::v6(), ec);
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
        if (settings.share_port)
        {
            const int on = 1;
            ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT,
                         &on, sizeof on);
        }
        acceptor.bind(tcp::endpoint(address, settings.port), ec);
        if (!ec)
            acceptor.listen(asio::socket_base::max_listen_connections, ec);
        if (ec)
            return failure{"cannot listen on " + settings.address + ":" +
                           std::to_string(settings.port) + ": " + ec.message()};
        asio::co_spawn(io, accept_all(shared_from_this()), asio::detached);
        return outcome::success();
    }

    /// Without room, closes the connection that has waited for a request for
    /// longest, if that is long: those that keep a connection busy stay.
    /// @return Whether a new connection may be taken.
    bool has_room()
    {
        if (connections < settings.max_connections)
            return true;
        if (waiting.empty())
            return false;
        const auto longest = waiting.begin();
        const auto length = process_clock().now() - longest->second.since;
        if (length < settings.reclaim_after)
            return false;
        longest->second.stream->close();
        waiting.erase(longest);
        return true;
    }

    static asio::awaitable<void> accept_all(std::shared_ptr<state> self)
    {
        while (!self->stopping)
        {
            error_code ec;
            auto socket = co_await self->acceptor.async_accept(
                asio::redirect_error(token, ec));
            if (ec == asio::error::operation_aborted)
                co_return;
            if (ec)
            {
                // To try again at once would take all of the processor.
                asio::steady_timer pause(self->io, accept_pause);
                co_await pause.async_wait(asio::redirect_error(token, ec));
                continue;
            }
            if (!self->has_room())
            {
                if (self->settings.intake)
                    self->settings.intake->refuse(intake_bound::connections);
                continue;
            }
            asio::co_spawn(self->io, serve(self, std::move(socket)),
                           asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<state> self,
                                       tcp::socket socket)
    {
        error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer(self->settings.max_header_bytes);
        ++self->connections;
        bool keep = true;
        while (keep)
            keep = co_await serve_one(*self, stream, buffer);
        --self->connections;
        stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    }

    /// Asks for a place for a request whose body is not read yet. A request
    /// that waits for the link holds nothing but its connection.
    static asio::awaitable<std::optional<intake_refusal>>
    admit(state& self, std::size_t body, std::size_t to_come,
          intake_place& place, std::unique_ptr<link_place>& on_link)
    {
        auto& intake = *self.settings.intake;
        if (to_come != 0)
        {
            if (auto refusal = intake.stands_against(body))
                co_return refusal;
            on_link = intake.want_link(to_come);
            if (!on_link->granted())
                co_await wait_for(self, *on_link);
            if (!on_link->granted())
                co_return intake.refuse(intake_bound::link);
        }
        auto got = intake.admit(body);
        if (const auto* refusal = std::get_if<intake_refusal>(&got))
            co_return *refusal;
        place = std::move(std::get<intake_place>(got));
        co_return std::nullopt;
    }

    /// Waits for a place on the link, as long as its limits say.
    static asio::awaitable<void> wait_for(state& self, link_place& on_link)
    {
        auto& intake = *self.settings.intake;
        asio::steady_timer timer(self.io, intake.settings().link_patience);
        on_link.on_granted([&timer] { timer.cancel(); });
        error_code ec;
        co_await timer.async_wait(asio::redirect_error(token, ec));
        on_link.on_granted(nullptr);
        if (!on_link.granted())
            intake.review_link();
    }

    /// Answers a request of which no more is read than must be dropped.
    /// @return Whether the connection can take another.
    static asio::awaitable<bool> turn_away(state& self,
                                           beast::tcp_stream& stream,
                                           beast::flat_buffer& buffer,
                                           head_parser& head,
                                           intake_refusal refusal)
    {
        error_code ec;
        const bool keep = head.get().keep_alive() && !self.closing &&
                          bytes_of_body(head) <= dropped_body;
        auto message = to_message(turned_away(refusal), keep);
        stream.expires_after(drop_time);
        co_await http::async_write(stream, message,
                                   asio::redirect_error(token, ec));
        if (ec)
            co_return false;
        if (keep)
            co_return co_await drop_body(stream, buffer, head);
        stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        co_await discard_rest(stream);
        co_return false;
    }

    /// Reads a body to its end and keeps nothing of it.
    static asio::awaitable<bool> drop_body(beast::tcp_stream& stream,
                                           beast::flat_buffer& buffer,
                                           head_parser& head)
    {
        std::array<char, 4096> scrap{};
        http::request_parser<http::buffer_body> rest(std::move(head));
        error_code ec;
        while (!ec && !rest.is_done())
        {
            rest.get().body().data = scrap.data();
            rest.get().body().size = scrap.size();
            co_await http::async_read(stream, buffer, rest,
                                      asio::redirect_error(token, ec));
            if (ec == http::error::need_buffer)
                ec = {};
        }
        co_return !ec;
    }

    /// Answers what could not be read as a request.
    static asio::awaitable<bool> refuse_unread(beast::tcp_stream& stream,
                                               error_code why)
    {
        if (why == http::error::end_of_stream || why == asio::error::eof ||
            why == http::error::partial_message ||
            why == beast::error::timeout ||
            why == asio::error::operation_aborted ||
            why == asio::error::connection_reset)
            co_return false;
        error_code ec;
        auto refusal = to_message(refusal_of(why), false);
        co_await http::async_write(stream, refusal,
                                   asio::redirect_error(token, ec));
        // What the caller still sends is read, so that it sees the answer.
        stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        co_await discard_rest(stream);
        co_return false;
    }

    /// Waits for the first byte of a request.
    static asio::awaitable<bool> first_byte(state& self,
                                            beast::tcp_stream& stream,
                                            beast::flat_buffer& buffer)
    {
        // Only this wait may take the idle time.
        error_code ec;
        stream.expires_after(self.settings.idle_timeout);
        self.idle.insert(&stream);
        const std::size_t n = co_await stream.async_read_some(
            buffer.prepare(4096), asio::redirect_error(token, ec));
        self.idle.erase(&stream);
        buffer.commit(n);
        co_return !ec;
    }

    /// Reads a request that is taken in; answers one that is not.
    /// @param place Gets its place among those in hand.
    /// @param keep Whether the connection can take another one.
    /// @return The request, or nothing.
    static asio::awaitable<std::optional<whole_request>>
    read_request(state& self, beast::tcp_stream& stream,
                 beast::flat_buffer& buffer, intake_place& place, bool& keep)
    {
        head_parser head;
        head.body_limit(self.settings.max_body_bytes);
        head.header_limit(self.settings.max_header_bytes);
        stream.expires_after(self.settings.read_timeout);
        auto ec = co_await read_head(stream, buffer, head,
                                     self.settings.max_header_fields);
        if (ec)
        {
            keep = co_await refuse_unread(stream, ec);
            co_return std::nullopt;
        }
        std::unique_ptr<link_place> on_link;
        const bool bounded = self.settings.intake != nullptr;
        const auto bytes = bytes_of_body(head);
        if (bounded && head.get().method() == http::verb::post)
        {
            const auto refusal = co_await admit(
                self, bytes, bytes_to_come(head, buffer), place, on_link);
            if (refusal)
            {
                keep = co_await turn_away(self, stream, buffer, head, *refusal);
                co_return std::nullopt;
            }
        }
        else if (bounded && bytes > question_body)
        {
            keep = co_await refuse_unread(stream, http::error::body_limit);
            co_return std::nullopt;
        }
        http::request_parser<http::string_body> parser(std::move(head));
        if (bounded && parser.chunked())
            parser.body_limit(
                std::min(self.settings.max_body_bytes, unsaid_body));
        co_await http::async_read(stream, buffer, parser,
                                  asio::redirect_error(token, ec));
        if (!ec)
            co_return parser.release();
        place = {};
        on_link.reset();
        keep = co_await refuse_unread(stream, ec);
        co_return std::nullopt;
    }

    /// Answers one request.
    /// @return Whether the connection can take another.
    static asio::awaitable<bool> serve_one(state& self,
                                           beast::tcp_stream& stream,
                                           beast::flat_buffer& buffer)
    {
        error_code ec;
        bool keep = false;
        intake_place place;
        const auto wait = ++self.waits;
        self.waiting.emplace(
            wait, waiting_connection{&stream, process_clock().now()});
        std::optional<whole_request> whole;
        if (buffer.size() != 0 || co_await first_byte(self, stream, buffer))
            whole = co_await read_request(self, stream, buffer, place, keep);
        self.waiting.erase(wait);
        if (!whole)
            co_return keep;
        stream.expires_never();
        ++self.in_flight;
        const bool keep_alive = whole->keep_alive();
        auto request = to_request(*whole);
        whole.reset();
        auto watch = std::make_shared<close_watch>();
        request.on_close = [watch](std::function<void()> told)
        { watch->told = std::move(told); };
        if (buffer.size() == 0)
            watch_for_close(stream.socket(), watch);
        auto answer = co_await respond(self.handler, std::move(request));
        watch->told = nullptr;
        stream.socket().cancel(ec);
        auto message =
            to_message(std::move(answer), keep_alive && !self.closing);
        stream.expires_after(self.settings.read_timeout);
        co_await http::async_write(stream, message,
                                   asio::redirect_error(token, ec));
        --self.in_flight;
        co_return !ec && message.keep_alive();
    }

    /// Who wants to know that a caller has gone.
    struct close_watch
    {
        std::function<void()> told; ///< May be empty.
    };

    /// While a request is in hand its connection says nothing, or closes.
    static void watch_for_close(tcp::socket& socket,
                                const std::shared_ptr<close_watch>& watch)
    {
        socket.async_wait(
            tcp::socket::wait_read,
            [&socket, watch](error_code ec)
            {
                if (ec || !watch->told)
                    return;
                char byte = 0;
                const auto n = ::recv(socket.native_handle(), &byte, 1,
                                      MSG_PEEK | MSG_DONTWAIT);
                const bool open =
                    n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
                if (!open)
                    std::exchange(watch->told, nullptr)();
            });
    }

    /// Reads and drops what is left of a refused request, up to a bound.
    static asio::awaitable<void> discard_rest(beast::tcp_stream& stream)
    {
        constexpr std::size_t most = 16UL << 20;
        std::array<char, 4096> scrap{};
        std::size_t dropped = 0;
        error_code ec;
        stream.expires_after(seconds{2});
        while (!ec && dropped < most)
            dropped += co_await stream.async_read_some(
                asio::buffer(scrap), asio::redirect_error(token, ec));
    }
};

http_server_settings small_server_settings()
{
    http_server_settings out;
    out.max_body_bytes = 64UL << 10;
    out.max_connections = 64;
    return out;
}

http_server::http_server(std::shared_ptr<state> state)
    : state_(std::move(state))
{
}

http_server::~http_server()
{
    stop_accepting();
}

result<std::unique_ptr<http_server>>
http_server::create(asio::io_context& io, const http_server_settings& settings,
                    http_handler handler)
{
    auto shared = std::make_shared<state>(io, settings, std::move(handler));
    BOOST_OUTCOME_TRYV(shared->listen());
    return std::unique_ptr<http_server>(new http_server(std::move(shared)));
}

std::uint16_t http_server::port() const
{
    return state_->acceptor.local_endpoint().port();
}

void http_server::close_after_answers()
{
    state_->closing = true;
}

void http_server::close_idle()
{
    const auto waiting = state_->idle;
    for (auto* stream : waiting)
        stream->cancel();
}

void http_server::stop_accepting()
{
    state_->stopping = true;
    state_->closing = true;
    error_code ignored;
    state_->acceptor.close(ignored);
}

std::size_t http_server::in_flight() const
{
    return state_->in_flight;
}

} // namespace glenhollow
