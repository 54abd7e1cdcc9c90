#include "session.hpp"

#include "glenhollow/client/operator_client.hpp"
#include "glenhollow/http/blocking_call.hpp"
#include "glenhollow/language/parser.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <regex>
#include <stdexcept>
#include <thread>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

constexpr auto poll_pause = std::chrono::milliseconds(50);
constexpr int caller_attempts = 100;

/// A caller that asks again, through the next entry, until it has an answer
/// of the job itself.
std::string call_job(std::vector<host_port> entries, std::size_t first,
                     const std::string& id, const std::string& body)
{
    std::string last = "no answer";
    for (int i = 0; i < caller_attempts; ++i)
    {
        http_request request;
        request.method = "PUT";
        request.target = "/v1/jobs/" + id;
        request.body = body;
        const auto end = call_and_wait(entries[(first + i) % entries.size()],
                                       std::move(request), seconds{8});
        if (end.answered)
            last = end.response.body;
        const bool unknown = end.response.status == 503 &&
                             last.find("may_have_run") != std::string::npos;
        if (end.answered && !unknown)
            return last;
        std::this_thread::sleep_for(poll_pause);
    }
    return last;
}

bool is_in_state(const std::string& answer, const std::string& state)
{
    return answer.find("\"" + state + "\"") != std::string::npos;
}

/// Waits until a state has come, up to the bound the scenario gives.
template <class State>
bool comes_within(duration bound, State state)
{
    const auto end = process_clock().now() + bound;
    while (true)
    {
        if (state())
            return true;
        if (process_clock().now() > end)
            return false;
        std::this_thread::sleep_for(poll_pause);
    }
}

} // namespace

void session::play(const std::string& line)
{
    transcript_ += "> " + line + "\n";
    const auto text = with_ids(line);
    const auto parsed = parse_statement(text, dialect::scenarios);
    if (!parsed)
    {
        // Operators' errors are part of a session.
        transcript_ += parsed.error().text() + "\n";
        return;
    }
    std::visit(
        [this, &text](const auto& one)
        {
            if constexpr (requires { this->execute(one); })
                execute(one);
            else
                transcript_ += normal(to_table(operate(text)));
        },
        parsed.value());
}

std::string session::operate(const std::string& statement) const
{
    operator_client_settings settings;
    settings.entries = {processes_.http(entry_)};
    settings.token = deployment::token();
    return operator_client(settings).run(statement).body;
}

void session::execute(const deploy_statement& deploy)
{
    processes_.start(deploy.entries, deploy.runners);
}

void session::execute(const process_statement& act)
{
    processes_.act(act.action, act.process);
}

void session::execute(const fault_statement& fault)
{
    http_request request;
    request.method = "POST";
    request.target = fault.process == "platform" ? "/fault" : "/faults";
    request.body = fault.json;
    const auto end = call_and_wait(processes_.http(fault.process),
                                   std::move(request), seconds{5});
    if (!end.answered || end.response.status != 200)
        throw std::runtime_error("the fault was not taken");
}

void session::execute(const use_statement& use)
{
    entry_ = use.entry;
}

void session::execute(const submit_statement& submit)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/submissions";
    const auto end =
        call_and_wait(processes_.http(entry_), std::move(request), seconds{5});
    auto& fresh = jobs_[submit.job];
    fresh.id = json::parse(end.response.body)
                   .at("submissions")
                   .at(0)
                   .as_string()
                   .c_str();
    json::array tasks;
    for (std::size_t i = 0; i < submit.tasks; ++i)
        tasks.push_back(json::object{{"payload", json::parse(submit.payload)}});
    fresh.body = json::serialize(
        json::object{{"team", submit.team}, {"tasks", std::move(tasks)}});
    send(fresh);
}

void session::execute(const resubmit_statement& resubmit)
{
    send(jobs_.at(resubmit.job));
}

void session::send(job& to)
{
    std::vector<host_port> entries;
    std::size_t first = 0;
    for (const auto& name : processes_.entries())
    {
        if (name == entry_)
            first = entries.size();
        entries.push_back(processes_.http(name));
    }
    to.answers.push_back(std::async(std::launch::async, call_job, entries,
                                    first, to.id, to.body));
}

void session::collect(job& from)
{
    for (auto& answer : from.answers)
    {
        if (answer.valid() && answer.wait_for(std::chrono::seconds(0)) ==
                                  std::future_status::ready)
            from.got.push_back(answer.get());
    }
}

void session::execute(const expect_job_statement& expect)
{
    auto& job = jobs_.at(expect.job);
    const bool came =
        comes_within(expect.within,
                     [&]
                     {
                         collect(job);
                         return job.got.size() == job.answers.size();
                     });
    for (const auto& got : job.got)
        transcript_ += normal(got) + "\n";
    if (!came)
        throw std::runtime_error("job " + expect.job + " has no answer");
    for (const auto& got : job.got)
    {
        if (!is_in_state(got, expect.state) || got != job.got.front())
            throw std::runtime_error("job " + expect.job + " is not " +
                                     expect.state + ": " + got);
    }
}

void session::execute(const expect_rows_statement& expect)
{
    std::string text = "show " + std::string(to_name(expect.show.target));
    const char* word = " where ";
    for (const auto& one : expect.show.where)
    {
        text += word + one.field + " " + std::string(to_name(one.op)) + " \"" +
                one.value + "\"";
        word = " and ";
    }
    std::string last;
    const bool came =
        comes_within(expect.within,
                     [&]
                     {
                         last = operate(text);
                         boost::system::error_code ec;
                         const auto parsed = json::parse(last, ec);
                         const auto* object = ec ? nullptr : parsed.if_object();
                         const auto* rows =
                             object ? object->if_contains("rows") : nullptr;
                         return rows && rows->as_array().size() == expect.count;
                     });
    if (!came)
        throw std::runtime_error("the rows never were as expected: " + last);
    transcript_ += "ok\n";
}

void session::execute(const expect_once_statement&)
{
    std::map<std::string, std::int64_t> counts;
    for (const auto& runner : processes_.runners())
    {
        http_request request;
        request.target = "/starts";
        const auto end = call_and_wait(processes_.http(runner),
                                       std::move(request), seconds{5});
        // A runner that was killed tells nothing.
        if (!end.answered)
            continue;
        const auto answer = json::parse(end.response.body);
        for (const auto& one : answer.at("starts").as_object())
            counts[std::string(one.key())] +=
                one.value().to_number<std::int64_t>();
    }
    for (const auto& [task, count] : counts)
    {
        if (count > 1)
            throw std::runtime_error(task + " started " +
                                     std::to_string(count) + " times");
    }
    // Runners that were killed count no more, so their number is not told.
    if (counts.empty())
        throw std::runtime_error("no runner counted any start");
    transcript_ += "ok\n";
}

std::string session::with_ids(const std::string& line) const
{
    std::string text = line;
    for (const auto& [name, job] : jobs_)
    {
        const std::string mark = "$" + name;
        for (auto at = text.find(mark); at != std::string::npos;
             at = text.find(mark))
            text.replace(at, mark.size(), job.id);
    }
    return text;
}

std::string session::normal(std::string text) const
{
    static const std::vector<std::pair<std::regex, std::string>> rules{
        {std::regex(R"(h1\.e\d+\.[0-9a-f]{16}\.\d+)"), "<submission>"},
        {std::regex(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z)"), "<time>"},
        {std::regex(R"(e\d+\.[0-9a-f]{16})"), "<change>"},
        {std::regex(R"([0-9a-f]{16})"), "<incarnation>"},
        {std::regex(R"(\d+\.\d ms)"), "<ms>"},
        {std::regex(R"( +)"), " "}};
    for (const auto& [pattern, with] : rules)
        text = std::regex_replace(text, pattern, with);
    return text;
}

} // namespace glenhollow
