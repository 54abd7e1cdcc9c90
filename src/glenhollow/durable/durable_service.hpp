#ifndef GLENHOLLOW_DURABLE_DURABLE_SERVICE_HPP
#define GLENHOLLOW_DURABLE_DURABLE_SERVICE_HPP

#include "glenhollow/durable/agent_sessions.hpp"
#include "glenhollow/durable/configuration_tracker.hpp"
#include "glenhollow/durable/durable_jobs.hpp"
#include "glenhollow/durable/entry_peers.hpp"
#include "glenhollow/durable/job_router.hpp"
#include "glenhollow/durable/member_directory.hpp"
#include "glenhollow/durable/memory_cancellation.hpp"
#include "glenhollow/durable/part_ownership.hpp"
#include "glenhollow/durable/placement_groups.hpp"
#include "glenhollow/durable/placement_server.hpp"
#include "glenhollow/durable/report_budget.hpp"
#include "glenhollow/hosting/job_handover.hpp"
#include "glenhollow/journal/monitored_store.hpp"
#include "glenhollow/overlay/agent_directory.hpp"
#include "glenhollow/overlay/feed_pacing.hpp"
#include "glenhollow/overlay/session_scope.hpp"
#include "glenhollow/telemetry/metrics.hpp"
#include "glenhollow/telemetry/stall_watch.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace glenhollow
{

/// Location of the operator's rows in the store.
struct catalog_location
{
    std::string table; ///< Table whose rows belong to no part.
    std::string key;   ///< Key of the configuration row.
    /// Prefix of the keys of evacuation rows; the rest of the key is a hall.
    /// While the row exists, the hall's backend servers get no new tasks.
    std::string evacuation_prefix;
};

/// Settings of the durable jobs at one entry.
struct durable_service_settings
{
    std::string entry;             ///< Name of this entry.
    std::uint64_t incarnation = 0; ///< Incarnation of this process.
    host_port where;               ///< Address of this entry for links.
    /// Number of the journal's parts, which all processes must agree on.
    std::size_t parts = 3;
    catalog_location catalog;
    /// Time of failed calls after which the store counts as unreachable.
    duration store_timeout = milliseconds{500};
    part_ownership_settings ownership;
    job_coordinator_settings memory; ///< Settings of jobs in memory.
    agent_sessions_settings agents;
    entry_peers_settings peers;
    job_router_settings router;
    memory_cancellation_settings cancellation;
    dispatcher_settings dispatch;
    report_budget_settings reports;
    /// Budget while this entry places tasks of other entries, whose ends are
    /// reported to it as well.
    report_budget_settings placer_reports{5000, 500};
    double cpu_cores = 1.0;      ///< CPU capacity of this process in cores.
    bool share_placement = true; ///< One entry places all tasks of a group.
    placement_groups_settings placement;
    job_handover_settings handover;
    table_follower_settings follower;
    feed_pacing_settings member_feed; ///< Pacing of the member rows' feed.
    configuration_tracker_settings configuration;
};

/// Runs the durable jobs of one entry: it owns parts of the journal, keeps
/// links to agents and other entries, and routes calls to the owners of jobs.
/// Runs in an rpc_loop, on one thread.
class durable_service final : public durable_jobs,
                              private agent_session_listener,
                              private entry_peer_handler,
                              private local_jobs,
                              private cancel_peers,
                              private part_ownership_listener,
                              private task_source
{
public:
    /// @param io Event loop of the service.
    /// @param clock Must outlive the service.
    /// @param store Must outlive the service.
    /// @param parse Parses the configuration document.
    durable_service(boost::asio::io_context& io, const clock_source& clock,
                    row_store& store, catalog_parser parse,
                    const durable_service_settings& settings);
    ~durable_service() noexcept override;

    /// Starts to read the store, to announce this entry and to connect.
    void begin();

    /// @return The RPC interface offered to other entries.
    wire::EntryPeer::Client bootstrap() { return peers_.bootstrap(); }

    /// Connects to addresses at which other entries may be live.
    void add_seeds(const std::vector<host_port>& seeds);

    /// Begins a planned stop: releases all parts.
    void stop();

    /// Refuses new jobs in memory from now on.
    void refuse_new()
    {
        refusing_ = true;
        memory_.refuse_new();
    }

    /// Replies to all open jobs in memory without waiting for their ends.
    void give_up_all();

    /// Ends all links and delayed work. Called while the event loop exists.
    void close();

    /// @return Whether a configuration is in force and no stop has begun.
    bool ready() const;

    /// @return Whether this entry owns no part.
    bool released() const { return ownership_.owned().empty(); }

    /// Adds the metrics of durable jobs to a page.
    void collect(metric_page& page);

    // durable_jobs

    const queue_catalog& catalog() const override
    {
        return configuration_tracker_.catalog();
    }
    std::function<void()> submit(const job_definition& job,
                                 job_reply_handler done) override;
    void cancel(job_id id, job_reply_handler done) override;
    void state(job_id id, job_reply_handler done) override;
    std::uint32_t pending(const std::string& queue) const override;

private:
    void agent_attached(const std::string& agent,
                        const server_report& report) override;
    void agent_detached(const std::string& agent) override;
    void agent_ordered(const std::string& agent) override;
    void agent_adopted(const std::string& agent, part_epoch part,
                       const lease_account& account) override;
    void agent_reported(const std::string& agent, const server_report& report,
                        const std::vector<run_end>& ends,
                        const std::vector<run_ref>& begun) override;
    std::vector<run_end> take_confirmed(const std::string& agent) override
    {
        return dispatcher_.take_confirmed(agent);
    }
    std::vector<part_epoch> owned_parts() const override;
    std::vector<part_epoch> renewed_parts() const override;
    duration room_report_interval(const std::string& agent,
                                  std::size_t agents) const override;
    bool places_for_others(const std::string& agent) const override
    {
        return placements_.active() && groups_.in_own_group(agent);
    }
    bool places_at(const std::string& agent) const override
    {
        return placements_.active()
                   ? groups_.in_own_group(agent)
                   : !groups_.delegates() && !delegates_all_jobs();
    }
    hall_evacuation evacuation_of(const std::string& agent) const override;
    wire::PlacementSession::Client
    open_placement(const std::string& entry,
                   wire::PlacementGrants::Client grants) override;

    entry_view own_view() override;
    void peer_view_received(const entry_view& view) override;
    void serve(const job_call& call, job_reply_handler done) override;
    std::string catalog_document() override
    {
        return configuration_tracker_.document();
    }
    std::vector<cancel_record> cancelled_jobs() override;

    bool cancel_local(job_id id, job_reply_handler done) override;
    bool cancel_owned(job_id id, job_reply_handler done) override;
    void cancel_remembered(part_number part);
    std::vector<peer_status> all() const override
    {
        return peers_.connection_states();
    }
    bool knows_all_entries() const override { return members_read_; }
    void cancel(const std::string& name, job_id id,
                answer_handler done) override;
    void relay_cancel(const std::string& by, const std::string& name, job_id id,
                      answer_handler done) override;
    void fetch_cancels(const std::string& name,
                       cancel_records_handler done) override;
    std::optional<job_state> end_of_cancelled(job_id id);
    memory_cancellation::journal_cancel cancel_journalled();

    void ownership_acquired(part_epoch part) override;
    void ownership_ended(part_number part) override;
    std::set<std::string> possible_agents() const override;

    std::optional<run_order> assign(const ready_task& task,
                                    const std::string& agent) override;

    job_coordinator* coordinator_of(const run_ref& run);
    job_handover::dependencies handover_dependencies();
    void submit_here(const job_definition& job, job_reply_handler done);
    bool delegates_all_jobs() const;
    session_demand required_sessions() const;
    void update_sessions();
    void apply_member_row(const stored_row& row);
    void apply_operator_row(const stored_row& row);
    void operator_rows_current(std::uint64_t version);
    void log_evacuations(std::string_view source);
    configuration_tracker::dependencies
    configuration_dependencies(catalog_parser parse);
    void tick();
    void check_agents();
    void choose_placer();
    void record_timer_lag(duration lag);
    void probe_store();
    void log_load();
    void schedule_dispatch();
    void collect_parts(metric_page& page);
    void collect_router(metric_page& page) const;
    void collect_cancels(metric_page& page) const;
    bool is_live(const std::string& agent) const;
    job_coordinator::dependencies dependencies();
    journal_chain::delay delay();

    /// Cleared by close() and the destructor; delayed work checks it. Declared
    /// first, since the members' delay functions hold it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    boost::asio::io_context& io_;
    const clock_source& clock_;
    durable_service_settings settings_;
    monitored_store store_;
    configuration_tracker configuration_tracker_;
    evacuated_halls evacuated_;
    agent_directory directory_; ///< All known agents.
    session_scope scope_;       ///< Agents that need a session.
    agent_sessions agents_;
    entry_peers peers_;
    dispatcher dispatcher_;
    report_budget reports_;
    report_budget placer_reports_; ///< Budget while placing for others.
    placement_server placements_;  ///< Tasks of other entries.
    placement_groups groups_;      ///< Placers of this entry's tasks.
    /// Start time in seconds since the Unix epoch.
    std::int64_t start_time_s_ = wall_nanoseconds() / 1'000'000'000;
    duration timer_lag_{};       ///< Average delay of the tick timer.
    bool timers_on_time_ = true; ///< Whether timer_lag_ is within its limit.
    part_ownership ownership_;
    job_coordinator memory_;           ///< Jobs kept in memory only.
    job_handover handover_;            ///< Handover of jobs to agent processes.
    job_router router_;                ///< Routes calls to the owners of jobs.
    memory_cancellation cancellation_; ///< Cancellation of jobs in memory.
    bool members_read_ = false;        ///< Whether all member rows were read.
    table_follower member_rows_;       ///< Follows the member rows.
    table_follower operator_rows_;     ///< Follows the operator's rows.
    member_announcer announcer_;       ///< Writes this entry's member row.
    /// Silence of one agent.
    struct agent_silence
    {
        /// Time at which the silence began or, if later, at which the next
        /// report is due.
        instant since{};
        bool memory_runs_expired = false;  ///< Its runs in memory are ended.
        bool journal_runs_expired = false; ///< All its runs are ended.
    };

    std::map<std::string, agent_silence> agent_silence_; ///< Silence by agent.
    std::map<std::string, std::string> member_addresses_;
    stall_watch stalls_{{}};   ///< Detects stalls of this process.
    instant tick_due_{};       ///< Scheduled time of the next tick.
    instant last_probe_{};     ///< Time of the last probe of the store.
    instant last_load_log_{};  ///< Time of the last placement_load event.
    bool dispatching_ = false; ///< Whether a dispatch is scheduled.
    bool placing_ = false;     ///< Whether this entry places any tasks.
    bool stopping_ = false;    ///< Whether a planned stop has begun.
    bool refusing_ = false;    ///< Whether new jobs in memory are refused.
    std::uint32_t max_entry_millicores_ = 0; ///< Highest CPU capacity in other
                                             ///< entries' rows, in millicores.
    std::set<std::string> entries_;          ///< Other entries that have a row.
};

} // namespace glenhollow

#endif
