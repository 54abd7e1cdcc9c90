#include "glenhollow/entry/job.hpp"

#include "glenhollow/core/submission_id.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <string>

#include <xxhash.h>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_too_large = 413;
constexpr std::int64_t max_expected_ms = 3'600'000;

api_problem malformed(std::string detail)
{
    return {status_bad_request, reason::malformed, std::move(detail)};
}

std::string_view title_of(unsigned status)
{
    switch (status)
    {
    case 400:
        return "bad request";
    case 401:
        return "no valid token";
    case 404:
        return "unknown";
    case 409:
        return "conflict";
    case 410:
        return "gone";
    case 413:
        return "too large";
    case 429:
        return "over the quota";
    case 503:
        return "not taken now";
    default:
        return "refused";
    }
}

api_result<duration> parse_deadline(const json::object& job,
                                    const job_limits& limits)
{
    const auto* given = job.if_contains("deadline_ms");
    if (!given)
        return limits.default_deadline;
    const auto max_ms =
        std::chrono::duration_cast<milliseconds>(limits.max_deadline).count();
    const bool is_valid = given->is_int64() && given->get_int64() >= 1 &&
                          given->get_int64() <= max_ms;
    if (!is_valid)
        return malformed("deadline_ms must be a whole number in 1.." +
                         std::to_string(max_ms));
    return duration(milliseconds{given->get_int64()});
}

api_result<std::vector<std::string>> parse_tasks(const json::object& job,
                                                 const job_limits& limits)
{
    const auto* tasks = job.if_contains("tasks");
    const std::string range = "1.." + std::to_string(limits.max_tasks);
    if (!tasks || !tasks->is_array())
        return malformed("tasks must be an array of " + range +
                         " objects with a payload");
    const auto& list = tasks->get_array();
    if (list.size() > limits.max_tasks)
        return api_problem{status_too_large, reason::too_large,
                           "tasks has " + std::to_string(list.size()) +
                               " entries; allowed are " + range};
    if (list.empty())
        return malformed("tasks must have " + range + " entries");
    std::vector<std::string> payloads;
    payloads.reserve(list.size());
    for (std::size_t i = 0; i < list.size(); ++i)
    {
        const auto* task = list[i].if_object();
        const auto* payload = task ? task->if_contains("payload") : nullptr;
        if (!payload)
            return malformed("tasks[" + std::to_string(i) +
                             "] must be an object with a payload");
        payloads.push_back(json::serialize(*payload));
    }
    return payloads;
}

api_result<bool> parse_repeatable(const json::object& job, std::size_t tasks)
{
    const auto* given = job.if_contains("repeatable");
    if (!given)
        return false;
    if (!given->is_bool())
        return malformed("repeatable must be true or false");
    if (given->get_bool() && tasks != 1)
        return malformed("repeatable may be true only for a job of 1 task");
    return given->get_bool();
}

api_result<double> parse_expected(const json::object& job)
{
    const auto* given = job.if_contains("expected_ms");
    if (!given)
        return 0.0;
    const bool is_valid = given->is_int64() && given->get_int64() >= 0 &&
                          given->get_int64() <= max_expected_ms;
    if (!is_valid)
        return malformed("expected_ms must be a whole number in 0.." +
                         std::to_string(max_expected_ms));
    return static_cast<double>(given->get_int64()) / 1000.0;
}

constexpr std::array<std::string_view, 5> job_fields{
    "team", "deadline_ms", "tasks", "repeatable", "expected_ms"};

} // namespace

job_answer api_problem::to_answer() const
{
    json::object body{{"type", "about:blank"},    {"title", title_of(status)},
                      {"status", status},         {"detail", detail},
                      {"verdict", to_name(what)}, {"reason", to_name(why)}};
    return {status, why, retry_after, json::serialize(body)};
}

api_result<job_request> parse_job(std::string_view body,
                                  const job_limits& limits)
{
    boost::system::error_code ec;
    const auto parsed = json::parse(body, ec);
    if (ec)
        return malformed("the body is not JSON: " + ec.message());
    if (!parsed.is_object())
        return malformed("the body must be a JSON object");
    const auto& job = parsed.get_object();
    for (const auto& field : job)
    {
        if (std::find(job_fields.begin(), job_fields.end(), field.key()) ==
            job_fields.end())
            return malformed("the field '" + std::string(field.key()) +
                             "' is not known; allowed are team, deadline_ms, "
                             "tasks, repeatable, expected_ms");
    }
    job_request request;
    const auto* team = job.if_contains("team");
    if (!team || !team->is_string() || !is_name(team->get_string()))
        return malformed("team must be a string of 1 to 64 of the letters "
                         "a-z A-Z 0-9 _ and -");
    request.team = team->get_string().c_str();
    BOOST_OUTCOME_TRY(auto deadline, parse_deadline(job, limits));
    request.deadline = deadline;
    BOOST_OUTCOME_TRY(auto payloads, parse_tasks(job, limits));
    request.payloads = std::move(payloads);
    BOOST_OUTCOME_TRY(auto repeatable,
                      parse_repeatable(job, request.payloads.size()));
    request.repeatable = repeatable;
    BOOST_OUTCOME_TRY(auto expected, parse_expected(job));
    request.expected_seconds = expected;
    request.body_hash = hash_body(body);
    return request;
}

std::uint64_t hash_body(std::string_view body)
{
    return XXH3_64bits(body.data(), body.size());
}

job_answer complete_answer(const std::string& id,
                           const std::vector<std::string>& results)
{
    std::size_t size = id.size() + 64;
    for (const auto& one : results)
        size += one.size() + 1;
    std::string body;
    body.reserve(size);
    body.append(R"({"submission":")").append(id);
    body.append(R"(","state":"complete","results":[)");
    // The results are JSON text already and are copied unchanged.
    for (std::size_t i = 0; i < results.size(); ++i)
    {
        if (i > 0)
            body.append(1, ',');
        body.append(results[i]);
    }
    body.append("]}");
    return {200, reason::none, {}, std::move(body)};
}

job_answer failed_answer(const std::string& id, verdict what, reason why)
{
    const json::object body{{"submission", id},
                            {"state", "failed"},
                            {"verdict", to_name(what)},
                            {"reason", to_name(why)}};
    return {200, why, {}, json::serialize(body)};
}

job_answer running_answer(const std::string& id)
{
    const json::object body{{"submission", id}, {"state", "running"}};
    return {200, reason::none, {}, json::serialize(body)};
}

} // namespace glenhollow
