#ifndef GLENHOLLOW_COMMAND_LINE_VERSION_HPP
#define GLENHOLLOW_COMMAND_LINE_VERSION_HPP

namespace glenhollow
{

/// The version of all programs.
inline constexpr const char* version = "0.1.0";

} // namespace glenhollow

#endif
