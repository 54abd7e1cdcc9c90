#ifndef GLENHOLLOW_DURABLE_JOB_WIRE_HPP
#define GLENHOLLOW_DURABLE_JOB_WIRE_HPP

#include "glenhollow/durable/job_coordinator.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

namespace glenhollow
{

/// @param out Gets the answer.
/// @param reply An answer to a call for a job.
void fill(wire::JobAnswer::Builder out, const job_reply& reply);

/// @param in An answer on the wire.
/// @return The answer.
job_reply from_wire(wire::JobAnswer::Reader in);

/// @param out Gets the job, its times as lengths from now on.
/// @param job One in memory.
/// @param now_ms The sender's time of day, ms since 1970.
void fill(wire::HandedJob::Builder out, const job_definition& job,
          std::int64_t now_ms);

/// @param in A job on the wire.
/// @param now_ms The receiver's time of day, ms since 1970.
/// @return The job, by the receiver's time of day.
job_definition from_wire(wire::HandedJob::Reader in, std::int64_t now_ms);

} // namespace glenhollow

#endif
