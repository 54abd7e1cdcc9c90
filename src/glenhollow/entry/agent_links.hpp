#ifndef GLENHOLLOW_ENTRY_AGENT_LINKS_HPP
#define GLENHOLLOW_ENTRY_AGENT_LINKS_HPP

#include "glenhollow/configuration/configuration.hpp"
#include "glenhollow/core/clock.hpp"
#include "glenhollow/entry/coordinator.hpp"
#include "glenhollow/membership/member.hpp"
#include "glenhollow/rpc/asio_stream.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Settings of the links of one entry shard.
struct agent_links_settings
{
    std::string hall = "hall";        ///< Hall of the entry.
    std::string entry = "entry";      ///< Name of the entry.
    std::uint64_t incarnation = 0;    ///< Incarnation of the entry.
    std::uint32_t shard = 0;          ///< Index of the traffic thread.
    std::size_t starts_per_call = 1;  ///< Starts of one job per message.
    duration heartbeat = seconds{10}; ///< Ping interval of an idle link.
    /// Silence before a ping while tasks are in flight.
    duration probe_after = seconds{3};
    duration reply_timeout = seconds{2}; ///< Limit for hello and ping.
    /// Time for a broken link to reconnect before its tasks end.
    duration resend_window = seconds{3};
    duration initial_backoff = milliseconds{50}; ///< First delay of reconnects.
    duration max_backoff = seconds{2}; ///< Largest delay of reconnects.
    /// Time before the index of a removed runner is reused.
    duration departed_link_retention = seconds{900};
};

/// Counters of messages over the links, by kind.
struct agent_links_stats
{
    std::uint64_t start_calls = 0;     ///< Messages with starts.
    std::uint64_t starts = 0;          ///< Starts in those messages.
    std::uint64_t replies = 0;         ///< Answers with results.
    std::uint64_t pings = 0;           ///< Heartbeats and probes, both ways.
    std::uint64_t hellos = 0;          ///< Session openings, both ways.
    std::uint64_t refused_starts = 0;  ///< Starts answered not_run.
    std::uint64_t repeated_starts = 0; ///< Starts resent after a link broke.
    std::uint64_t configurations = 0;  ///< Pushes to agents, both ways.
    std::uint64_t breaks = 0;          ///< Links that broke.
};

/// One row of `show runners` as a shard sees it.
struct runner_row
{
    std::string name;           ///< Name of the runner's VM.
    std::string hall;           ///< Hall of the VM.
    std::string state;          ///< up, down, draining, ejected, ...
    std::int32_t slots = 0;     ///< Tasks that the runner can run at once.
    std::int32_t in_flight = 0; ///< Tasks of this shard at the runner.
    std::uint64_t started = 0;  ///< Starts sent to the runner.
    std::uint64_t refused = 0;  ///< Starts answered not_run.
    std::uint64_t config_version = 0; ///< Version in force at the agent.
};

/// The links of one entry shard to its agents. When a link breaks, it
/// reconnects to the same agent incarnation and resends the starts without an
/// answer; the agent recognizes repeated starts. If the link cannot be restored
/// in time, these tasks end as `may_have_run`. Runs inside an rpc_loop.
class agent_links final : public start_sender
{
public:
    /// @param io The context of the event loop.
    /// @param clock The entry's clock; outlives the links.
    /// @param settings Timeouts and limits.
    agent_links(boost::asio::io_context& io, const clock_source& clock,
                const agent_links_settings& settings);
    ~agent_links() override;

    /// Sets the receiver of loads and ends of tasks.
    /// @param owner The coordinator; outlives the links.
    /// @param on_events Called after the coordinator was notified, to place
    /// more tasks.
    void attach(coordinator& owner, std::function<void()> on_events);

    /// Opens links to new agents and closes links to agents that have left.
    /// @param agents All agents that this shard should be linked to.
    void set_agents(const std::vector<member>& agents);

    void send(runner_index runner, std::vector<outgoing_start> starts) override;
    void acknowledge(runner_index runner,
                     const std::vector<task_key>& keys) override;

    /// Closes all connections. Must be called inside the rpc_loop, before it
    /// ends.
    void close();

    /// Sends due pings, ends links whose replies are overdue, and reconnects.
    void tick();

    /// Pushes a configuration to agents that have an older one.
    /// @param newer The configuration in force at this entry.
    void set_configuration(const configuration& newer);

    /// Sets the runners that get no new work, besides those whose agents report
    /// that they are draining.
    /// @param drains Causes by name of the runner.
    void set_drains(const std::map<std::string, reason>& drains);

    /// @return The highest configuration version that an agent has reported,
    /// and the name of that agent.
    std::pair<std::uint64_t, std::string> newest_agent() const;

    /// @param name Name of a runner.
    /// @return Its index, or nothing if it has no link.
    std::optional<runner_index> index_of(const std::string& name) const;

    /// @param runner Index of a runner.
    /// @return The name of the runner, or "?" for an unknown index.
    std::string name_of(runner_index runner) const;

    /// @return One row per runner, for `show runners`.
    std::vector<runner_row> rows() const;

    /// @param settings New settings; only starts per call, heartbeat and resend
    /// window are applied.
    void apply(const agent_links_settings& settings);

    /// @return Counters of messages since the start.
    const agent_links_stats& stats() const { return stats_; }

    /// @return Traffic of all links.
    const stream_stats& bytes() const { return bytes_; }

    /// Adds the metrics of the links to a page.
    void collect(metric_page& page) const;

private:
    struct link;
    struct agent_load;

    void connect(link& to);
    void on_connected(link& to, boost::asio::ip::tcp::socket socket);
    void send_hello(link& to);
    void on_link_broken(link& target, std::uint64_t generation);
    void fail_outstanding(link& target, reason why);
    void send_starts(link& to, std::vector<outgoing_start> starts);
    void on_reply(link& from, std::uint64_t generation,
                  std::vector<task_end> ends, const load_report& report);
    void ping(link& to);
    void push_configuration(link& to);
    load_report update_load(link& from, const agent_load& load);
    runner_index allocate_index();

    boost::asio::io_context& io_; ///< The event loop.
    const clock_source& clock_;
    agent_links_settings settings_;
    coordinator* owner_ = nullptr;    ///< Receives loads and ends of tasks.
    std::function<void()> on_events_; ///< Called after the coordinator.
    std::vector<std::unique_ptr<link>> links_;    ///< Links by runner index.
    std::map<std::string, runner_index> by_name_; ///< Indices of links in use.
    std::uint64_t last_generation_ = 0;           ///< Numbers the connections.
    configuration configuration_;          ///< Configuration in force here.
    std::map<std::string, reason> drains_; ///< Drained runners and causes.
    stream_stats bytes_;                   ///< Traffic of all links.
    agent_links_stats stats_;
};

} // namespace glenhollow

#endif
