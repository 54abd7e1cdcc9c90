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

/// What came in over links and was not worth its message, by kind.
struct agent_service_stats
{
    std::uint64_t start_calls = 0;     ///< Calls that carried starts.
    std::uint64_t starts = 0;          ///< Starts in them.
    std::uint64_t pings = 0;           ///< Calls that carried none.
    std::uint64_t hellos = 0;          ///< Sessions opened.
    std::uint64_t fences = 0;          ///< Incarnations fenced.
    std::uint64_t fences_declined = 0; ///< Fences declined.
    std::uint64_t stale_starts = 0;    ///< Starts over a replaced link.
};

/// Names an entry's session: one link of one shard.
struct session_key
{
    std::uint64_t incarnation = 0; ///< The entry's start.
    std::uint32_t shard = 0;       ///< The entry's traffic thread.

    auto operator<=>(const session_key&) const = default;
};

/// The state behind an agent's RPC interface: its sessions, its executor and
/// the configuration it was told. One thread.
class agent_service final
{
public:
    /// Called when the configuration has become newer.
    using configuration_handler = std::function<void(const configuration&)>;

    /// @param clock The agent's clock; outlives the service.
    /// @param executor Runs the tasks; outlives the service.
    /// @param incarnation Random number of this start of the agent.
    /// @param spans Where spans go, or null.
    /// @param configured Told of each newer configuration.
    agent_service(const clock_source& clock, task_executor& executor,
                  std::uint64_t incarnation, span_exporter* spans,
                  configuration_handler on_configuration);

    /// @return The RPC interface; it refers to this service.
    wire::Agent::Client bootstrap();

    /// Forgets entries that have been silent for long.
    /// @param retention Longer than their starts are remembered.
    void tick(duration retention);

    /// @param page Gets the metrics of this service.
    void collect(metric_page& page) const;

    /// @return Counters.
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

    const clock_source& clock_;              ///< The agent's clock.
    task_executor& executor_;                ///< Runs the tasks.
    std::uint64_t incarnation_;              ///< This start of the agent.
    span_exporter* spans_;                   ///< May be null.
    configuration_handler on_configuration_; ///< Told of newer configurations.
    configuration configuration_;            ///< Newest seen.
    std::map<session_key, std::uint64_t> sessions_; ///< Newest generations.
    std::unordered_map<std::uint64_t, instant> last_heard_; ///< By incarnation.
    agent_service_stats stats_;                             ///< Counters.
    latency_summary wait_seconds_; ///< Time of tasks in the queue.
    latency_summary run_seconds_;  ///< Time of tasks at the runner.
};

} // namespace glenhollow

#endif
