#ifndef GLENHOLLOW_DURABLE_DURABLE_JOBS_HPP
#define GLENHOLLOW_DURABLE_DURABLE_JOBS_HPP

#include "glenhollow/durable/job_coordinator.hpp"
#include "glenhollow/durable/queue_catalog.hpp"

#include <functional>
#include <string>

namespace glenhollow
{

/// What callers can ask of an entry about durable jobs. The adapter of the
/// callers' side speaks to this; so do tests.
class durable_jobs
{
public:
    virtual ~durable_jobs() = default;

    /// @return The newest queues; version 0 while there are none.
    virtual const queue_catalog& catalog() const = 0;

    /// @param job Of a queue of the catalog, with a checked form.
    /// @param done Told the end: of a journalled job that it is kept, of one
    /// in memory how it ended.
    /// @return Withdraws a job in memory; empty for a journalled one.
    virtual std::function<void()> submit(const job_definition& job,
                                         job_reply_handler done) = 0;

    /// @param id A job.
    /// @param done Told the end.
    virtual void cancel(job_id id, job_reply_handler done) = 0;

    /// @param id A job.
    /// @param done Told its state.
    virtual void state(job_id id, job_reply_handler done) = 0;

    /// @param queue A queue.
    /// @return Its accepted jobs of which no task has begun.
    virtual std::uint32_t pending(const std::string& queue) const = 0;
};

} // namespace glenhollow

#endif
