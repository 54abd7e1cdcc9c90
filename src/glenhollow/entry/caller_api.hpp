#ifndef GLENHOLLOW_ENTRY_CALLER_API_HPP
#define GLENHOLLOW_ENTRY_CALLER_API_HPP

#include "glenhollow/core/submission_id.hpp"
#include "glenhollow/entry/job.hpp"
#include "glenhollow/http/server.hpp"
#include "glenhollow/telemetry/trace.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow
{

/// A job on its way to the coordinator of its submission.
struct routed_job
{
    submission_id id;                   ///< Its submission.
    std::string body;                   ///< As sent.
    job_request request;                ///< The same, checked.
    std::optional<trace_context> trace; ///< If it is in a trace.
};

/// Told the answer of a job, on any thread.
using answer_callback = std::function<void(job_answer)>;

/// What the HTTP interface needs of the entry behind it. All calls may answer
/// on any thread.
class entry_backend
{
public:
    virtual ~entry_backend() = default;

    /// Called on a traffic thread.
    /// @param count How many.
    /// @return Fresh submission ids.
    virtual std::vector<submission_id> issue_ids(std::size_t count) = 0;

    /// Runs or joins a job at whoever minted its id.
    /// @param job The job.
    /// @param done Told the answer.
    virtual void submit(routed_job job, answer_callback done) = 0;

    /// @param id A submission.
    /// @param done Told what is known of it.
    virtual void lookup(const submission_id& id, answer_callback done) = 0;

    /// @param statement One statement of the operators' language.
    /// @param by Who gave it.
    /// @param done Told the answer.
    virtual void operate(std::string statement, std::string by,
                         answer_callback done) = 0;

    /// @param done Told the metrics page of the whole process.
    virtual void metrics(std::function<void(std::string)> done) = 0;

    /// @return Whether a planned stop is under way.
    virtual bool stopping() const = 0;

    /// @return The limits of jobs in force.
    virtual job_limits limits() const = 0;

    /// @param authorization The value of the header.
    /// @return Who sent it, or nothing where it is no operator's.
    virtual std::optional<std::string>
    authenticate_operator(std::string_view authorization) const = 0;

    /// @param team Whose job it is.
    /// @param authorization The value of the header.
    /// @return Whether the caller may use that team.
    virtual bool may_use_team(const std::string& team,
                              std::string_view authorization) const = 0;
};

/// The HTTP interface of an entry: checks requests, turns answers into
/// responses. Refuses what is malformed before anything runs.
class caller_api final
{
public:
    /// @param backend The entry; outlives the interface.
    /// @param spans Decides which new traces are sampled, or null.
    caller_api(entry_backend& backend, span_exporter* spans)
        : backend_(backend), spans_(spans)
    {
    }

    /// @param request A request.
    /// @param done Called once with its response, on any thread.
    void handle(http_request request, http_responder done);

private:
    void issue_submissions(const std::string& target,
                           const http_responder& done);
    void run_with_new_id(http_request request, const http_responder& done);
    void run(const std::string& id, http_request request,
             const http_responder& done);
    void lookup_job(const std::string& id, const http_responder& done);
    void operate(http_request request, const http_responder& done);
    std::optional<trace_context> trace_of(const http_request& request);

    entry_backend& backend_; ///< The entry.
    span_exporter* spans_;   ///< May be null.
};

/// @param answer An answer of the entry.
/// @return The same as an HTTP response.
http_response to_response(job_answer answer);

} // namespace glenhollow

#endif
