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

/// How an order to the runner ended.
enum class order_outcome : std::uint8_t
{
    done,              ///< The runner took it.
    fenced,            ///< The fencing token was too low.
    superseded,        ///< That run has ended or was stopped there.
    late,              ///< It arrived after its deadline.
    no_room,           ///< The runner guards its room.
    unhealthy,         ///< The runner did nothing and will take orders later.
    wrong_incarnation, ///< Another life is there, or none that said which it
                       ///< is; nothing was done.
    malformed, ///< The runner did nothing and never will.
    unanswered ///< It may be done, now or later.
};

template <>
struct name_table<order_outcome>
{
    static constexpr std::array<std::string_view, 9> names{
        "done",      "fenced",     "superseded", "late",      "no_room",
        "unhealthy", "wrong_life", "malformed",  "unanswered"};
};

/// What an order says besides its subject.
struct order_context
{
    std::string instance;            ///< The runner's id; empty: any.
    std::int64_t born_ms = 0;        ///< Start of the life that a start or a
                                     ///< stop is for: it leaves on a connection
                                     ///< to that life alone. Of a look: of the
                                     ///< life whose clock its deadline is of.
                                     ///< 0: not told.
    std::uint64_t fencing_token = 0; ///< Of this agent.
    std::int64_t deadline_ms = 0;    ///< On the runner's clock; 0: none.
};

/// The end of an order.
struct order_result
{
    order_outcome outcome = order_outcome::unanswered; ///< What happened.
    std::int64_t clock_ms = 0; ///< The runner's clock; 0: not told.
};

/// A run as the runner shows it.
struct server_run
{
    run_ref run;               ///< Which run.
    std::uint32_t percent = 0; ///< Of its work.
};

/// A look at the runner.
struct hold_request
{
    order_context context;       ///< Its deadline renews all runs.
    std::uint64_t confirmed = 0; ///< Ends up to this one may be forgotten.
    std::uint64_t link = 0; ///< Connection by which the list came that these
                            ///< are numbered in, and the clock that the
                            ///< deadline is of. On another one neither is
                            ///< named: it may lead to another life under the
                            ///< same id, while a connection ends with its life.
                            ///< 0: none.
    duration wait{};        ///< For an end, at most.
};

/// What the runner shows.
struct hold_result
{
    order_outcome outcome = order_outcome::unanswered; ///< What happened.
    std::int64_t clock_ms = 0;                         ///< The runner's clock.
    std::uint64_t link = 0; ///< Connection by which it came; 0: none.
    bool reached = true; ///< False: there was no connection, nothing was sent.
    std::int64_t born_ms = 0;        ///< When this life started; 0: not told.
    std::vector<server_run> running; ///< All that runs.
    std::vector<run_end> finished;   ///< Ends not yet confirmed.
};

/// A start of a run.
struct run_start
{
    run_ref run;      ///< Which run.
    std::string spec; ///< The job's.
};

/// The orders that a runner takes; a fake in tests. Calls end on the thread
/// that made them, not from inside the call.
class backend_server_client
{
public:
    using order_handler = std::function<void(order_result)>;
    using hold_handler = std::function<void(hold_result)>;

    virtual ~backend_server_client() = default;

    /// @param start What to run.
    /// @param context Life, fence and deadline.
    /// @param done Told the end.
    virtual void start(const run_start& start, const order_context& context,
                       order_handler done) = 0;

    /// @param run What to stop; a later start of it is refused.
    /// @param context Life and fence.
    /// @param done Told the end.
    virtual void stop(const run_ref& run, const order_context& context,
                      order_handler done) = 0;

    /// Renews the lease of all that runs and tells what runs and has ended.
    /// @param request Deadline, fence, what is confirmed.
    /// @param done Told the end.
    virtual void hold(const hold_request& request, hold_handler done) = 0;
};

} // namespace glenhollow

#endif
