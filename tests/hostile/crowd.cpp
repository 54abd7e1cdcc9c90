#include "hostile/crowd.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace glenhollow::hostile
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

/// A connection that could not send for this long is left alone.
constexpr auto longest_block = std::chrono::seconds{1};
/// Size to which fillers are joined for one write.
constexpr std::size_t write_bytes = 64UL << 10;

} // namespace

/// One connection.
struct crowd::member
{
    explicit member(asio::io_context& io) : socket(io), timer(io) {}

    asio::ip::tcp::socket socket;
    asio::steady_timer timer; ///< Limits a write, or pauses after it.
    std::size_t filled = 0;   ///< Bytes of fillers sent.
    std::string opening;      ///< Sent first.
    bool opened = false;      ///< Whether the opening was sent.
};

crowd::crowd(const host_port& server, crowd_behaviour behaviour)
    : server_(asio::ip::make_address(server.host), server.port),
      behaviour_(std::move(behaviour))
{
    auto& filler = behaviour_.filler;
    if (behaviour_.pause.count() != 0 || filler.empty())
        return;
    const auto once = filler;
    while (filler.size() < write_bytes)
        filler += once;
}

void crowd::send()
{
    for (unsigned i = 0; i < behaviour_.connections; ++i)
    {
        members_.push_back(std::make_shared<member>(io_));
        members_.back()->opening = behaviour_.opening_of
                                       ? behaviour_.opening_of(i)
                                       : behaviour_.opening;
        connect(members_.back());
    }
    io_.run();
}

void crowd::connect(const std::shared_ptr<member>& one)
{
    one->timer.expires_after(longest_block);
    one->timer.async_wait(
        [one](error_code ec)
        {
            if (!ec)
                one->socket.cancel(ec);
        });
    one->socket.async_connect(server_,
                              [this, one](error_code ec)
                              {
                                  one->timer.cancel();
                                  if (!ec)
                                      send_next(one);
                              });
}

void crowd::send_next(const std::shared_ptr<member>& one)
{
    if (one->opened &&
        (behaviour_.filler.empty() || one->filled >= behaviour_.bytes))
        return;
    const auto& text = one->opened ? behaviour_.filler : one->opening;
    one->timer.expires_after(longest_block);
    one->timer.async_wait(
        [one](error_code ec)
        {
            if (!ec)
                one->socket.cancel(ec);
        });
    asio::async_write(one->socket, asio::buffer(text),
                      [this, one](error_code ec, std::size_t n)
                      {
                          one->timer.cancel();
                          sent_ += n;
                          if (!ec)
                              on_sent(one, n);
                      });
}

void crowd::on_sent(const std::shared_ptr<member>& one, std::size_t bytes)
{
    if (one->opened)
        one->filled += bytes;
    one->opened = true;
    if (behaviour_.pause.count() == 0)
        return send_next(one);
    one->timer.expires_after(behaviour_.pause);
    one->timer.async_wait(
        [this, one](error_code ec)
        {
            if (!ec)
                send_next(one);
        });
}

} // namespace glenhollow::hostile
