#include "glenhollow/http/keep_alive.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace glenhollow;

namespace
{

int number_of(int socket, int level, int option)
{
    int value = 0;
    socklen_t size = sizeof value;
    REQUIRE(::getsockopt(socket, level, option, &value, &size) == 0);
    return value;
}

} // namespace

TEST_CASE("a connection that goes silent for good ends within its bound")
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io, boost::asio::ip::tcp::v4());
    const keep_alive_settings limits;
    REQUIRE(keep_alive(socket.native_handle(), limits));
    const int handle = socket.native_handle();
    CHECK(number_of(handle, SOL_SOCKET, SO_KEEPALIVE) == 1);
    const int idle = number_of(handle, IPPROTO_TCP, TCP_KEEPIDLE);
    const int interval = number_of(handle, IPPROTO_TCP, TCP_KEEPINTVL);
    const int probes = number_of(handle, IPPROTO_TCP, TCP_KEEPCNT);
    CHECK(idle + interval * probes <= 3);
    CHECK(number_of(handle, IPPROTO_TCP, TCP_USER_TIMEOUT) == 3000);
}

TEST_CASE("a descriptor that is no socket is told as such")
{
    CHECK_FALSE(keep_alive(-1, {}));
}
