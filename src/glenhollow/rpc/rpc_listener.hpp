#ifndef GLENHOLLOW_RPC_RPC_LISTENER_HPP
#define GLENHOLLOW_RPC_RPC_LISTENER_HPP

#include "glenhollow/core/result.hpp"
#include "glenhollow/rpc/asio_stream.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <capnp/rpc-twoparty.h>

#include <cstdint>
#include <memory>
#include <string>

namespace glenhollow
{

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
           std::uint16_t port);

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
    explicit rpc_listener(boost::asio::io_context& io) : acceptor_(io) {}
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0; ///< The bound port.
    stream_stats stats_;     ///< Traffic of all connections.
    std::unique_ptr<capnp::TwoPartyServer>
        server_; ///< Owns the connections; null unless serving.
};

} // namespace glenhollow

#endif
