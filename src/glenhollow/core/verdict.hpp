#ifndef GLENHOLLOW_CORE_VERDICT_HPP
#define GLENHOLLOW_CORE_VERDICT_HPP

#include "glenhollow/core/names.hpp"

#include <cstdint>

namespace glenhollow
{

/// Whether a request may have run. Every error on the task path carries one.
enum class verdict : std::uint8_t
{
    not_run,      ///< It surely did not run and will not.
    may_have_run, ///< Nobody can say.
    ran           ///< It ran and its result is known.
};

template <>
struct name_table<verdict>
{
    static constexpr std::array<std::string_view, 3> names{
        "not_run", "may_have_run", "ran"};
};

/// How far a request got before its connection fell silent.
enum class send_progress : std::uint8_t
{
    nothing_sent, ///< Not one byte was handed to the socket.
    partly_sent   ///< At least one byte may have left.
};

/// The one place that judges silence: a request of which a byte may have left
/// is never called `not_run` because no answer came.
/// @param progress How far the request got.
/// @return The verdict of a request without an answer.
constexpr verdict verdict_of_silence(send_progress progress)
{
    return progress == send_progress::nothing_sent ? verdict::not_run
                                                   : verdict::may_have_run;
}

/// Why a request was refused or failed, or why a decision fell as it did.
enum class reason : std::uint16_t
{
    none,
    malformed,
    too_large,
    unauthorized,
    unknown_submission,
    forged_submission,
    body_conflict,
    id_expired,
    stopping,
    queue_full,
    kept_answers_full,
    deadline_unreachable,
    deadline_passed,
    team_quota,
    retry_budget,
    no_runner,
    draining,
    fenced,
    start_expired,
    stale_link,
    memory_full,
    agent_queue_full,
    runner_refused,
    runner_unreachable,
    runner_broken,
    runner_error,
    runner_timeout,
    link_broken,
    agent_restarted,
    entry_lost,
    entry_unreachable,
    cancelled,
    duplicate,
    free_slot,
    least_outstanding,
    random_choice,
    two_choices,
    operator_command,
    leaving,
    outlier,
    recovered,
    internal
};

template <>
struct name_table<reason>
{
    static constexpr std::array<std::string_view, 42> names{
        "none",
        "malformed",
        "too_large",
        "unauthorized",
        "unknown_submission",
        "forged_submission",
        "body_conflict",
        "id_expired",
        "stopping",
        "queue_full",
        "kept_answers_full",
        "deadline_unreachable",
        "deadline_passed",
        "team_quota",
        "retry_budget",
        "no_runner",
        "draining",
        "fenced",
        "start_expired",
        "stale_link",
        "memory_full",
        "agent_queue_full",
        "runner_refused",
        "runner_unreachable",
        "runner_broken",
        "runner_error",
        "runner_timeout",
        "link_broken",
        "agent_restarted",
        "entry_lost",
        "entry_unreachable",
        "cancelled",
        "duplicate",
        "free_slot",
        "least_outstanding",
        "random_choice",
        "two_choices",
        "operator_command",
        "leaving",
        "outlier",
        "recovered",
        "internal"};
};

static_assert(static_cast<std::size_t>(reason::internal) + 1 ==
              name_table<reason>::names.size());

/// What became of one task.
struct outcome_of_task
{
    verdict what = verdict::may_have_run; ///< Whether it ran.
    reason why = reason::none;            ///< Why it did not end well.
};

} // namespace glenhollow

#endif
