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
    /// @param io Runs the connections, inside an rpc_loop.
    /// @param address Where to listen, IP number.
    /// @param port 0: the kernel picks one.
    /// @return A listener that takes connections after serve(), or why not.
    static result<std::unique_ptr<rpc_listener>>
    create(boost::asio::io_context& io, const std::string& address,
           std::uint16_t port);

    /// Starts to take connections; called inside the rpc_loop.
    /// @param bootstrap The interface offered to each connection.
    void serve(capnp::Capability::Client bootstrap);

    /// Ends all connections; called inside the rpc_loop.
    void close();

    /// @return The port it listens on.
    std::uint16_t port() const { return port_; }

    /// @param page Gets the bytes that passed.
    void collect(metric_page& page) const;

private:
    explicit rpc_listener(boost::asio::io_context& io) : acceptor_(io) {}
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;       ///< Listens.
    std::uint16_t port_ = 0;                        ///< Its port.
    stream_stats stats_;                            ///< Of all connections.
    std::unique_ptr<capnp::TwoPartyServer> server_; ///< The connections.
};

} // namespace glenhollow

#endif
