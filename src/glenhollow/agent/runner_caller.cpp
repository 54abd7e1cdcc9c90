#include "glenhollow/agent/runner_caller.hpp"

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

runner_answer without_result(verdict what, reason why)
{
    return {{what, why}, {}};
}

} // namespace

runner_answer judge_runner(http_result end)
{
    if (!end.answered)
    {
        const auto what = verdict_of_silence(end.progress);
        if (what == verdict::not_run)
            return without_result(what, reason::runner_unreachable);
        return without_result(what, end.timed_out ? reason::runner_timeout
                                                  : reason::runner_broken);
    }
    auto& response = end.response;
    if (response.status == status_ok)
    {
        // A result that is not JSON travels as a JSON string.
        if (!is_json(response.body))
            response.body =
                boost::json::serialize(boost::json::value(response.body));
        return {{verdict::ran, reason::none}, std::move(response.body)};
    }
    const auto said = header_value(response.headers, verdict_header);
    if (response.status == status_unavailable &&
        said == to_name(verdict::not_run))
        return without_result(verdict::not_run, reason::runner_refused);
    return without_result(verdict::may_have_run, reason::runner_error);
}

http_runner_caller::http_runner_caller(boost::asio::io_context& io,
                                       const http_client_settings& settings)
    : io_(io), runner_(settings.server),
      client_(http_client::create(io, settings))
{
}

std::unique_ptr<http_runner_caller>
http_runner_caller::create(boost::asio::io_context& io,
                           const http_client_settings& settings)
{
    return std::unique_ptr<http_runner_caller>(
        new http_runner_caller(io, settings));
}

void http_runner_caller::call(runner_call call, handler done)
{
    http_request request;
    request.method = "POST";
    request.target = "/task";
    request.headers = {{"Glenhollow-Task", std::move(call.task)},
                       {"Glenhollow-Team", std::move(call.team)},
                       {"Content-Type", "application/json"}};
    if (!call.traceparent.empty())
        request.headers.push_back({"traceparent", std::move(call.traceparent)});
    request.body = std::move(call.payload);
    client_->send(std::move(request), [done = std::move(done)](http_result end)
                  { done(judge_runner(std::move(end))); });
}

void http_runner_caller::probe(std::function<void(bool)> done)
{
    using boost::asio::ip::tcp;
    auto socket = std::make_shared<tcp::socket>(io_);
    const tcp::endpoint to(boost::asio::ip::make_address(runner_.host),
                           runner_.port);
    socket->async_connect(to, [socket, done = std::move(done)](
                                  boost::system::error_code ec) { done(!ec); });
}

} // namespace glenhollow
