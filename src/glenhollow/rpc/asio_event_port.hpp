#ifndef GLENHOLLOW_RPC_ASIO_EVENT_PORT_HPP
#define GLENHOLLOW_RPC_ASIO_EVENT_PORT_HPP

#include <boost/asio/io_context.hpp>

#include <kj/async.h>

#include <atomic>

namespace glenhollow
{

/// Runs the KJ event loop on top of an Asio io_context, so that one thread
/// serves both Cap'n Proto RPC and Asio handlers.
class asio_event_port final : public kj::EventPort
{
public:
    /// @param io The context to run; must outlive the port.
    explicit asio_event_port(boost::asio::io_context& io) : io_(io) {}

    /// Blocks until at least one Asio handler has run.
    /// @return Whether wake() was called since the last call.
    bool wait() override;

    /// Runs some of the Asio handlers that are ready, without blocking.
    /// @return Whether wake() was called since the last call.
    bool poll() override;

    /// Makes wait() return. Thread-safe.
    void wake() const override;

private:
    boost::asio::io_context& io_;
    mutable std::atomic<bool> woken_{
        false}; ///< Set by wake(), cleared by wait() and poll().
};

} // namespace glenhollow

#endif
