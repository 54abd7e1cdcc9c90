#ifndef GLENHOLLOW_RUNS_RUN_MANAGER_STATS_HPP
#define GLENHOLLOW_RUNS_RUN_MANAGER_STATS_HPP

#include "glenhollow/core/names.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace glenhollow
{

/// How a heartbeat of a backend server was handled.
enum class heartbeat_outcome : std::uint8_t
{
    accepted, ///< Used, or kept until a poll confirms its sender.
    /// A later heartbeat of the same incarnation was received before.
    out_of_order,
    /// Ignored: it lacks the start time that polls report, so its sender is
    /// unknown.
    without_start_time
};

template <>
struct name_table<heartbeat_outcome>
{
    static constexpr std::array<std::string_view, 3> names{"taken", "late",
                                                           "undated"};
};

/// Counters of a run manager.
struct run_manager_stats
{
    std::uint64_t started = 0; ///< Starts accepted by the backend server.
    /// Orders that ended before their run started.
    std::uint64_t not_begun = 0;
    std::uint64_t doubtful = 0;   ///< Starts without an answer.
    std::uint64_t polls = 0;      ///< Polls sent.
    std::uint64_t polls_lost = 0; ///< Polls without an answer in time.
    /// Polls whose answer had no room for all ends.
    std::uint64_t polls_cut = 0;
    /// Times that starts had to wait for confirmations of ends.
    std::uint64_t ends_full = 0;
    /// Times that renewing the hold was suspended until it lapsed.
    std::uint64_t lapses = 0;
    std::uint64_t stalled = 0; ///< Runs stopped for lack of progress.
    /// Runs that the server stopped listing without an end.
    std::uint64_t runs_missing = 0;
    std::uint64_t found = 0; ///< Runs started by an earlier agent process.
    /// Stops of runs listed after their end.
    std::uint64_t ended_runs_stopped = 0;
    /// Registrations of ended incarnations.
    std::uint64_t stale_registrations = 0;
    std::array<std::uint64_t, name_table<heartbeat_outcome>::names.size()>
        heartbeats{};                   ///< Heartbeats by outcome.
    std::uint64_t same_id_restarts = 0; ///< Restarts under the same id.
    /// Sign-offs that a later poll contradicted.
    std::uint64_t unconfirmed_sign_offs = 0;
    /// Ends listed again after their confirmation.
    std::uint64_t repeated_ends = 0;
    /// Acknowledgements that reached another incarnation than the one they were
    /// meant for.
    std::uint64_t misdelivered_acks = 0;
    /// Incarnations that announced their shutdown.
    std::uint64_t leaving_notices = 0;
    /// Runs stopped in order to run at another server.
    std::uint64_t moved = 0;
    std::uint64_t moved_ms = 0; ///< Run time discarded by these stops, ms.
    /// Runs that could finish in time neither here nor at another server.
    std::uint64_t unfinishable = 0;
    /// Orders refused because of an announced shutdown.
    std::uint64_t refused_by_leaving = 0;
    /// Orders refused because they were for another incarnation.
    std::uint64_t refused_by_incarnation = 0;
    /// Accounts restored from an earlier agent process.
    std::uint64_t restored = 0;
    std::uint64_t restored_ended = 0; ///< Restored incarnations that had ended.
    std::array<std::uint64_t, name_table<run_outcome>::names.size()>
        ends{}; ///< Ends by outcome.
};

} // namespace glenhollow

#endif
