#ifndef GLENHOLLOW_DURABLE_JOB_ROUTER_HPP
#define GLENHOLLOW_DURABLE_JOB_ROUTER_HPP

#include "glenhollow/durable/entry_peers.hpp"
#include "glenhollow/durable/part_ownership.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <array>
#include <functional>
#include <memory>

namespace glenhollow
{

/// Limits of the router.
struct job_router_settings
{
    std::size_t parts = 3;                        ///< Of the journal.
    duration ownerless = milliseconds{150};       ///< A submission waits for an
                                                  ///< owner so long.
    duration submit_timeout = milliseconds{1400}; ///< Of a submission that may
                                                  ///< have been taken.
    duration query_timeout = milliseconds{3500};  ///< Of other calls.
    duration attempt_timeout = milliseconds{700}; ///< Of one try at a peer.
    duration retry = milliseconds{20};            ///< Between tries.
};

/// Counters of the router.
struct job_router_stats
{
    std::uint64_t here = 0;      ///< Tries at this entry's own parts.
    std::uint64_t forwarded = 0; ///< Tries at other entries.
    std::uint64_t ownerless = 0; ///< Tries without an owner.
    std::uint64_t retried = 0;   ///< Tries after the first.
    std::array<std::uint64_t, name_table<job_outcome>::names.size()>
        outcomes{}; ///< Ends of calls.
};

/// Brings each call to the owner of its job's part, and tries again while that
/// is safe: every call can be repeated.
class job_router final
{
public:
    /// @param clock Outlives it.
    /// @param later Runs delayed work.
    /// @param ownership Outlives it.
    /// @param peers Outlives it.
    /// @param settings Limits.
    job_router(const clock_source& clock, journal_chain::delay schedule_after,
               part_ownership& ownership, entry_peers& peers,
               const job_router_settings& settings);

    /// @param call What is asked.
    /// @param done Told the end, once.
    void route(job_call call, job_reply_handler done);

    /// @param call For a part of this entry.
    /// @param done Told the end, once; `not_owner` where it is another's.
    void serve_locally(const job_call& call, job_reply_handler done);

    /// @return Counters.
    const job_router_stats& stats() const { return stats_; }

private:
    struct pending_call;

    void attempt(const std::shared_ptr<pending_call>& call);
    void on_reply(const std::shared_ptr<pending_call>& call,
                  std::uint64_t attempt, const std::optional<job_reply>& reply);
    void retry(const std::shared_ptr<pending_call>& call);
    void finish(const std::shared_ptr<pending_call>& call,
                const job_reply& reply);
    void give_up(const std::shared_ptr<pending_call>& call);
    std::optional<std::string> owner_of(part_number part) const;

    const clock_source& clock_;           ///< This entry's.
    journal_chain::delay schedule_after_; ///< Runs delayed work.
    part_ownership& ownership_;           ///< This entry's parts.
    entry_peers& peers_;                  ///< The others.
    job_router_settings settings_;        ///< Limits.
    job_router_stats stats_;              ///< Counters.
};

} // namespace glenhollow

#endif
