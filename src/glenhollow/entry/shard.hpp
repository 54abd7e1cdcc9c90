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
    coordinator_settings coordinator; ///< Its decisions.
    agent_links_settings links;       ///< Its links.
    http_server_settings http;        ///< Its callers.
    std::uint64_t incarnation = 0;    ///< Start of the entry.
    std::uint64_t seed = 0;           ///< Of its random choices.
};

/// One traffic thread of an entry: callers on one side, links to agents on
/// the other, a coordinator between. Everything but post() and the port is
/// called on its own thread.
class shard final
{
public:
    /// @param settings Limits.
    /// @param backend The entry, for requests that are not this shard's.
    /// @param spans Where spans go, or null.
    /// @return A shard that listens, or why it cannot.
    static result<std::unique_ptr<shard>> create(const shard_settings& settings,
                                                 entry_backend& backend,
                                                 span_exporter* spans);
    ~shard();

    /// Runs on the calling thread until stop().
    void run();

    /// Ends run(); any thread.
    void stop() { loop_.stop(); }

    /// @param work Runs on the shard's thread; any thread may call.
    void post(std::function<void(shard&)> work);

    /// @param work Runs on the shard's thread: now, if that is this one.
    void run_or_post(std::function<void(shard&)> work);

    /// @return The shard whose thread calls, or null.
    static shard* current();

    /// @return The port for callers.
    std::uint16_t port() const { return server_->port(); }

    /// @return Its coordinator.
    coordinator& jobs() { return *coordinator_; }

    /// @return Its links.
    agent_links& links() { return *links_; }

    /// Places tasks after the events of this turn.
    void schedule_dispatch();

    /// @return Decisions that are to be kept in the object store, since the
    /// last call.
    night_report take_notable_decisions();

    /// @param record A decision of this shard.
    /// @return The same with names in place of numbers.
    report_line to_report_line(const decision_record& record) const;

    /// Makes connections close after their next answer.
    void close_after_answers() { server_->close_after_answers(); }

    /// Stops taking callers; those in flight are answered.
    void stop_accepting();

    /// @return Whether no job is in flight and no caller is waiting.
    bool idle() const;

    /// @param page Gets the metrics of this shard.
    void collect(metric_page& page) const;

private:
    shard(const shard_settings& settings, entry_backend& backend,
          span_exporter* spans);
    void set_up();
    void tear_down();
    void schedule_wake();
    void tick_links();

    shard_settings settings_;                  ///< Limits.
    span_exporter* spans_;                     ///< May be null.
    rpc_loop loop_;                            ///< The thread's loop.
    caller_api api_;                           ///< The HTTP interface.
    std::unique_ptr<http_server> server_;      ///< Callers.
    std::unique_ptr<agent_links> links_;       ///< Agents.
    std::unique_ptr<coordinator> coordinator_; ///< Decisions.
    boost::asio::steady_timer wake_timer_;     ///< For the coordinator.
    std::optional<instant> wake_at_;           ///< When it will fire.
    boost::asio::steady_timer link_timer_;     ///< For the links.
    bool dispatch_posted_ = false;             ///< A dispatch will run.
    night_report notable_decisions_;           ///< For the control thread.
};

} // namespace glenhollow

#endif
