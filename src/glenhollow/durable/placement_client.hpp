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

/// Limits of a placement client.
struct placement_client_settings
{
    std::string entry;                    ///< Name of this entry.
    std::uint64_t incarnation = 0;        ///< Of this process.
    duration patience = milliseconds{60}; ///< For the answer to a call, at
                                          ///< least; some thirty round trips,
                                          ///< and less than a short task's
                                          ///< slack.
    duration max_answer_timeout = milliseconds{300}; ///< With one that has been
                                                     ///< slow, but answered.
    duration retry = milliseconds{400}; ///< Between attempts to open a
                                        ///< session.
    duration failure_backoff =
        milliseconds{1500}; ///< A placer that has failed is not
                            ///< tried so long where another
                            ///< one is there; past the time in
                            ///< which a dead entry is noticed.
};

/// Counters of a placement client.
struct placement_client_stats
{
    std::uint64_t messages = 0; ///< Sent to placers.
    std::uint64_t grants = 0;   ///< Received.
    std::uint64_t unused = 0;   ///< Of these, declined.
    std::uint64_t failures = 0; ///< Times a placer did not answer in time.
};

/// Has this entry's tasks placed by the placer of all entries, so that they
/// wait in one queue. Without an answer in time the entry places by itself
/// again, as it does before the first answer. Runs inside an rpc_loop.
class placement_client final
{
public:
    /// @param clock Outlives the client.
    /// @param peers Links to the entries; outlives the client.
    /// @param placing This entry's queue; outlives the client.
    /// @param on_change Told that orders may have to leave.
    /// @param number Of the placer at this entry's queue; not 0.
    /// @param settings Limits.
    placement_client(const clock_source& clock, entry_peers& peers,
                     dispatcher& queue, std::function<void()> on_change,
                     placer_number number,
                     const placement_client_settings& settings);
    ~placement_client() noexcept;

    /// @param placer Name of the entry that places; empty: this one.
    void follow(const std::string& placer);

    /// Tells the placer what has changed, and leaves one that is silent.
    void flush();

    /// Ends the session, while the event loop lives.
    void close();

    /// @return The placer whose session is open; empty: none.
    std::string placer() const { return session_ ? placer_ : std::string{}; }

    /// @return Whether tasks may wait at the placer.
    bool open() const { return session_ != nullptr; }

    /// @param placer An entry.
    /// @return Whether it has failed so lately that it is not tried.
    bool avoids(const std::string& placer) const;

    /// @param service A service.
    /// @return What the placer told of it last; null where it told nothing.
    const placement_load* load(const std::string& service) const;

    /// @return Counters.
    const placement_client_stats& stats() const { return stats_; }

private:
    class grant_server;

    /// An open session.
    struct session
    {
        wire::PlacementSession::Client orders; ///< At the placer.
        std::uint64_t incarnation = 0;         ///< Of its process.
        std::deque<instant> unanswered; ///< When unanswered calls were sent.
        std::map<std::string, placement_load> loads; ///< By service.
        background_tasks calls;                      ///< Dies with the session.
    };

    void open_session();
    void opened(std::uint64_t number, std::uint64_t incarnation,
                wire::PlacementSession::Client orders);
    void granted(std::uint64_t number, const std::vector<task_grant>& grants);
    void send(placement_update message);
    void answered(std::uint64_t number,
                  std::map<std::string, placement_load> loads);
    duration patience() const;
    void leave_placer(std::string_view cause);
    void end_session();

    const clock_source& clock_;            ///< This entry's.
    entry_peers& peers_;                   ///< Links to the entries.
    dispatcher& queue_;                    ///< This entry's queue.
    std::function<void()> on_change_;      ///< Told of changes.
    placement_client_settings settings_;   ///< Limits.
    placer_number placer_number_;          ///< Of the placer, at the queue.
    std::string placer_;                   ///< Wanted; empty: this entry.
    std::string failed_;                   ///< The last that did not answer.
    instant failed_until_{};               ///< It is not tried before.
    duration answer_time_{};               ///< Of calls, on average.
    duration answer_deviation_{};          ///< From it, on average.
    std::uint64_t session_number_ = 0;     ///< Of the session, rising.
    bool opening_ = false;                 ///< A session is asked for.
    instant opening_since_{};              ///< When.
    instant retry_at_{};                   ///< Not before.
    std::unique_ptr<session> session_;     ///< While open.
    std::vector<declined_grant> declined_; ///< To be told.
    placement_client_stats stats_;         ///< Counters.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Guard.
};

} // namespace glenhollow

#endif
