#ifndef GLENHOLLOW_ENTRY_SHARD_HPP
#define GLENHOLLOW_ENTRY_SHARD_HPP

#include "glenhollow/core/result.hpp"
#include "glenhollow/entry/agent_links.hpp"
#include "glenhollow/entry/caller_api.hpp"
#include "glenhollow/entry/coordinator.hpp"
#include "glenhollow/explain/night_report.hpp"
#include "glenhollow/http/server.hpp"
#include "glenhollow/rpc/rpc_loop.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace glenhollow
{

/// Settings of one traffic thread of an entry.
struct shard_settings
{
    coordinator_settings coordinator; ///< Settings of the coordinator.
    agent_links_settings links;       ///< Settings of the agent links.
    http_server_settings http;        ///< Settings of the HTTP server.
    std::uint64_t incarnation = 0;    ///< Random number of the start.
    std::uint64_t seed = 0;           ///< Seed of the random choices.
};

/// One traffic thread of an entry, with an HTTP server for callers, a
/// coordinator and links to agents. All members except post(), stop() and
/// port() must be called on the shard's own thread.
class shard final
{
public:
    /// @param settings Settings of the shard.
    /// @param backend Interface of the entry, which routes requests to shards.
    /// @param spans Exporter of trace spans, or null.
    /// @return A shard that listens on its port, or the error.
    static result<std::unique_ptr<shard>> create(const shard_settings& settings,
                                                 entry_backend& backend,
                                                 span_exporter* spans);
    ~shard();

    /// Runs the shard on the calling thread until stop() is called.
    void run();

    /// Makes run() return. Any thread may call it.
    void stop() { loop_.stop(); }

    /// Runs a function on the shard's thread later. Any thread may call it.
    void post(std::function<void(shard&)> work);

    /// Runs a function at once if the caller is on the shard's thread,
    /// otherwise posts it.
    void run_or_post(std::function<void(shard&)> work);

    /// @return The shard that runs on the calling thread, or null.
    static shard* current();

    /// @return The port of the HTTP server.
    std::uint16_t port() const { return server_->port(); }

    /// @return The coordinator.
    coordinator& jobs() { return *coordinator_; }

    /// @return The links to agents.
    agent_links& links() { return *links_; }

    /// Schedules one dispatch of queued tasks after the current events.
    void schedule_dispatch();

    /// @return Decisions for the night report since the last call.
    night_report take_notable_decisions();

    /// Converts a decision of this shard into a report line, with names in
    /// place of indexes.
    report_line to_report_line(const decision_record& record) const;

    /// Makes each caller connection close after its next answer.
    void close_after_answers() { server_->close_after_answers(); }

    /// Stops accepting connections and jobs. Requests in flight are answered.
    void stop_accepting();

    /// @return Whether no job and no request is in flight.
    bool idle() const;

    /// Adds the metrics of this shard to a page.
    void collect(metric_page& page) const;

private:
    shard(const shard_settings& settings, entry_backend& backend,
          span_exporter* spans);
    void set_up();
    void tear_down();
    void schedule_wake();
    void tick_links();

    shard_settings settings_; ///< Settings of the shard.
    span_exporter* spans_;    ///< Exporter of trace spans; may be null.
    rpc_loop loop_;           ///< Event loop of the thread.
    caller_api api_;          ///< Handler of HTTP requests.
    std::unique_ptr<http_server> server_;      ///< HTTP server for callers.
    std::unique_ptr<agent_links> links_;       ///< Links to agents.
    std::unique_ptr<coordinator> coordinator_; ///< Admits and places jobs.
    boost::asio::steady_timer wake_timer_;     ///< Wakes the coordinator.
    std::optional<instant> wake_at_; ///< Expiry of wake_timer_, if it is set.
    boost::asio::steady_timer link_timer_; ///< Ticks the links.
    bool dispatch_posted_ = false;         ///< A dispatch is scheduled.
    night_report notable_decisions_;       ///< Not yet collected.
};

} // namespace glenhollow

#endif
