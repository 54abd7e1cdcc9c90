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

/// The jobs in memory that this entry answers for, wherever they are placed.
class local_memory_jobs
{
public:
    virtual ~local_memory_jobs() = default;

    /// Cancels a job, or tells how it has ended.
    /// @param id A job.
    /// @param done Told the end, unless the job is not known here; at once or
    /// later.
    /// @return Whether the job is known here.
    virtual bool cancel_local(job_id id, job_reply_handler done) = 0;
};

/// Another entry as seen from here.
struct peer_status
{
    std::string name;       ///< Its name.
    bool connected = false; ///< It can be asked.
    instant heard{};        ///< When it last told anything; else when it became
                            ///< known.
};

/// What an entry that has just begun is told by another.
struct cancel_record
{
    job_id id = 0;                          ///< The job.
    job_state state = job_state::cancelled; ///< How it ended, as far as known.
    bool found = false;                     ///< Some entry had it.
    duration age{};                         ///< Since its cancelling was heard.
};

/// The other entries; a fake in tests.
class cancel_peers
{
public:
    using answer_handler = std::function<void(std::optional<job_reply>)>;
    using cancel_records_handler =
        std::function<void(std::optional<std::vector<cancel_record>>)>;

    virtual ~cancel_peers() = default;

    /// @return All that are known, live or not.
    virtual std::vector<peer_status> all() const = 0;

    /// @param name The entry to tell.
    /// @param id A job that is cancelled.
    /// @param done Told its answer, or nothing where there is none.
    virtual void cancel(const std::string& name, job_id id,
                        answer_handler done) = 0;

    /// @param by An entry that may reach another.
    /// @param name The other, to be told.
    /// @param id A job that is cancelled.
    /// @param done Told its answer; nothing, or unknown, where there is none.
    virtual void relay_cancel(const std::string& by, const std::string& name,
                              job_id id, answer_handler done) = 0;

    /// @param name The entry to ask.
    /// @param done Told what it remembers, or nothing.
    virtual void fetch_cancels(const std::string& name,
                               cancel_records_handler done) = 0;
};

/// Limits of the cancelling of jobs in memory.
struct memory_cancellation_settings
{
    duration broadcast_delay = milliseconds{150}; ///< The journal's owner knows
                                                  ///< kept jobs and answers in
                                                  ///< a few ms: so long only it
                                                  ///< is asked.
    duration silence_timeout =
        milliseconds{2000}; ///< Nothing runs any more for the jobs
                            ///< in memory of an entry that was
                            ///< silent so long: its leases at
                            ///< agents, and their time to stop.
    duration reply_timeout =
        milliseconds{3500}; ///< Of an answer, whatever is known:
                            ///< that of a call to the journal's
                            ///< owner, and callers wait for 4 s.
    duration relay_delay = milliseconds{250}; ///< Without an answer an entry
                                              ///< is told by way of others;
                                              ///< one that is out of reach
                                              ///< at once, and has so long
                                              ///< to answer that way.
    std::size_t max_unacknowledged = 64; ///< Without an answer at one entry:
                                         ///< more wait until it answers.
    cancel_cache_settings cache;         ///< Bounds.
};

/// How the cancelling of a job was answered.
enum class cancel_outcome : std::uint8_t
{
    here,       ///< This entry had it.
    elsewhere,  ///< Another entry had it.
    journal,    ///< It is a kept job.
    remembered, ///< It was cancelled before.
    missing,    ///< Nobody has it, and nothing of it runs.
    unknown     ///< Not all could be asked, or the journal not.
};

template <>
struct name_table<cancel_outcome>
{
    static constexpr std::array<std::string_view, 6> names{
        "here", "elsewhere", "journal", "remembered", "missing", "unknown"};
};

/// Counters of the cancelling of jobs in memory.
struct memory_cancellation_stats
{
    /// Upper bounds of the ages, ms; the last class has none.
    static constexpr std::array<std::uint32_t, 4> reply_time_bounds_ms{
        50, 250, 1000, 2500};

    std::array<std::uint64_t, name_table<cancel_outcome>::names.size()>
        outcomes{}; ///< Answers.
    std::array<std::uint64_t, reply_time_bounds_ms.size() + 1>
        reply_times{};                ///< Answers by what they took.
    std::uint64_t told = 0;           ///< Cancels told to other entries.
    std::uint64_t unacknowledged = 0; ///< Of these, lost; they are told again.
    std::uint64_t relayed = 0;        ///< Cancels told by way of others.
    std::uint64_t heard = 0;          ///< Cancels that others told.
    std::uint64_t timed_out = 0;      ///< Entries that were waited for in vain.
    std::uint64_t ran_after_reply =
        0;                      ///< Jobs that an entry had when it heard of
                                ///< their cancelling after the answer.
    std::uint64_t rejected = 0; ///< Submissions of a cancelled job.
    std::uint64_t fetched = 0;  ///< Cancels from before this process began.
};

/// Cancels jobs in memory wherever they are: asks every entry once, waits no
/// longer for a silent one than its agents do, tells it when it is back, and
/// remembers. One thread.
class memory_cancellation final
{
public:
    /// Asks the owner of the journal's part.
    using journal_cancel = std::function<void(job_id, job_reply_handler)>;

    /// @param clock Outlives it.
    /// @param holder This entry's jobs; outlives it.
    /// @param peers The other entries; outlives it.
    /// @param journal For jobs that are kept.
    /// @param settings Limits.
    memory_cancellation(const clock_source& clock,
                        local_memory_jobs& local_jobs, cancel_peers& peers,
                        journal_cancel journal,
                        const memory_cancellation_settings& settings);

    /// @param id A job that its caller cancels, in memory or kept.
    /// @param done Told the end, once.
    void cancel(job_id id, job_reply_handler done);

    /// @param id A job that another entry cancels.
    /// @param onward The entry that it is for; empty: this one.
    /// @param done Told what that entry had; unknown: it is not reached.
    void told(job_id id, const std::string& onward, job_reply_handler done);

    /// @param id A job in memory that is submitted and not known here.
    /// @return How it ended if it was cancelled: it must not be run.
    std::optional<job_state> reject_if_cancelled(job_id id);

    /// @return What is remembered, for an entry that has just begun.
    std::vector<cancel_record> remembered() const;

    /// Does what is due: tells entries that are back, stops waiting.
    void tick();

    /// @return Counters.
    const memory_cancellation_stats& stats() const { return stats_; }

    /// @return Cancels that are remembered.
    const cancel_cache& memory() const { return cache_; }

private:
    /// One that is not answered.
    struct pending_cancel
    {
        instant started_at{};                ///< When it came.
        std::vector<job_reply_handler> done; ///< Told the end.
        bool broadcast = false;              ///< Other entries were asked.
        bool awaiting_local = false;         ///< This entry's answer is out.
        std::optional<job_reply> journal;    ///< Its owner's answer.
        std::map<std::string, instant>
            silent_since;                 ///< Silent since, by entry.
        std::uint32_t timed_out = 0;      ///< Entries waited for in vain.
        instant broadcast_at{};           ///< When the others were asked.
        std::set<std::string> relayed_to; ///< Entries told by way of others.
    };

    /// One that others are told of.
    struct logged_cancel
    {
        job_id id = 0;   ///< The job.
        instant since{}; ///< When it came.
    };

    /// How far an entry has been told.
    struct peer_cursor
    {
        std::uint64_t next = 0; ///< Number of the first that it was not told.
        std::set<std::uint64_t> out; ///< Numbers of those told, not answered.
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
    void
    cancel_local_for_peer(job_id id,
                          const std::shared_ptr<job_reply_handler>& shared);
    void on_cancel_reply(const std::string& name, std::uint64_t number,
                         const logged_cancel& told,
                         const std::optional<job_reply>& reply);
    void log_ran_after_reply(const std::string& name, const logged_cancel& told,
                             const job_reply& reply);
    void check_pending(job_id id, const std::vector<peer_status>& peers);
    void expire_waits(pending_cancel& pending,
                      const std::vector<peer_status>& peers);
    void finish_if_complete(job_id id);
    void expire();
    void finish(job_id id, cancel_outcome outcome, const job_reply& reply,
                const std::string& entry);
    void fetch_from_peers(const std::vector<peer_status>& peers);
    void merge_fetched(const std::vector<cancel_record>& known);

    const clock_source& clock_;                  ///< This entry's.
    local_memory_jobs& local_jobs_;              ///< This entry's jobs.
    cancel_peers& peers_;                        ///< The other entries.
    journal_cancel journal_;                     ///< For kept jobs.
    memory_cancellation_settings settings_;      ///< Limits.
    cancel_cache cache_;                         ///< Cancelled lately.
    std::map<job_id, pending_cancel> pending_;   ///< Not answered.
    std::deque<logged_cancel> log_;              ///< That others are told of.
    std::uint64_t log_begin_ = 0;                ///< Number of the log's first.
    std::map<std::string, peer_cursor> cursors_; ///< By entry.
    std::set<std::string> fetching_from_;        ///< Asked for what they know.
    instant next_fetch_at_{};                    ///< After one that failed.
    bool fetched_ = false;                       ///< One has told.
    memory_cancellation_stats stats_;            ///< Counters.
};

} // namespace glenhollow

#endif
