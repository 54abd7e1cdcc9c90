#ifndef GLENHOLLOW_COMMAND_LINE_LIMITS_PAGE_HPP
#define GLENHOLLOW_COMMAND_LINE_LIMITS_PAGE_HPP

#include <string>

namespace glenhollow
{

/// @return The limits of what clients and other processes may send, as
/// Markdown, with their defaults.
std::string limits_page();

} // namespace glenhollow

#endif
