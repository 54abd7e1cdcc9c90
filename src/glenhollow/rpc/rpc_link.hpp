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
#include <optional>

namespace glenhollow
{

/// Keeps one RPC connection to one address, and makes it again when it is
/// lost. Runs inside an rpc_loop.
class rpc_link final
{
public:
    /// @param io Runs it.
    /// @param clock Outlives the link.
    /// @param where The address.
    /// @param settings Limits.
    /// @param on_up Told the server's interface.
    /// @param on_down Told that the connection, or an attempt, has failed.
    rpc_link(boost::asio::io_context& io, const clock_source& clock,
             host_port where, const rpc_link_settings& settings,
             std::function<void(capnp::Capability::Client)> on_up,
             std::function<void()> on_down);
    ~rpc_link();

    /// Connects when that is due.
    void tick();

    /// @return Whether tick() would begin an attempt to connect now.
    bool due() const;

    /// Drops the connection, to be made again later.
    void drop();

    /// @return Whether there is a connection.
    bool up() const;

    /// @return Whether nothing listened there at the last attempt.
    bool refused() const;

    /// @return When the last attempt began, if nothing listened there then.
    std::optional<instant> refused_at() const;

    /// @param call Dies with the connection.
    void add(kj::Promise<void> call);

    /// @return The address.
    const host_port& where() const;

private:
    struct state;
    std::shared_ptr<state> state_; ///< Shared with attempts under way.
};

} // namespace glenhollow

#endif
