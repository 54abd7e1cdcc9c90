#ifndef GLENHOLLOW_RPC_ASIO_EVENT_PORT_HPP
#define GLENHOLLOW_RPC_ASIO_EVENT_PORT_HPP

#include <boost/asio/io_context.hpp>

#include <kj/async.h>

#include <atomic>

namespace glenhollow
{

/// Lets KJ's event loop sleep in an Asio io_context, so that one thread runs
/// Cap'n Proto RPC and Asio handlers alike.
class asio_event_port final : public kj::EventPort
{
public:
    /// @param io The context to run; it outlives the port.
    explicit asio_event_port(boost::asio::io_context& io) : io_(io) {}

    /// Runs at least one Asio handler.
    /// @return Whether wake() was called since the last call.
    bool wait() override;

    /// Runs the Asio handlers that are ready.
    /// @return Whether wake() was called since the last call.
    bool poll() override;

    /// Makes wait() return; called from any thread.
    void wake() const override;

private:
    boost::asio::io_context& io_;            ///< Runs all handlers.
    mutable std::atomic<bool> woken_{false}; ///< wake() was called.
};

} // namespace glenhollow

#endif
