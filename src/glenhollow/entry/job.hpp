#ifndef GLENHOLLOW_ENTRY_JOB_HPP
#define GLENHOLLOW_ENTRY_JOB_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/result.hpp"
#include "glenhollow/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace glenhollow
{

/// Limits of one job.
struct job_limits
{
    std::size_t max_tasks = 1000;            ///< In one job.
    duration max_deadline = seconds{120};    ///< A caller may ask for.
    duration default_deadline = seconds{30}; ///< When a caller names none.
};

/// A job as a caller sent it, checked.
struct job_request
{
    std::string team;                  ///< Whose it is.
    duration deadline{};               ///< Left when it came in.
    bool repeatable = false;           ///< The only task may run twice.
    double expected_seconds = 0;       ///< Of one task, 0: not said.
    std::vector<std::string> payloads; ///< JSON text of each task.
    std::uint64_t body_hash = 0;       ///< Of the body as sent.
};

/// The answer to a caller: an HTTP status with a JSON body.
struct job_answer
{
    unsigned status = 200;     ///< HTTP status.
    reason why = reason::none; ///< Of a refusal or failure.
    duration retry_after{};    ///< When to come back; 0: not said.
    std::string body;          ///< JSON text.

    /// @return Whether the body is a problem document.
    bool is_problem() const { return status >= 400; }
};

/// A refused request.
struct api_problem
{
    unsigned status = 400;           ///< HTTP status.
    reason why = reason::malformed;  ///< Its name goes into the answer.
    std::string detail;              ///< Names the field and the range.
    verdict what = verdict::not_run; ///< Whether the job may have run.
    duration retry_after{};          ///< 0: not said.

    /// @return The problem as an answer.
    job_answer to_answer() const;
};

/// A value or the problem that a caller is told.
template <class T>
using api_result = outcome::result<T, api_problem, outcome::policy::all_narrow>;

/// Checks the body of a job.
/// @param body JSON text.
/// @param limits Ranges.
/// @return The job, or the first thing that is wrong with it.
api_result<job_request> parse_job(std::string_view body,
                                  const job_limits& limits);

/// @param body A body as sent.
/// @return Its hash, to tell another body under the same id.
std::uint64_t hash_body(std::string_view body);

/// @param id A submission.
/// @param results JSON text of each task's result, in task order.
/// @return The answer of a job that is complete.
job_answer complete_answer(const std::string& id,
                           const std::vector<std::string>& results);

/// @param id A submission.
/// @param what Whether any of it may have run.
/// @param why The cause.
/// @return The answer of a job that is marked failed.
job_answer failed_answer(const std::string& id, verdict what, reason why);

/// @param id A submission.
/// @return The answer to a question about a job in flight.
job_answer running_answer(const std::string& id);

} // namespace glenhollow

#endif
