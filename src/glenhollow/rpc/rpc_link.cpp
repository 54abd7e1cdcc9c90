#include "glenhollow/rpc/rpc_link.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace glenhollow
{

using boost::asio::ip::tcp;

struct rpc_link::state : std::enable_shared_from_this<state>
{
    /// Objects with the lifetime of one connection.
    struct connection
    {
        connection(tcp::socket socket, stream_stats& stats)
            : rpc(std::move(socket), stats)
        {
        }

        rpc_connection rpc;
        background_tasks calls; ///< Pending calls.
    };

    state(boost::asio::io_context& context, const clock_source& time_source,
          host_port address, const rpc_link_settings& link_settings,
          std::function<void(capnp::Capability::Client)> up_callback,
          std::function<void()> down_callback)
        : io(context), clock(time_source), where(std::move(address)),
          on_up(std::move(up_callback)), on_down(std::move(down_callback)),
          backoff(link_settings)
    {
    }

    boost::asio::io_context& io;
    const clock_source& clock;
    host_port where;
    std::function<void(capnp::Capability::Client)> on_up;
    std::function<void()> on_down;
    std::shared_ptr<connection> current; ///< Null while not connected.
    bool connecting = false;             ///< A connection attempt is pending.
    bool closed = false;                 ///< The link has been destroyed.
    bool refused = false;         ///< The last completed attempt was refused.
    std::uint64_t generation = 0; ///< Incremented when a connection or attempt
                                  ///< ends, to ignore late callbacks.
    instant retry_at{};           ///< Earliest time of the next attempt.
    link_backoff backoff;
    stream_stats stats; ///< Traffic of all connections.

    void connect()
    {
        connecting = true;
        connect_rpc(io, where,
                    [self = shared_from_this(),
                     own_generation = generation](connect_result outcome)
                    {
                        if (self->closed || self->generation != own_generation)
                            return;
                        self->connecting = false;
                        self->refused = outcome.refused;
                        if (!outcome.socket)
                            return self->fail();
                        self->connected(std::move(*outcome.socket));
                    });
    }

    void connected(tcp::socket socket)
    {
        current = std::make_shared<connection>(std::move(socket), stats);
        backoff.connected();
        std::weak_ptr<state> weak = shared_from_this();
        current->calls.add(current->rpc.on_disconnect().then(
            [weak, own_generation = generation]
            {
                const auto self = weak.lock();
                if (self && !self->closed && self->generation == own_generation)
                    self->fail();
            }));
        on_up(current->rpc.bootstrap());
    }

    void fail()
    {
        release_connection();
        retry_at = clock.now() + backoff.failed(clock.now(), refused);
        if (on_down)
            on_down();
    }

    /// Destroys the connection from a posted handler, because the caller may be
    /// a callback of that connection.
    void release_connection()
    {
        ++generation;
        connecting = false;
        if (current)
            boost::asio::post(io, [old = std::move(current)]() mutable
                              { old.reset(); });
        current.reset();
    }
};

rpc_link::rpc_link(boost::asio::io_context& io, const clock_source& clock,
                   host_port where, const rpc_link_settings& settings,
                   std::function<void(capnp::Capability::Client)> on_up,
                   std::function<void()> on_down)
    : state_(std::make_shared<state>(io, clock, std::move(where), settings,
                                     std::move(on_up), std::move(on_down)))
{
}

rpc_link::~rpc_link()
{
    state_->closed = true;
    state_->on_down = nullptr;
    state_->release_connection();
}

bool rpc_link::due() const
{
    return !state_->current && !state_->connecting &&
           state_->clock.now() >= state_->retry_at;
}

void rpc_link::tick()
{
    if (due())
        state_->connect();
}

void rpc_link::drop()
{
    if (state_->current || state_->connecting)
        state_->fail();
}

bool rpc_link::up() const
{
    return state_->current != nullptr;
}

bool rpc_link::refused() const
{
    return !up() && state_->refused;
}

void rpc_link::add(kj::Promise<void> call)
{
    if (state_->current)
        state_->current->calls.add(kj::mv(call));
}

const host_port& rpc_link::where() const
{
    return state_->where;
}

} // namespace glenhollow
