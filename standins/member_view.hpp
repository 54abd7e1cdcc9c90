#ifndef STANDINS_MEMBER_VIEW_HPP
#define STANDINS_MEMBER_VIEW_HPP

#include "glenhollow/core/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace glenhollow
{

/// What one reader of the store is shown: the links of all other members at a
/// port of its own, where proxies listen that it alone calls. So every link
/// between two processes can be disturbed, and the programs know nothing of it.
struct member_view
{
    std::uint16_t port = 0;  ///< Where this reader finds the store.
    std::string host;        ///< The reader's; its own row is left alone.
    std::uint16_t links = 0; ///< Port at which it is shown the others.
};

/// @param text PORT=HOST:LINKS[,PORT=HOST:LINKS...], may be empty.
/// @return The views, or what is wrong with one of them.
result<std::vector<member_view>> parse_member_views(const std::string& text);

/// @param view Whose.
/// @param value Of a row of the table of members, in base64.
/// @return What the reader is shown; a value of another form as it is.
std::string rewritten_member(const member_view& view, const std::string& value);

} // namespace glenhollow

#endif
