#include "glenhollow/rpc/asio_event_port.hpp"

#include <boost/asio/post.hpp>

namespace glenhollow
{

bool asio_event_port::wait()
{
    io_.restart();
    io_.run_one();
    io_.poll();
    return woken_.exchange(false);
}

bool asio_event_port::poll()
{
    io_.restart();
    io_.poll();
    return woken_.exchange(false);
}

void asio_event_port::wake() const
{
    woken_ = true;
    boost::asio::post(io_, [] {});
}

} // namespace glenhollow
