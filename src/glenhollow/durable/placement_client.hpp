#ifndef GLENHOLLOW_DURABLE_PLACEMENT_CLIENT_HPP
#define GLENHOLLOW_DURABLE_PLACEMENT_CLIENT_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/dispatcher.hpp"
#include "glenhollow/durable/entry_peers.hpp"
#include "glenhollow/durable/placement_wire.hpp"
#include "glenhollow/rpc/rpc_loop.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace glenhollow
{

/// Settings of a placement client.
struct placement_client_settings
{
    std::string entry;
    std::uint64_t incarnation = 0; ///< Incarnation of this process.
    /// Minimum timeout of a call; some thirty round trips, but less than the
    /// slack of a short task.
    duration min_answer_timeout = milliseconds{60};
    /// Maximum timeout of a call to a placer that answers slowly.
    duration max_answer_timeout = milliseconds{300};
    duration retry = milliseconds{400}; ///< Time between attempts to open a
                                        ///< session.
    /// Time for which a failed placer is avoided if another one is available;
    /// longer than the detection of a dead entry takes.
    duration failure_backoff = milliseconds{1500};
};

/// Counters of a placement client.
struct placement_client_stats
{
    std::uint64_t messages = 0; ///< Messages sent to placers.
    std::uint64_t grants = 0;   ///< Grants received.
    std::uint64_t unused = 0;   ///< Grants declined.
    std::uint64_t failures = 0; ///< Failures of a placer to answer in time.
};

/// Delegates this entry's tasks to a placer, so that the tasks of all entries
/// wait in one queue. Without a session, or without an answer in time, the
/// entry places its tasks itself. Runs inside an rpc_loop.
class placement_client final
{
public:
    /// @param clock Must outlive the client.
    /// @param peers Links to the entries; must outlive the client.
    /// @param queue This entry's queue; must outlive the client.
    /// @param on_change Called when orders may have to be sent.
    /// @param number The number of the placer at this entry's queue; not 0.
    placement_client(const clock_source& clock, entry_peers& peers,
                     dispatcher& queue, std::function<void()> on_change,
                     placer_number number,
                     const placement_client_settings& settings);
    ~placement_client() noexcept;

    /// Uses the given placer from now on, and opens or retries the session.
    /// @param placer Name of the entry that places; empty: this one.
    void follow(const std::string& placer);

    /// Sends changes to the placer, and ends the session with one that does not
    /// answer.
    void flush();

    /// Ends the session. Must be called while the event loop lives.
    void close();

    /// @return The placer with an open session; empty: none.
    std::string placer() const { return session_ ? placer_ : std::string{}; }

    /// @return Whether tasks may wait at the placer.
    bool open() const { return session_ != nullptr; }

    /// @param placer The name of an entry.
    /// @return Whether the entry failed recently and is avoided as a placer.
    bool avoids(const std::string& placer) const;

    /// @return The load that the placer reported last; null if it reported
    /// none.
    const placement_load* load(const std::string& service) const;

    const placement_client_stats& stats() const { return stats_; }

private:
    class grant_server;

    struct session
    {
        wire::PlacementSession::Client orders; ///< The session at the placer.
        std::uint64_t incarnation = 0; ///< Incarnation of the placer's process.
        std::deque<instant> unanswered; ///< Times at which the unanswered calls
                                        ///< were sent.
        /// Loads by service.
        std::map<std::string, placement_load> loads;
        background_tasks calls; ///< Calls in progress.
    };

    void open_session();
    void opened(std::uint64_t number, std::uint64_t incarnation,
                wire::PlacementSession::Client orders);
    void granted(std::uint64_t number, const std::vector<task_grant>& grants);
    void send(placement_update message);
    void answered(std::uint64_t number,
                  std::map<std::string, placement_load> loads);
    duration answer_timeout() const;
    void leave_placer(std::string_view cause);
    void end_session();

    const clock_source& clock_;
    entry_peers& peers_;              ///< Links to the entries.
    dispatcher& queue_;               ///< This entry's queue.
    std::function<void()> on_change_; ///< Called when orders may have to be
                                      ///< sent.
    placement_client_settings settings_;
    placer_number placer_number_;      ///< Number of the placer at the queue.
    std::string placer_;               ///< Placer to use; empty: this entry.
    std::string failed_;               ///< The placer that failed last.
    instant failed_until_{};           ///< End of its backoff.
    duration answer_time_{};           ///< Moving average of answer times.
    duration answer_deviation_{};      ///< Moving average of their deviation.
    std::uint64_t session_number_ = 0; ///< Number of the session, increasing.
    bool opening_ = false;             ///< Whether a session is being opened.
    instant opening_since_{};          ///< Time of the request.
    instant retry_at_{};               ///< Earliest time of the next attempt.
    std::unique_ptr<session> session_; ///< The open session, or null.
    std::vector<declined_grant> declined_; ///< Declined grants to send.
    placement_client_stats stats_;
    /// Guards callbacks that outlive the client.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace glenhollow

#endif
