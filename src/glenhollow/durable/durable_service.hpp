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
#include "glenhollow/journal/watched_store.hpp"
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

/// Where the configuration's document lies in the store.
struct catalog_location
{
    std::string table;             ///< Kind of row; no part.
    std::string key;               ///< Of the configuration's row.
    std::string evacuation_prefix; ///< Of the keys, each ending in a hall, of
                                   ///< rows that are there while the hall's
                                   ///< backend servers get no new work.
};

/// Settings of the durable jobs of one entry.
struct durable_service_settings
{
    std::string entry;             ///< Name of this entry.
    std::uint64_t incarnation = 0; ///< Of this process.
    host_port where;               ///< Its address for links.
    std::size_t parts = 3;         ///< Of the journal, alike in all processes.
    catalog_location catalog;      ///< Where the queues are told.
    duration store_timeout = milliseconds{500}; ///< Failing for so long, the
                                                ///< store is unreachable.
    part_ownership_settings ownership;          ///< Limits.
    job_coordinator_settings memory;            ///< Limits of jobs in memory.
    agent_sessions_settings agents;             ///< Limits.
    entry_peers_settings peers;                 ///< Limits.
    job_router_settings router;                 ///< Limits.
    memory_cancellation_settings cancellation;  ///< Limits.
    dispatcher_settings dispatch;               ///< Limits.
    report_budget_settings reports;             ///< Limits.
    report_budget_settings placer_reports{5000, 500}; ///< While placing for
                                                      ///< others, whose ends
                                                      ///< it must know too.
    double cpu_cores = 1.0;      ///< Of a core that this process may use.
    bool share_placement = true; ///< A group's placer places for all.
    placement_groups_settings placement;          ///< Limits of the groups.
    job_handover_settings handover;               ///< Of jobs to agents.
    table_follower_settings follower;             ///< Limits.
    feed_pacing_settings member_feed;             ///< Of the rows of processes.
    configuration_tracker_settings configuration; ///< Limits.
};

/// The durable jobs of one entry: owned parts, links, routing. Runs inside an
/// rpc_loop, on one thread.
class durable_service final : public durable_jobs,
                              private agent_session_listener,
                              private entry_peer_handler,
                              private local_memory_jobs,
                              private cancel_peers,
                              private part_ownership_listener,
                              private task_source
{
public:
    /// @param io Runs it.
    /// @param clock Outlives it.
    /// @param store Outlives it.
    /// @param parse Reads the catalog's document.
    /// @param settings Limits.
    durable_service(boost::asio::io_context& io, const clock_source& clock,
                    row_store& store, catalog_parser parse,
                    const durable_service_settings& settings);
    ~durable_service() noexcept override;

    /// Begins to read, announce and connect.
    void begin();

    /// @return The interface offered to other entries.
    wire::EntryPeer::Client bootstrap() { return peers_.bootstrap(); }

    /// @param seeds Addresses of entries that may be live.
    void add_seeds(const std::vector<host_port>& seeds);

    /// Gives all parts away.
    void stop();

    /// Takes no more jobs in memory.
    void refuse_new()
    {
        refusing_ = true;
        memory_.refuse_new();
    }

    /// Answers for all jobs in memory at once.
    void give_up_all();

    /// Ends all links and delayed work; called while the event loop lives.
    void close();

    /// @return Whether it has queues and is not being stopped.
    bool ready() const;

    /// @return Whether no part is owned any more.
    bool released() const { return ownership_.owned().empty(); }

    /// @param page Gets the metrics of durable jobs.
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
                        const runner_report& report) override;
    void agent_detached(const std::string& agent) override;
    void agent_ordered(const std::string& agent) override;
    void agent_adopted(const std::string& agent, part_epoch part,
                       const lease_account& account) override;
    void agent_reported(const std::string& agent, const runner_report& report,
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
    std::vector<peer_status> all() const override
    {
        return peers_.connection_states();
    }
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
    job_coordinator::dependencies dependencies();
    journal_chain::delay delay();

    /// Guards delayed work; first, since the others' delays hold it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    boost::asio::io_context& io_;                 ///< Runs it.
    const clock_source& clock_;                   ///< This entry's.
    durable_service_settings settings_;           ///< Limits.
    watched_store store_;                         ///< Where rows lie.
    configuration_tracker configuration_tracker_; ///< The newest configuration.
    evacuated_halls evacuated_;    ///< Halls that get no new work.
    agent_directory directory_;    ///< All agents.
    session_scope scope_;          ///< Those that need a session.
    agent_sessions agents_;        ///< Links to these.
    entry_peers peers_;            ///< Links to entries.
    dispatcher dispatcher_;        ///< Places tasks.
    report_budget reports_;        ///< That this machine can bear.
    report_budget placer_reports_; ///< The same while placing for others.
    placement_server placements_;  ///< Other entries' tasks.
    placement_groups groups_;      ///< Where ours are placed.
    std::int64_t start_time_s_ = wall_nanoseconds() / 1'000'000'000; ///< In s.
    duration timer_lag_{};             ///< Of timers, on average.
    bool timers_on_time_ = true;       ///< They come in time.
    part_ownership ownership_;         ///< This entry's parts.
    job_coordinator memory_;           ///< Jobs kept in memory alone.
    job_handover handover_;            ///< Of these, to agents' processes.
    job_router router_;                ///< Brings calls to owners.
    memory_cancellation cancellation_; ///< Of jobs in memory.
    table_follower member_rows_;       ///< Rows of processes.
    table_follower operator_rows_;     ///< Rows of the operator.
    member_announcer announcer_;       ///< Writes this entry's row.
    /// How long an agent has been silent.
    struct agent_silence
    {
        instant since{};                   ///< Unless it reports.
        bool memory_runs_expired = false;  ///< Its runs in memory are given up.
        bool journal_runs_expired = false; ///< All its runs are given up.
    };

    std::map<std::string, agent_silence> agent_silence_;  ///< By agent.
    std::map<std::string, std::string> member_addresses_; ///< Address by name.
    stall_watch stalls_{{}};                              ///< Of this process.
    instant tick_due_{};       ///< When the next tick should come.
    instant last_probe_{};     ///< Last probe of the store.
    instant last_load_log_{};  ///< Last line on the load.
    bool dispatching_ = false; ///< A dispatch is on its way.
    bool placing_ = false;     ///< It places, for others or by itself.
    bool stopping_ = false;    ///< A planned stop.
    bool refusing_ = false;    ///< Takes no more jobs in memory.
    std::uint32_t max_entry_millicores_ =
        0; ///< Thousandths of a core that the most
           ///< powerful entry known by its row may use.
    std::set<std::string> entries_; ///< Other entries, by their rows.
};

} // namespace glenhollow

#endif
