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

/// A job to be routed to the coordinator of its submission.
struct routed_job
{
    submission_id id;
    std::string body;    ///< The body as received.
    job_request request; ///< The parsed and validated body.
    /// Trace context of the caller, if any.
    std::optional<trace_context> trace;
};

/// Receives the answer to a request, on any thread.
using answer_callback = std::function<void(job_answer)>;

/// The operations of an entry that the HTTP interface uses. Callbacks may run
/// on any thread.
class entry_backend
{
public:
    virtual ~entry_backend() = default;

    /// Issues submission ids. Called on a traffic thread.
    /// @param count Number of ids.
    /// @return New submission ids.
    virtual std::vector<submission_id> issue_ids(std::size_t count) = 0;

    /// Runs or joins a job at the entry that issued its id.
    /// @param job The job.
    /// @param done Called with the answer.
    virtual void submit(routed_job job, answer_callback done) = 0;

    /// Looks up the state or answer of a submission.
    /// @param id The submission.
    /// @param done Called with the answer.
    virtual void lookup(const submission_id& id, answer_callback done) = 0;

    /// Executes a statement of the operator language.
    /// @param statement One statement.
    /// @param by Name of the operator.
    /// @param done Called with the answer.
    virtual void operate(std::string statement, std::string by,
                         answer_callback done) = 0;

    /// Collects the metrics of the whole process.
    /// @param done Called with the metrics page.
    virtual void metrics(std::function<void(std::string)> done) = 0;

    /// @return Whether a planned stop is in progress.
    virtual bool stopping() const = 0;

    /// @return The limits of jobs in force.
    virtual job_limits limits() const = 0;

    /// @param authorization Value of the Authorization header.
    /// @return Name of the operator, or nothing if the token is not valid.
    virtual std::optional<std::string>
    authenticate_operator(std::string_view authorization) const = 0;

    /// @param team Team of the job.
    /// @param authorization Value of the Authorization header.
    /// @return Whether the caller may submit jobs of the team.
    virtual bool may_use_team(const std::string& team,
                              std::string_view authorization) const = 0;
};

/// The HTTP interface of an entry: validates requests and converts answers to
/// responses. Malformed requests are refused before anything runs.
class caller_api final
{
public:
    /// @param backend The entry; outlives the interface.
    /// @param spans Decides which new traces are sampled; may be null.
    caller_api(entry_backend& backend, span_exporter* spans)
        : backend_(backend), spans_(spans)
    {
    }

    /// Handles one HTTP request.
    /// @param request The request.
    /// @param done Called once with the response, on any thread.
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

    entry_backend& backend_;
    span_exporter* spans_; ///< Null if tracing is off.
};

/// Converts an answer to an HTTP response.
/// @param answer The answer of the entry.
/// @return The response.
http_response to_response(job_answer answer);

} // namespace glenhollow

#endif
