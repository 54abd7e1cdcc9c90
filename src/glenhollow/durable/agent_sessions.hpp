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

/// An agent and its address.
struct agent_address
{
    std::string name; ///< Of the agent.
    host_port where;  ///< For links.

    bool operator==(const agent_address&) const = default;
};

/// Told what agents say.
class agent_session_listener
{
public:
    virtual ~agent_session_listener() = default;

    /// @param agent Its session is open.
    /// @param report What it said.
    virtual void agent_attached(const std::string& agent,
                                const runner_report& report) = 0;

    /// @param agent Its session is gone.
    virtual void agent_detached(const std::string& agent) = 0;

    /// @param agent An order has left for it, to which it will report.
    virtual void agent_ordered(const std::string& agent) = 0;

    /// @param agent It has adopted a part.
    /// @param part Which, and under which epoch.
    /// @param account What it knows of it.
    virtual void agent_adopted(const std::string& agent, part_epoch part,
                               const lease_account& account) = 0;

    /// @param agent It reported.
    /// @param report Its runner.
    /// @param ends Runs that ended.
    /// @param begun Runs that began.
    virtual void agent_reported(const std::string& agent,
                                const runner_report& report,
                                const std::vector<run_end>& ends,
                                const std::vector<run_ref>& begun) = 0;

    /// @param agent It waits for the answer to its report.
    /// @return Ends that it need not keep any more.
    virtual std::vector<run_end> take_confirmed(const std::string& agent) = 0;

    /// @return The parts that agents adopt for this entry.
    virtual std::vector<part_epoch> owned_parts() const = 0;

    /// @return Of these, those whose leases a report renews now.
    virtual std::vector<part_epoch> renewed_parts() const
    {
        return owned_parts();
    }

    /// @param agent One that reports.
    /// @param agents Agents that report.
    /// @return The least time between two reports of its room.
    virtual duration room_report_interval(const std::string& agent,
                                          std::size_t agents) const = 0;

    /// @param agent One that reports.
    /// @return Whether this entry places the tasks of others there.
    virtual bool places_for_others(const std::string& agent) const = 0;

    /// @param agent One that reports.
    /// @return Whether this entry places any tasks there by itself.
    virtual bool places_at(const std::string& agent) const = 0;

    /// @param agent One that reports.
    /// @return Whether its hall is evacuated, as far as this entry knows.
    virtual hall_evacuation evacuation_of(const std::string& agent) const = 0;
};

/// Between two reports of an agent that has runs of the entry, at most.
inline constexpr duration busy_report_interval = milliseconds{200};

/// From when on an agent counts as silent: one that has announced its next
/// report for later is not missed before.
/// @param heard When it reported.
/// @param next_within What it announced.
/// @return The begin of its silence, unless it reports again.
constexpr instant silent_since(instant on_report, duration next_within)
{
    return on_report +
           std::max(duration{0}, next_within - busy_report_interval);
}

/// Limits of the sessions.
struct agent_sessions_settings
{
    std::string entry;                     ///< Name of this entry.
    std::uint64_t incarnation = 0;         ///< Of this entry.
    duration silence = milliseconds{1200}; ///< Without a report that is due:
                                           ///< gone.
    duration attach_timeout = seconds{3};  ///< For the answer of a new link;
                                           ///< all attach at once when all
                                           ///< have started.
    rpc_link_settings link;                ///< Limits of the connections.
};

/// One session with each agent. Runs inside an rpc_loop.
class agent_sessions final : public order_sender
{
public:
    /// @param io Runs them.
    /// @param clock Outlives them.
    /// @param listener Outlives them.
    /// @param settings Limits.
    agent_sessions(boost::asio::io_context& io, const clock_source& clock,
                   agent_session_listener& listener,
                   const agent_sessions_settings& settings);
    ~agent_sessions() noexcept override;

    /// @param agent Its name.
    /// @param where Its address.
    void add(const std::string& agent, const host_port& where);

    /// @param agent Is gone for good.
    void remove(const std::string& agent);

    /// @param part Is this entry's from now on.
    void adopt(part_epoch part);

    void send(const std::string& agent, order_batch batch) override;

    /// Tells the agents at which this entry places that it needs their room.
    void send_report_pacing();

    /// Connects, and drops what is silent.
    void tick();

    /// Ends all sessions. Their calls live in the event loop and must not
    /// outlast it.
    void close();

    /// @param agent Its name.
    /// @return Whether its session is open.
    bool is_attached(const std::string& agent) const;

    /// Told the session with a host.
    using host_handler = std::function<void(wire::JobHost::Client)>;

    /// Asks an agent's process to host jobs of this entry.
    /// @param agent Its name.
    /// @param done Told the session; never, where the link breaks.
    /// @return Whether it was asked.
    bool open_host(const std::string& agent, host_handler done);

    /// @return Agents with an open session, by last tick.
    std::size_t attached() const { return attached_count_; }

private:
    class report_server;
    struct session;

    void connected(const std::string& agent, wire::RunAgent::Client interface);
    void attached(session& to, wire::RunSession::Client opened,
                  const runner_report& report);
    void disconnected(const std::string& agent);
    void adopt_at(session& at, part_epoch part);
    bool is_account_complete(session& by);
    std::uint32_t room_report_interval_ms(const std::string& agent) const;
    void on_report(const std::string& agent, std::uint64_t number,
                   wire::RunReport::Reader report);

    boost::asio::io_context& io_;      ///< Runs them.
    const clock_source& clock_;        ///< This entry's.
    agent_session_listener& listener_; ///< Told.
    agent_sessions_settings settings_; ///< Limits.
    std::map<std::string, std::unique_ptr<session>> sessions_; ///< By agent.
    std::size_t attached_count_ = 0; ///< By last tick.
    std::uint64_t last_number_ = 0;  ///< Of sessions.
};

} // namespace glenhollow

#endif
