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

/// An entry's processes, one after the other, and the entry's side of
/// sessions: real coordinators and a real dispatcher below the order of events
/// that agent_sessions and durable_service keep.
///
/// | here             | in the product                                     |
/// | ---------------- | -------------------------------------------------- |
/// | connect          | rpc_link::tick, agent_sessions::connected          |
/// | attached         | agent_sessions::attached,                          |
/// |                  | durable_service::agent_attached                    |
/// | adopt_at         | agent_sessions::adopt_at, ::is_account_complete, | | |
/// durable_service::agent_adopted                     | | heard            |
/// agent_sessions::heard, report_server::report,      | |                  |
/// durable_service::agent_reported                    | | send             |
/// agent_sessions::send,                              | |                  |
/// durable_service::agent_ordered                     | | down             |
/// rpc_link::state::fail, agent_sessions::down,       | |                  |
/// durable_service::agent_detached                    | | close_silent_sessions
/// | agent_sessions::tick                               | | check_agents     |
/// durable_service::check_agents                      | | tick             |
/// durable_service::tick, in its order                | | submit, withdraw |
/// durable_service::submit and what it returns        |
class simulated_entry final : private order_sender,
                              private task_source,
                              private report_receiver
{
public:
    /// The network to one agent.
    struct agent_route
    {
        simulated_agent* agent = nullptr; ///< Which.
        simulated_link* link = nullptr;   ///< The way there.
    };

    /// @param time Outlives it.
    /// @param store Of the journal; outlives it.
    /// @param number Its own.
    /// @param rate Of its clock.
    simulated_entry(simulated_time& time, simulated_store& store,
                    std::size_t number, double rate);
    ~simulated_entry() override;

    /// @param agents In their order; known from the start.
    void set_agents(std::vector<agent_route> agents)
    {
        agents_ = std::move(agents);
    }

    /// @param others The other entries.
    /// @param refuses Whether the VM of one refuses connections now.
    void set_other_entries(std::vector<std::size_t> others,
                           std::function<bool(std::size_t)> refuses_connections)
    {
        others_ = std::move(others);
        refuses_connections_ = std::move(refuses_connections);
    }

    /// A process begins.
    void begin();

    /// The process ends without a word.
    /// @param told Whether its VM tells those that are connected.
    void end(bool notify_peers);

    /// @return Its process.
    simulated_node& node() { return node_; }

    /// @return Its part of the journal.
    simulated_ownership& ownership() { return *ownership_; }

    /// A submission is here.
    void submit(const job_definition& job, job_reply_handler done);

    /// A caller has gone.
    void withdraw(job_id id);

    /// The network resets its connection with an agent.
    void reset(std::size_t agent);

    /// The VM of an agent tells that its process has ended.
    void on_agent_ended(std::size_t agent);

private:
    struct session
    {
        std::shared_ptr<simulated_connection> connection; ///< Null: none.
        bool connecting = false;                   ///< An attempt is under way.
        bool attached = false;                     ///< It has been opened.
        std::uint64_t number = 0;                  ///< Here, rising.
        std::uint64_t agent_session = 0;           ///< Its number there.
        std::uint64_t process = 0;                 ///< Of the agent.
        std::uint64_t accounted_process = 0;       ///< Process that told last.
        instant silent_since{};                    ///< Unless it reports.
        instant down_since{};                      ///< Last session's end.
        instant retry_at{};                        ///< When to connect.
        agent_clock clock;                         ///< As far as it is known.
        link_backoff backoff{rpc_link_settings{}}; ///< Between attempts.
    };

    struct agent_silence
    {
        instant since{};           ///< Unless it reports.
        bool memory_ended = false; ///< Its runs in memory are given up.
        bool parts_ended = false;  ///< All its runs are.
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

    simulated_time& time_;            ///< Of the simulation.
    std::size_t number_;              ///< Its own.
    simulated_node node_;             ///< Its process.
    simulated_store& store_;          ///< Of the journal.
    std::vector<agent_route> agents_; ///< By number.
    std::vector<std::size_t> others_; ///< Other entries.
    std::function<bool(std::size_t)> refuses_connections_; ///< One's VM does.
    std::vector<session> sessions_;                        ///< By agent.
    std::map<std::string, agent_silence> silences_;        ///< By agent.
    std::unique_ptr<watched_store> watched_;               ///< Of the process.
    std::unique_ptr<dispatcher> dispatcher_;               ///< Of the process.
    std::unique_ptr<job_coordinator> memory_;              ///< Of the process.
    std::unique_ptr<simulated_ownership> ownership_;       ///< Of the process.
    std::uint64_t last_session_number_ = 0;                ///< Of sessions.
    bool dispatch_scheduled_ = false;                      ///< One comes.
};

/// @param time Of the simulation.
/// @return The time of day, ms; the same everywhere.
inline std::int64_t simulated_wall_ms(const simulated_time& time)
{
    return 1'000'000 +
           std::chrono::duration_cast<milliseconds>(time.elapsed()).count();
}

} // namespace glenhollow

#endif
