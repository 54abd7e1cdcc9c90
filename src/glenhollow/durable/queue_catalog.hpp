#ifndef GLENHOLLOW_DURABLE_QUEUE_CATALOG_HPP
#define GLENHOLLOW_DURABLE_QUEUE_CATALOG_HPP

#include "glenhollow/core/result.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace glenhollow
{

/// Configuration of one queue.
struct queue_rule
{
    std::string name;
    std::string host;    ///< The host that requests to the queue name.
    std::string prefix;  ///< The path prefix of requests to the queue.
    std::string service; ///< The service whose backend servers run its tasks.
    std::uint32_t priority = 0;     ///< 0 is the highest.
    std::uint32_t max_attempts = 1; ///< The maximum number of runs of a task.
    double stretch = 1.0; ///< The job's objective as a multiple of its longest
                          ///< chain of steps.
    std::uint32_t target_ms = 0; ///< Time added to the job's objective, ms.
};

/// One version of the configured queues. Only a higher version replaces a lower
/// one.
class queue_catalog final
{
public:
    /// Adds a queue. Of two queues with the same host and prefix the first one
    /// is used.
    void add(queue_rule rule);

    /// @param queues The number of queues that will be added.
    void reserve(std::size_t queues) { queues_.reserve(queues); }

    /// @return All queues in the order in which they were added.
    const std::vector<queue_rule>& queues() const { return queues_; }

    /// @param host The host that the request names, perhaps with a port.
    /// @param path The path of the request.
    /// @return The queue with the longest matching prefix, or null.
    const queue_rule* find(std::string_view host, std::string_view path) const;

    std::uint64_t version = 0; ///< Version of the configuration; 0: none yet.
    std::size_t max_body_bytes = 262'144; ///< Maximum size of a request body.

private:
    /// Hashes a host name without copying it.
    struct host_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view host) const
        {
            return std::hash<std::string_view>{}(host);
        }
    };

    /// Indices into queues_ by prefix.
    using prefixes = std::map<std::string, std::size_t, std::less<>>;

    std::vector<queue_rule> queues_; ///< Queues in the order in which they were
                                     ///< added.
    std::unordered_map<std::string, prefixes, host_hash, std::equal_to<>>
        by_host_; ///< Index for the lookup of requests.
};

/// Parses one document in slices, so that requests are answered in between.
class catalog_reader
{
public:
    virtual ~catalog_reader() = default;

    /// Parses the next slice.
    /// @return The queues or the parse error; nothing while the document is
    /// incomplete.
    virtual std::optional<result<queue_catalog>> step() = 0;
};

/// Starts to parse a document, which must outlive the reader.
using catalog_parser =
    std::function<std::unique_ptr<catalog_reader>(std::string_view document)>;

/// Checks the steps and sizes of a job that a caller or another entry sent.
/// @return Success, or which field is wrong.
result<void> check_job_definition(const job_definition& job);

/// Completes a caller's job from the rules of its queue.
/// @param job A job whose `expiry_ms` is the time that its caller waits, in
/// ms; 0 if the caller gave none.
/// @param rule The rule of its queue.
/// @param now_ms Wall-clock time in ms since 1970.
/// @return The job as it is journalled, or which field is wrong.
result<job_definition> admit_job_definition(job_definition job,
                                            const queue_rule& rule,
                                            std::int64_t now_ms);

/// Maximum size of a job's specification in bytes.
inline constexpr std::size_t max_spec_bytes = 4000;

/// Maximum number of steps of a caller's job. Steps name earlier steps, so the
/// cost of finding the steps that can start is quadratic in their number.
inline constexpr std::size_t max_job_steps = 1000;

/// Maximum number of tasks of a job.
inline constexpr std::size_t max_job_tasks = 10'000;

} // namespace glenhollow

#endif
