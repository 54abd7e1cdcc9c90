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

/// The answer of an entry to a report.
struct report_answer
{
    std::vector<part_epoch> renewed; ///< Parts whose leases go on.
    std::vector<run_end> confirmed;  ///< Ends that need not be kept.
    duration requested_interval{};   ///< Least time between reports of room.
};

/// The side of a session that an entry offers to the agent.
class report_receiver
{
public:
    virtual ~report_receiver() = default;

    /// @param number Of the connection at the entry.
    /// @param report Of the agent's server.
    /// @param ends Runs that ended.
    /// @param begun Runs that began.
    /// @return What goes back with the answer.
    virtual report_answer on_report(std::size_t agent, std::uint64_t number,
                                    const server_report& report,
                                    const std::vector<run_end>& ends,
                                    const std::vector<run_ref>& begun) = 0;
};

/// What an entry learns when it attaches.
struct attach_answer
{
    std::uint64_t session = 0; ///< Its number at the agent.
    std::uint64_t process = 0; ///< Of the agent.
    server_report state;       ///< Of the server.
};

/// An agent's processes, one after the other, and the agent's side of
/// sessions: a real run_manager below the order of events that
/// run_agent_service keeps, which is bound to sockets and to real timers.
///
/// | here          | in the product                                        |
/// | ------------- | ----------------------------------------------------- |
/// | attach        | run_agent_service::agent_server::attach, ::open       |
/// | adopt         | run_agent_service::session_server::adopt, ::once_known  |
/// | send_account  | the same, and ::adopted                               |
/// | resume_waiting  | the same                                              |
/// | order         | run_agent_service::session_server::order, ::ordered   |
/// | report        | run_agent_service::flush, ::is_due, ::report          |
/// | answered      | run_agent_service::report_answered                    |
/// | closed        | run_agent_service::report_failed                      |
/// | lease_changed | the same, and ::schedule_urgent_report | | load_changed  |
/// the same, and ::schedule_load_report                         | | tick |
/// durable_agent::tick: the manager, then the service    | | begin         |
/// durable_agent's start; remembered or registered soon  |
class simulated_agent final : private run_listener
{
public:
    /// @param time Outlives it.
    /// @param server Beside it; outlives it.
    /// @param number Its own.
    /// @param rate Of its clock.
    simulated_agent(simulated_time& time, simulated_server& server,
                    std::size_t number, double rate);

    /// A process begins.
    void begin();

    /// The process ends without a word.
    void end();

    /// @return Its process.
    simulated_node& node() { return node_; }

    /// An entry attaches.
    attach_answer attach(std::size_t entry, std::uint64_t incarnation,
                         std::uint64_t number, report_receiver& receiver,
                         std::shared_ptr<simulated_connection> connection);
    /// @param told The account, once the manager knows what runs.
    void adopt(std::uint64_t session, part_epoch part,
               std::function<void(const lease_account&)> done);
    void order(std::uint64_t session, order_batch batch);

    /// The connection of a session is gone.
    void session_closed(std::uint64_t session);

    /// Its server registers itself, as each heartbeat does.
    void heartbeat();

    /// @return What its manager counted; zeros without a process.
    run_manager_stats stats() const;

private:
    struct session
    {
        std::size_t entry = 0;                   ///< Whose.
        std::uint64_t number = 0;                ///< Here.
        std::uint64_t connection_number = 0;     ///< At the entry.
        std::uint64_t incarnation = 0;           ///< Of the entry's process.
        lease_id memory = 0;                     ///< Of its jobs in memory.
        std::uint64_t received = 0;              ///< Order batches.
        bool open = false;                       ///< It can be reported to.
        bool reporting = false;                  ///< A report is out.
        report_status status;                    ///< What it has to be told.
        server_incarnation reported_incarnation; ///< Whose account it was told.
        report_receiver* receiver = nullptr;     ///< The entry's side.
        std::shared_ptr<simulated_connection> connection; ///< Its own.
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
    void report(session& to);
    void handle_report_answer(std::uint64_t number, instant sent,
                              const report_answer& answer);
    void handle_adoption(session& owner, lease_id lease);
    std::vector<lease_id> leases_of(const session& of) const;
    session* find(std::uint64_t number);
    session* owner_of(lease_id lease);

    simulated_time& time_;                           ///< Of the simulation.
    simulated_server& server_;                       ///< Beside it.
    std::size_t number_;                             ///< Its own.
    simulated_node node_;                            ///< Its process.
    report_pacing pacing_{report_pacing_settings{}}; ///< When to report.
    std::unique_ptr<simulated_server_port> port_;    ///< Of the process.
    std::unique_ptr<run_manager> manager_;           ///< Of the process.
    std::map<std::size_t, session> sessions_;        ///< By entry.
    std::map<lease_id, std::uint64_t> owners_;       ///< Session by lease.
    std::vector<std::function<void()>> waiting_adoptions_; ///< For what runs.
    std::uint32_t entry_processes_ = 0;     ///< Of entries, so far.
    std::uint64_t last_session_number_ = 0; ///< Of sessions.
    std::uint64_t sequence_ = 0;            ///< Of heartbeats.
    bool urgent_report_scheduled_ = false;  ///< A flush comes.
    bool load_report_scheduled_ = false;    ///< One for room, too.
};

} // namespace glenhollow

#endif
