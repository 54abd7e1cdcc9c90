// Encoding of journal rows as JSON arrays with a fixed field order, which keeps
// rows small.
#include "glenhollow/durable/durable_job.hpp"
#include "glenhollow/durable/queue_catalog.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

constexpr std::size_t preferred_label_field = 7;

json::array numbers(const std::vector<std::uint32_t>& values)
{
    json::array list;
    for (const auto value : values)
        list.emplace_back(value);
    return list;
}

json::array encode_step(const job_step& step)
{
    return {step.count,          step.needs.cpu,      step.needs.memory,
            step.needs.gpu,      step.estimate_ms,    step.label,
            numbers(step.after), step.preferred_label};
}

job_step decode_step(const json::value& value)
{
    const auto& fields = value.as_array();
    job_step step;
    step.count = json::value_to<std::uint32_t>(fields.at(0));
    step.needs.cpu = json::value_to<std::uint32_t>(fields.at(1));
    step.needs.memory = json::value_to<std::uint32_t>(fields.at(2));
    step.needs.gpu = json::value_to<std::uint32_t>(fields.at(3));
    step.estimate_ms = json::value_to<std::uint32_t>(fields.at(4));
    step.label = json::value_to<std::string>(fields.at(5));
    step.after = json::value_to<std::vector<std::uint32_t>>(fields.at(6));
    if (fields.size() > preferred_label_field) // Absent in old rows.
        step.preferred_label =
            json::value_to<std::string>(fields.at(preferred_label_field));
    return step;
}

/// Parses a journal row.
/// @param read Converts the JSON value; may throw.
template <class Value, class Read>
result<Value> decode(std::string_view row, Read read)
{
    boost::system::error_code ec;
    const auto value = json::parse(row, ec);
    if (ec)
        return failure{"journal row is not valid JSON: " + ec.message()};
    try
    {
        return read(value);
    }
    catch (const std::exception& wrong)
    {
        return failure{std::string("journal row is malformed: ") +
                       wrong.what()};
    }
}

} // namespace

std::string encode_definition(const job_definition& job)
{
    json::array steps;
    for (const auto& step : job.steps)
        steps.emplace_back(encode_step(step));
    return json::serialize(json::array{
        to_text(job.id), job.queue, job.service, job.spec, std::move(steps),
        job.priority, job.max_attempts, job.accepted_ms, job.objective_ms});
}

result<job_definition> decode_definition(std::string_view row)
{
    return decode<job_definition>(
        row,
        [](const json::value& value) -> result<job_definition>
        {
            const auto& fields = value.as_array();
            job_definition job;
            const auto id =
                job_id_from(json::value_to<std::string>(fields.at(0)));
            if (!id)
                return failure{
                    "journal row of a job has no valid job id in field 0"};
            job.id = *id;
            job.queue = json::value_to<std::string>(fields.at(1));
            job.service = json::value_to<std::string>(fields.at(2));
            job.spec = json::value_to<std::string>(fields.at(3));
            for (const auto& step : fields.at(4).as_array())
                job.steps.push_back(decode_step(step));
            job.priority = json::value_to<std::uint32_t>(fields.at(5));
            job.max_attempts = json::value_to<std::uint32_t>(fields.at(6));
            job.accepted_ms = json::value_to<std::int64_t>(fields.at(7));
            job.objective_ms = json::value_to<std::int64_t>(fields.at(8));
            BOOST_OUTCOME_TRYV(check_job_definition(job));
            return job;
        });
}

std::string encode_progress(const job_progress& progress)
{
    json::array failed;
    for (const auto& one : progress.failed)
        failed.emplace_back(json::array{one.task, one.run});
    return json::serialize(
        json::array{numbers(progress.done), std::move(failed)});
}

result<job_progress> decode_progress(std::string_view row)
{
    return decode<job_progress>(
        row,
        [](const json::value& value) -> result<job_progress>
        {
            const auto& fields = value.as_array();
            job_progress progress;
            progress.done =
                json::value_to<std::vector<std::uint32_t>>(fields.at(0));
            for (const auto& one : fields.at(1).as_array())
                progress.failed.push_back(
                    {json::value_to<std::uint32_t>(one.as_array().at(0)),
                     json::value_to<std::uint32_t>(one.as_array().at(1))});
            return progress;
        });
}

std::string encode_ended_job(const ended_job& end)
{
    return json::serialize(
        json::array{static_cast<unsigned>(end.state), end.ended_ms});
}

result<ended_job> decode_ended_job(std::string_view row)
{
    return decode<ended_job>(
        row,
        [](const json::value& value) -> result<ended_job>
        {
            const auto& fields = value.as_array();
            const auto state = json::value_to<std::size_t>(fields.at(0));
            if (state >= name_table<job_state>::names.size() ||
                !is_final(static_cast<job_state>(state)))
                return failure{"journal row of an ended job has no final job "
                               "state in field 0"};
            return ended_job{static_cast<job_state>(state),
                             json::value_to<std::int64_t>(fields.at(1))};
        });
}

} // namespace glenhollow
