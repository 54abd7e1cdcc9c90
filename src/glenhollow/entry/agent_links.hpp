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
    std::string hall = "hall";           ///< Of the entry.
    std::string entry = "entry";         ///< Its name.
    std::uint64_t incarnation = 0;       ///< Its start.
    std::uint32_t shard = 0;             ///< Which traffic thread.
    std::size_t starts_per_call = 1;     ///< Of one job, at most.
    duration heartbeat = seconds{10};    ///< Idle links say so this often.
    duration probe_after = seconds{3};   ///< Silence with tasks out there.
    duration reply_timeout = seconds{2}; ///< For hello and ping.
    duration resend_window = seconds{3}; ///< A broken link may come back.
    duration initial_backoff = milliseconds{50}; ///< Of reconnects.
    duration max_backoff = seconds{2};           ///< The doubling ends here.
    duration departed_link_retention =
        seconds{900}; ///< Places of VMs that are gone.
};

/// Messages over the links, by kind.
struct agent_links_stats
{
    std::uint64_t start_calls = 0;     ///< Calls with starts.
    std::uint64_t starts = 0;          ///< Starts in them.
    std::uint64_t replies = 0;         ///< Answers with results.
    std::uint64_t pings = 0;           ///< Heartbeats and probes, both ways.
    std::uint64_t hellos = 0;          ///< Sessions opened, both ways.
    std::uint64_t refused_starts = 0;  ///< Starts answered not_run.
    std::uint64_t repeated_starts = 0; ///< Sent again after a broken link.
    std::uint64_t configurations = 0;  ///< Pushed to agents, both ways.
    std::uint64_t breaks = 0;          ///< Links that broke.
};

/// One row of `show runners` as a shard sees it.
struct runner_row
{
    std::string name;                 ///< The runner's VM.
    std::string hall;                 ///< Where it stands.
    std::string state;                ///< up, down, draining, ejected, ...
    std::int32_t slots = 0;           ///< Tasks it can run at once.
    std::int32_t in_flight = 0;       ///< Our tasks there.
    std::uint64_t started = 0;        ///< Starts we sent.
    std::uint64_t refused = 0;        ///< Of them, answered not_run.
    std::uint64_t config_version = 0; ///< In force at the agent.
};

/// The links of one entry shard to its agents. A link that breaks comes back
/// to the same agent incarnation and repeats what it had sent, which the agent
/// tells from new; otherwise those tasks end as `may_have_run`. Runs inside an
/// rpc_loop.
class agent_links final : public start_sender
{
public:
    /// @param io The loop's context.
    /// @param clock The entry's clock; outlives the links.
    /// @param settings Limits.
    agent_links(boost::asio::io_context& io, const clock_source& clock,
                const agent_links_settings& settings);
    ~agent_links() override;

    /// @param owner Told of loads and ends; outlives the links.
    /// @param events Called after it was told, to place more tasks.
    void attach(coordinator& owner, std::function<void()> on_events);

    /// Opens links to new agents, closes those to agents that are gone.
    /// @param agents All that this shard is to be linked with.
    void set_agents(const std::vector<member>& agents);

    void send(runner_index runner, std::vector<outgoing_start> starts) override;
    void acknowledge(runner_index runner,
                     const std::vector<task_key>& keys) override;

    /// Drops all connections; called inside the rpc_loop, before its end.
    void close();

    /// Heartbeats, probes and reconnects that are due.
    void tick();

    /// @param newer The configuration in force here; older agents get it.
    void set_configuration(const configuration& newer);

    /// Sets which runners get no new work, besides those whose agents say so.
    /// @param drains By name, with the cause.
    void set_drains(const std::map<std::string, reason>& drains);

    /// @return The highest configuration version that an agent has reported
    /// and that agent's name.
    std::pair<std::uint64_t, std::string> newest_agent() const;

    /// @param name A runner.
    /// @return Its place, or nothing.
    std::optional<runner_index> index_of(const std::string& name) const;

    /// @param runner A place.
    /// @return The runner's name, or "?" when it is forgotten.
    std::string name_of(runner_index runner) const;

    /// @return One row for each runner.
    std::vector<runner_row> rows() const;

    /// @param settings Limits that may change: starts per call and times.
    void apply(const agent_links_settings& settings);

    /// @return Counters.
    const agent_links_stats& stats() const { return stats_; }

    /// @return Bytes over all links.
    const stream_stats& bytes() const { return bytes_; }

    /// @param page Gets the metrics of the links.
    void collect(metric_page& page) const;

private:
    struct link;
    struct agent_load;

    void connect(link& to);
    void on_connected(link& to, boost::asio::ip::tcp::socket socket);
    void send_hello(link& to);
    void on_link_broken(link& at, std::uint64_t generation);
    void fail_outstanding(link& at, reason why);
    void send_starts(link& to, std::vector<outgoing_start> starts);
    void on_reply(link& from, std::uint64_t generation,
                  std::vector<task_end> ends, const load_report& report);
    void ping(link& to);
    void push_configuration(link& to);
    load_report update_load(link& from, const agent_load& load);
    runner_index allocate_index();

    boost::asio::io_context& io_;                 ///< The loop's context.
    const clock_source& clock_;                   ///< The entry's clock.
    agent_links_settings settings_;               ///< Limits.
    coordinator* owner_ = nullptr;                ///< Told of ends.
    std::function<void()> on_events_;             ///< Called after that.
    std::vector<std::unique_ptr<link>> links_;    ///< By runner index.
    std::map<std::string, runner_index> by_name_; ///< Of links in use.
    std::uint64_t last_generation_ = 0;           ///< Counts connections.
    configuration configuration_;                 ///< In force here.
    std::map<std::string, reason> drains_;        ///< Runners without new work.
    stream_stats bytes_;                          ///< Over all links.
    agent_links_stats stats_;                     ///< Counters.
};

} // namespace glenhollow

#endif
