#ifndef GLENHOLLOW_HTTP_CLIENT_HPP
#define GLENHOLLOW_HTTP_CLIENT_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/result.hpp"
#include "glenhollow/http/keep_alive.hpp"
#include "glenhollow/http/message.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace glenhollow
{

/// An address by IP number.
struct host_port
{
    std::string host;       ///< IP number.
    std::uint16_t port = 0; ///< TCP port.

    /// @param text HOST:PORT.
    /// @return The address, or what is wrong with the text.
    static result<host_port> parse(std::string_view text);

    /// @param text HOST:PORT[,HOST:PORT...], may be empty.
    /// @return The addresses, or what is wrong with one of them.
    static result<std::vector<host_port>> parse_list(const std::string& text);

    /// @return HOST:PORT.
    std::string to_string() const { return host + ":" + std::to_string(port); }

    bool operator==(const host_port&) const = default;
};

/// Limits of a client.
struct http_client_settings
{
    host_port server;                        ///< Whom to call.
    std::size_t max_connections = 64;        ///< Open at once; more calls wait.
    duration connect_timeout = seconds{2};   ///< To get a connection.
    duration call_timeout = seconds{60};     ///< From first byte to answer.
    std::size_t max_body_bytes = 64UL << 20; ///< Larger answers fail.
    keep_alive_settings silence;             ///< Of connections.
};

/// Calls one HTTP/1.1 server over keep-alive connections, on one io_context.
class http_client final
{
public:
    /// Called once with the end of a call.
    using handler = std::function<void(http_result)>;

    /// @param io Runs the calls.
    /// @param settings Limits and the server.
    /// @return A client; it connects when first used.
    static std::unique_ptr<http_client>
    create(boost::asio::io_context& io, const http_client_settings& settings);
    ~http_client();

    /// What tells who is at the other end of a connection, for as long as it
    /// lasts: several processes may listen at one address in turn, while a
    /// connection ends with its process.
    struct introduction
    {
        std::function<http_request()> ask; ///< Makes the first call on a new
                                           ///< connection, where a request
                                           ///< expects somebody.
        std::function<std::string(const http_response&)>
            peer; ///< Who answered it; empty: can't be told.
    };

    /// @param by Used for requests that expect somebody.
    void introduce(introduction by);

    /// @param request What to send.
    /// @param done Called on io's thread.
    void send(http_request request, handler done);

    /// Sends with a time limit of its own.
    /// @param request What to send.
    /// @param timeout From first byte to answer.
    /// @param done Called on io's thread.
    void send(http_request request, duration timeout, handler done);

private:
    struct state;
    explicit http_client(std::shared_ptr<state> state);
    std::shared_ptr<state> state_; ///< Shared with calls in flight.
};

} // namespace glenhollow

#endif
