#ifndef GLENHOLLOW_TESTS_SIMULATED_ENTRY_HPP
#define GLENHOLLOW_TESTS_SIMULATED_ENTRY_HPP

#include "glenhollow/durable/agent_sessions.hpp"
#include "glenhollow/durable/job_coordinator.hpp"
#include "simulated_agent.hpp"
#include "simulated_ownership.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace glenhollow
{

/// Simulates the successive processes of an entry and its side of sessions.
/// Real coordinators and a real dispatcher run below; this class replaces
/// agent_sessions and durable_service.
///
/// | here                  | in the product                         |
/// | --------------------- | -------------------------------------- |
/// | connect               | rpc_link::tick                         |
/// | connected             | agent_sessions::connected              |
/// | attached              | agent_sessions::attached,              |
/// |                       | durable_service::agent_attached        |
/// | adopt_at              | agent_sessions::adopt_at               |
/// | is_account_complete   | agent_sessions::is_account_complete    |
/// | adopted               | durable_service::agent_adopted         |
/// | on_report             | agent_sessions::on_report,             |
/// |                       | durable_service::agent_reported        |
/// | send                  | agent_sessions::send,                  |
/// |                       | durable_service::agent_ordered         |
/// | connection_failed     | agent_sessions::disconnected,          |
/// |                       | durable_service::agent_detached        |
/// | close_silent_sessions | agent_sessions::tick                   |
/// | check_agents          | durable_service::check_agents          |
/// | is_live               | durable_service::is_live               |
/// | tick                  | durable_service::tick                  |
/// | submit, withdraw      | durable_service::submit and its result |
class simulated_entry final : private order_sender,
                              private task_source,
                              private report_receiver
{
public:
    /// Route to one agent.
    struct agent_route
    {
        simulated_agent* agent = nullptr;
        simulated_link* link = nullptr; ///< Network link to the agent.
    };

    /// @param time Must outlive the entry.
    /// @param store Store of the journal; must outlive the entry.
    /// @param rate Rate of its clock.
    simulated_entry(simulated_time& time, simulated_store& store,
                    std::size_t number, double rate);
    ~simulated_entry() override;

    /// @param agents Routes to all agents, by number.
    void set_agents(std::vector<agent_route> agents)
    {
        agents_ = std::move(agents);
    }

    /// @param others The other entries.
    /// @param refuses_connections Whether a partition refuses connections to
    /// one of them now.
    void set_other_entries(std::vector<std::size_t> others,
                           std::function<bool(std::size_t)> refuses_connections)
    {
        others_ = std::move(others);
        refuses_connections_ = std::move(refuses_connections);
    }

    /// Starts a process.
    void begin();

    /// Ends the process without notice of its own.
    /// @param notify_peers Whether its VM closes the connections.
    void end(bool notify_peers);

    /// @return Its process.
    simulated_node& node() { return node_; }

    /// @return Its ownership of the journal part.
    simulated_ownership& ownership() { return *ownership_; }

    /// Handles a submission.
    void submit(const job_definition& job, job_reply_handler done);

    /// Handles the loss of a caller.
    void withdraw(job_id id);

    /// Resets the connection to an agent.
    void reset(std::size_t agent);

    /// Handles the notice of an agent VM that its process has ended.
    void on_agent_ended(std::size_t agent);

private:
    struct session
    {
        /// Connection, or null.
        std::shared_ptr<simulated_connection> connection;
        /// Whether an attempt to connect is under way.
        bool connecting = false;
        bool attached = false;    ///< Whether the session is open.
        std::uint64_t number = 0; ///< Number of the session at this entry.
        /// Number of the session at the agent.
        std::uint64_t agent_session = 0;
        std::uint64_t process = 0; ///< Process of the agent.
        /// Process that sent the last account.
        std::uint64_t accounted_process = 0;
        instant silent_since{}; ///< Time since which no report arrived.
        instant down_since{};   ///< End of the last session.
        instant retry_at{};     ///< Time of the next attempt to connect.
        agent_clock clock;      ///< Estimate of the agent clock.
        link_backoff backoff{rpc_link_settings{}}; ///< Delay between attempts.
    };

    struct agent_silence
    {
        instant since{};           ///< Time since which no report arrived.
        bool memory_ended = false; ///< Whether its in-memory runs are given up.
        bool parts_ended = false; ///< Whether its journalled runs are given up.
    };

    void send(const std::string& agent, order_batch batch) override;
    std::optional<run_order> assign(const ready_task& task,
                                    const std::string& agent) override;
    report_answer on_report(std::size_t agent, std::uint64_t number,
                            const server_report& report,
                            const std::vector<run_end>& ends,
                            const std::vector<run_ref>& begun) override;

    void tick();
    void connect(std::size_t agent);
    void connected(std::size_t agent);
    void attached(std::size_t agent, const attach_answer& answer);
    void adopt_at(std::size_t agent, part_epoch part);
    void adopted(std::size_t agent, part_epoch part, lease_account account);
    bool is_account_complete(session& by);
    void connection_failed(std::size_t agent, bool refused);
    void close_session(std::size_t agent);
    void close_silent_sessions();
    void check_agents();
    void schedule_dispatch();
    std::vector<part_epoch> owned_parts() const;
    std::vector<part_epoch> renewed_parts() const;
    job_coordinator* coordinator_of(part_number part);
    job_coordinator::dependencies dependencies();
    bool is_live(const std::string& agent) const;

    simulated_time& time_;
    std::size_t number_;              ///< Number of the entry.
    simulated_node node_;             ///< Entry process.
    simulated_store& store_;          ///< Store of the journal.
    std::vector<agent_route> agents_; ///< Routes to agents, by number.
    std::vector<std::size_t> others_; ///< Numbers of the other entries.
    /// Whether a partition refuses connections to an entry.
    std::function<bool(std::size_t)> refuses_connections_;
    std::vector<session> sessions_;                 ///< Sessions by agent.
    std::map<std::string, agent_silence> silences_; ///< Silence by agent.
    std::unique_ptr<monitored_store> watched_; ///< Store client of the process.
    std::unique_ptr<dispatcher> dispatcher_;
    /// Coordinator of in-memory jobs.
    std::unique_ptr<job_coordinator> memory_;
    /// Ownership of the journal part.
    std::unique_ptr<simulated_ownership> ownership_;
    std::uint64_t last_session_number_ = 0;
    bool dispatch_scheduled_ = false;
};

/// @return Simulated time of day, ms; equal for all processes.
inline std::int64_t simulated_wall_ms(const simulated_time& time)
{
    return 1'000'000 +
           std::chrono::duration_cast<milliseconds>(time.elapsed()).count();
}

} // namespace glenhollow

#endif
