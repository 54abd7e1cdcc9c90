#ifndef GLENHOLLOW_HTTP_SERVER_HPP
#define GLENHOLLOW_HTTP_SERVER_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/result.hpp"
#include "glenhollow/http/intake_limits.hpp"
#include "glenhollow/http/message.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace glenhollow
{

/// Limits of an HTTP server.
struct http_server_settings
{
    std::string address = "127.0.0.1";      ///< Where to listen.
    std::uint16_t port = 0;                 ///< 0: the kernel picks one.
    bool share_port = false;                ///< Several listeners, one port.
    std::size_t max_body_bytes = 8UL << 20; ///< Larger bodies get 413.
    /// Limit of a request's header, and of the header and the trailers of a
    /// chunk; larger ones get 431.
    std::uint32_t max_header_bytes = 16U << 10;
    duration read_timeout = seconds{30};  ///< For one whole request.
    duration idle_timeout = seconds{120}; ///< Between requests.
    std::size_t max_header_fields = 100;  ///< More fields get 431.
    /// Limit of open connections. A new one beyond it replaces the one that has
    /// waited longest for a request, or is closed at once.
    std::size_t max_connections = 4096;
    /// Wait for a request after which a connection may be replaced.
    duration reclaim_after = seconds{1};
    std::shared_ptr<intake_limits> intake; ///< Asked before the body of a POST
                                           ///< is read; null: no such bounds.
};

/// @return Limits of a server for pages and small messages, which a few other
/// processes call.
http_server_settings small_server_settings();

/// Called once with the answer, on any thread.
using http_responder = std::function<void(http_response)>;

/// Takes a request and later calls the responder.
using http_handler = std::function<void(http_request, http_responder)>;

/// An HTTP/1.1 server with keep-alive connections on one io_context.
class http_server final
{
public:
    /// @param io Runs the connections.
    /// @param settings Limits.
    /// @param handler Takes each request, on io's thread.
    /// @return A listening server, or why it cannot listen.
    static result<std::unique_ptr<http_server>>
    create(boost::asio::io_context& io, const http_server_settings& settings,
           http_handler handler);
    ~http_server();

    /// @return The port it listens on.
    std::uint16_t port() const;

    /// Makes each connection close after its next answer.
    void close_after_answers();

    /// Closes the connections that wait for a request.
    void close_idle();

    /// Stops taking connections; requests in flight are answered, and their
    /// connections close after the answer.
    void stop_accepting();

    /// @return Requests taken and not yet answered in full.
    std::size_t in_flight() const;

private:
    struct state;
    explicit http_server(std::shared_ptr<state> state);
    std::shared_ptr<state> state_; ///< Shared with the connections.
};

} // namespace glenhollow

#endif
