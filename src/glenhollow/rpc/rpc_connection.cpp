#include "glenhollow/rpc/rpc_connection.hpp"

#include "glenhollow/core/clock.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace glenhollow
{

using boost::asio::ip::tcp;

namespace
{

constexpr duration connect_timeout = milliseconds{400};

} // namespace

void connect_rpc(boost::asio::io_context& io, const host_port& where,
                 std::function<void(connect_result)> callback)
{
    auto socket = std::make_shared<tcp::socket>(io);
    auto timer =
        std::make_shared<boost::asio::steady_timer>(io, connect_timeout);
    // A VM that is down sends no response, so the attempt needs a timeout.
    timer->async_wait(
        [socket](boost::system::error_code ec)
        {
            if (!ec)
                socket->close(ec);
        });
    const tcp::endpoint endpoint(boost::asio::ip::make_address(where.host),
                                 where.port);
    socket->async_connect(
        endpoint,
        [socket, timer,
         callback = std::move(callback)](boost::system::error_code ec)
        {
            timer->cancel();
            if (ec)
                return callback({std::nullopt,
                                 ec == boost::asio::error::connection_refused});
            callback({std::move(*socket), false});
        });
}

} // namespace glenhollow
