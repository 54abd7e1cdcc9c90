#ifndef GLENHOLLOW_RPC_RPC_LOOP_HPP
#define GLENHOLLOW_RPC_RPC_LOOP_HPP

#include <boost/asio/io_context.hpp>

#include <kj/async.h>

#include <functional>

namespace glenhollow
{

/// Event loop of one thread: an io_context that also runs a KJ event loop.
class rpc_loop final
{
public:
    rpc_loop() : io_(1) {}
    ~rpc_loop() noexcept = default;

    /// @return The context. Handlers may be posted to it from any thread.
    boost::asio::io_context& io() { return io_; }

    /// Runs the loop on the calling thread until stop() is called.
    /// @param set_up Called before the loop starts; may use KJ.
    /// @param tear_down Called after the loop has stopped; may still use KJ.
    void run(const std::function<void()>& set_up,
             const std::function<void()>& tear_down);

    /// Makes run() return. Thread-safe.
    void stop();

private:
    boost::asio::io_context io_;
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>>
        stop_fulfiller_; ///< Set while run() waits for stop().
};

/// Owns promises that no caller waits for.
class background_tasks final : private kj::TaskSet::ErrorHandler
{
public:
    background_tasks() : tasks_(*this) {}

    /// Runs a promise until it completes. Its failure is ignored: the caller
    /// attaches its own error handling where needed.
    void add(kj::Promise<void> promise) { tasks_.add(kj::mv(promise)); }

private:
    void taskFailed(kj::Exception&& exception) override;

    kj::TaskSet tasks_;
};

} // namespace glenhollow

#endif
