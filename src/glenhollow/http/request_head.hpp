#ifndef GLENHOLLOW_HTTP_REQUEST_HEAD_HPP
#define GLENHOLLOW_HTTP_REQUEST_HEAD_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>

namespace glenhollow
{

/// Parses the header of a request.
using head_parser =
    boost::beast::http::request_parser<boost::beast::http::empty_body>;

/// Reads the header of a request. It is parsed once it is there as a whole: the
/// parsed form of many small fields takes ten times their bytes, which a client
/// that never ends its header could hold.
/// @param buffer Its limit is that of the header; may hold bytes already.
/// @param max_fields Limit of the number of fields.
/// @return The error, `header_limit` if a limit is exceeded.
boost::asio::awaitable<boost::system::error_code>
read_head(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
          head_parser& head, std::size_t max_fields);

} // namespace glenhollow

#endif
