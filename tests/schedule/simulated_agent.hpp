#ifndef GLENHOLLOW_TESTS_SIMULATED_AGENT_HPP
#define GLENHOLLOW_TESTS_SIMULATED_AGENT_HPP

#include "glenhollow/runs/report_pacing.hpp"
#include "glenhollow/runs/run_manager.hpp"
#include "glenhollow/runs/run_wire.hpp"
#include "simulated_link.hpp"
#include "simulated_server.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace glenhollow
{

/// Answer of an entry to a report.
struct report_answer
{
    std::vector<part_epoch> renewed; ///< Parts whose leases are renewed.
    std::vector<run_end> confirmed;  ///< Ends that the agent can discard.
    duration requested_interval{};   ///< Least time between load reports.
};

/// Receives the reports of an agent at an entry.
class report_receiver
{
public:
    virtual ~report_receiver() = default;

    /// @param number Number of the connection at the entry.
    /// @param begun Runs that began.
    virtual report_answer on_report(std::size_t agent, std::uint64_t number,
                                    const server_report& report,
                                    const std::vector<run_end>& ends,
                                    const std::vector<run_ref>& begun) = 0;
};

/// Answer of an agent to an attach.
struct attach_answer
{
    std::uint64_t session = 0; ///< Number of the session at the agent.
    std::uint64_t process = 0; ///< Number of the agent process.
    server_report state;       ///< State of the server.
};

/// Simulates the successive processes of an agent and its side of sessions. A
/// real run_manager runs below; this class replaces run_agent_service, which
/// needs sockets and real timers.
///
/// | here                 | in the product                                  |
/// | -------------------- | ----------------------------------------------- |
/// | attach               | run_agent_service::agent_server::attach, ::open |
/// | adopt                | run_agent_service::session_server::adopt,       |
/// |                      | run_agent_service::when_runs_known              |
/// | send_account         | run_agent_service::session_server::send_account |
/// | handle_adoption      | run_agent_service::handle_adoption              |
/// | resume_waiting       | run_agent_service::resume_waiting               |
/// | order                | run_agent_service::session_server::order,       |
/// |                      | run_agent_service::handle_orders                |
/// | report               | run_agent_service::send_due_reports, ::report   |
/// | handle_report_answer | run_agent_service::handle_report_answer         |
/// | session_closed       | run_agent_service::handle_report_failure        |
/// | lease_changed        | the same, and ::schedule_urgent_report          |
/// | load_changed         | the same, and ::schedule_load_report            |
/// | tick                 | durable_agent::tick: run manager, then service  |
/// | begin                | start of durable_agent                          |
class simulated_agent final : private run_listener
{
public:
    /// @param time Must outlive the agent.
    /// @param server Must outlive the agent.
    /// @param rate Rate of its clock.
    simulated_agent(simulated_time& time, simulated_server& server,
                    std::size_t number, double rate);

    /// Starts a process.
    void begin();

    /// Ends the process without notice.
    void end();

    /// @return Its process.
    simulated_node& node() { return node_; }

    /// Opens a session for an entry.
    attach_answer attach(std::size_t entry, std::uint64_t incarnation,
                         std::uint64_t number, report_receiver& receiver,
                         std::shared_ptr<simulated_connection> connection);
    /// Adopts a part for a session.
    /// @param done Receives the account once the manager knows the runs.
    void adopt(std::uint64_t session, part_epoch part,
               std::function<void(const lease_account&)> done);
    void order(std::uint64_t session, order_batch batch);

    /// Handles the loss of the connection of a session.
    void session_closed(std::uint64_t session);

    /// Delivers a heartbeat of its server, which registers the server.
    void heartbeat();

    /// @return Statistics of its run manager; zeros without a process.
    run_manager_stats stats() const;

private:
    struct session
    {
        std::size_t entry = 0;    ///< Number of the entry.
        std::uint64_t number = 0; ///< Number of the session.
        /// Number of the connection at the entry.
        std::uint64_t connection_number = 0;
        std::uint64_t incarnation = 0; ///< Process of the entry.
        lease_id memory = 0;           ///< Lease of its in-memory jobs.
        std::uint64_t received = 0;    ///< Number of order batches received.
        bool open = false;             ///< Whether reports can be sent.
        bool reporting = false;        ///< Whether a report is pending.
        report_status status;          ///< What is to be reported.
        /// Incarnation of the last reported account.
        server_incarnation reported_incarnation;
        std::uint32_t reported_number = 0; ///< Its number.
        resources reported_capacity;       ///< Its capacity.
        /// Receiver of reports at the entry.
        report_receiver* receiver = nullptr;
        std::shared_ptr<simulated_connection> connection;
    };

    void lease_changed(lease_id lease) override;
    void run_started(lease_id lease) override;
    void load_changed() override;
    void phase_changed() override;
    void tick();
    void send_account(std::uint64_t session, part_epoch part,
                      const std::function<void(const lease_account&)>& done);
    void resume_waiting();
    void schedule_urgent_report();
    void schedule_load_report();
    void send_due_reports();
    void update_busy_sessions();
    std::size_t open_sessions() const;
    server_report current_state(std::uint64_t received, bool has_account) const;
    void report(session& to);
    void handle_report_answer(std::uint64_t number, instant sent,
                              const report_answer& answer);
    void handle_adoption(session& owner, lease_id lease);
    std::vector<lease_id> leases_of(const session& of) const;
    session* find(std::uint64_t number);
    session* owner_of(lease_id lease);

    simulated_time& time_;
    simulated_server& server_;
    std::size_t number_;  ///< Number of the agent.
    simulated_node node_; ///< Agent process.
    report_pacing pacing_{
        report_pacing_settings{}}; ///< Decides when to report.
    /// Server client of the process.
    std::unique_ptr<simulated_server_port> port_;
    std::unique_ptr<run_manager> manager_;
    std::map<std::size_t, session> sessions_;  ///< Sessions by entry.
    std::map<lease_id, std::uint64_t> owners_; ///< Session numbers by lease.
    /// Adoptions that wait until the runs are known.
    std::vector<std::function<void()>> waiting_adoptions_;
    std::uint32_t entry_processes_ = 0; ///< Number of entry processes seen.
    std::uint64_t last_session_number_ = 0;
    std::uint64_t sequence_ = 0; ///< Number of the last heartbeat.
    bool urgent_report_scheduled_ = false;
    bool load_report_scheduled_ = false;
};

} // namespace glenhollow

#endif
