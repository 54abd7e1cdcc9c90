#ifndef GLENHOLLOW_DURABLE_JOB_ROUTER_HPP
#define GLENHOLLOW_DURABLE_JOB_ROUTER_HPP

#include "glenhollow/durable/entry_peers.hpp"
#include "glenhollow/durable/part_ownership.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

namespace glenhollow
{

/// Settings of a job_router.
struct job_router_settings
{
    std::size_t parts = 3; ///< Number of parts of the journal.
    duration owner_wait = milliseconds{150};      ///< Time that a submission
                                                  ///< waits for an owner.
    duration submit_timeout = milliseconds{1400}; ///< Limit of a submission.
    duration query_timeout = milliseconds{3500};  ///< Limit of other calls.
    /// Limit of one attempt at a peer.
    duration attempt_timeout = milliseconds{700};
    duration retry_delay = milliseconds{20}; ///< Time between attempts.
};

/// Counters of a job_router.
struct job_router_stats
{
    std::uint64_t local = 0;     ///< Attempts at this entry's parts.
    std::uint64_t forwarded = 0; ///< Attempts at other entries.
    std::uint64_t ownerless = 0; ///< Attempts without a known owner.
    std::uint64_t retried = 0;   ///< Attempts after the first.
    /// Finished calls by outcome.
    std::array<std::uint64_t, name_table<job_outcome>::names.size()> outcomes{};
};

/// Routes each call to the owner of its job's part and retries until a timeout.
/// All calls are idempotent, so that retries are safe.
class job_router final
{
public:
    /// @param clock Must outlive the router.
    /// @param schedule_after Runs a function after a delay.
    /// @param ownership Parts of this entry; must outlive the router.
    /// @param peers Other entries; must outlive the router.
    job_router(const clock_source& clock, journal_chain::delay schedule_after,
               part_ownership& ownership, entry_peers& peers,
               const job_router_settings& settings);

    /// Routes a call.
    /// @param done Called exactly once with the result.
    void route(job_call call, job_reply_handler done);

    /// Executes a call at this entry.
    /// @param done Called exactly once with the result; `not_owner` if this
    /// entry does not own the part.
    void serve_locally(const job_call& call, job_reply_handler done);

    /// @return Counters since construction.
    const job_router_stats& stats() const { return stats_; }

private:
    struct pending_call;

    /// Limit of a call that may have finished.
    struct deadline
    {
        instant due{};
        std::uint64_t call = 0; ///< Number of the call.
    };

    /// Deadlines of calls with the same timeout, the earliest first. One timer
    /// serves all: a timer per call would outlive the call, and callers that
    /// send many requests ahead would fill the memory with them.
    struct deadline_queue
    {
        duration timeout{};
        std::deque<deadline> pending{};
        bool armed = false; ///< Whether the timer is set.
    };

    void add_deadline(deadline_queue& queue, std::uint64_t call);
    void arm(deadline_queue& queue);
    void expire(deadline_queue& queue);
    void attempt(const std::shared_ptr<pending_call>& call);
    void on_reply(const std::shared_ptr<pending_call>& call,
                  std::uint64_t attempt, const std::optional<job_reply>& reply);
    void retry(const std::shared_ptr<pending_call>& call);
    void finish(const std::shared_ptr<pending_call>& call,
                const job_reply& reply);
    void give_up(const std::shared_ptr<pending_call>& call);
    std::optional<std::string> owner_of(part_number part) const;

    const clock_source& clock_;
    journal_chain::delay schedule_after_; ///< Runs a function after a delay.
    part_ownership& ownership_;           ///< Parts of this entry.
    entry_peers& peers_;                  ///< Other entries.
    job_router_settings settings_;
    job_router_stats stats_;
    /// Unfinished calls by number.
    std::unordered_map<std::uint64_t, std::shared_ptr<pending_call>> calls_;
    std::uint64_t last_call_ = 0; ///< Number of the latest call.
    deadline_queue submissions_;  ///< Deadlines of submissions.
    deadline_queue queries_;      ///< Deadlines of other calls.
};

} // namespace glenhollow

#endif
