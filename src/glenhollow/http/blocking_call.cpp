#include "glenhollow/http/blocking_call.hpp"

#include <boost/asio/io_context.hpp>

namespace glenhollow
{

http_result call_and_wait(const host_port& server, http_request request,
                          duration timeout)
{
    boost::asio::io_context io{1};
    http_client_settings settings;
    settings.server = server;
    settings.call_timeout = timeout;
    const auto client = http_client::create(io, settings);
    http_result end;
    client->send(std::move(request),
                 [&end](http_result got) { end = std::move(got); });
    io.run();
    return end;
}

} // namespace glenhollow
