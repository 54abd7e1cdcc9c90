#ifndef GLENHOLLOW_TESTS_HOSTILE_CONNECTION_HPP
#define GLENHOLLOW_TESTS_HOSTILE_CONNECTION_HPP

#include "glenhollow/http/client.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace glenhollow::hostile
{

/// @param host IP address.
/// @return A port that no process uses there.
std::uint16_t free_port(const std::string& host);

/// Sends one request on a connection of its own and waits for the answer.
/// @return The HTTP status; nothing if the connection ended without one.
std::optional<unsigned> status_of(const host_port& server,
                                  const std::string& request);

} // namespace glenhollow::hostile

#endif
