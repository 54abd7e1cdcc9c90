#ifndef GLENHOLLOW_AGENT_AGENT_SERVICE_HPP
#define GLENHOLLOW_AGENT_AGENT_SERVICE_HPP

#include "glenhollow/agent/task_executor.hpp"
#include "glenhollow/configuration/configuration.hpp"
#include "glenhollow/core/clock.hpp"
#include "glenhollow/telemetry/metrics.hpp"
#include "glenhollow/telemetry/trace.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace glenhollow
{

/// Counters of the calls that an agent has received from entries.
struct agent_service_stats
{
    std::uint64_t start_calls = 0; ///< Calls of `start`.
    std::uint64_t starts = 0;      ///< Task starts in these calls.
    std::uint64_t pings = 0;       ///< Calls of `ping`.
    std::uint64_t hellos = 0;      ///< Calls of `hello`; each opens a session.
    std::uint64_t fences = 0;      ///< Entry incarnations fenced.
    std::uint64_t fences_declined = 0; ///< Fences declined: entry alive.
    std::uint64_t stale_starts = 0;    ///< Starts over a replaced session.
};

/// Identifies the session of one entry shard.
struct session_key
{
    std::uint64_t incarnation = 0; ///< Incarnation of the entry process.
    std::uint32_t shard = 0;       ///< Index of the entry's traffic thread.

    auto operator<=>(const session_key&) const = default;
};

/// Implements an agent's RPC interface: sessions of entries, task starts,
/// fencing, drain and configuration. Not thread-safe.
class agent_service final
{
public:
    /// Called with the merged configuration after it has changed.
    using configuration_handler = std::function<void(const configuration&)>;

    /// @param clock The agent's clock; must outlive the service.
    /// @param executor Runs the tasks; must outlive the service.
    /// @param incarnation Random number that identifies this agent process.
    /// @param spans Receives trace spans; null disables tracing.
    /// @param on_configuration Called after each configuration change.
    agent_service(const clock_source& clock, task_executor& executor,
                  std::uint64_t incarnation, span_exporter* spans,
                  configuration_handler on_configuration);

    /// @return The RPC bootstrap interface; it must not outlive the service.
    wire::Agent::Client bootstrap();

    /// Discards the last contact time of entries that have been silent longer
    /// than the retention period.
    /// @param retention Retention period; at least that of the start records.
    void tick(duration retention);

    /// Adds the metrics of the service and its executor to a page.
    void collect(metric_page& page) const;

    const agent_service_stats& stats() const { return stats_; }

private:
    class agent_server;
    class session_server;
    struct batch;

    void fill_load(wire::Load::Builder load) const;
    void start_traced(task_start task, capnp::Text::Reader traceparent,
                      task_executor::handler done);
    void write_spans(span& agent_span, const start_record& record);
    void complete_task(batch& batch, std::size_t index,
                       const start_record& record);
    void fill_reply(const batch& batch, wire::StartReply::Builder reply) const;
    void fence(std::uint64_t incarnation, duration liveness_window,
               wire::Agent::FenceResults::Builder results);
    bool is_entry_alive(std::uint64_t incarnation,
                        duration liveness_window) const;
    bool is_current_session(const session_key& key,
                            std::uint64_t generation) const;

    const clock_source& clock_;
    task_executor& executor_;
    std::uint64_t incarnation_;              ///< Identifies this agent process.
    span_exporter* spans_;                   ///< May be null.
    configuration_handler on_configuration_; ///< Called after each change.
    configuration configuration_;            ///< Merged from all received.
    /// Newest generation of each session.
    std::map<session_key, std::uint64_t> sessions_;
    /// Time of the last call of each entry incarnation.
    std::unordered_map<std::uint64_t, instant> last_heard_;
    agent_service_stats stats_;
    latency_summary wait_seconds_; ///< Queueing time of tasks.
    latency_summary run_seconds_;  ///< Run time of tasks at the backend server.
};

} // namespace glenhollow

#endif
