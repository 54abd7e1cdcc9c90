#include "member_view.hpp"

#include "glenhollow/http/client.hpp"
#include "platform/rows_format.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <sstream>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

/// Index of HOST:PORT in a member's row.
constexpr std::size_t where_field = 1;

std::string from_base64(const std::string& text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string out(base64::decoded_size(text.size()), '\0');
    out.resize(base64::decode(out.data(), text.data(), text.size()).first);
    return out;
}

} // namespace

result<std::vector<member_view>> parse_member_views(const std::string& text)
{
    std::vector<member_view> out;
    std::istringstream list(text);
    std::string one;
    while (std::getline(list, one, ','))
    {
        const auto sign = one.find('=');
        if (sign == std::string::npos)
            return failure{"no view: '" + one + "'"};
        BOOST_OUTCOME_TRY(auto links, host_port::parse(one.substr(sign + 1)));
        member_view view{0, links.host, links.port};
        const auto* last = one.data() + sign;
        const auto read = std::from_chars(one.data(), last, view.port);
        if (read.ec != std::errc{} || read.ptr != last || view.port == 0)
            return failure{"no view: '" + one + "'"};
        out.push_back(std::move(view));
    }
    return out;
}

std::string rewritten_member(const member_view& view, const std::string& value)
{
    boost::system::error_code ec;
    auto row = json::parse(from_base64(value), ec);
    if (ec || !row.is_array() || row.get_array().size() <= where_field)
        return value;
    auto& field = row.get_array()[where_field];
    if (!field.is_string())
        return value;
    auto where = host_port::parse(std::string(field.get_string()));
    if (!where || where.value().host == view.host)
        return value;
    where.value().port = view.links;
    field = where.value().to_string();
    return platform::to_base64(json::serialize(row));
}

} // namespace glenhollow
