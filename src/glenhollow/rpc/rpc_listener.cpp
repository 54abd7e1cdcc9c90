#include "glenhollow/rpc/rpc_listener.hpp"

#include <boost/asio/post.hpp>
#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace glenhollow
{

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Pause after a failure to accept, for want of descriptors say.
constexpr duration accept_pause = milliseconds{50};

/// The other descriptors are for links to others, files and callers.
constexpr std::size_t share_of_descriptors = 4;
constexpr std::size_t min_connections = 64;
constexpr std::size_t max_connections = 4096;

std::size_t connections_within_descriptors()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return max_connections;
    return std::clamp<std::size_t>(limit.rlim_cur / share_of_descriptors,
                                   min_connections, max_connections);
}

capnp::ReaderOptions reader_options(const rpc_listener_settings& settings)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords =
        settings.max_message_bytes / sizeof(capnp::word);
    return options;
}

} // namespace

/// One accepted connection.
struct rpc_listener::connection
{
    connection(kj::Own<asio_stream> accepted,
               capnp::Capability::Client bootstrap,
               const rpc_listener_settings& settings)
        : stream(kj::mv(accepted)),
          network(*stream, capnp::rpc::twoparty::Side::SERVER,
                  reader_options(settings)),
          system(capnp::makeRpcServer(network, kj::mv(bootstrap))),
          since(process_clock().now())
    {
    }

    kj::Own<asio_stream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    instant since; ///< Time of its acceptance.
};

rpc_listener::rpc_listener(boost::asio::io_context& io,
                           const rpc_listener_settings& settings)
    : io_(io), settings_(settings), acceptor_(io), pause_(io),
      large_reads_(process_clock(), settings.large_messages),
      bootstrap_(nullptr)
{
    if (settings_.max_connections == 0)
        settings_.max_connections = connections_within_descriptors();
}

rpc_listener::~rpc_listener()
{
    *alive_ = false;
}

result<std::unique_ptr<rpc_listener>>
rpc_listener::create(boost::asio::io_context& io, const std::string& address,
                     std::uint16_t port, const rpc_listener_settings& settings)
{
    std::unique_ptr<rpc_listener> listener(new rpc_listener(io, settings));
    error_code ec;
    const auto ip = boost::asio::ip::make_address(address, ec);
    if (ec)
        return failure{"address " + address + " is not an IP number"};
    auto& acceptor = listener->acceptor_;
    acceptor.open(ip.is_v4() ? tcp::v4() : tcp::v6(), ec);
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    acceptor.bind(tcp::endpoint(ip, port), ec);
    if (!ec)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec)
        return failure{"cannot listen on " + address + ":" +
                       std::to_string(port) + ": " + ec.message()};
    listener->port_ = acceptor.local_endpoint().port();
    return listener;
}

void rpc_listener::serve(capnp::Capability::Client bootstrap)
{
    bootstrap_ = kj::mv(bootstrap);
    ends_ = std::make_unique<background_tasks>();
    accept();
}

void rpc_listener::accept()
{
    acceptor_.async_accept(
        [this](error_code ec, tcp::socket socket)
        {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (ec)
                return accept_later();
            if (has_room())
                add(std::move(socket));
            else
                ++refused_;
            accept();
        });
}

void rpc_listener::accept_later()
{
    pause_.expires_after(accept_pause);
    pause_.async_wait(
        [this](error_code ec)
        {
            if (!ec)
                accept();
        });
}

/// A peer sends its first call at once.
bool rpc_listener::has_room()
{
    if (connections_.size() < settings_.max_connections)
        return true;
    const auto silent = std::find_if(
        connections_.begin(), connections_.end(),
        [](const auto& one) { return !one.second->stream->has_received(); });
    if (silent == connections_.end() ||
        process_clock().now() - silent->second->since < settings_.reclaim_after)
        return false;
    connections_.erase(silent);
    return true;
}

void rpc_listener::add(tcp::socket socket)
{
    const auto number = ++last_;
    auto added = std::make_unique<connection>(
        kj::heap<asio_stream>(std::move(socket), stats_, &large_reads_),
        bootstrap_, settings_);
    // Deferred, since the end is told from inside the connection.
    ends_->add(added->network.onDisconnect().then(
        [this, number] {
            boost::asio::post(io_,
                              [this, number] { connections_.erase(number); });
        }));
    connections_.emplace(number, std::move(added));
}

void rpc_listener::close()
{
    *alive_ = false;
    error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
    ends_.reset();
    connections_.clear();
    bootstrap_ = nullptr;
}

void rpc_listener::collect(metric_page& page) const
{
    constexpr std::string_view help = "Bytes on accepted RPC connections";
    page.counter("link_server_bytes_total", help,
                 static_cast<double>(stats_.bytes_in), R"(direction="in")");
    page.counter("link_server_bytes_total", help,
                 static_cast<double>(stats_.bytes_out), R"(direction="out")");
    page.gauge("link_server_connections", "Accepted RPC connections",
               static_cast<double>(connections_.size()));
    page.counter("link_server_refused_total",
                 "RPC connections closed at once for want of room",
                 static_cast<double>(refused_));
}

} // namespace glenhollow
