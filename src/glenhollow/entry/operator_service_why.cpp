// The `why` statements: explain decisions from the decision rings of this entry
// and from the night reports in the object store.
#include "glenhollow/entry/operator_service_context.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

/// Maximum number of report objects read for one statement.
constexpr std::size_t max_report_objects = 200;

json::object to_row(const report_line& line)
{
    json::object row{{"at", format_utc(line.wall)},
                     {"entry", line.entry},
                     {"decision", to_name(line.kind)},
                     {"reason", to_name(line.why)},
                     {"verdict", to_name(line.what)}};
    row["submission"] = line.submission;
    row["runner"] = line.runner;
    row["by"] = line.by;
    row["detail"] = line.detail;
    return row;
}

/// Describes a decision in one sentence.
std::string describe(const decision_record& record, const std::string& runner)
{
    const std::string why(to_name(record.why));
    const std::string ms = std::to_string(record.duration_us / 1000) + "." +
                           std::to_string(record.duration_us % 1000 / 100) +
                           " ms";
    switch (record.kind)
    {
    case decision_kind::admitted:
        return "admitted with " + std::to_string(record.task) + " tasks";
    case decision_kind::refused:
        return "refused because " + why + "; come back in " + ms;
    case decision_kind::joined:
        return "a resubmission joined the job";
    case decision_kind::placed:
        return "waited " + ms + ", then placed on " + runner + " because " +
               why;
    case decision_kind::ended:
        return std::string(to_name(record.what)) + " on " + runner + " after " +
               ms + (record.why == reason::none ? "" : ": " + why);
    case decision_kind::retried:
        return "to be sent again in " + ms + " because " + runner + " said " +
               why;
    case decision_kind::completed:
        return "answered complete after " + ms;
    case decision_kind::failed:
        return "marked failed, " + std::string(to_name(record.what)) +
               ", because " + why + " after " + ms;
    default:
        break;
    }
    return std::string(to_name(record.kind)) + " " + runner + " because " + why;
}

/// A decision and the name of its backend server.
struct named_record
{
    decision_record record;
    std::string runner; ///< Name of the backend server; may be empty.
};

using named_records = std::vector<named_record>;

/// @return The decisions about a submission, or, for sequence 0, about backend
/// servers.
named_records records_of(shard& one, std::uint64_t sequence)
{
    named_records found;
    one.jobs().ring().for_each(
        [&](const decision_record& record)
        {
            if (record.sequence == sequence)
                found.push_back(
                    {record, record.runner == 0
                                 ? ""
                                 : one.links().name_of(record.runner - 1)});
        });
    return found;
}

/// @return Whether a decision helps to answer a `why` statement.
bool is_relevant(const decision_record& record, const why_statement& why)
{
    const bool concerns_task = record.kind == decision_kind::placed ||
                               record.kind == decision_kind::ended ||
                               record.kind == decision_kind::retried;
    switch (why.target)
    {
    case why_target::task:
        return !concerns_task || record.task == why.task;
    case why_target::refused:
        return record.kind == decision_kind::refused;
    case why_target::failed:
    case why_target::drained:
        break;
    }
    // A failure is explained by the tasks that were retried or did not run.
    return !concerns_task || record.what != verdict::ran ||
           record.kind == decision_kind::retried;
}

json::object to_row(const named_record& one)
{
    return {{"at", format_utc(one.record.wall)},
            {"decision", to_name(one.record.kind)},
            {"reason", to_name(one.record.why)},
            {"verdict", to_name(one.record.what)},
            {"runner", one.runner},
            {"text", describe(one.record, one.runner)}};
}

} // namespace

void operator_service::execute(const why_statement& why, const context_ptr& ctx)
{
    if (why.target == why_target::drained)
        return explain_drain(why.subject, ctx);
    const auto id = submission_id::parse(why.subject);
    if (!id)
        return ctx->refuse({400, reason::malformed,
                            "'" + why.subject + "' is not a submission id"});
    if (forward_to_issuer(*id, ctx))
        return;
    if (id->incarnation == plane_.incarnation())
        return explain_locally(why, *id, ctx);
    // The issuing process has ended; the object store keeps its refusals and
    // failures.
    const auto subject = why.subject;
    explain_from_reports(
        control_plane::report_prefix(id->entry, id->incarnation), ctx, {},
        [subject](const report_line& line)
        { return line.submission == subject; });
}

void operator_service::explain_locally(const why_statement& why,
                                       const submission_id& id,
                                       const context_ptr& ctx)
{
    plane_.shards()
        .owner_of(id.sequence)
        .post(
            [why, id, ctx](shard& one)
            {
                row_table rows;
                for (const auto& record : records_of(one, id.sequence))
                {
                    if (is_relevant(record.record, why))
                        rows.add(to_row(record));
                }
                if (rows.size() == 0)
                    return ctx->refuse(
                        {404, reason::unknown_submission,
                         "nothing is kept about that submission"});
                ctx->done(rows.to_answer());
            });
}

void operator_service::explain_drain(const std::string& runner,
                                     const context_ptr& ctx)
{
    row_table rows;
    const auto* row =
        plane_.store().current().find(row_key(row_kind::drain, runner));
    if (row)
        rows.add({{"at", format_utc(row->when * 1'000'000'000)},
                  {"decision", "drained"},
                  {"reason", to_name(reason::operator_command)},
                  {"runner", runner},
                  {"by", row->by},
                  {"detail",
                   "configuration version " + std::to_string(row->version)}});
    const auto* member = plane_.members().find(runner);
    if (member && member->state == member_state::leaving)
        rows.add({{"at", format_utc(wall_nanoseconds())},
                  {"decision", "drained"},
                  {"reason", to_name(reason::leaving)},
                  {"runner", runner},
                  {"by", "platform list"},
                  {"detail", "the VM is leaving"}});
    plane_.report().for_each(
        [&](const report_line& line)
        {
            if (line.runner == runner)
                rows.add(to_row(line));
        });
    explain_from_reports("night/", ctx, std::move(rows),
                         [runner](const report_line& line) {
                             return line.runner == runner &&
                                    line.kind != decision_kind::refused;
                         });
}

void operator_service::explain_from_reports(
    const std::string& prefix, const context_ptr& ctx, row_table found,
    std::function<bool(const report_line&)> is_wanted)
{
    auto rows = std::make_shared<row_table>(std::move(found));
    plane_.platform().list_objects(
        prefix,
        [this, ctx, rows, is_wanted = std::move(is_wanted)](
            platform_outcome outcome, std::vector<std::string> names)
        {
            if (outcome != platform_outcome::done && rows->size() == 0)
                return ctx->refuse({503, reason::entry_unreachable,
                                    "the object store with the kept decisions "
                                    "is away",
                                    verdict::not_run, seconds{5}});
            if (names.size() > max_report_objects)
                names.erase(names.begin(), names.end() - max_report_objects);
            read_reports(std::move(names), ctx, rows, is_wanted);
        });
}

void operator_service::read_reports(
    std::vector<std::string> names, const context_ptr& ctx,
    std::shared_ptr<row_table> found,
    std::function<bool(const report_line&)> is_wanted)
{
    if (names.empty())
    {
        if (found->size() == 0)
            return ctx->refuse({404, reason::unknown_submission,
                                "nothing is kept about that"});
        found->sort_by("at");
        return ctx->done(found->to_answer());
    }
    const auto name = names.back();
    names.pop_back();
    plane_.platform().read_object(
        name,
        [this, names = std::move(names), ctx, found,
         is_wanted = std::move(is_wanted)](platform_outcome,
                                           std::string content)
        {
            std::istringstream lines(content);
            std::string text;
            while (std::getline(lines, text))
            {
                const auto line = report_line::from_json(text);
                if (line && is_wanted(*line))
                    found->add(to_row(*line));
            }
            read_reports(names, ctx, found, is_wanted);
        });
}

void operator_service::execute(const why_waste_statement& why,
                               const context_ptr& ctx)
{
    const auto counts =
        plane_.waste().counts_within(process_clock().now(), why.since);
    row_table rows;
    for (std::size_t i = 0; i < counts.by_kind.size(); ++i)
    {
        const double messages = static_cast<double>(counts.by_kind[i]);
        const double tasks = static_cast<double>(counts.tasks);
        const double share = counts.tasks == 0 ? 0 : messages * 1000 / tasks;
        rows.add({{"name", to_name(static_cast<waste_kind>(i))},
                  {"messages", counts.by_kind[i]},
                  {"per_1000_tasks", rounded(share, 2)},
                  {"cause", waste_causes[i]}});
    }
    merge_peer_rows(
        ctx, std::move(rows), {"name", {"messages", "per_1000_tasks"}},
        [ctx](const row_table& all) { ctx->done(all.to_answer()); });
}

} // namespace glenhollow
