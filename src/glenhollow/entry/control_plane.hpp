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

/// Settings of the control thread of an entry.
struct control_plane_settings
{
    std::string entry = "entry";       ///< Its name.
    std::string hall = "hall";         ///< Where it stands.
    std::uint64_t incarnation = 0;     ///< Its start.
    platform_client_settings platform; ///< Use of the platform.
    std::vector<host_port> seeds;      ///< Entries to ask for members.
    link_subset_settings subset;       ///< Limits of links.
    std::string defaults;              ///< Statements in force without rows.
    duration poll = seconds{1};        ///< Of head row and VM list, in change.
    duration max_poll_interval =
        seconds{5};                     ///< The same while nothing changes.
    duration report = seconds{60};      ///< Between writes of the report.
    night_report_settings night_report; ///< Its limits.
};

/// Everything an entry does besides traffic: membership, configuration, links
/// to other entries, adoption, quotas' shares, the night report. All on the
/// control thread, inside an rpc_loop.
class control_plane final
{
public:
    /// @param io The control thread's context.
    /// @param shards The traffic threads; outlive this.
    /// @param settings Limits.
    control_plane(boost::asio::io_context& io, shard_group& shards,
                  const control_plane_settings& settings);
    ~control_plane();

    /// Adds the periodic parts to the tree.
    /// @param parent Their supervisor.
    void add_periodic_tasks(supervisor& parent);

    /// Begins; called inside the rpc_loop.
    void start();

    /// Drops all connections; called inside the rpc_loop, before its end.
    void close();

    /// @return The control thread's context.
    boost::asio::io_context& io() { return io_; }

    /// Takes what another entry reported.
    /// @param entry Its name.
    /// @param report What it reported.
    void handle_peer_report(const std::string& entry,
                            const peer_report& report);

    /// @return Our name.
    const std::string& entry() const { return settings_.entry; }

    /// @return Our hall.
    const std::string& hall() const { return settings_.hall; }

    /// @return Our incarnation.
    std::uint64_t incarnation() const { return settings_.incarnation; }

    /// @return The VMs.
    membership& members() { return members_; }

    /// @return The configuration.
    configuration_store& store() { return store_; }

    /// @return Links to other entries.
    peer_links& peers() { return peers_; }

    /// @return Submissions of other entries.
    foreign_jobs& foreign() { return foreign_; }

    /// @return The platform.
    platform_client& platform() { return platform_; }

    /// @return What waits for the object store.
    night_report& report() { return report_; }

    /// @return Waste over time.
    const waste_history& waste() const { return waste_; }

    /// @return The traffic threads.
    shard_group& shards() { return shards_; }

    /// @return Defaults of the settings, before rows of the configuration.
    const tuning& defaults() const { return defaults_; }

    /// @return The settings in force.
    tuning effective_settings() const;

    /// @param handler Told of each newer configuration.
    void
    on_configuration_changed(std::function<void(const configuration&)> handler)
    {
        configuration_handler_ = std::move(handler);
    }

    /// Adds a line to the night report.
    /// @param kind What was decided.
    /// @param why Why.
    /// @param runner Which runner, may be empty.
    /// @param by Which operator, may be empty.
    /// @param detail May be empty.
    void record_decision(decision_kind kind, reason why, std::string runner,
                         std::string by, std::string detail);

    /// Begins a planned stop: peers are told, answers handed over.
    /// @param done Called when all is handed over.
    void hand_over_answers(std::function<void()> done);

    /// Tells peers that no new jobs are taken here.
    void announce_stop();

    /// @param page Gets the metrics of the control thread.
    void collect(metric_page& page) const;

    /// Writes the night report now.
    /// @param done Called when it is written or cannot be.
    void write_report(std::function<void()> done);

    /// @return How the kept reports of an incarnation are named.
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

    boost::asio::io_context& io_;     ///< The control thread's context.
    shard_group& shards_;             ///< The traffic threads.
    control_plane_settings settings_; ///< Limits.
    tuning defaults_;                 ///< Before rows.
    platform_client platform_;        ///< The platform.
    membership members_;              ///< The VMs.
    configuration_store store_;       ///< The configuration.
    peer_links peers_;                ///< Other entries.
    agent_control agents_;            ///< Rare calls to agents.
    foreign_jobs foreign_;            ///< Others' submissions.
    night_report report_;             ///< For the object store.
    waste_history waste_;             ///< Over time.
    std::function<void(const configuration&)>
        configuration_handler_;            ///< May be empty.
    std::uint64_t vm_revision_ = 0;        ///< Of the VM list.
    std::uint64_t last_report_number_ = 0; ///< Of the next object.
    bool is_writing_report_ = false;       ///< A write is under way.
    instant next_poll_{};                  ///< When the platform is asked next.
    duration poll_interval_ = seconds{1};  ///< Until the poll after that.
    bool is_stopping_ = false;             ///< A planned stop has begun.
    bool is_fetching_configuration_ =
        false;           ///< A pull from an agent is under way.
    std::string holder_; ///< Who has our answers.
    std::set<std::string> notified_leaving_; ///< Agents told that they leave.
    std::uint64_t quota_messages_ = 0;       ///< Spreads of quotas.
};

} // namespace glenhollow

#endif
