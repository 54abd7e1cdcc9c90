#ifndef GLENHOLLOW_HTTP_KEEP_ALIVE_HPP
#define GLENHOLLOW_HTTP_KEEP_ALIVE_HPP

#include "glenhollow/core/clock.hpp"

namespace glenhollow
{

/// When a connection that says nothing is given up. A long wait for changes has
/// no other sign that its connection went silent for good; with these settings
/// it ends after 3 s. A new configuration has to be in force after 2 to 3 s on
/// the deployments of today, at VMs whose connections have held for 3 to 4 s.
struct keep_alive_settings
{
    seconds idle{1};           ///< Silence before the first probe.
    seconds interval{1};       ///< Between probes.
    int probes = 2;            ///< Unanswered: the connection is gone.
    milliseconds unsent{3000}; ///< Bytes that are not acknowledged for so
                               ///< long: the connection is gone, too.
};

/// Lets the kernel find out that a peer has gone.
/// @param socket Its descriptor.
/// @param settings Limits.
/// @return Whether the kernel took all of them.
bool keep_alive(int socket, const keep_alive_settings& settings);

} // namespace glenhollow

#endif
