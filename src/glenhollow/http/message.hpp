#ifndef GLENHOLLOW_HTTP_MESSAGE_HPP
#define GLENHOLLOW_HTTP_MESSAGE_HPP

#include "glenhollow/core/verdict.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace glenhollow
{

/// One header line.
struct http_header
{
    std::string name;  ///< As on the wire; compared without case.
    std::string value; ///< Without surrounding blanks.
};

/// The headers of one message.
using http_headers = std::vector<http_header>;

/// @param headers Where to look.
/// @param name The header's name, in any case.
/// @return Its value, empty where there is none.
std::string_view header_value(const http_headers& headers,
                              std::string_view name);

/// A request, received or to be sent.
struct http_request
{
    std::string method = "GET"; ///< In capitals.
    std::string target = "/";   ///< Path and query.
    http_headers headers;       ///< Those that matter to the receiver.
    std::string body;           ///< Whole.
    /// To be sent only: makes the body for the connection that is taken, where
    /// what is said holds for one alone; empty: `body` is sent.
    std::function<std::string(std::uint64_t)> body_on;
    /// To be sent only: who must be at the other end, by the introduction of
    /// the connection that is taken; empty: anybody.
    std::string expected_peer;
    /// Received only: takes a function to be called once, at the latest
    /// before the answer, when the caller has closed its connection.
    std::function<void(std::function<void()>)> on_close;
};

/// A response, received or to be sent.
struct http_response
{
    unsigned status = 200;                         ///< HTTP status.
    std::string content_type = "application/json"; ///< Of the body.
    http_headers headers;                          ///< Besides the type.
    std::string body;                              ///< Whole.
};

/// How a call to a server ended.
struct http_result
{
    send_progress progress = send_progress::nothing_sent; ///< Bytes sent.
    bool answered = false;                                ///< Whole answer.
    bool timed_out = false;                               ///< Gave up waiting.
    std::string error;                                    ///< Why no answer.
    bool other_peer = false; ///< Not the expected one is at the other end, or
                             ///< it didn't introduce itself; nothing was sent.
    std::uint64_t link = 0;  ///< Connection taken, as a number that the client
                             ///< gives to no other; 0: none.
    http_response response;  ///< If answered.
};

} // namespace glenhollow

#endif
