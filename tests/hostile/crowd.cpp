#include "hostile/crowd.hpp"

#include <boost/asio/buffer.hpp>

#include <array>

namespace glenhollow::hostile
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

/// A connection that could not send a byte for this long is left alone.
constexpr auto longest_block = std::chrono::seconds{1};
/// Size to which fillers are joined for one write.
constexpr std::size_t write_bytes = 64UL << 10;

} // namespace

/// One connection.
struct crowd::member
{
    explicit member(asio::io_context& io) : socket(io), timer(io) {}

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;        ///< Limits a write, or pauses after it.
    std::size_t filled = 0;          ///< Bytes of fillers sent.
    std::size_t written = 0;         ///< Bytes sent of the current text.
    std::string opening;             ///< Sent first.
    bool opened = false;             ///< Whether the opening was sent.
    unsigned number = 0;             ///< Number of the connection.
    unsigned requested = 0;          ///< Requests begun.
    std::array<char, 4096> answer{}; ///< Dropped.
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
        members_.back()->number = i;
        members_.back()->opening = behaviour_.opening_of
                                       ? behaviour_.opening_of(i)
                                       : behaviour_.opening;
        connect(members_.back());
    }
    io_.run();
}

/// Ends the pending operation of a connection that is blocked for too long.
void crowd::limit_wait(const std::shared_ptr<member>& one)
{
    one->timer.expires_after(longest_block);
    one->timer.async_wait(
        [one](error_code ec)
        {
            if (!ec)
                one->socket.cancel(ec);
        });
}

void crowd::connect(const std::shared_ptr<member>& one)
{
    limit_wait(one);
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
    if (behaviour_.request_of && one->written == 0)
    {
        if (one->requested == behaviour_.requests)
            return;
        one->opening = behaviour_.request_of(one->number, one->requested++);
    }
    if (one->opened &&
        (behaviour_.filler.empty() || one->filled >= behaviour_.bytes))
        return;
    const auto& text = one->opened ? behaviour_.filler : one->opening;
    limit_wait(one);
    one->socket.async_write_some(
        asio::buffer(text.data() + one->written, text.size() - one->written),
        [this, one, size = text.size()](error_code ec, std::size_t n)
        {
            one->timer.cancel();
            sent_ += n;
            one->written += n;
            if (ec)
                return;
            if (one->written < size)
                return send_next(one);
            one->written = 0;
            on_sent(one, size);
        });
}

void crowd::await_answer(const std::shared_ptr<member>& one)
{
    one->socket.async_read_some(asio::buffer(one->answer),
                                [this, one](error_code ec, std::size_t)
                                {
                                    if (!ec)
                                        send_next(one);
                                });
}

void crowd::on_sent(const std::shared_ptr<member>& one, std::size_t bytes)
{
    if (behaviour_.request_of)
        return await_answer(one);
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
