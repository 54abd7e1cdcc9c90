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

/// The client's end of one RPC connection. Calls end when it is destroyed.
class rpc_connection final
{
public:
    /// @param socket A connected socket.
    /// @param bytes Counters to add to; outlives the connection.
    rpc_connection(boost::asio::ip::tcp::socket socket, stream_stats& stats)
        : stream_(kj::heap<asio_stream>(std::move(socket), stats)),
          client_(kj::heap<capnp::TwoPartyClient>(*stream_))
    {
    }

    /// @return Fulfilled when the connection is gone.
    kj::Promise<void> on_disconnect() { return client_->onDisconnect(); }

    /// @return The interface that the server offers.
    capnp::Capability::Client bootstrap() { return client_->bootstrap(); }

private:
    kj::Own<asio_stream> stream_;           ///< The socket.
    kj::Own<capnp::TwoPartyClient> client_; ///< The RPC system.
};

/// How an attempt to connect ended.
struct connect_result
{
    std::optional<boost::asio::ip::tcp::socket> socket; ///< When connected.
    bool refused = false; ///< The machine is there and nothing listens.
};

/// Opens a TCP connection.
/// @param io Runs it.
/// @param where The address.
/// @param done Told the end.
void connect_rpc(boost::asio::io_context& io, const host_port& where,
                 std::function<void(connect_result)> callback);

} // namespace glenhollow

#endif
