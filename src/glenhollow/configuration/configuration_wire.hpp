#ifndef GLENHOLLOW_CONFIGURATION_CONFIGURATION_WIRE_HPP
#define GLENHOLLOW_CONFIGURATION_CONFIGURATION_WIRE_HPP

#include "glenhollow/configuration/configuration.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

#include <cstdint>

namespace glenhollow
{

/// Writes the rows that a receiver does not have.
/// @param out The message.
/// @param from The configuration.
/// @param since The receiver's version.
void fill(wire::Configuration::Builder out, const configuration& from,
          std::uint64_t since);

/// Takes the rows of a message; an older configuration changes nothing.
/// @param into Gets newer.
/// @param from The message.
/// @return Whether it got newer.
bool merge(configuration& into, wire::Configuration::Reader from);

} // namespace glenhollow

#endif
