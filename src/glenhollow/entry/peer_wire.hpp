#ifndef GLENHOLLOW_ENTRY_PEER_WIRE_HPP
#define GLENHOLLOW_ENTRY_PEER_WIRE_HPP

#include "glenhollow/entry/job.hpp"
#include "glenhollow/entry/peer_links.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

namespace glenhollow
{

/// Writes an answer into a message.
/// @param out The message.
/// @param answer The answer.
void fill(wire::Answer::Builder out, const job_answer& answer);

/// @param from A message.
/// @return The answer in it.
job_answer to_answer(wire::Answer::Reader from);

/// Writes demand into a message.
/// @param out The message's list, of the right size.
/// @param demand Of each team.
void fill(capnp::List<wire::TeamDemand>::Builder out,
          const std::vector<team_demand>& demand);

/// @param from A message's list.
/// @return The demand in it.
std::vector<team_demand> to_demand(capnp::List<wire::TeamDemand>::Reader from);

/// Writes members into a message.
/// @param out The message's list, of the right size.
/// @param members By name.
void fill(capnp::List<wire::Member>::Builder out, const member_map& members);

/// @param from A message's list.
/// @return The members in it that make sense.
std::vector<member> to_members(capnp::List<wire::Member>::Reader from);

/// @param text Any bytes.
/// @return The same as Cap'n Proto takes them.
kj::ArrayPtr<const kj::byte> as_bytes(const std::string& text);

/// @param data Bytes of a message.
/// @return The same as a string.
std::string to_string(capnp::Data::Reader data);

} // namespace glenhollow

#endif
