#ifndef GLENHOLLOW_CORE_PORT_FILE_HPP
#define GLENHOLLOW_CORE_PORT_FILE_HPP

#include "glenhollow/core/result.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>

namespace glenhollow
{

/// Writes the ports that the kernel picked, so that a script can read them.
/// The file appears whole or not at all.
/// @param path The file; nothing is written when it is empty.
/// @param ports In the order that the program's page says.
/// @return Nothing, or why it cannot be written.
result<void> write_port_file(const std::string& path,
                             std::initializer_list<std::uint16_t> ports);

} // namespace glenhollow

#endif
