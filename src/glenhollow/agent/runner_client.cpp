#include "glenhollow/agent/runner_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>

namespace glenhollow
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr std::string_view verdict_header = "Glenhollow-Verdict";

bool is_json(const std::string& text)
{
    boost::json::stream_parser parser;
    boost::system::error_code ec;
    parser.write(text.data(), text.size(), ec);
    if (!ec)
        parser.finish(ec);
    return !ec;
}

runner_response without_result(verdict what, reason why)
{
    return {{what, why}, {}};
}

} // namespace

runner_response classify_result(http_result call_result)
{
    if (!call_result.answered)
    {
        const auto what = verdict_of_silence(call_result.progress);
        if (what == verdict::not_run)
            return without_result(what, reason::runner_unreachable);
        return without_result(what, call_result.timed_out
                                        ? reason::runner_timeout
                                        : reason::runner_broken);
    }
    auto& response = call_result.response;
    if (response.status == status_ok)
    {
        // Encode a result that is not JSON as a JSON string.
        if (!is_json(response.body))
            response.body =
                boost::json::serialize(boost::json::value(response.body));
        return {{verdict::ran, reason::none}, std::move(response.body)};
    }
    const auto declared_verdict =
        header_value(response.headers, verdict_header);
    if (response.status == status_unavailable &&
        declared_verdict == to_name(verdict::not_run))
        return without_result(verdict::not_run, reason::runner_refused);
    return without_result(verdict::may_have_run, reason::runner_error);
}

http_runner_client::http_runner_client(boost::asio::io_context& io,
                                       const http_client_settings& settings)
    : io_(io), runner_(settings.server),
      client_(http_client::create(io, settings))
{
}

std::unique_ptr<http_runner_client>
http_runner_client::create(boost::asio::io_context& io,
                           const http_client_settings& settings)
{
    return std::unique_ptr<http_runner_client>(
        new http_runner_client(io, settings));
}

void http_runner_client::call(runner_request request, handler done)
{
    http_request message;
    message.method = "POST";
    message.target = "/task";
    message.headers = {{"Glenhollow-Task", std::move(request.task)},
                       {"Glenhollow-Team", std::move(request.team)},
                       {"Content-Type", "application/json"}};
    if (!request.traceparent.empty())
        message.headers.push_back(
            {"traceparent", std::move(request.traceparent)});
    message.body = std::move(request.payload);
    client_->send(std::move(message),
                  [done = std::move(done)](http_result call_result)
                  { done(classify_result(std::move(call_result))); });
}

void http_runner_client::probe(std::function<void(bool)> done)
{
    using boost::asio::ip::tcp;
    auto socket = std::make_shared<tcp::socket>(io_);
    const tcp::endpoint to(boost::asio::ip::make_address(runner_.host),
                           runner_.port);
    socket->async_connect(to, [socket, done = std::move(done)](
                                  boost::system::error_code ec) { done(!ec); });
}

} // namespace glenhollow
