#ifndef GLENHOLLOW_DURABLE_PLACEMENT_WIRE_HPP
#define GLENHOLLOW_DURABLE_PLACEMENT_WIRE_HPP

#include "glenhollow/durable/dispatcher.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

#include <map>
#include <string>
#include <vector>

namespace glenhollow
{

/// What an entry tells its placer.
struct placement_update
{
    bool restart = false;                 ///< Forget what was wanted before.
    queue_changes changes;                ///< Of its waiting tasks.
    std::vector<declined_grant> declined; ///< Grants that it did not use.

    /// @return Whether there is nothing to tell.
    bool empty() const
    {
        return !restart && changes.empty() && declined.empty();
    }
};

/// @param out Gets the message.
/// @param message What is told.
/// @param now The sender's time.
void fill(wire::PlacementSession::WantParams::Builder out,
          const placement_update& message, instant now);

/// @param in A message.
/// @param now The receiver's time.
/// @return What was told, in the receiver's time.
placement_update from_wire(wire::PlacementSession::WantParams::Reader in,
                           instant now);

/// @param out Gets the loads.
/// @param loads By service.
void fill(wire::PlacementSession::WantResults::Builder out,
          const std::map<std::string, placement_load>& loads);

/// @param in One service's load on the wire.
/// @return It; amounts that are none are 0.
placement_load load_from(wire::PlacementLoad::Reader in);

/// @param in Loads on the wire.
/// @return The loads, by service.
std::map<std::string, placement_load>
from_wire(wire::PlacementSession::WantResults::Reader in);

/// @param out Gets the grant.
/// @param grant A grant.
void fill(wire::TaskGrant::Builder out, const task_grant& grant);

/// @param in A grant on the wire.
/// @return The grant.
task_grant from_wire(wire::TaskGrant::Reader in);

} // namespace glenhollow

#endif
