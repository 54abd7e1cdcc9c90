#ifndef GLENHOLLOW_RPC_RPC_LINK_HPP
#define GLENHOLLOW_RPC_RPC_LINK_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/http/client.hpp"
#include "glenhollow/rpc/asio_stream.hpp"
#include "glenhollow/rpc/link_backoff.hpp"
#include "glenhollow/rpc/rpc_connection.hpp"
#include "glenhollow/rpc/rpc_loop.hpp"

#include <boost/asio/io_context.hpp>
#include <capnp/capability.h>

#include <functional>
#include <memory>

namespace glenhollow
{

/// Maintains an RPC connection to one address and reconnects with backoff after
/// a failure. Must be used inside an rpc_loop.
class rpc_link final
{
public:
    /// @param clock Time source of the backoff; must outlive the link.
    /// @param where Address and port of the server.
    /// @param on_up Called with the server's bootstrap interface after each
    /// successful connection.
    /// @param on_down Called after a lost connection, a failed attempt or
    /// drop().
    rpc_link(boost::asio::io_context& io, const clock_source& clock,
             host_port where, const rpc_link_settings& settings,
             std::function<void(capnp::Capability::Client)> on_up,
             std::function<void()> on_down);
    ~rpc_link();

    /// Starts a connection attempt if one is due.
    void tick();

    /// @return Whether tick() would start a connection attempt now.
    bool due() const;

    /// Closes the connection or abandons the pending attempt, and calls
    /// on_down. The link reconnects after the backoff.
    void drop();

    /// @return Whether the link is connected.
    bool up() const;

    /// @return Whether the link is down and its last completed attempt was
    /// refused.
    bool refused() const;

    /// Runs a call in the background until the connection ends; the call is
    /// cancelled then, or at once when the link is down.
    void add(kj::Promise<void> call);

    const host_port& where() const;

private:
    struct state;
    std::shared_ptr<state> state_; ///< Shared with pending connection attempts.
};

} // namespace glenhollow

#endif
