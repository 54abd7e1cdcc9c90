#include "glenhollow/rpc/rpc_connection.hpp"

#include <memory>

namespace glenhollow
{

using boost::asio::ip::tcp;

void connect_rpc(boost::asio::io_context& io, const host_port& where,
                 std::function<void(std::optional<tcp::socket>)> done)
{
    auto socket = std::make_shared<tcp::socket>(io);
    const tcp::endpoint to(boost::asio::ip::make_address(where.host),
                           where.port);
    socket->async_connect(
        to,
        [socket, done = std::move(done)](boost::system::error_code ec)
        {
            if (ec)
                return done(std::nullopt);
            done(std::move(*socket));
        });
}

} // namespace glenhollow
