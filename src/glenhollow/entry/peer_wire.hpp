#ifndef GLENHOLLOW_ENTRY_PEER_WIRE_HPP
#define GLENHOLLOW_ENTRY_PEER_WIRE_HPP

#include "glenhollow/entry/job.hpp"
#include "glenhollow/entry/peer_links.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

namespace glenhollow
{

/// Writes an answer into a message.
void fill(wire::Answer::Builder out, const job_answer& answer);

/// Reads an answer from a message.
job_answer to_answer(wire::Answer::Reader from);

/// Writes demand into a message.
/// @param out List of the message; its size must be that of `demand`.
/// @param demand Demand of each client account.
void fill(capnp::List<wire::TeamDemand>::Builder out,
          const std::vector<team_demand>& demand);

/// Reads demand from a message.
std::vector<team_demand> to_demand(capnp::List<wire::TeamDemand>::Reader from);

/// Writes members into a message.
/// @param out List of the message; its size must be that of `members`.
/// @param members Members by name.
void fill(capnp::List<wire::Member>::Builder out, const member_map& members);

/// Reads members from a message. Skips members with an unknown role, an unknown
/// state or an invalid address.
std::vector<member> to_members(capnp::List<wire::Member>::Reader from);

/// @return A view of the string as Cap'n Proto bytes; the string must outlive
/// it.
kj::ArrayPtr<const kj::byte> as_bytes(const std::string& text);

/// @return A copy of a message's bytes as a string.
std::string to_string(capnp::Data::Reader data);

} // namespace glenhollow

#endif
