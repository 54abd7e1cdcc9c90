#ifndef GLENHOLLOW_DURABLE_DURABLE_JOBS_HPP
#define GLENHOLLOW_DURABLE_DURABLE_JOBS_HPP

#include "glenhollow/durable/job_coordinator.hpp"
#include "glenhollow/durable/queue_catalog.hpp"

#include <functional>
#include <string>

namespace glenhollow
{

/// Interface to the durable jobs of an entry, used by the HTTP adapter and
/// by tests.
class durable_jobs
{
public:
    virtual ~durable_jobs() = default;

    /// @return The newest queue catalog; version 0 until one is loaded.
    virtual const queue_catalog& catalog() const = 0;

    /// Submits a job.
    /// @param job A validated job of a queue in the catalog.
    /// @param done Called once a journalled job is durable, or once an
    /// in-memory job has ended.
    /// @return Withdraws an in-memory job; empty for a journalled one.
    virtual std::function<void()> submit(const job_definition& job,
                                         job_reply_handler done) = 0;

    /// Cancels a job.
    /// @param done Called with the result.
    virtual void cancel(job_id id, job_reply_handler done) = 0;

    /// Queries the state of a job.
    /// @param done Called with the result.
    virtual void state(job_id id, job_reply_handler done) = 0;

    /// @return Number of accepted jobs of a queue that have not started.
    virtual std::uint32_t pending(const std::string& queue) const = 0;
};

} // namespace glenhollow

#endif
