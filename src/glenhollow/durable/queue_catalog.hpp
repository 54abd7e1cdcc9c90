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
class queue_catalog final
{
public:
    /// @param rule One more queue. Of two with one host and prefix the first
    /// counts.
    void add(queue_rule rule);

    /// @param queues That will be added.
    void reserve(std::size_t queues) { queues_.reserve(queues); }

    /// @return All, as they were added.
    const std::vector<queue_rule>& queues() const { return queues_; }

    /// @param host As the request names it, perhaps with a port.
    /// @param path Of the request.
    /// @return The queue with the longest matching prefix, or null.
    const queue_rule* find(std::string_view host, std::string_view path) const;

    std::uint64_t version = 0;            ///< 0: none yet.
    std::size_t max_body_bytes = 262'144; ///< Of a request.

private:
    /// Hashes a host without a copy of it.
    struct host_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view host) const
        {
            return std::hash<std::string_view>{}(host);
        }
    };

    /// Places in queues_, by prefix.
    using prefixes = std::map<std::string, std::size_t, std::less<>>;

    std::vector<queue_rule> queues_; ///< As they were added.
    std::unordered_map<std::string, prefixes, host_hash, std::equal_to<>>
        by_host_; ///< What a request is looked up in.
};

/// Reads one document in slices, so that requests are answered in between.
class catalog_reader
{
public:
    virtual ~catalog_reader() = default;

    /// Reads on for one slice.
    /// @return The queues or what is wrong, once that is known.
    virtual std::optional<result<queue_catalog>> step() = 0;
};

/// Begins to read a document, which outlives the reading.
using catalog_parser =
    std::function<std::unique_ptr<catalog_reader>(std::string_view document)>;

/// @param job A job.
/// @return Whether it could have been admitted, or which field is wrong.
result<void> check_job_definition(const job_definition& job);

/// @param job Its form is checked, and its objective set; its `expiry_ms`
/// says how long its caller waits, 0 where it does not.
/// @param rule Of its queue.
/// @param now_ms Wall time, ms since 1970.
/// @return The job as it will be journalled, or which field is wrong.
result<job_definition> admit_job_definition(job_definition job,
                                            const queue_rule& rule,
                                            std::int64_t now_ms);

/// Most bytes of a job's specification.
inline constexpr std::size_t max_spec_bytes = 4000;

/// Most steps of a job that a caller brings. Each names earlier ones, so that
/// the work to know which can begin grows with their square.
inline constexpr std::size_t max_job_steps = 1000;

/// Most tasks of a job.
inline constexpr std::size_t max_job_tasks = 10'000;

} // namespace glenhollow

#endif
