#include "glenhollow/http/request_head.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <string_view>

namespace glenhollow
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

constexpr std::string_view end_of_head = "\r\n\r\n";

/// The request line and the empty line at the end.
constexpr std::ptrdiff_t lines_besides_fields = 2;

/// Size of one read.
constexpr std::size_t read_bytes = 4096;

std::string_view text_of(const beast::flat_buffer& buffer)
{
    const auto data = buffer.data();
    return {static_cast<const char*>(data.data()), data.size()};
}

/// @return Whether no method begins like this.
bool is_no_request(std::string_view text)
{
    return !text.empty() && (text.front() <= ' ' || text.front() > '~');
}

/// Reads until the buffer holds a whole header.
/// @param length Gets the length of the header.
asio::awaitable<error_code>
fill(beast::tcp_stream& stream, beast::flat_buffer& buffer, std::size_t& length)
{
    std::size_t searched = 0;
    for (;;)
    {
        const auto text = text_of(buffer);
        if (is_no_request(text))
            co_return http::error::bad_method;
        const auto end = text.find(end_of_head, searched);
        if (end != std::string_view::npos)
        {
            length = end + end_of_head.size();
            co_return error_code{};
        }
        // The end may have come in part.
        searched = text.size() - std::min(text.size(), end_of_head.size() - 1);
        const auto room = buffer.max_size() - buffer.size();
        if (room == 0)
            co_return http::error::header_limit;
        error_code ec;
        const auto n = co_await stream.async_read_some(
            buffer.prepare(std::min(room, read_bytes)),
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return ec;
        buffer.commit(n);
    }
}

} // namespace

asio::awaitable<error_code> read_head(beast::tcp_stream& stream,
                                      beast::flat_buffer& buffer,
                                      head_parser& head, std::size_t max_fields)
{
    std::size_t length = 0;
    auto ec = co_await fill(stream, buffer, length);
    if (ec)
        co_return ec;
    const auto text = text_of(buffer).substr(0, length);
    const auto fields =
        std::count(text.begin(), text.end(), '\n') - lines_besides_fields;
    if (fields > static_cast<std::ptrdiff_t>(max_fields))
        co_return http::error::header_limit;
    head.eager(false);
    const auto used = head.put(asio::buffer(text), ec);
    buffer.consume(used);
    co_return ec;
}

} // namespace glenhollow
