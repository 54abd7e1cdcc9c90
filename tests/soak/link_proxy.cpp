#include "soak/link_proxy.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <list>

namespace glenhollow::soak
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr auto token = asio::use_awaitable;
constexpr std::chrono::milliseconds hold_check{10};
constexpr std::chrono::milliseconds slow_time{150};
constexpr std::size_t chunk = 16UL << 10;

/// Both ends of a connection.
struct connection
{
    explicit connection(asio::io_context& io) : caller(io), server(io) {}

    /// Both ends see a reset.
    void reset()
    {
        for (auto* end : {&caller, &server})
        {
            error_code ignored;
            end->set_option(asio::socket_base::linger(true, 0), ignored);
            end->close(ignored);
        }
    }

    tcp::socket caller;    ///< Who called.
    tcp::socket server;    ///< Whom the link leads to.
    bool stranded = false; ///< Passes nothing on for good.
};

} // namespace

struct link_proxy::state : std::enable_shared_from_this<state>
{
    state(asio::io_context& context, const host_port& at, const host_port& to)
        : io(context),
          acceptor(io, tcp::endpoint(asio::ip::make_address(at.host), at.port)),
          server(asio::ip::make_address(to.host), to.port)
    {
    }

    asio::io_context& io;                        ///< Runs it.
    tcp::acceptor acceptor;                      ///< Listens.
    tcp::endpoint server;                        ///< Where it leads.
    link_state now = link_state::well;           ///< How it does.
    std::list<std::weak_ptr<connection>> opened; ///< Perhaps over.

    bool holds(bool answers) const
    {
        return now == link_state::silent || now == link_state::cut ||
               (now == link_state::deaf && answers) ||
               (now == link_state::mute && !answers);
    }

    bool delays(bool answers) const
    {
        return now == link_state::slow ||
               now == (answers ? link_state::slow_answers
                               : link_state::slow_calls);
    }

    /// Waits while the link holds back what comes in that direction.
    static asio::awaitable<void> pass(state& self, bool answers)
    {
        asio::steady_timer timer(self.io);
        error_code ec;
        if (self.delays(answers))
        {
            timer.expires_after(slow_time);
            co_await timer.async_wait(asio::redirect_error(token, ec));
        }
        while (self.holds(answers))
        {
            timer.expires_after(hold_check);
            co_await timer.async_wait(asio::redirect_error(token, ec));
        }
    }

    static asio::awaitable<void> accept_all(std::shared_ptr<state> self)
    {
        while (true)
        {
            error_code ec;
            auto link = std::make_shared<connection>(self->io);
            co_await self->acceptor.async_accept(
                link->caller, asio::redirect_error(token, ec));
            if (ec == asio::error::operation_aborted ||
                ec == asio::error::bad_descriptor)
                co_return;
            if (ec)
                continue;
            if (self->now == link_state::reset)
            {
                link->reset();
                continue;
            }
            std::erase_if(self->opened,
                          [](const auto& one) { return one.expired(); });
            self->opened.push_back(link);
            asio::co_spawn(self->io, lead(self, link), asio::detached);
        }
    }

    static asio::awaitable<void> lead(std::shared_ptr<state> self,
                                      std::shared_ptr<connection> link)
    {
        // Nobody gets a connection over a link that is silent, and nothing that
        // was sent on one may reach whatever listens there later.
        const bool lost = self->holds(false);
        co_await pass(*self, false);
        if (lost)
        {
            link->reset();
            co_return;
        }
        error_code ec;
        co_await link->server.async_connect(self->server,
                                            asio::redirect_error(token, ec));
        if (ec)
        {
            link->reset();
            co_return;
        }
        link->caller.set_option(tcp::no_delay(true), ec);
        link->server.set_option(tcp::no_delay(true), ec);
        asio::co_spawn(self->io, pump(self, link, false), asio::detached);
        asio::co_spawn(self->io, pump(self, link, true), asio::detached);
    }

    static asio::awaitable<void> pump(std::shared_ptr<state> self,
                                      std::shared_ptr<connection> link,
                                      bool answers)
    {
        auto& from = answers ? link->server : link->caller;
        auto& to = answers ? link->caller : link->server;
        std::array<char, chunk> bytes{};
        while (true)
        {
            error_code ec;
            const std::size_t size = co_await from.async_read_some(
                asio::buffer(bytes), asio::redirect_error(token, ec));
            if (size > 0 || ec == asio::error::eof)
                co_await pass(*self, answers);
            if (link->stranded)
            {
                // The other end goes on waiting until it closes by itself.
                if (ec)
                {
                    error_code ignored;
                    from.close(ignored);
                    co_return;
                }
                continue;
            }
            if (size > 0)
                co_await asio::async_write(to, asio::buffer(bytes, size),
                                           asio::redirect_error(token, ec));
            if (ec == asio::error::eof)
            {
                to.shutdown(tcp::socket::shutdown_send, ec);
                co_return;
            }
            if (ec)
            {
                link->reset();
                co_return;
            }
        }
    }
};

link_proxy::link_proxy(asio::io_context& io, const host_port& where,
                       const host_port& server)
    : state_(std::make_shared<state>(io, where, server))
{
    asio::co_spawn(io, state::accept_all(state_), asio::detached);
}

link_proxy::~link_proxy()
{
    error_code ignored;
    state_->acceptor.close(ignored);
}

host_port link_proxy::where() const
{
    const auto at = state_->acceptor.local_endpoint();
    return {at.address().to_string(), at.port()};
}

void link_proxy::set(link_state state)
{
    state_->now = state;
    if (state != link_state::reset)
        return;
    for (const auto& one : state_->opened)
    {
        if (const auto link = one.lock())
            link->reset();
    }
}

void link_proxy::strand()
{
    for (const auto& one : state_->opened)
    {
        if (const auto link = one.lock())
            link->stranded = true;
    }
}

} // namespace glenhollow::soak
