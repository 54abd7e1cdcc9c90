#ifndef STANDINS_MEMBER_VIEW_HPP
#define STANDINS_MEMBER_VIEW_HPP

#include "glenhollow/core/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace glenhollow
{

/// View of the members table for one reader: the addresses of all other members
/// have the port of proxies that only this reader uses. Tests can so disturb
/// each link between two processes.
struct member_view
{
    std::uint16_t port = 0;  ///< Store port of this reader.
    std::string host;        ///< Host of the reader; its own row is unchanged.
    std::uint16_t links = 0; ///< Port shown for other members.
};

/// Parses a list of views.
/// @param text PORT=HOST:LINKS[,PORT=HOST:LINKS...], may be empty.
result<std::vector<member_view>> parse_member_views(const std::string& text);

/// Rewrites the address in a member's row for a reader.
/// @param value Value of a row of the members table, in base64.
/// @return The rewritten value; a value of another form is unchanged.
std::string rewritten_member(const member_view& view, const std::string& value);

} // namespace glenhollow

#endif
