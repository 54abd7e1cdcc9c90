#include "glenhollow/core/run_after.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace glenhollow
{

void run_after(boost::asio::io_context& io, duration wait,
               std::function<void()> work)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(io, wait);
    timer->async_wait(
        [timer, work = std::move(work)](boost::system::error_code ec)
        {
            if (!ec)
                work();
        });
}

} // namespace glenhollow
