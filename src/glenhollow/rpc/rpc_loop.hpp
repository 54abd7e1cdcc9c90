#ifndef GLENHOLLOW_RPC_RPC_LOOP_HPP
#define GLENHOLLOW_RPC_RPC_LOOP_HPP

#include <boost/asio/io_context.hpp>

#include <kj/async.h>

#include <functional>

namespace glenhollow
{

/// One thread's loop: an io_context that also turns a KJ event loop.
class rpc_loop final
{
public:
    rpc_loop() : io_(1) {}
    ~rpc_loop() noexcept = default;

    /// @return The context; handlers may be posted to it from any thread.
    boost::asio::io_context& io() { return io_; }

    /// Runs on the calling thread until stop().
    /// @param set_up Called first, with KJ ready.
    /// @param tear_down Called last, with KJ still alive.
    void run(const std::function<void()>& set_up,
             const std::function<void()>& tear_down);

    /// Ends run(); called from any thread.
    void stop();

private:
    boost::asio::io_context io_; ///< Runs everything.
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>>
        stop_fulfiller_; ///< Ends run().
};

/// Collects promises of which nobody waits for the end.
class background_tasks final : private kj::TaskSet::ErrorHandler
{
public:
    background_tasks() : tasks_(*this) {}

    /// @param promise Runs to its end; a failure is dropped, since whoever
    /// made it has handled the failures that matter.
    void add(kj::Promise<void> promise) { tasks_.add(kj::mv(promise)); }

private:
    void taskFailed(kj::Exception&& exception) override;

    kj::TaskSet tasks_; ///< The promises.
};

} // namespace glenhollow

#endif
