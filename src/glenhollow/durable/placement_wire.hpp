#ifndef GLENHOLLOW_DURABLE_PLACEMENT_WIRE_HPP
#define GLENHOLLOW_DURABLE_PLACEMENT_WIRE_HPP

#include "glenhollow/durable/dispatcher.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

#include <map>
#include <string>
#include <vector>

namespace glenhollow
{

/// Changes that an entry sends to its placer.
struct placement_update
{
    bool restart = false; ///< Whether the placer drops all earlier tasks of the
                          ///< entry.
    queue_changes changes;                ///< Changes of its waiting tasks.
    std::vector<declined_grant> declined; ///< Grants that it did not use.

    /// @return Whether there is nothing to send.
    bool empty() const
    {
        return !restart && changes.empty() && declined.empty();
    }
};

/// Writes an update.
/// @param out Receives the update.
/// @param now The sender's time; start times are sent relative to it.
void fill(wire::PlacementSession::WantParams::Builder out,
          const placement_update& message, instant now);

/// Reads an update.
/// @param in The update on the wire.
/// @param now The receiver's time.
/// @return The update, with start times on the receiver's clock.
placement_update from_wire(wire::PlacementSession::WantParams::Reader in,
                           instant now);

/// Writes loads.
/// @param out Receives the loads.
void fill(wire::PlacementSession::WantResults::Builder out,
          const std::map<std::string, placement_load>& loads);

/// @param in The load of one service on the wire.
/// @return The load; invalid amounts are 0.
placement_load load_from(wire::PlacementLoad::Reader in);

/// @return The loads by service.
std::map<std::string, placement_load>
from_wire(wire::PlacementSession::WantResults::Reader in);

/// @param out Receives the grant.
void fill(wire::TaskGrant::Builder out, const task_grant& grant);

/// @param in The grant on the wire.
task_grant from_wire(wire::TaskGrant::Reader in);

} // namespace glenhollow

#endif
