#ifndef GLENHOLLOW_RPC_RPC_LISTENER_HPP
#define GLENHOLLOW_RPC_RPC_LISTENER_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/result.hpp"
#include "glenhollow/rpc/asio_stream.hpp"
#include "glenhollow/rpc/rpc_loop.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <capnp/rpc-twoparty.h>

#include <cstdint>
#include <memory>
#include <string>

namespace glenhollow
{

/// Limits of an RPC listener.
struct rpc_listener_settings
{
    /// Limit of open connections; 0: a quarter of the descriptors that the
    /// process may open. A new connection beyond it replaces the oldest one
    /// that has sent nothing, or is closed at once.
    std::size_t max_connections = 0;
    /// Age from which a connection that has sent nothing may be replaced.
    duration reclaim_after = seconds{1};
    std::size_t max_message_bytes = 8UL << 20; ///< Longer ones end their link.
    large_reads_settings large_messages;       ///< Messages that are arriving.
};

/// Listens for Cap'n Proto RPC connections on one io_context.
class rpc_listener final
{
public:
    /// Binds and listens; connections are accepted after serve().
    /// @param io The context of the rpc_loop that runs the connections.
    /// @param address IP address to listen on.
    /// @param port Port to listen on; 0 lets the kernel pick one.
    /// @return The listener, or the reason why it cannot listen.
    static result<std::unique_ptr<rpc_listener>>
    create(boost::asio::io_context& io, const std::string& address,
           std::uint16_t port, const rpc_listener_settings& settings = {});
    ~rpc_listener();

    /// Starts to accept connections. Must be called inside the rpc_loop.
    /// @param bootstrap The interface offered to each connection.
    void serve(capnp::Capability::Client bootstrap);

    /// Stops listening and closes all connections. Must be called inside the
    /// rpc_loop.
    void close();

    /// @return The bound port.
    std::uint16_t port() const { return port_; }

    /// Adds the traffic counters to a metrics page.
    void collect(metric_page& page) const;

private:
    struct connection;

    rpc_listener(boost::asio::io_context& io,
                 const rpc_listener_settings& settings);
    void accept();
    void accept_later();
    bool has_room();
    void add(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& io_;
    rpc_listener_settings settings_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer pause_; ///< After a failure to accept.
    std::uint16_t port_ = 0;          ///< The bound port.
    stream_stats stats_;              ///< Traffic of all connections.
    std::uint64_t refused_ = 0;       ///< Connections closed for want of room.
    large_reads large_reads_;         ///< Messages that are arriving.
    capnp::Capability::Client bootstrap_; ///< Offered to each connection.
    std::uint64_t last_ = 0;              ///< Number of the latest connection.
    /// Open connections, the oldest first.
    std::map<std::uint64_t, std::unique_ptr<connection>> connections_;
    /// Cleared by close() and the destructor; deferred work checks it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    /// Watches their ends; null unless serving.
    std::unique_ptr<background_tasks> ends_;
};

} // namespace glenhollow

#endif
