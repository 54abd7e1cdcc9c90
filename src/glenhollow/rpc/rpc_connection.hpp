#ifndef GLENHOLLOW_RPC_RPC_CONNECTION_HPP
#define GLENHOLLOW_RPC_RPC_CONNECTION_HPP

#include "glenhollow/http/client.hpp"
#include "glenhollow/rpc/asio_stream.hpp"
#include "glenhollow/rpc/rpc_loop.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <capnp/rpc-twoparty.h>

#include <functional>
#include <optional>

namespace glenhollow
{

/// Client side of one RPC connection. Its destruction cancels pending calls.
class rpc_connection final
{
public:
    /// @param socket A connected socket.
    /// @param stats Counters to add to; must outlive the connection.
    rpc_connection(boost::asio::ip::tcp::socket socket, stream_stats& stats)
        : stream_(kj::heap<asio_stream>(std::move(socket), stats)),
          client_(kj::heap<capnp::TwoPartyClient>(*stream_))
    {
    }

    /// @return A promise that resolves when the connection is lost.
    kj::Promise<void> on_disconnect() { return client_->onDisconnect(); }

    /// @return The bootstrap interface of the server.
    capnp::Capability::Client bootstrap() { return client_->bootstrap(); }

private:
    kj::Own<asio_stream> stream_;
    kj::Own<capnp::TwoPartyClient> client_;
};

/// Result of a connection attempt.
struct connect_result
{
    std::optional<boost::asio::ip::tcp::socket>
        socket;           ///< The connected socket, absent on failure.
    bool refused = false; ///< The connection was refused, by the VM or on the
                          ///< way to it.
};

/// Opens a TCP connection asynchronously; the attempt fails after a timeout.
/// @param where Address and port of the server; the host is an IP address.
/// @param callback Called once with the result.
void connect_rpc(boost::asio::io_context& io, const host_port& where,
                 std::function<void(connect_result)> callback);

} // namespace glenhollow

#endif
