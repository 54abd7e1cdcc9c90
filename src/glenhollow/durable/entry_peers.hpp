#ifndef GLENHOLLOW_DURABLE_ENTRY_PEERS_HPP
#define GLENHOLLOW_DURABLE_ENTRY_PEERS_HPP

#include "glenhollow/decision/token_bucket.hpp"
#include "glenhollow/durable/configuration_tracker.hpp"
#include "glenhollow/durable/evacuated_halls.hpp"
#include "glenhollow/durable/exchange_pacing.hpp"
#include "glenhollow/durable/job_coordinator.hpp"
#include "glenhollow/durable/memory_cancellation.hpp"
#include "glenhollow/overlay/gossip_fanout.hpp"
#include "glenhollow/rpc/rpc_link.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Number of jobs of one queue and part that have not started.
struct queue_backlog
{
    std::string queue;
    part_number part = 0;
    std::uint32_t pending = 0; ///< Jobs that have not started.
};

/// State of an entry as announced to the other entries.
struct entry_view
{
    std::string name;
    std::uint64_t incarnation = 0;     ///< Incarnation of the entry's process.
    std::vector<part_epoch> parts;     ///< Owned parts.
    bool store_reachable = true;       ///< Whether the store answers the entry.
    bool stopping = false;             ///< Whether a planned stop has begun.
    std::uint64_t catalog_version = 0; ///< Version of its configuration.
    std::vector<queue_backlog> pending; ///< Backlogs of the owned parts.
    std::vector<part_epoch> released;   ///< Released parts, free to claim.
    std::uint32_t millicores = 0;       ///< CPU capacity in millicores.
    bool timers_on_time = false;        ///< Whether its timers fire on time.
    std::uint32_t agents = 0;           ///< Agents with a session.
    std::int64_t started = 0;  ///< Start time in seconds since the Unix epoch.
    evacuated_halls evacuated; ///< Halls that get no new tasks.

    /// @return Whether this entry owns a part.
    bool owns(part_number part) const;

    /// @param claim Claim of another entry.
    /// @return Whether this entry has claimed the same part with a higher
    /// epoch.
    bool has_later_claim(part_epoch claim) const;
};

/// Operation requested from a job's owner.
enum class job_verb : std::uint8_t
{
    submit,
    cancel,
    state,
    /// Cancels a job that is kept in memory; sent to any entry.
    cancel_in_memory
};

template <>
struct name_table<job_verb>
{
    static constexpr std::array<std::string_view, 4> names{
        "submit", "cancel", "state", "cancel_in_memory"};
};

/// Request for one job.
struct job_call
{
    job_verb verb = job_verb::state;
    job_id id = 0;
    job_definition job;       ///< Set only for a submission.
    std::string forward_to{}; ///< Entry to forward the call to; may be empty.
};

/// Serves calls of other entries.
class entry_peer_handler
{
public:
    virtual ~entry_peer_handler() = default;

    /// @return The state to announce to other entries.
    virtual entry_view own_view() = 0;

    /// Called for each view received from another entry.
    virtual void peer_view_received(const entry_view& view) = 0;

    /// Serves a call for a job of a part that this entry should own.
    /// @param done Called with the reply.
    virtual void serve(const job_call& call, job_reply_handler done) = 0;

    /// @return The document of the newest configuration.
    virtual std::string catalog_document() = 0;

    /// @return Remembered cancellations of jobs in memory.
    virtual std::vector<cancel_record> cancelled_jobs() { return {}; }

    /// Opens a session in which this entry places another entry's tasks.
    /// @param entry Name of the other entry.
    /// @param grants Receives the grants.
    /// @return The session.
    virtual wire::PlacementSession::Client
    open_placement(const std::string& entry,
                   wire::PlacementGrants::Client grants) = 0;
};

/// Rate limit of connection attempts, shared by all links.
struct connect_budget
{
    double per_s = 100; ///< Attempts per second.
    double burst = 32;  ///< Attempts in one burst.
};

/// Settings of the links between entries.
struct entry_peers_settings
{
    connect_budget connects;
    exchange_pacing_settings exchange;
    gossip_fanout_settings gossip;
    /// Time for which an entry still counts as live after its link was lost.
    duration down_grace = milliseconds{150};
    rpc_link_settings link;
};

/// Links to the other entries. Entries exchange views of their state at regular
/// intervals; an entry counts as live while it answers. Runs in an rpc_loop.
class entry_peers final
{
public:
    /// Receives a reply, or nothing if there is no answer.
    using answer_handler = std::function<void(std::optional<job_reply>)>;

    /// @param io Event loop of the links.
    /// @param clock Must outlive this object.
    /// @param handler Must outlive this object.
    entry_peers(boost::asio::io_context& io, const clock_source& clock,
                entry_peer_handler& handler,
                const entry_peers_settings& settings);
    ~entry_peers();

    /// Adds an entry, or replaces its link if the address has changed.
    void add(const std::string& name, const host_port& where);

    /// @return The RPC interface offered to other entries.
    wire::EntryPeer::Client bootstrap();

    /// Connects and exchanges views as due, and drops silent links.
    void tick();

    /// Ends all links. Called while the event loop exists, since pending calls
    /// must not outlive it.
    void close();

    /// Exchanges views with all entries now.
    void exchange_all();

    /// Exchanges views with a few random entries now. An entry that learns
    /// something new forwards it in the same way.
    void gossip();

    /// @return Number of connection attempts so far.
    std::uint64_t connect_attempts() const { return attempts_; }

    /// @return Views of all live entries, valid until the next non-const call.
    std::vector<const entry_view*> live() const;

    /// @return The view of an entry, or null if it is not live.
    const entry_view* find(const std::string& name) const;

    /// Exchanges views with all connected entries whose latest view is older
    /// than a limit.
    void refresh(duration max_age);

    /// Determines how recently all other entries have confirmed a claim. An
    /// entry confirms it with a view that has no later claim of the part. A
    /// refused connection confirms nothing: a partition may refuse connections
    /// to an entry that runs on and has claimed the part.
    /// @param claim Claim of this entry.
    /// @param active_since Entries that were silent since then are ignored.
    /// @return The time at which the oldest confirmation was requested; zero if
    /// an entry has not answered or has a later claim.
    instant oldest_confirmation(part_epoch claim, instant active_since) const;

    /// @return Whether connections to an entry are refused: its process has
    /// probably ended, but a partition may refuse them as well.
    bool refuses_connections(const std::string& name) const;

    /// Sends a call to another entry.
    /// @param done Called once with the reply.
    void call(const std::string& name, const job_call& call,
              answer_handler done);

    /// @return Connection states of all known entries, live or not.
    std::vector<peer_status> connection_states() const;

    /// Asks an entry for its remembered cancellations of jobs in memory.
    /// @param done Called with these, or with nothing if there is no answer.
    void fetch_cancelled(const std::string& name,
                         cancel_peers::cancel_records_handler done);

    /// @return Whether an entry is connected.
    bool connected(const std::string& name) const;

    /// Receives the placer's incarnation and session.
    using placement_handler =
        std::function<void(std::uint64_t, wire::PlacementSession::Client)>;

    /// Requests a session in which another entry places this entry's tasks.
    /// @param name Entry that acts as placer.
    /// @param entry Name of this entry.
    /// @param incarnation Incarnation of this process.
    /// @param grants Receives the grants.
    /// @param done Called with the session; not called if the link breaks.
    /// @return Whether the request was sent.
    bool open_placement(const std::string& name, const std::string& entry,
                        std::uint64_t incarnation,
                        wire::PlacementGrants::Client grants,
                        placement_handler done);

    /// Runs work after the current handler.
    void later(std::function<void()> work);

    /// Requests the configuration of an entry.
    /// @param done Called with the copy, or with nothing if there is no answer.
    void fetch_catalog(const std::string& name,
                       configuration_tracker::copy_handler done);

private:
    class peer_server;
    struct peer;

    void connect_due();
    void connected(peer& to, wire::EntryPeer::Client interface);
    void link_lost(const std::string& name);
    void exchange(peer& to);
    void view_received(const std::string& name, const entry_view& view);
    void rename(const std::string& from, const std::string& to);
    bool is_live(const peer& one) const;
    bool is_due(const peer& one) const;

    boost::asio::io_context& io_;
    const clock_source& clock_;
    entry_peer_handler& handler_;
    entry_peers_settings settings_;
    exchange_pacing pacing_;
    gossip_fanout fanout_;
    std::map<std::string, std::unique_ptr<peer>> peers_; ///< Peers by name.
    std::string own_name_;          ///< Name of this entry.
    token_bucket connects_;         ///< Limits connection attempts.
    std::string last_connect_name_; ///< Peer of the latest attempt.
    std::uint64_t attempts_ = 0;    ///< Connection attempts so far.
};

} // namespace glenhollow

#endif
