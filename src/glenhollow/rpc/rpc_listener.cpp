#include "glenhollow/rpc/rpc_listener.hpp"

namespace glenhollow
{

using boost::asio::ip::tcp;
using boost::system::error_code;

result<std::unique_ptr<rpc_listener>>
rpc_listener::create(boost::asio::io_context& io, const std::string& address,
                     std::uint16_t port)
{
    std::unique_ptr<rpc_listener> listener(new rpc_listener(io));
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
    server_ = std::make_unique<capnp::TwoPartyServer>(kj::mv(bootstrap));
    accept();
}

void rpc_listener::accept()
{
    acceptor_.async_accept(
        [this](error_code ec, tcp::socket socket)
        {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (!ec)
                server_->accept(
                    kj::heap<asio_stream>(std::move(socket), stats_));
            accept();
        });
}

void rpc_listener::close()
{
    error_code ignored;
    acceptor_.close(ignored);
    server_.reset();
}

void rpc_listener::collect(metric_page& page) const
{
    constexpr std::string_view help = "Bytes on accepted RPC connections";
    page.counter("link_server_bytes_total", help,
                 static_cast<double>(stats_.bytes_in), R"(direction="in")");
    page.counter("link_server_bytes_total", help,
                 static_cast<double>(stats_.bytes_out), R"(direction="out")");
}

} // namespace glenhollow
