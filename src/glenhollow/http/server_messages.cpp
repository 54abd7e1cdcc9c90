#include "glenhollow/http/server_messages.hpp"

#include <boost/beast/http/error.hpp>

#include <chrono>
#include <string>

namespace glenhollow
{

namespace http = boost::beast::http;
using boost::system::error_code;

http_request to_request(http::request<http::string_body>& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> to_message(http_response answer,
                                             bool keep_alive)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(answer.status);
    message.set(http::field::content_type, answer.content_type);
    for (const auto& header : answer.headers)
        message.set(header.name, header.value);
    message.body() = std::move(answer.body);
    message.keep_alive(keep_alive);
    message.prepare_payload();
    return message;
}

http_response refusal_of(error_code ec)
{
    http_response answer;
    answer.content_type = "application/problem+json";
    std::string title = "malformed request";
    std::string why = "malformed";
    answer.status = 400;
    if (ec == http::error::body_limit)
    {
        answer.status = 413;
        title = "the body is too large";
        why = "too_large";
    }
    else if (ec == http::error::header_limit ||
             ec == http::error::buffer_overflow)
    {
        answer.status = 431;
        title = "the headers are too large";
        why = "too_large";
    }
    answer.body = R"({"type":"about:blank","title":")" + title +
                  R"(","status":)" + std::to_string(answer.status) +
                  R"(,"detail":")" + ec.message() +
                  R"(","verdict":"not_run","reason":")" + why + R"("})";
    return answer;
}

http_response turned_away(const intake_refusal& refusal)
{
    http_response answer;
    answer.status = 503;
    answer.content_type = "application/problem+json";
    const auto after = std::chrono::ceil<seconds>(refusal.retry_after).count();
    answer.headers.push_back({"Retry-After", std::to_string(after)});
    answer.body = R"({"type":"about:blank","title":"too much in hand",)"
                  R"("status":503,"verdict":"not_run","reason":")" +
                  std::string(to_name(refusal.bound)) + R"("})";
    return answer;
}

} // namespace glenhollow
