#ifndef GLENHOLLOW_DURABLE_QUEUE_CATALOG_HPP
#define GLENHOLLOW_DURABLE_QUEUE_CATALOG_HPP

#include "glenhollow/core/result.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace glenhollow
{

/// What the configuration says of one queue.
struct queue_rule
{
    std::string name;               ///< Of the queue.
    std::string host;               ///< Requests name it.
    std::string prefix;             ///< Their paths begin so.
    std::string service;            ///< Whose runners run its tasks.
    std::uint32_t priority = 0;     ///< 0 goes first.
    std::uint32_t max_attempts = 1; ///< Runs of a task that may fail.
    double stretch = 1.0;           ///< Objective: times the work.
    std::uint32_t target_ms = 0;    ///< Objective: plus this.
};

/// One version of the queues. Only a higher version replaces a lower one.
struct queue_catalog
{
    std::uint64_t version = 0;            ///< 0: none yet.
    std::vector<queue_rule> queues;       ///< In no order.
    std::size_t max_body_bytes = 262'144; ///< Of a request.

    /// @param host As the request names it, perhaps with a port.
    /// @param path Of the request.
    /// @return The queue with the longest matching prefix, or null.
    const queue_rule* find(std::string_view host, std::string_view path) const;
};

/// Reads a version from its document.
using catalog_parser =
    std::function<result<queue_catalog>(std::string_view document)>;

/// @param job Its form is checked, and its objective set; its `give_up_ms`
/// says how long its caller waits, 0 where it does not.
/// @param rule Of its queue.
/// @param now_ms Wall time, ms since 1970.
/// @return The job as it will be journalled, or which field is wrong.
result<job_definition> admit_form(job_definition job, const queue_rule& rule,
                                  std::int64_t now_ms);

/// Most bytes of a job's specification.
inline constexpr std::size_t max_spec_bytes = 4000;

/// Most tasks of a job.
inline constexpr std::size_t max_job_tasks = 10'000;

} // namespace glenhollow

#endif
