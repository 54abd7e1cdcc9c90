#ifndef GLENHOLLOW_DURABLE_MEMORY_CANCELLATION_HPP
#define GLENHOLLOW_DURABLE_MEMORY_CANCELLATION_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/cancel_cache.hpp"
#include "glenhollow/durable/job_coordinator.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace glenhollow
{

/// The jobs of this entry that a cancel may name: those in memory that were
/// submitted to it, wherever they run, and those of its parts of the journal.
class local_jobs
{
public:
    virtual ~local_jobs() = default;

    /// Cancels an in-memory job, or reports how it has ended.
    /// @param done Called immediately or later if the job is known.
    /// @return Whether the job is known.
    virtual bool cancel_local(job_id id, job_reply_handler done) = 0;

    /// Cancels a job of an owned part of the journal, or reports how it has
    /// ended.
    /// @param done Called once the end is durable, if the job is known; with
    /// `not_owner` if the part is lost before.
    /// @return Whether the job is known.
    virtual bool cancel_owned(job_id id, job_reply_handler done) = 0;
};

/// State of another entry.
struct peer_status
{
    std::string name;
    bool connected = false; ///< Whether calls can be sent to it.
    instant last_heard{};   ///< Time of its last message, or of its discovery.
};

/// A cancelled job as sent to an entry that has just started.
struct cancel_record
{
    job_id id = 0;
    job_state state = job_state::cancelled; ///< Last known end state.
    bool found = false;                     ///< Whether an entry had the job.
    duration age{};                         ///< Time since its cancel.
};

/// Sends cancels to other entries.
class cancel_peers
{
public:
    using answer_handler = std::function<void(std::optional<job_reply>)>;
    using cancel_records_handler =
        std::function<void(std::optional<std::vector<cancel_record>>)>;

    virtual ~cancel_peers() = default;

    /// @return All known entries, connected or not.
    virtual std::vector<peer_status> all() const = 0;

    /// @return Whether all() lists every entry: one that has just started may
    /// know few of them.
    virtual bool knows_all_entries() const = 0;

    /// Cancels a job at another entry.
    /// @param done Called with the reply, or nothing if there is none.
    virtual void cancel(const std::string& name, job_id id,
                        answer_handler done) = 0;

    /// Cancels a job at an entry that this one can't reach.
    /// @param by Entry that forwards the cancel.
    /// @param name Entry that receives it.
    /// @param done Called with the reply; nothing, or an unknown outcome, if
    /// there is none.
    virtual void relay_cancel(const std::string& by, const std::string& name,
                              job_id id, answer_handler done) = 0;

    /// Fetches the recently cancelled jobs of another entry.
    /// @param done Called with them, or nothing if the call failed.
    virtual void fetch_cancels(const std::string& name,
                               cancel_records_handler done) = 0;
};

/// Settings of memory_cancellation.
struct memory_cancellation_settings
{
    /// Time to wait for the journal's owner before other entries are asked. The
    /// owner knows the journalled jobs and usually replies within some ms.
    duration broadcast_delay = milliseconds{150};
    /// Time after which nothing runs for a silent entry: its leases at the
    /// agents and their reaction time.
    duration silence_timeout = milliseconds{2000};
    /// Limit of the reply to the caller, below the 4 s that callers wait and
    /// equal to the limit of a call to the journal's owner.
    duration reply_timeout = milliseconds{3500};
    /// Time to wait for the reply of an entry before the cancel is relayed
    /// through other entries. For an unreachable entry it is relayed at once,
    /// and this is the time to wait for the reply.
    duration relay_delay = milliseconds{250};
    /// Unacknowledged cancels per entry; further ones are queued.
    std::size_t max_unacknowledged = 64;
    cancel_cache_settings cache; ///< Bounds of the cache.
};

/// How a cancel was answered.
enum class cancel_outcome : std::uint8_t
{
    local,      ///< This entry had the job.
    remote,     ///< Another entry had the job.
    journal,    ///< The job is journalled.
    remembered, ///< The job was cancelled earlier.
    missing,    ///< No entry has the job and nothing of it runs.
    unknown     ///< An entry or the journal's owner did not answer.
};

template <>
struct name_table<cancel_outcome>
{
    static constexpr std::array<std::string_view, 6> names{
        "here", "elsewhere", "journal", "remembered", "missing", "unknown"};
};

/// Counters of memory_cancellation.
struct memory_cancellation_stats
{
    /// Upper bounds of the reply times, ms; the last bucket is unbounded.
    static constexpr std::array<std::uint32_t, 4> reply_time_bounds_ms{
        50, 250, 1000, 2500};

    /// Answered cancels by outcome.
    std::array<std::uint64_t, name_table<cancel_outcome>::names.size()>
        outcomes{};
    /// Answered cancels by reply time.
    std::array<std::uint64_t, reply_time_bounds_ms.size() + 1> reply_times{};
    std::uint64_t sent = 0;           ///< Cancels sent to other entries.
    std::uint64_t unacknowledged = 0; ///< Sent cancels that were lost and are
                                      ///< sent again.
    std::uint64_t relayed = 0;   ///< Cancels relayed through other entries.
    std::uint64_t received = 0;  ///< Cancels received from other entries.
    std::uint64_t timed_out = 0; ///< Entries that did not answer in time.
    /// Jobs found at an entry after their cancel was answered.
    std::uint64_t ran_after_reply = 0;
    std::uint64_t rejected = 0; ///< Submissions of cancelled jobs.
    /// Cancels fetched from other entries after the start.
    std::uint64_t fetched = 0;
};

/// Cancels in-memory jobs at whichever entry has them. A cancel is sent to
/// every entry; a silent one is waited for until the leases at its agents have
/// expired and receives the cancel when it is back. Cancelled jobs are cached
/// so that late submissions are rejected. Not thread-safe.
class memory_cancellation final
{
public:
    /// Cancels a job at the owner of its part of the journal.
    using journal_cancel = std::function<void(job_id, job_reply_handler)>;

    /// @param clock Must outlive this object.
    /// @param local_jobs Jobs of this entry; must outlive this object.
    /// @param peers Other entries; must outlive this object.
    /// @param journal Cancels journalled jobs.
    memory_cancellation(const clock_source& clock, local_jobs& jobs,
                        cancel_peers& peers, journal_cancel journal,
                        const memory_cancellation_settings& settings);

    /// Cancels a job for its caller.
    /// @param id A job, in memory or journalled.
    /// @param done Called exactly once with the result.
    void cancel(job_id id, job_reply_handler done);

    /// Handles a cancel from another entry.
    /// @param onward Entry to which the cancel is relayed; empty: this one.
    /// @param done Called with the reply of that entry; its outcome is unknown
    /// if the entry is not reached.
    void on_peer_cancel(job_id id, const std::string& onward,
                        job_reply_handler done);

    /// Remembers the cancel of a journalled job that its owner, this entry,
    /// does not know.
    void remember(job_id id) { cache_.record(id, clock_.now()); }

    /// Checks a submitted job that is not known to this entry.
    /// @return Its end state if it was cancelled and must not be run.
    std::optional<job_state> reject_if_cancelled(job_id id);

    /// @return The recently cancelled jobs, for an entry that has just started.
    std::vector<cancel_record> cancel_records() const;

    /// Runs periodic work: sends pending cancels and expires waits.
    void tick();

    /// @return Counters since construction.
    const memory_cancellation_stats& stats() const { return stats_; }

    /// @return The recently cancelled jobs.
    const cancel_cache& cache() const { return cache_; }

private:
    /// A cancel that has not been answered.
    struct pending_cancel
    {
        instant started_at{};                ///< Time of the caller's request.
        std::vector<job_reply_handler> done; ///< Callers to answer.
        bool broadcast = false; ///< Whether it was sent to other entries.
        bool asked_all = false; ///< Whether these were all entries.
        /// Whether this entry's own reply is pending.
        bool awaiting_local = false;
        std::optional<job_reply> journal; ///< Reply of the journal's owner.
        /// Entries without a reply, and the time since which each has been
        /// silent; an empty name stands for a lost host.
        std::map<std::string, instant> silent_since;
        /// Number of entries that did not answer in time.
        std::uint32_t timed_out = 0;
        instant broadcast_at{}; ///< Time at which it was sent to the others.
        std::set<std::string> relayed_to; ///< Entries to which it was relayed.
    };

    /// An entry of the log of cancels to send.
    struct logged_cancel
    {
        job_id id = 0;
        instant since{}; ///< Time of the cancel.
    };

    /// Position of another entry in the log of cancels.
    struct peer_cursor
    {
        std::uint64_t next = 0; ///< Number of the next cancel to send.
        /// Numbers of unacknowledged cancels.
        std::set<std::uint64_t> in_flight;
    };

    void ask_local(job_id id);
    void on_local_reply(job_id id, const job_reply& reply);
    void on_journal_reply(job_id id, const job_reply& reply);
    void broadcast(job_id id);
    void notify_peers(job_id id);
    void send_pending(const peer_status& peer);
    void relay_cancel(job_id id, const std::vector<peer_status>& peers);
    void on_relay_reply(const std::string& name, job_id id,
                        const std::optional<job_reply>& reply);
    void on_cancel_for_this_entry(job_id id, job_reply_handler done);
    bool cancel_owned_for_peer(job_id id, const job_reply_handler& done);
    void
    cancel_local_for_peer(job_id id,
                          const std::shared_ptr<job_reply_handler>& shared);
    void on_cancel_reply(const std::string& name, std::uint64_t number,
                         const logged_cancel& logged,
                         const std::optional<job_reply>& reply);
    void log_ran_after_reply(const std::string& name,
                             const logged_cancel& logged,
                             const job_reply& reply);
    void check_pending(job_id id, const std::vector<peer_status>& peers);
    void expire_waits(pending_cancel& pending,
                      const std::vector<peer_status>& peers);
    void finish_if_complete(job_id id);
    void expire();
    void finish(job_id id, cancel_outcome outcome, const job_reply& reply,
                const std::string& entry);
    void fetch_from_peers(const std::vector<peer_status>& peers);
    void merge_fetched(const std::vector<cancel_record>& records);

    const clock_source& clock_;
    local_jobs& local_jobs_; ///< Jobs of this entry.
    cancel_peers& peers_;    ///< Other entries.
    journal_cancel journal_; ///< Cancels journalled jobs.
    memory_cancellation_settings settings_;
    cancel_cache cache_;                       ///< Recently cancelled jobs.
    std::map<job_id, pending_cancel> pending_; ///< Cancels without an answer.
    std::deque<logged_cancel> log_; ///< Cancels to send to other entries.
    std::uint64_t log_begin_ = 0;   ///< Number of the first cancel in the log.
    std::map<std::string, peer_cursor> cursors_; ///< Log positions by entry.
    /// Entries asked for their cancelled jobs.
    std::set<std::string> fetching_from_;
    instant next_fetch_at_{}; ///< Time of the next fetch after a failure.
    bool fetched_ = false;    ///< Whether a fetch has succeeded.
    memory_cancellation_stats stats_;
};

} // namespace glenhollow

#endif
