#include "glenhollow/rpc/rpc_loop.hpp"

#include "glenhollow/rpc/asio_event_port.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

namespace glenhollow
{

void rpc_loop::run(const std::function<void()>& set_up,
                   const std::function<void()>& tear_down)
{
    asio_event_port port(io_);
    kj::EventLoop loop(port);
    kj::WaitScope scope(loop);
    const auto guard = boost::asio::make_work_guard(io_);
    auto paf = kj::newPromiseAndFulfiller<void>();
    stop_fulfiller_ = kj::mv(paf.fulfiller);
    set_up();
    paf.promise.wait(scope);
    stop_fulfiller_ = nullptr;
    tear_down();
    // Runs the posted handlers that destroy connections, which need the KJ
    // event loop.
    io_.restart();
    io_.poll();
}

void rpc_loop::stop()
{
    boost::asio::post(io_,
                      [this]
                      {
                          KJ_IF_MAYBE (fulfiller, stop_fulfiller_)
                              (*fulfiller)->fulfill();
                      });
}

void background_tasks::taskFailed(kj::Exception&&) {}

} // namespace glenhollow
