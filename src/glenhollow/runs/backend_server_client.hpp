#ifndef GLENHOLLOW_RUNS_BACKEND_SERVER_CLIENT_HPP
#define GLENHOLLOW_RUNS_BACKEND_SERVER_CLIENT_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Outcome of an order to the backend server.
enum class order_outcome : std::uint8_t
{
    done,              ///< Carried out.
    fenced,            ///< Refused: the fencing token is too low.
    superseded,        ///< Refused: the run has ended or was stopped.
    late,              ///< Refused: the deadline has passed.
    no_room,           ///< Refused: the backend server lacks capacity.
    unhealthy,         ///< Not carried out; the backend server may recover.
    wrong_incarnation, ///< Refused: another or unknown incarnation.
    malformed,         ///< Refused permanently: the order is invalid.
    /// No answer: it may be carried out now or later.
    unanswered
};

template <>
struct name_table<order_outcome>
{
    static constexpr std::array<std::string_view, 9> names{
        "done",      "fenced",     "superseded", "late",      "no_room",
        "unhealthy", "wrong_life", "malformed",  "unanswered"};
};

/// Conditions under which an order is valid.
struct order_context
{
    std::string instance; ///< Id of the backend server; empty: any.
    /// Start time of the expected incarnation; 0: unknown. Starts and stops are
    /// sent only on a connection to that incarnation. For a hold, the
    /// incarnation whose clock the deadline refers to.
    std::int64_t born_ms = 0;
    std::uint64_t fencing_token = 0; ///< Fencing token of the agent process.
    std::int64_t deadline_ms = 0; ///< Deadline on the server's clock; 0: none.
};

/// Result of an order.
struct order_result
{
    order_outcome outcome = order_outcome::unanswered;
    std::int64_t clock_ms = 0; ///< Server clock, ms; 0: not reported.
};

/// A run as the backend server lists it.
struct server_run
{
    run_ref run;
    std::uint32_t percent = 0; ///< Progress in percent.
};

/// A poll: asks for the state of all runs and renews their hold.
struct hold_request
{
    order_context context;       ///< Its deadline is the new end of the hold.
    std::uint64_t confirmed = 0; ///< Ends up to this number may be forgotten.
    /// Connection on which those ends were listed and the clock was read; 0:
    /// none. On any other connection both `confirmed` and the deadline are
    /// omitted, because it may lead to another incarnation with the same id.
    std::uint64_t link = 0;
    duration wait{}; ///< Longest time to wait for an end.
};

/// Answer to a poll.
struct hold_result
{
    order_outcome outcome = order_outcome::unanswered;
    std::int64_t clock_ms = 0; ///< Server clock, ms; 0: not reported.
    std::uint64_t link = 0;    ///< Connection of the answer; 0: none.
    bool reached = true;       ///< False: no connection, nothing was sent.
    std::int64_t born_ms = 0;  ///< Start of the incarnation; 0: not reported.
    std::vector<server_run> running; ///< All current runs.
    std::vector<run_end> finished;   ///< Ends that are not confirmed.
    /// Whether `finished` holds all such ends: an answer has room for a bounded
    /// number of them, and the others follow once these are confirmed.
    bool lists_all_ends = true;
};

/// Order to start a run.
struct run_start
{
    run_ref run;
    std::string spec; ///< Specification of the job.
};

/// Client of a backend server. Results are delivered on the calling thread,
/// never before the call returns.
class backend_server_client
{
public:
    using order_handler = std::function<void(order_result)>;
    using hold_handler = std::function<void(hold_result)>;

    virtual ~backend_server_client() = default;

    /// @param start Run and specification.
    /// @param context Incarnation, fencing token and deadline.
    /// @param done Receives the result.
    virtual void start(const run_start& start, const order_context& context,
                       order_handler done) = 0;

    /// @param run Run to stop; later starts of it are refused.
    /// @param context Incarnation and fencing token.
    /// @param done Receives the result.
    virtual void stop(const run_ref& run, const order_context& context,
                      order_handler done) = 0;

    /// Renews the hold of all runs and lists current runs and ends.
    /// @param request Deadline, fencing token and confirmed ends.
    /// @param done Receives the result.
    virtual void hold(const hold_request& request, hold_handler done) = 0;
};

} // namespace glenhollow

#endif
