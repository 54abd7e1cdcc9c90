#ifndef GLENHOLLOW_HTTP_SERVER_MESSAGES_HPP
#define GLENHOLLOW_HTTP_SERVER_MESSAGES_HPP

#include "glenhollow/http/intake_limits.hpp"
#include "glenhollow/http/message.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

namespace glenhollow
{

/// @param message A whole request; its body is moved out.
/// @return The request as handlers get it.
http_request to_request(
    boost::beast::http::request<boost::beast::http::string_body>& message);

/// @param keep_alive Whether the connection takes another request.
/// @return The answer as it is sent.
boost::beast::http::response<boost::beast::http::string_body>
to_message(http_response answer, bool keep_alive);

/// @param ec Why a request could not be read.
/// @return The answer to it.
http_response refusal_of(boost::system::error_code ec);

/// @param refusal Why a request is not taken in.
/// @return The answer to it.
http_response turned_away(const intake_refusal& refusal);

} // namespace glenhollow

#endif
