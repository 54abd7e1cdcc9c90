#include "hostile/connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <string_view>

namespace glenhollow::hostile
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// A server that takes longer hangs.
constexpr time_t answer_timeout_s = 10;

} // namespace

std::uint16_t free_port(const std::string& host)
{
    asio::io_context io;
    const tcp::acceptor probe(io,
                              tcp::endpoint(asio::ip::make_address(host), 0));
    return probe.local_endpoint().port();
}

std::optional<unsigned> status_of(const host_port& server,
                                  const std::string& request)
{
    constexpr std::size_t status_begin = std::string_view("HTTP/1.1 ").size();
    constexpr std::size_t status_end = status_begin + 3;
    asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({asio::ip::make_address(server.host), server.port}, ec);
    if (ec)
        return std::nullopt;
    const timeval limit{answer_timeout_s, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                 sizeof limit);
    asio::write(socket, asio::buffer(request), ec);
    std::string answer;
    while (answer.size() < status_end)
    {
        std::array<char, 4096> part{};
        // Not by Asio, which would wait again at the time-out.
        const auto n =
            ::recv(socket.native_handle(), part.data(), part.size(), 0);
        if (n <= 0)
            return std::nullopt;
        answer.append(part.data(), static_cast<std::size_t>(n));
    }
    return static_cast<unsigned>(std::stoul(answer.substr(status_begin, 3)));
}

} // namespace glenhollow::hostile
