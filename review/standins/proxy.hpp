// Passes connections on, and resets them at a word.
#ifndef REVIEW_PROXY_HPP
#define REVIEW_PROXY_HPP

#include "http.hpp"

#include <array>

namespace review
{

class proxy
{
public:
    proxy(asio::io_context& io, tcp::endpoint where, tcp::endpoint to)
        : io_(io), acceptor_(io, where), to_(std::move(to))
    {
        asio::co_spawn(io_, accept(), asio::detached);
    }

    /// Resets all connections, at both ends.
    void reset_all()
    {
        for (const auto& one : std::exchange(open_, {}))
        {
            error_code ec;
            one->set_option(asio::socket_base::linger(true, 0), ec);
            one->close(ec);
        }
    }

    tcp::endpoint where() const { return acceptor_.local_endpoint(); }

private:
    using socket = std::shared_ptr<tcp::socket>;

    asio::awaitable<void> accept()
    {
        for (;;)
        {
            error_code ec;
            auto near =
                std::make_shared<tcp::socket>(co_await acceptor_.async_accept(
                    asio::redirect_error(token, ec)));
            if (ec)
                co_return;
            auto far = std::make_shared<tcp::socket>(io_);
            co_await far->async_connect(to_, asio::redirect_error(token, ec));
            if (ec)
                continue;
            open_.insert(near);
            open_.insert(far);
            asio::co_spawn(io_, pass(near, far), asio::detached);
            asio::co_spawn(io_, pass(far, near), asio::detached);
        }
    }

    asio::awaitable<void> pass(socket from, socket to)
    {
        std::array<char, 16384> bytes{};
        for (;;)
        {
            error_code ec;
            const auto n = co_await from->async_read_some(
                asio::buffer(bytes), asio::redirect_error(token, ec));
            if (!ec)
                co_await asio::async_write(*to, asio::buffer(bytes, n),
                                           asio::redirect_error(token, ec));
            if (!ec)
                continue;
            error_code ignored;
            from->close(ignored);
            to->close(ignored);
            open_.erase(from);
            open_.erase(to);
            co_return;
        }
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    tcp::endpoint to_;
    std::set<socket> open_;
};

} // namespace review

#endif
