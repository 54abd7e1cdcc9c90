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
    std::size_t max_tasks = 1000;            ///< Largest number per job.
    duration max_deadline = seconds{120};    ///< Longest deadline of a caller.
    duration default_deadline = seconds{30}; ///< Used if the caller gives none.
};

/// A job as a caller sent it, checked.
struct job_request
{
    std::string team;        ///< Team of the job.
    duration deadline{};     ///< Time left at arrival.
    bool repeatable = false; ///< The only task may be rerun.
    /// Expected length of a task, s; 0 if unknown.
    double expected_seconds = 0;
    std::vector<std::string> payloads; ///< JSON text per task.
    std::uint64_t body_hash = 0;       ///< Hash of the body as received.
};

/// The answer to a caller: an HTTP status and a JSON body.
struct job_answer
{
    unsigned status = 200;
    reason why = reason::none; ///< Reason of a refusal or failure.
    duration retry_after{};    ///< Delay before a retry; 0 if not given.
    std::string body;          ///< JSON text.

    /// @return Whether the body is a problem document.
    bool is_problem() const { return status >= 400; }
};

/// A refused request.
struct api_problem
{
    unsigned status = 400;
    reason why = reason::malformed;  ///< Its name is part of the answer.
    std::string detail;              ///< Names the field and its allowed range.
    verdict what = verdict::not_run; ///< Whether the job may have run.
    duration retry_after{};          ///< Delay before a retry; 0 if not given.

    /// @return The problem document as an answer.
    job_answer to_answer() const;
};

/// A value, or the problem to report to the caller.
template <class T>
using api_result = outcome::result<T, api_problem, outcome::policy::all_narrow>;

/// Parses and validates the body of a job.
/// @param body JSON text.
/// @param limits Allowed ranges.
/// @return The job, or the first problem found.
api_result<job_request> parse_job(std::string_view body,
                                  const job_limits& limits);

/// Hashes a body, to detect a resubmission with another body.
/// @param body The body as received.
/// @return The hash.
std::uint64_t hash_body(std::string_view body);

/// @param id Submission id.
/// @param results JSON text of the results, in task order.
/// @return The answer of a completed job.
job_answer complete_answer(const std::string& id,
                           const std::vector<std::string>& results);

/// @param id Submission id.
/// @param what Whether any task may have run.
/// @param why The cause.
/// @return The answer of a failed job.
job_answer failed_answer(const std::string& id, verdict what, reason why);

/// @param id Submission id.
/// @return The answer to a lookup of a job in flight.
job_answer running_answer(const std::string& id);

} // namespace glenhollow

#endif
