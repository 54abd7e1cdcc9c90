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

/// Jobs of one queue and part that have not begun.
struct queue_backlog
{
    std::string queue;         ///< The queue.
    part_number part = 0;      ///< The part.
    std::uint32_t pending = 0; ///< Jobs.
};

/// What an entry tells the others of itself.
struct entry_view
{
    std::string name;                   ///< Its name.
    std::uint64_t incarnation = 0;      ///< Of its process.
    std::vector<part_epoch> parts;      ///< That it owns.
    bool store_reachable = true;        ///< The store answers it.
    bool stopping = false;              ///< It is being stopped.
    std::uint64_t catalog_version = 0;  ///< Newest it has.
    std::vector<queue_backlog> pending; ///< Of its parts.
    std::vector<part_epoch> released;   ///< Given away, free to take.
    std::uint32_t millicores = 0; ///< Thousandths of a core that it may use.
    bool timers_on_time = false;  ///< Its own timers come in time.
    std::uint32_t agents = 0;     ///< With which it has a session.
    std::int64_t started = 0;     ///< By its time of day, in seconds.
    evacuated_halls evacuated;    ///< Halls that get no new work.

    /// @param part A part.
    /// @return Whether this entry owns it.
    bool owns(part_number part) const;

    /// @param claim Of another entry.
    /// @return Whether this one has claimed the part later.
    bool has_later_claim(part_epoch claim) const;
};

/// What is asked of a job's owner.
enum class job_verb : std::uint8_t
{
    submit,          ///< Accept it.
    cancel,          ///< Cancel it.
    state,           ///< Tell its state.
    cancel_in_memory ///< Cancel it if it is kept in memory there; any entry's.
};

template <>
struct name_table<job_verb>
{
    static constexpr std::array<std::string_view, 4> names{
        "submit", "cancel", "state", "cancel_in_memory"};
};

/// A call for one job.
struct job_call
{
    job_verb verb = job_verb::state; ///< What is asked.
    job_id id = 0;                   ///< Of which job.
    job_definition job;              ///< When submitted.
    std::string forward_to{};        ///< To be passed on to this entry.
};

/// Answers other entries.
class entry_peer_handler
{
public:
    virtual ~entry_peer_handler() = default;

    /// @return This entry as others should see it.
    virtual entry_view own_view() = 0;

    /// @param view Another entry's.
    virtual void peer_view_received(const entry_view& view) = 0;

    /// @param call For a job of a part that this entry should own.
    /// @param done Told the answer.
    virtual void serve(const job_call& call, job_reply_handler done) = 0;

    /// @return The newest catalog's document.
    virtual std::string catalog_document() = 0;

    /// @return Jobs in memory that it remembers as cancelled.
    virtual std::vector<cancel_record> cancelled_jobs() { return {}; }

    /// @param entry Wants this entry to place its tasks.
    /// @param grants Told of places.
    /// @return Its session.
    virtual wire::PlacementSession::Client
    open_placement(const std::string& entry,
                   wire::PlacementGrants::Client grants) = 0;
};

/// How often an entry tries to connect to others, however many are away.
struct connect_budget
{
    double per_s = 100; ///< Attempts.
    double burst = 32;  ///< At once: a small deployment needs no more.
};

/// Limits of the links between entries.
struct entry_peers_settings
{
    connect_budget connects;                 ///< For all links together.
    exchange_pacing_settings exchange;       ///< How often views go round.
    gossip_fanout_settings gossip;           ///< Of facts that all must learn.
    duration down_grace = milliseconds{150}; ///< A lost link may come back.
    rpc_link_settings link;                  ///< Limits of the connections.
};

/// Links to the other entries. Runs inside an rpc_loop.
class entry_peers final
{
public:
    /// Told an answer, or nothing where there is none.
    using answer_handler = std::function<void(std::optional<job_reply>)>;

    /// @param io Runs them.
    /// @param clock Outlives them.
    /// @param handler Outlives them.
    /// @param settings Limits.
    entry_peers(boost::asio::io_context& io, const clock_source& clock,
                entry_peer_handler& handler,
                const entry_peers_settings& settings);
    ~entry_peers();

    /// @param name Of the entry.
    /// @param where Its address.
    void add(const std::string& name, const host_port& where);

    /// @return The interface offered to other entries.
    wire::EntryPeer::Client bootstrap();

    /// Connects, exchanges, and notes who is silent.
    void tick();

    /// Ends all links. Their calls live in the event loop and must not
    /// outlast it.
    void close();

    /// Tells all others at once.
    void exchange_all();

    /// Tells a few others at once a fact that each of them passes on when it
    /// is new there.
    void gossip();

    /// @return Attempts to connect so far.
    std::uint64_t connect_attempts() const { return attempts_; }

    /// @return Views of the entries that are live, good until the next call
    /// that is not const. Not copied: each tick goes through all of them.
    std::vector<const entry_view*> live() const;

    /// @param name An entry.
    /// @return Its view, or null where it is not live.
    const entry_view* find(const std::string& name) const;

    /// Exchanges with those whose last word is older, as far as they can be
    /// reached.
    /// @param older Than this.
    void refresh(duration max_age);

    /// What other entries say of a claim: each that was heard lately has been
    /// asked and told of no later one, or its machine says that its process has
    /// ended.
    /// @param claim This entry's.
    /// @param active_since Those that were silent since then don't count.
    /// @return When the one was asked whose word is the oldest; zero where one
    /// has told nothing, or of a later claim.
    instant oldest_confirmation(part_epoch claim, instant active_since) const;

    /// @param name An entry that is not live.
    /// @return Whether its machine refuses connections: its process has ended.
    bool refuses_connections(const std::string& name) const;

    /// @param name The entry to ask.
    /// @param call What.
    /// @param done Told the answer.
    void call(const std::string& name, const job_call& call,
              answer_handler done);

    /// @return All that are known, live or not.
    std::vector<peer_status> connection_states() const;

    /// @param name The entry to ask.
    /// @param done Told the jobs in memory that it remembers as cancelled.
    void fetch_cancelled(const std::string& name,
                         cancel_peers::cancel_records_handler done);

    /// @param name An entry.
    /// @return Whether there is a connection to it.
    bool connected(const std::string& name) const;

    /// Told the placer's incarnation and its session.
    using placement_handler =
        std::function<void(std::uint64_t, wire::PlacementSession::Client)>;

    /// @param name The entry that shall place.
    /// @param entry This entry's name.
    /// @param incarnation Of this process.
    /// @param grants Told of places.
    /// @param done Told the session; never, where the link breaks.
    /// @return Whether it was asked.
    bool open_placement(const std::string& name, const std::string& entry,
                        std::uint64_t incarnation,
                        wire::PlacementGrants::Client grants,
                        placement_handler done);

    /// @param work Runs after what runs now.
    void later(std::function<void()> work);

    /// @param name The entry to ask.
    /// @param done Told its newest catalog, or nothing.
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

    boost::asio::io_context& io_;                        ///< Runs them.
    const clock_source& clock_;                          ///< This entry's.
    entry_peer_handler& handler_;                        ///< Answers.
    entry_peers_settings settings_;                      ///< Limits.
    exchange_pacing pacing_;                             ///< Of exchanges.
    gossip_fanout fanout_;                               ///< Of gossip.
    std::map<std::string, std::unique_ptr<peer>> peers_; ///< By name.
    std::string own_name_;                               ///< Of this entry.
    token_bucket connects_;                              ///< Attempts left.
    std::string last_connect_name_; ///< Name that the last attempt went to.
    std::uint64_t attempts_ = 0;    ///< To connect, so far.
};

} // namespace glenhollow

#endif
