#include "glenhollow/entry/caller_api.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <charconv>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

constexpr std::size_t max_ids = 1000;
constexpr std::string_view jobs_path = "/v1/jobs";
constexpr std::string_view job_prefix = "/v1/jobs/";

http_response to_response(const api_problem& problem)
{
    return glenhollow::to_response(problem.to_answer());
}

http_response text_response(unsigned status, std::string text)
{
    return {status, "text/plain", {}, std::move(text)};
}

api_problem wrong_method(std::string_view allowed)
{
    return {405, reason::malformed,
            "this path takes " + std::string(allowed) + " only"};
}

api_result<std::size_t> parse_count(const std::string& target)
{
    const api_problem wrong{400, reason::malformed,
                            "count must be a whole number in 1.." +
                                std::to_string(max_ids)};
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed)
        return wrong;
    std::size_t count = 1;
    for (const auto& param : parsed->params())
    {
        const std::string key = param.key;
        const std::string value = param.value;
        if (key != "count")
            return api_problem{400, reason::malformed,
                               "the parameter '" + key +
                                   "' is not known; allowed is count"};
        auto [stop, ec] =
            std::from_chars(value.data(), value.data() + value.size(), count);
        if (ec != std::errc{} || stop != value.data() + value.size() ||
            count < 1 || count > max_ids)
            return wrong;
    }
    return count;
}

api_problem invalid_id()
{
    return {400, reason::malformed,
            "the submission id must be <hall>.<entry>.<incarnation>."
            "<sequence> as given out by POST /v1/submissions"};
}

} // namespace

http_response to_response(job_answer answer)
{
    http_response response;
    response.status = answer.status;
    if (answer.is_problem())
        response.content_type = "application/problem+json";
    if (answer.retry_after > duration::zero())
    {
        const auto whole = std::chrono::ceil<seconds>(answer.retry_after);
        response.headers.push_back(
            {"Retry-After", std::to_string(whole.count())});
    }
    else if (answer.status == 503 || answer.status == 429)
    {
        response.headers.push_back({"Retry-After", "1"});
    }
    response.body = std::move(answer.body);
    return response;
}

void caller_api::handle(http_request request, http_responder done)
{
    const auto query_start = request.target.find('?');
    const std::string path = request.target.substr(0, query_start);
    const bool is_get = request.method == "GET";
    const bool is_post = request.method == "POST";
    if (path.starts_with(job_prefix))
    {
        const std::string id = path.substr(job_prefix.size());
        if (request.method == "PUT")
            return run(id, std::move(request), done);
        if (is_get)
            return lookup_job(id, done);
        return done(to_response(wrong_method("PUT and GET")));
    }
    if (path == jobs_path)
        return is_post ? run_with_new_id(std::move(request), done)
                       : done(to_response(wrong_method("POST")));
    if (path == "/v1/submissions")
        return is_post ? issue_submissions(request.target, done)
                       : done(to_response(wrong_method("POST")));
    if (path == "/v1/operator")
        return is_post ? operate(std::move(request), done)
                       : done(to_response(wrong_method("POST")));
    if (path == "/healthz" && is_get)
        return done(text_response(200, "ok\n"));
    if (path == "/readyz" && is_get)
        return done(backend_.stopping() ? text_response(503, "stopping\n")
                                        : text_response(200, "ready\n"));
    if (path == "/metrics" && is_get)
        return backend_.metrics(
            [done](std::string page) {
                done({200, "text/plain; version=0.0.4", {}, std::move(page)});
            });
    done(to_response(
        api_problem{404, reason::malformed, "there is no such path"}));
}

void caller_api::issue_submissions(const std::string& target,
                                   const http_responder& done)
{
    if (backend_.stopping())
        return done(to_response(api_problem{
            503, reason::stopping, "this entry is stopping; ask another one",
            verdict::not_run, seconds{1}}));
    const auto count = parse_count(target);
    if (!count)
        return done(to_response(count.error()));
    json::array ids;
    for (const auto& id : backend_.issue_ids(count.value()))
        ids.push_back(json::string(id.to_string()));
    const json::object body{{"submissions", std::move(ids)}};
    done({201, "application/json", {}, json::serialize(body)});
}

std::optional<trace_context> caller_api::trace_of(const http_request& request)
{
    const auto given =
        trace_context::parse(header_value(request.headers, "traceparent"));
    if (given)
        return given;
    if (!spans_ || !spans_->sample())
        return std::nullopt;
    return trace_context::fresh(true);
}

void caller_api::run_with_new_id(http_request request,
                                 const http_responder& done)
{
    if (backend_.stopping())
        return done(to_response(api_problem{
            503, reason::stopping, "this entry is stopping; ask another one",
            verdict::not_run, seconds{1}}));
    const auto id = backend_.issue_ids(1).front();
    run(id.to_string(), std::move(request), done);
}

void caller_api::run(const std::string& id, http_request request,
                     const http_responder& done)
{
    const auto parsed = submission_id::parse(id);
    if (!parsed)
        return done(to_response(invalid_id()));
    auto job = parse_job(request.body, backend_.limits());
    if (!job)
        return done(to_response(job.error()));
    const auto token = header_value(request.headers, "Authorization");
    if (!backend_.may_use_team(job.value().team, token))
        return done(to_response(api_problem{401, reason::unauthorized,
                                            "team " + job.value().team +
                                                " needs its bearer token"}));
    routed_job routed;
    routed.id = *parsed;
    routed.trace = trace_of(request);
    routed.body = std::move(request.body);
    routed.request = std::move(job.value());
    backend_.submit(std::move(routed), [done](job_answer answer)
                    { done(glenhollow::to_response(std::move(answer))); });
}

void caller_api::lookup_job(const std::string& id, const http_responder& done)
{
    const auto parsed = submission_id::parse(id);
    if (!parsed)
        return done(to_response(invalid_id()));
    backend_.lookup(*parsed, [done](job_answer answer)
                    { done(glenhollow::to_response(std::move(answer))); });
}

void caller_api::operate(http_request request, const http_responder& done)
{
    const auto by = backend_.authenticate_operator(
        header_value(request.headers, "Authorization"));
    if (!by)
        return done(to_response(api_problem{
            401, reason::unauthorized, "a valid operator token is needed"}));
    backend_.operate(std::move(request.body), *by,
                     [done](job_answer answer)
                     { done(glenhollow::to_response(std::move(answer))); });
}

} // namespace glenhollow
