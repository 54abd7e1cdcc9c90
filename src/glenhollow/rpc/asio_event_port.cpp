#include "glenhollow/rpc/asio_event_port.hpp"

#include <boost/asio/post.hpp>

namespace glenhollow
{

namespace
{

/// Handlers of one turn. Handlers that are always ready, such as those of
/// clients that send requests ahead, would otherwise hold up the KJ events.
constexpr int max_handlers = 128;

void run_ready(boost::asio::io_context& io)
{
    for (int i = 0; i < max_handlers && io.poll_one() != 0; ++i)
    {
    }
}

} // namespace

bool asio_event_port::wait()
{
    io_.restart();
    io_.run_one();
    run_ready(io_);
    return woken_.exchange(false);
}

bool asio_event_port::poll()
{
    io_.restart();
    run_ready(io_);
    return woken_.exchange(false);
}

void asio_event_port::wake() const
{
    woken_ = true;
    boost::asio::post(io_, [] {});
}

} // namespace glenhollow
