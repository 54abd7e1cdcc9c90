#ifndef GLENHOLLOW_ENTRY_CONTROL_PLANE_HPP
#define GLENHOLLOW_ENTRY_CONTROL_PLANE_HPP

#include "glenhollow/configuration/configuration_store.hpp"
#include "glenhollow/entry/agent_control.hpp"
#include "glenhollow/entry/foreign_jobs.hpp"
#include "glenhollow/entry/peer_links.hpp"
#include "glenhollow/entry/shard_group.hpp"
#include "glenhollow/entry/waste_history.hpp"
#include "glenhollow/explain/night_report.hpp"
#include "glenhollow/membership/membership.hpp"
#include "glenhollow/platform/platform_client.hpp"
#include "glenhollow/supervision/supervisor.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace glenhollow
{

/// Settings of an entry's control plane.
struct control_plane_settings
{
    std::string entry = "entry";       ///< The entry's name.
    std::string hall = "hall";         ///< The entry's hall.
    std::uint64_t incarnation = 0;     ///< Random number of this process start.
    platform_client_settings platform; ///< Platform client.
    std::vector<host_port> seeds;      ///< Entries asked for members.
    link_subset_settings subset;       ///< Entries that link to one agent.
    std::string defaults;              ///< Default `set` statements.
    duration poll_interval = seconds{1};     ///< Shortest poll interval.
    duration max_poll_interval = seconds{5}; ///< Longest poll interval.
    duration report_interval = seconds{60};  ///< Interval of report writes.
    night_report_settings night_report;      ///< Night report limits.
};

/// Control plane of an entry: membership, configuration, links to other
/// entries, adoption of jobs, quota shares and the night report. Runs on the
/// control thread, inside an rpc_loop.
class control_plane final
{
public:
    /// @param io The control thread's context.
    /// @param shards The traffic threads; must outlive the control plane.
    /// @param settings Settings of the entry.
    control_plane(boost::asio::io_context& io, shard_group& shards,
                  const control_plane_settings& settings);
    ~control_plane();

    /// Adds the periodic tasks of the control plane to a supervisor.
    void add_periodic_tasks(supervisor& parent);

    /// Applies the stored configuration, starts the first poll and asks the
    /// seeds for members. Call it inside the rpc_loop.
    void start();

    /// Closes all connections. Call it inside the rpc_loop, before the loop
    /// ends.
    void close();

    /// @return The control thread's I/O context.
    boost::asio::io_context& io() { return io_; }

    /// Handles the report of another entry. Fetches its configuration if that
    /// is newer.
    /// @param entry Name of the reporting entry.
    void handle_peer_report(const std::string& entry,
                            const peer_report& report);

    /// @return This entry's name.
    const std::string& entry() const { return settings_.entry; }

    /// @return This entry's hall.
    const std::string& hall() const { return settings_.hall; }

    /// @return The random number of this process start.
    std::uint64_t incarnation() const { return settings_.incarnation; }

    /// @return The known VMs.
    membership& members() { return members_; }

    /// @return The store of the cluster configuration.
    configuration_store& store() { return store_; }

    /// @return The links to other entries.
    peer_links& peers() { return peers_; }

    /// @return The handler of submissions that other entries issued.
    foreign_jobs& foreign() { return foreign_; }

    /// @return The platform client.
    platform_client& platform() { return platform_; }

    /// @return The report lines not yet written to the object store.
    night_report& report() { return report_; }

    /// @return Counts of overhead messages over the last day.
    const waste_history& waste() const { return waste_; }

    /// @return The traffic threads.
    shard_group& shards() { return shards_; }

    /// @return The default settings, without configuration rows.
    const tuning& defaults() const { return defaults_; }

    /// @return The defaults overridden by the configuration rows.
    tuning effective_settings() const;

    /// @param handler Called with each newer configuration.
    void
    on_configuration_changed(std::function<void(const configuration&)> handler)
    {
        configuration_handler_ = std::move(handler);
    }

    /// Adds a line to the night report.
    /// @param kind Kind of the decision.
    /// @param why Reason for the decision.
    /// @param runner Name of the backend server; may be empty.
    /// @param by Name of the operator; may be empty.
    /// @param detail Free text; may be empty.
    void record_decision(decision_kind kind, reason why, std::string runner,
                         std::string by, std::string detail);

    /// Hands the kept answers over to another entry, announces that entry to
    /// the peers and writes the night report.
    /// @param done Called when all steps have ended, also on failure.
    void hand_over_answers(std::function<void()> done);

    /// Announces to the peers that this entry takes no new jobs.
    void announce_stop();

    /// Adds the metrics of the control thread to a page.
    void collect(metric_page& page) const;

    /// Writes the pending lines of the night report to the object store.
    /// @param done Called when the write has ended or was not needed.
    void write_report(std::function<void()> done);

    /// @return The prefix of the object names of an incarnation's reports.
    static std::string report_prefix(const std::string& entry,
                                     std::uint64_t incarnation);

private:
    void poll();
    void apply_members();
    void apply_configuration(const configuration& newer);
    void apply_drains();
    void notify_leaving_agents();
    void distribute_quota_shares();
    double quota_rate(const std::string& team) const;
    void collect_notable_decisions();
    void send_answers(const std::string& holder,
                      std::vector<coordinator::kept_answer> answers,
                      std::function<void()> done);
    void request_members_from_seeds();
    void fetch_configuration_from_agents();

    boost::asio::io_context& io_;     ///< The control thread's I/O context.
    shard_group& shards_;             ///< The traffic threads.
    control_plane_settings settings_; ///< Settings of the entry.
    tuning defaults_;                 ///< Settings without configuration rows.
    platform_client platform_;        ///< Client of the platform.
    membership members_;              ///< The known VMs.
    configuration_store store_;       ///< The cluster configuration.
    peer_links peers_;                ///< Links to other entries.
    agent_control agents_;            ///< Control calls to agents.
    foreign_jobs foreign_; ///< Submissions that other entries issued.
    night_report report_;  ///< Lines not yet written.
    waste_history waste_;  ///< Overhead messages.
    std::function<void(const configuration&)> configuration_handler_;
    std::uint64_t vm_revision_ = 0; ///< Last seen revision of the VM list.
    std::uint64_t last_report_number_ = 0; ///< Last report object.
    bool is_writing_report_ = false;       ///< A report write is in flight.
    instant next_poll_{};                  ///< Time of the next platform poll.
    duration poll_interval_ = seconds{1};  ///< Current poll interval.
    bool is_stopping_ = false;             ///< A planned stop has begun.
    bool is_fetching_configuration_ = false; ///< Fetch in flight.
    std::string holder_; ///< Entry that received the kept answers.
    std::set<std::string> notified_leaving_; ///< Notified agents.
    std::uint64_t quota_messages_ = 0;
};

} // namespace glenhollow

#endif
