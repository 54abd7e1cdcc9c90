#include "glenhollow/http/message.hpp"

#include <boost/algorithm/string/predicate.hpp>

namespace glenhollow
{

std::string_view header_value(const http_headers& headers,
                              std::string_view name)
{
    for (const auto& header : headers)
    {
        if (boost::algorithm::iequals(header.name, name))
            return header.value;
    }
    return {};
}

} // namespace glenhollow
