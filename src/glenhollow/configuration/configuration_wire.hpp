#ifndef GLENHOLLOW_CONFIGURATION_CONFIGURATION_WIRE_HPP
#define GLENHOLLOW_CONFIGURATION_CONFIGURATION_WIRE_HPP

#include "glenhollow/configuration/configuration.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

#include <cstdint>

namespace glenhollow
{

/// Writes the rows that changed after the receiver's version.
/// @param since Version that the receiver has.
void fill(wire::Configuration::Builder out, const configuration& from,
          std::uint64_t since);

/// Merges the rows of a message; a message that is not newer is ignored.
/// @return Whether the message was newer.
bool merge(configuration& into, wire::Configuration::Reader from);

} // namespace glenhollow

#endif
