#ifndef GLENHOLLOW_DURABLE_AGENT_SESSIONS_HPP
#define GLENHOLLOW_DURABLE_AGENT_SESSIONS_HPP

#include "glenhollow/durable/agent_clock.hpp"
#include "glenhollow/durable/dispatcher.hpp"
#include "glenhollow/durable/evacuated_halls.hpp"
#include "glenhollow/rpc/rpc_link.hpp"
#include "glenhollow/runs/run_wire.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace glenhollow
{

/// The name and address of an agent.
struct agent_address
{
    std::string name;
    host_port where; ///< The address for connections.

    bool operator==(const agent_address&) const = default;
};

/// Receives the events of agent sessions.
class agent_session_listener
{
public:
    virtual ~agent_session_listener() = default;

    /// Called when a session has opened.
    /// @param report The state that the agent reported.
    virtual void agent_attached(const std::string& agent,
                                const server_report& report) = 0;

    /// Called when a session has ended.
    virtual void agent_detached(const std::string& agent) = 0;

    /// Called when an order is sent, which the agent will answer with a report.
    virtual void agent_ordered(const std::string& agent) = 0;

    /// Called when an agent has adopted a part.
    /// @param part The part and its epoch.
    /// @param account The runs and ends of the part that the agent knows.
    virtual void agent_adopted(const std::string& agent, part_epoch part,
                               const lease_account& account) = 0;

    /// Called when an agent has reported.
    /// @param report The state of its backend server.
    /// @param ends The runs that ended.
    /// @param begun The runs that began.
    virtual void agent_reported(const std::string& agent,
                                const server_report& report,
                                const std::vector<run_end>& ends,
                                const std::vector<run_ref>& begun) = 0;

    /// @param agent An agent whose report is being answered.
    /// @return Ends that the agent no longer needs to keep.
    virtual std::vector<run_end> take_confirmed(const std::string& agent) = 0;

    /// @return The parts that agents adopt for this entry.
    virtual std::vector<part_epoch> owned_parts() const = 0;

    /// @return Those of the owned parts whose leases the answer to a report
    /// renews.
    virtual std::vector<part_epoch> renewed_parts() const
    {
        return owned_parts();
    }

    /// @return When the entries that submitted jobs to this job host were
    /// certainly alive, by this process's clock.
    virtual std::vector<submitter_lease> submitters() const { return {}; }

    /// @param agents The number of agents that report.
    /// @return The minimum time between two capacity reports of the agent.
    virtual duration room_report_interval(const std::string& agent,
                                          std::size_t agents) const = 0;

    /// @return Whether this entry places other entries' tasks at the agent.
    virtual bool places_for_others(const std::string& agent) const = 0;

    /// @return Whether this entry itself places tasks at the agent.
    virtual bool places_at(const std::string& agent) const = 0;

    /// @return Whether the agent's hall is evacuated, as far as this entry
    /// knows.
    virtual hall_evacuation evacuation_of(const std::string& agent) const = 0;
};

/// Maximum time between two reports of an agent that has runs of the entry.
inline constexpr duration busy_report_interval = milliseconds{200};

/// Returns the time from which an agent counts as silent. An agent that
/// announced a later report is not missed before that.
/// @param last_report The time of the agent's last report.
/// @param next_within The time in which the agent announced its next report.
/// @return The time from which it counts as silent, unless it reports again.
constexpr instant silent_since(instant last_report, duration next_within)
{
    return last_report +
           std::max(duration{0}, next_within - busy_report_interval);
}

/// Settings of the sessions.
struct agent_sessions_settings
{
    std::string entry;
    std::uint64_t incarnation = 0; ///< Incarnation of this entry's process.
    duration silence = milliseconds{1200}; ///< A session whose report is
                                           ///< overdue by this long is
                                           ///< dropped.
    duration attach_timeout = seconds{3};  ///< Timeout for opening a session;
                                           ///< long enough for all agents
                                           ///< attaching at once.
    rpc_link_settings link;                ///< Settings of the connections.
};

/// Holds one session with each agent. Runs inside an rpc_loop.
class agent_sessions final : public order_sender
{
public:
    /// @param io Runs the sessions.
    /// @param clock Must outlive the sessions.
    /// @param listener Receives the events; must outlive the sessions.
    agent_sessions(boost::asio::io_context& io, const clock_source& clock,
                   agent_session_listener& listener,
                   const agent_sessions_settings& settings);
    ~agent_sessions() noexcept override;

    /// Adds an agent, or opens a new session if its address has changed.
    void add(const std::string& agent, const host_port& where);

    /// Ends the session with an agent that has left for good.
    void remove(const std::string& agent);

    /// Has all agents adopt a part that this entry now owns.
    void adopt(part_epoch part);

    void send(const std::string& agent, order_batch batch) override;

    /// Sends the report pacing to the agents at which this entry places tasks.
    void send_report_pacing();

    /// Opens connections and drops silent sessions.
    void tick();

    /// Ends all sessions. Must be called while the event loop lives, since
    /// their calls live in it.
    void close();

    /// @return Whether the agent's session is open.
    bool is_attached(const std::string& agent) const;

    /// Receives the session with a job host.
    using host_handler = std::function<void(wire::JobHost::Client)>;

    /// Opens a session with the job host in an agent's process.
    /// @param done Receives the session; not called if the connection breaks.
    /// @return Whether the request was sent.
    bool open_host(const std::string& agent, host_handler done);

    /// @return The number of agents with an open session as of the last tick.
    std::size_t attached() const { return attached_count_; }

private:
    class report_server;
    struct session;

    void connected(const std::string& agent, wire::RunAgent::Client interface);
    void attached(session& to, wire::RunSession::Client opened,
                  const server_report& report);
    void disconnected(const std::string& agent);
    void adopt_at(session& at, part_epoch part);
    bool is_account_complete(session& by);
    std::uint32_t room_report_interval_ms(const std::string& agent) const;
    std::vector<submitter_lease> due_submitter_leases(session& to);
    void on_report(const std::string& agent, std::uint64_t number,
                   wire::RunReport::Reader report);

    boost::asio::io_context& io_;
    const clock_source& clock_;
    agent_session_listener& listener_; ///< Receives the events.
    agent_sessions_settings settings_;
    /// Sessions by agent name.
    std::map<std::string, std::unique_ptr<session>> sessions_;
    std::size_t attached_count_ = 0; ///< Open sessions as of the last tick.
    std::uint64_t last_number_ = 0;  ///< Number of the newest session.
};

} // namespace glenhollow

#endif
