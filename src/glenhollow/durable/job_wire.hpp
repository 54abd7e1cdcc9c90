#ifndef GLENHOLLOW_DURABLE_JOB_WIRE_HPP
#define GLENHOLLOW_DURABLE_JOB_WIRE_HPP

#include "glenhollow/durable/job_coordinator.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

namespace glenhollow
{

/// Writes a job reply to the wire.
void fill(wire::JobAnswer::Builder out, const job_reply& reply);

/// Reads a job reply from the wire.
job_reply from_wire(wire::JobAnswer::Reader in);

/// Writes an in-memory job to the wire, its times relative to now.
/// @param now_ms Wall clock of the sender, Unix ms.
void fill(wire::HandedJob::Builder out, const job_definition& job,
          std::int64_t now_ms);

/// Reads a job from the wire and converts its times to the receiver's clock.
/// @param now_ms Wall clock of the receiver, Unix ms.
job_definition from_wire(wire::HandedJob::Reader in, std::int64_t now_ms);

} // namespace glenhollow

#endif
