#include "fuzz/fuzz_target.hpp"

#include "glenhollow/durable/member_directory.hpp"
#include "glenhollow/durable/queue_catalog.hpp"
#include "glenhollow/language/parser.hpp"
#include "glenhollow/runs/server_account_json.hpp"
#include "platform/rows_format.hpp"
#include "platform/run_lists_format.hpp"
#include "platform/server_heartbeat_format.hpp"
#include "unit/adapter/client_handler_fixture.hpp"

#include <cstdio>
#include <cstdlib>
#include <string>

namespace glenhollow::fuzz
{

namespace
{

void must(bool holds, const char* what)
{
    if (holds)
        return;
    std::fprintf(stderr, "property does not hold: %s\n", what);
    std::abort();
}

/// An error is a short line that names a field, whatever came.
void must_be_short(const std::string& text)
{
    constexpr std::size_t longest = 1000;
    must(!text.empty() && text.size() <= longest, "errors are short lines");
}

void account(std::string_view bytes)
{
    const auto told = platform::decode_heartbeat("server-1", bytes, {});
    platform::decode_sign_off(bytes);
    if (!told)
        return must_be_short(told.error().text());
    const auto& account = told.value().account;
    must(!account.service.empty() && !account.zone.empty(),
         "an account names its service and zone");
    must(account.born_ms >= 0, "a start is no negative time");
    const auto again = decode_server_account(encode_server_account(account));
    must(again && again.value().incarnation() == account.incarnation() &&
             again.value().labels == account.labels &&
             again.value().sequence == account.sequence &&
             again.value().capacity.cpu == account.capacity.cpu,
         "a memo gives back what was kept");
}

void run_lists(std::string_view bytes)
{
    const auto told = platform::decode_run_lists(bytes);
    if (!told)
        return must_be_short(told.error().text());
    for (const auto& shown : told.value().running)
        must(platform::parse_task_name(platform::task_name(shown.run.task)) ==
                 shown.run.task,
             "a task's name is read back");
    for (const auto& end : told.value().finished)
        must(end.number > 0, "an end has a number");
}

void rows(std::string_view bytes)
{
    const auto version = platform::decode_commit(bytes);
    must(!version || version.value() > 0, "a commit has a version");
    const auto told = platform::decode_rows(bytes);
    if (!told)
        return must_be_short(told.error().text());
    for (const auto& row : told.value().rows)
    {
        const auto again = platform::decode_rows(
            R"({"rows":[{"table":"t","key":"k","value":")" +
            platform::to_base64(row.value) + R"("}]})");
        must(again && again.value().rows.at(0).value == row.value,
             "a value is read back");
    }
}

void catalog(std::string_view bytes)
{
    const auto read = platform::parse_catalog(bytes);
    if (!read)
        return must_be_short(read.error().text);
    must(read.value().version > 0, "a configuration has a version");
    for (const auto& queue : read.value().queues())
    {
        must(!queue.service.empty() && queue.max_attempts > 0,
             "a queue has a service and an attempt");
        if (queue.host.find(':') != std::string::npos)
            continue; // Requests' hosts are looked up without their port.
        const auto* found = read.value().find(queue.host, queue.prefix);
        must(found != nullptr && found->prefix == queue.prefix,
             "a queue is found by its host and prefix");
    }
}

void job_row(std::string_view bytes)
{
    const auto job = decode_definition(bytes);
    if (!job)
        return must_be_short(job.error().text);
    must(check_job_definition(job.value()).has_value(),
         "a job has the form of one");
    const auto row = encode_definition(job.value());
    const auto again = decode_definition(row);
    must(again && encode_definition(again.value()) == row,
         "a job is read back");
    job.value().critical_path_ms();
    job.value().peak_cores();
}

void progress_row(std::string_view bytes)
{
    const auto progress = decode_progress(bytes);
    if (!progress)
        return must_be_short(progress.error().text);
    const auto again = decode_progress(encode_progress(progress.value()));
    must(again && again.value().done == progress.value().done &&
             again.value().failed == progress.value().failed,
         "progress is read back");
}

void ended_row(std::string_view bytes)
{
    const auto end = decode_ended_job(bytes);
    if (!end)
        return must_be_short(end.error().text);
    must(is_final(end.value().state), "an end is final");
    const auto again = decode_ended_job(encode_ended_job(end.value()));
    must(again && again.value().state == end.value().state &&
             again.value().ended_ms == end.value().ended_ms,
         "an end is read back");
}

void member(std::string_view bytes)
{
    stored_row row;
    row.key = {"members", {}, "node-1"};
    row.value = bytes;
    const auto read = decode_member(row);
    if (!read)
        return must_be_short(read.error().text);
    const auto again = host_port::parse(read.value().where.to_string());
    must(again && again.value().port == read.value().where.port,
         "a member has an address");
}

void memo(std::string_view bytes)
{
    const auto account = decode_server_account(std::string(bytes));
    if (!account)
        return must_be_short(account.error().text);
    const auto kept = encode_server_account(account.value());
    const auto again = decode_server_account(kept);
    must(again && encode_server_account(again.value()) == kept,
         "a memo is read back");
}

void caller_body(std::string_view bytes)
{
    client_handler_fixture world;
    world.jobs.queues.max_body_bytes = 1UL << 20;
    const auto got = world.call("POST", job_path, std::string(bytes));
    must(got.status == 200 || got.status == 400 || got.status == 413,
         "a body is taken or refused");
    must((got.status == 200) == world.jobs.submitted.has_value(),
         "what is refused is not run");
    if (!world.jobs.submitted)
        return must_be_short(got.body);
    const auto& job = *world.jobs.submitted;
    must(check_job_definition(job).has_value(), "a job has the form of one");
    const auto row = encode_definition(job);
    const auto again = decode_definition(row);
    must(again && encode_definition(again.value()) == row,
         "a job is read back from its row");
    must(job.objective_ms >= job.accepted_ms, "an objective is to come");
}

void language(std::string_view bytes)
{
    for (const auto allowed : {dialect::operators, dialect::scenarios})
    {
        const auto read = parse_statement(bytes, allowed);
        if (read)
            continue;
        must_be_short(read.error().text());
        must(read.error().column <= bytes.size() + 1,
             "an error lies within the text");
    }
}

} // namespace

const std::vector<fuzz_target>& fuzz_targets()
{
    static const std::vector<fuzz_target> targets{
        {"account", account},     {"run_lists", run_lists},
        {"rows", rows},           {"catalog", catalog},
        {"job_row", job_row},     {"progress_row", progress_row},
        {"ended_row", ended_row}, {"member", member},
        {"memo", memo},           {"caller_body", caller_body},
        {"language", language},
    };
    return targets;
}

const fuzz_target* find_target(std::string_view name)
{
    for (const auto& target : fuzz_targets())
    {
        if (target.name == name)
            return &target;
    }
    return nullptr;
}

} // namespace glenhollow::fuzz
