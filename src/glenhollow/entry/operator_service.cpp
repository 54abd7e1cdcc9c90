#include "glenhollow/entry/operator_service.hpp"

#include "glenhollow/entry/operator_service_context.hpp"
#include "glenhollow/language/parser.hpp"
#include "glenhollow/security/token.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <sstream>
#include <utility>
#include <variant>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

constexpr std::size_t max_job_rows = 1000;

constexpr double min_quota = 0;
constexpr double max_quota = 1e6;
constexpr double min_weight = 0.01;
constexpr double max_weight = 1000;
constexpr std::size_t max_created_tasks = 1000;

std::string hex_text(std::uint64_t number)
{
    std::array<char, 20> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx",
                  static_cast<unsigned long long>(number));
    return hex.data();
}

double to_milliseconds(duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

api_problem range_problem(const std::string& field, const std::string& range)
{
    return {400, reason::malformed, field + " must be " + range};
}

} // namespace

std::string format_utc(std::int64_t nanoseconds)
{
    constexpr std::int64_t per_second = 1'000'000'000;
    const std::time_t whole = nanoseconds / per_second;
    std::tm parts{};
    ::gmtime_r(&whole, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                  static_cast<int>(nanoseconds % per_second / 1'000'000));
    return std::string(text.data()) + fraction.data();
}

void operator_service::run(const std::string& text, const std::string& by,
                           statement_scope scope, answer_callback done)
{
    auto ctx =
        std::make_shared<context>(context{text, by, scope, std::move(done)});
    const auto parsed = parse_statement(text, dialect::operators);
    if (!parsed)
        return ctx->refuse({400, reason::malformed, parsed.error().text()});
    std::visit(
        [this, &ctx](const auto& one)
        {
            // Statements without an overload are not in the operators' dialect.
            if constexpr (requires { this->execute(one, ctx); })
                execute(one, ctx);
        },
        parsed.value());
}

void operator_service::execute(const help_statement&, const context_ptr& ctx)
{
    row_table rows;
    std::istringstream lines{std::string(statement_help())};
    std::string line;
    while (std::getline(lines, line))
        rows.add({{"statement", line}});
    ctx->done(rows.to_answer());
}

void operator_service::execute(const show_statement& show,
                               const context_ptr& ctx)
{
    static const std::map<show_target, row_merge_rules> merge_rules{
        {show_target::runners, {"name", {"in_flight", "started", "refused"}}},
        {show_target::entries, {"", {}}},
        {show_target::teams, {"name", {"in_use"}, true}},
        {show_target::jobs, {"", {}}}};
    const auto answer_rows = [ctx, show](row_table rows)
    {
        const auto filtered = rows.filter(show.where);
        if (!filtered)
            return ctx->refuse(filtered.error());
        ctx->done(rows.to_answer());
    };
    local_rows(show.target,
               [this, ctx, show, answer_rows](row_table own)
               {
                   const auto rules = merge_rules.find(show.target);
                   if (rules == merge_rules.end())
                       return answer_rows(std::move(own));
                   merge_peer_rows(ctx, std::move(own), rules->second,
                                   answer_rows);
               });
}

void operator_service::merge_peer_rows(const context_ptr& ctx, row_table own,
                                       const row_merge_rules& rules,
                                       std::function<void(row_table)> done)
{
    const auto peers = plane_.peers().reachable();
    if (ctx->scope == statement_scope::this_entry || peers.empty())
        return done(std::move(own));
    struct collection
    {
        row_table rows;
        std::size_t pending;
    };
    auto all =
        std::make_shared<collection>(collection{std::move(own), peers.size()});
    // Conditions apply to the merged rows, so peers must return all rows.
    const auto where = ctx->text.find(" where ");
    const std::string text = ctx->text.substr(0, where);
    for (const auto& peer : peers)
    {
        plane_.peers().operate(
            peer, text, ctx->by,
            [all, rules, done](std::optional<job_answer> answer)
            {
                if (answer)
                    all->rows.merge(*answer, rules);
                if (--all->pending > 0)
                    return;
                all->rows.sort_by("name");
                done(std::move(all->rows));
            });
    }
}

void operator_service::local_rows(show_target target,
                                  std::function<void(row_table)> done)
{
    switch (target)
    {
    case show_target::runners:
        return show_runners(std::move(done));
    case show_target::entries:
        return show_entries(std::move(done));
    case show_target::teams:
        return show_teams(std::move(done));
    case show_target::jobs:
        return show_jobs(std::move(done));
    case show_target::configuration:
    case show_target::settings:
        break;
    }
    row_table rows;
    if (target == show_target::settings)
    {
        const auto values = plane_.effective_settings();
        for (const auto& setting : setting_table())
            rows.add({{"name", setting.name},
                      {"value", value_text(setting, values)},
                      {"allowed", range_text(setting)},
                      {"about", setting.about}});
        return done(std::move(rows));
    }
    for (const auto& [key, row] : plane_.store().current().rows())
    {
        if (row.value.empty())
            continue;
        const bool secret = key.starts_with(row_key(row_kind::token, ""));
        rows.add({{"key", key},
                  {"value", secret ? "(hidden)" : row.value},
                  {"version", row.version},
                  {"by", row.by},
                  {"when", format_utc(row.when * 1'000'000'000)}});
    }
    done(std::move(rows));
}

void operator_service::show_runners(std::function<void(row_table)> done)
{
    using runner_rows = std::vector<runner_row>;
    plane_.shards().gather<runner_rows>(
        [](shard& one) { return one.links().rows(); },
        [done](const std::vector<runner_rows>& all)
        {
            std::map<std::string, runner_row> joined;
            for (const auto& rows : all)
            {
                for (const auto& row : rows)
                {
                    auto [known, inserted] = joined.try_emplace(row.name, row);
                    if (inserted)
                        continue;
                    known->second.in_flight += row.in_flight;
                    known->second.started += row.started;
                    known->second.refused += row.refused;
                }
            }
            row_table rows;
            for (const auto& [name, row] : joined)
                rows.add({{"name", name},
                          {"hall", row.hall},
                          {"state", row.state},
                          {"slots", row.slots},
                          {"in_flight", row.in_flight},
                          {"started", row.started},
                          {"refused", row.refused},
                          {"config_version", row.config_version}});
            done(std::move(rows));
        });
}

void operator_service::show_entries(std::function<void(row_table)> done)
{
    struct entry_counts
    {
        std::size_t jobs = 0;
        std::size_t queued = 0;
        std::size_t links = 0;
    };
    plane_.shards().gather<entry_counts>(
        [](shard& one)
        {
            entry_counts counts;
            counts.jobs = one.jobs().jobs();
            counts.queued = one.jobs().queued_tasks();
            for (const auto& view : one.jobs().runners())
                counts.links += view.connected ? 1 : 0;
            return counts;
        },
        [this, done](const std::vector<entry_counts>& all)
        {
            entry_counts sum;
            for (const auto& one : all)
            {
                sum.jobs += one.jobs;
                sum.queued += one.queued;
                sum.links += one.links;
            }
            row_table rows;
            rows.add({{"name", plane_.entry()},
                      {"hall", plane_.hall()},
                      {"state", backend_.stopping() ? "stopping" : "up"},
                      {"incarnation", hex_text(plane_.incarnation())},
                      {"jobs", sum.jobs},
                      {"queued_tasks", sum.queued},
                      {"links_up", sum.links},
                      {"platform",
                       plane_.platform().is_unavailable() ? "away" : "up"},
                      {"config_version", plane_.store().current().version()}});
            done(std::move(rows));
        });
}

void operator_service::show_teams(std::function<void(row_table)> done)
{
    std::vector<std::string> names;
    const auto& config = plane_.store().current();
    for (const auto kind : {row_kind::quota, row_kind::weight, row_kind::token})
    {
        for (const auto& [team, row] : config.rows_of(kind))
        {
            if (std::find(names.begin(), names.end(), team) == names.end())
                names.push_back(team);
        }
    }
    using rates = std::vector<double>;
    plane_.shards().gather<rates>(
        [names](shard& one)
        {
            rates in_use;
            for (const auto& team : names)
                in_use.push_back(
                    one.jobs().quota().in_use(team, process_clock().now()));
            return in_use;
        },
        [this, names, done](const std::vector<rates>& all)
        {
            const auto& config = plane_.store().current();
            const double fallback =
                plane_.effective_settings().default_team_quota;
            row_table rows;
            for (std::size_t i = 0; i < names.size(); ++i)
            {
                double in_use = 0;
                for (const auto& one : all)
                    in_use += one[i];
                const auto* quota =
                    config.find(row_key(row_kind::quota, names[i]));
                const auto* weight =
                    config.find(row_key(row_kind::weight, names[i]));
                json::object row{{"name", names[i]}};
                if (quota || fallback >= 0)
                    row["quota"] = rounded(
                        quota ? std::strtod(quota->value.c_str(), nullptr)
                              : fallback,
                        3);
                else
                    row["quota"] = nullptr;
                row["in_use"] = rounded(in_use, 1);
                row["weight"] = rounded(
                    weight ? std::strtod(weight->value.c_str(), nullptr) : 1.0,
                    3);
                row["token"] =
                    config.find(row_key(row_kind::token, names[i])) != nullptr;
                rows.add(std::move(row));
            }
            done(std::move(rows));
        });
}

void operator_service::show_jobs(std::function<void(row_table)> done)
{
    using job_rows = std::vector<job_row>;
    plane_.shards().gather<job_rows>(
        [](shard& one) { return one.jobs().job_rows(max_job_rows); },
        [done](const std::vector<job_rows>& all)
        {
            row_table rows;
            for (const auto& shard_rows : all)
            {
                for (const auto& row : shard_rows)
                    rows.add(
                        {{"name", row.id},
                         {"team", row.team},
                         {"state", row.state},
                         {"tasks", row.tasks},
                         {"done", row.done},
                         {"waiting", row.waiting},
                         {"age_ms", rounded(to_milliseconds(row.age), 0)}});
            }
            done(std::move(rows));
        });
}

void operator_service::change(std::map<std::string, std::string> rows,
                              const context_ptr& ctx)
{
    std::string logged_statement = ctx->text;
    // The plain token must appear neither in logs nor in stored statements.
    if (const auto at = logged_statement.find(" token ");
        at != std::string::npos)
        logged_statement = logged_statement.substr(0, at) + " token (hidden)";
    plane_.store().change(
        std::move(rows), ctx->by, logged_statement,
        [this, ctx, logged_statement](const change_answer& answer)
        {
            log_change(log_level::info, "configuration_change",
                       {{"by", ctx->by},
                        {"statement", logged_statement},
                        {"answer", answer.text()}});
            plane_.record_decision(decision_kind::changed,
                                   reason::operator_command, "", ctx->by,
                                   logged_statement + ": " + answer.text());
            json::object row{{"answer", answer.text()},
                             {"state", to_name(answer.state)},
                             {"change", answer.id}};
            if (answer.state == change_state::accepted)
                row["version"] = answer.version;
            row_table table;
            table.add(std::move(row));
            auto reply = table.to_answer();
            if (answer.state == change_state::refused)
                reply = api_problem{409, reason::body_conflict, answer.text()}
                            .to_answer();
            ctx->done(std::move(reply));
        });
}

void operator_service::execute(const show_change_statement& show,
                               const context_ptr& ctx)
{
    // The entry that accepted the change knows its state best.
    const auto owner = show.id.substr(0, show.id.find('.'));
    if (owner != plane_.entry() && ctx->scope == statement_scope::all_entries &&
        plane_.peers().report_of(owner))
        return plane_.peers().operate(
            owner, ctx->text, ctx->by,
            [ctx](std::optional<job_answer> answer)
            {
                if (answer)
                    return ctx->done(std::move(*answer));
                ctx->refuse({503, reason::entry_unreachable,
                             "the entry that took the change does not answer"});
            });
    plane_.store().ask(show.id,
                       [ctx](const change_answer& answer)
                       {
                           json::object row{{"change", answer.id},
                                            {"state", to_name(answer.state)},
                                            {"answer", answer.text()}};
                           if (answer.state == change_state::accepted)
                               row["version"] = answer.version;
                           row_table rows;
                           rows.add(std::move(row));
                           ctx->done(rows.to_answer());
                       });
}

void operator_service::execute(const set_quota_statement& set,
                               const context_ptr& ctx)
{
    if (set.quota < min_quota || set.quota > max_quota)
        return ctx->refuse(
            range_problem("quota", "a number in 0..1000000 tasks/s"));
    std::ostringstream text;
    text << set.quota;
    change({{row_key(row_kind::quota, set.team), text.str()}}, ctx);
}

void operator_service::execute(const set_weight_statement& set,
                               const context_ptr& ctx)
{
    if (set.weight < min_weight || set.weight > max_weight)
        return ctx->refuse(range_problem("weight", "a number in 0.01..1000"));
    std::ostringstream text;
    text << set.weight;
    change({{row_key(row_kind::weight, set.team), text.str()}}, ctx);
}

void operator_service::execute(const set_token_statement& set,
                               const context_ptr& ctx)
{
    constexpr std::size_t min_token_length = 8;
    if (set.token.size() < min_token_length)
        return ctx->refuse(range_problem("token", "8 characters or more"));
    change({{row_key(row_kind::token, set.team), hash_token(set.token)}}, ctx);
}

void operator_service::execute(const unset_team_statement& unset,
                               const context_ptr& ctx)
{
    std::map<std::string, std::string> rows;
    for (const auto kind : {row_kind::quota, row_kind::weight, row_kind::token})
    {
        const auto key = row_key(kind, unset.team);
        if (plane_.store().current().find(key))
            rows[key] = "";
    }
    if (rows.empty())
        return ctx->refuse(
            {404, reason::malformed, "team " + unset.team + " has no row"});
    change(std::move(rows), ctx);
}

void operator_service::execute(const set_statement& set, const context_ptr& ctx)
{
    const auto* setting = find_setting(set.key);
    if (!setting)
    {
        std::string names;
        for (const auto& one : setting_table())
            names.append(names.empty() ? "" : ", ").append(one.name);
        return ctx->refuse(
            {400, reason::malformed,
             "there is no setting '" + set.key + "'; there are " + names});
    }
    tuning scratch;
    const auto is_valid = set_value(*setting, set.value, scratch);
    if (!is_valid)
        return ctx->refuse({400, reason::malformed, is_valid.error().text});
    change({{row_key(row_kind::setting, set.key), set.value}}, ctx);
}

void operator_service::execute(const drain_statement& drain,
                               const context_ptr& ctx)
{
    const auto* runner = plane_.members().find(drain.runner);
    const auto key = row_key(row_kind::drain, drain.runner);
    const bool drained = plane_.store().current().find(key) != nullptr;
    const bool known = runner && runner->role == member_role::runner;
    if (!known && !(drained && !drain.on))
        return ctx->refuse(
            {404, reason::malformed, "there is no runner " + drain.runner});
    change({{key, drain.on ? ctx->by : ""}}, ctx);
}

void operator_service::execute(const create_job_statement& create,
                               const context_ptr& ctx)
{
    if (create.tasks < 1 || create.tasks > max_created_tasks)
        return ctx->refuse(range_problem("tasks", "a whole number in 1..1000"));
    json::array tasks;
    boost::system::error_code ec;
    const auto payload = json::parse(create.payload, ec);
    for (std::size_t i = 0; i < create.tasks; ++i)
        tasks.push_back(json::object{{"payload", payload}});
    const auto body = json::serialize(
        json::object{{"team", create.team}, {"tasks", std::move(tasks)}});
    auto request = parse_job(body, backend_.limits());
    if (!request)
        return ctx->refuse(request.error());
    if (backend_.stopping())
        return ctx->refuse({503, reason::stopping, "this entry is stopping",
                            verdict::not_run, seconds{1}});
    auto job = std::make_shared<routed_job>();
    job->body = body;
    job->request = std::move(request.value());
    plane_.shards().at(0).post([this, ctx, job](shard&)
                               { submit_created_job(job, ctx); });
}

void operator_service::submit_created_job(
    const std::shared_ptr<routed_job>& job, const context_ptr& ctx)
{
    job->id = backend_.issue_ids(1).front();
    const auto id = job->id;
    // Returns the id once the job is admitted, or the error if it is refused
    // immediately; the job's result is ignored.
    auto is_answered = std::make_shared<bool>(false);
    backend_.submit(std::move(*job),
                    [ctx, is_answered](job_answer answer)
                    {
                        if (!answer.is_problem() ||
                            std::exchange(*is_answered, true))
                            return;
                        ctx->done(std::move(answer));
                    });
    backend_.lookup(
        id,
        [ctx, is_answered, id](const job_answer& answer)
        {
            if (answer.is_problem() || std::exchange(*is_answered, true))
                return;
            row_table rows;
            rows.add({{"submission", id.to_string()}, {"state", "running"}});
            ctx->done(rows.to_answer());
        });
}

bool operator_service::forward_to_issuer(const submission_id& id,
                                         const context_ptr& ctx)
{
    const auto* report = plane_.peers().report_of(id.entry);
    const bool issued_elsewhere = id.incarnation != plane_.incarnation() &&
                                  report &&
                                  report->incarnation == id.incarnation &&
                                  ctx->scope == statement_scope::all_entries;
    if (!issued_elsewhere)
        return false;
    plane_.peers().operate(
        id.entry, ctx->text, ctx->by,
        [ctx](std::optional<job_answer> answer)
        {
            if (answer)
                return ctx->done(std::move(*answer));
            ctx->refuse({503, reason::entry_unreachable,
                         "the entry of that submission does not answer"});
        });
    return true;
}

void operator_service::execute(const cancel_statement& cancel,
                               const context_ptr& ctx)
{
    const auto id = submission_id::parse(cancel.id);
    if (!id)
        return ctx->refuse({400, reason::malformed,
                            "'" + cancel.id + "' is not a submission id"});
    if (forward_to_issuer(*id, ctx))
        return;
    if (id->incarnation != plane_.incarnation())
        return ctx->refuse({404, reason::unknown_submission,
                            "no entry that is up has that submission"});
    plane_.shards()
        .owner_of(id->sequence)
        .post(
            [id = *id, ctx](shard& one)
            {
                const auto cancelled = one.jobs().cancel(id.sequence);
                one.schedule_dispatch();
                if (!cancelled)
                    return ctx->refuse(cancelled.error());
                row_table rows;
                rows.add({{"submission", id.to_string()},
                          {"cancelled_tasks", cancelled.value()}});
                ctx->done(rows.to_answer());
            });
}

} // namespace glenhollow
