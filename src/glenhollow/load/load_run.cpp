#include "glenhollow/load/load_run.hpp"

#include "glenhollow/core/run_after.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <sstream>
#include <utility>

namespace glenhollow
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::string_view prefix = "glenhollow_";
constexpr duration lead_time = milliseconds{200};

json::value parse_or_null(const std::string& text)
{
    boost::system::error_code ec;
    auto value = json::parse(text, ec);
    return ec ? json::value() : value;
}

std::string field(const json::value& from, std::string_view name)
{
    const auto* object = from.if_object();
    const auto* value = object ? object->if_contains(name) : nullptr;
    return value && value->is_string() ? value->get_string().c_str() : "";
}

/// The part of `a="x",b="y"` that a name has.
std::string label(const std::string& labels, const std::string& name)
{
    const auto at = labels.find(name + "=\"");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 2;
    return labels.substr(begin, labels.find('"', begin) - begin);
}

} // namespace

/// One job on its way.
struct load_run::job_state
{
    std::size_t place = 0;    ///< In the plan.
    std::size_t entry = 0;    ///< Whose id it has.
    std::string id;           ///< Submission.
    std::string body;         ///< As sent.
    std::size_t attempts = 0; ///< Requests sent.
    std::size_t open = 0;     ///< Requests without an end.
    std::string first_answer; ///< To compare others with.
    bool complete = false;    ///< The first answer was whole.
    bool refused = false;     ///< The first answer was a refusal.
    bool answered = false;    ///< There is a first answer.
    bool lost = false;        ///< No answer after all attempts.
};

load_run::load_run(asio::io_context& io, const load_run_settings& settings,
                   std::vector<planned_job> plan,
                   const load_plan_settings& what)
    : io_(io), settings_(settings), plan_(std::move(plan)), what_(what),
      ids_(settings.entries.size()), minting_(settings.entries.size()),
      waiting_(settings.entries.size())
{
    for (const auto& entry : settings_.entries)
    {
        http_client_settings calls;
        calls.server = entry;
        calls.max_connections = 4096;
        calls.call_timeout = what.deadline + seconds{70};
        clients_.push_back(http_client::create(io, calls));
    }
}

load_run::~load_run() = default;

void load_run::scrape(std::map<std::string, double>& into)
{
    auto open = std::make_shared<std::size_t>(clients_.size());
    for (const auto& client : clients_)
    {
        http_request request;
        request.target = "/metrics";
        client->send(
            std::move(request), seconds{5},
            [&into, open](const http_result& end)
            {
                --*open;
                std::istringstream lines(end.response.body);
                std::string line;
                while (end.answered && std::getline(lines, line))
                {
                    const auto space = line.rfind(' ');
                    if (!line.starts_with(prefix) || space == std::string::npos)
                        continue;
                    into[line.substr(prefix.size(), space - prefix.size())] +=
                        std::strtod(line.c_str() + space, nullptr);
                }
            });
    }
    while (*open > 0)
        io_.run_one();
}

load_totals load_run::play()
{
    std::map<std::string, double> before;
    scrape(before);
    totals_.jobs = plan_.size();
    // All entries see the same runners in a small deployment.
    totals_.slots =
        settings_.slots != 0
            ? settings_.slots
            : static_cast<std::size_t>(before["runner_slots"] /
                                       static_cast<double>(clients_.size()));
    totals_.slots = std::max<std::size_t>(totals_.slots, 1);
    open_ = plan_.size();
    start_ = process_clock().now() + lead_time;
    for (std::size_t i = 0; i < clients_.size(); ++i)
        mint(i);
    for (std::size_t i = 0; i < plan_.size(); ++i)
    {
        jobs_.push_back(std::make_unique<job_state>());
        jobs_.back()->place = i;
        jobs_.back()->entry = plan_[i].entry % clients_.size();
    }
    schedule();
    while (open_ > 0)
        io_.run_one();
    totals_.elapsed_s =
        std::chrono::duration<double>(process_clock().now() - start_).count();
    std::map<std::string, double> later;
    scrape(later);
    for (const auto& [series, value] : later)
    {
        const double grown = value - before[series];
        if (series.find("useful=\"0\"") != std::string::npos)
            totals_.wasted[label(series, "kind")] += std::max(grown, 0.0);
        if (series == "starts_sent_total")
            totals_.tasks_started += grown;
    }
    count_starts();
    return totals_;
}

void load_run::mint(std::size_t entry)
{
    if (minting_[entry])
        return;
    minting_[entry] = true;
    http_request request;
    request.method = "POST";
    request.target =
        "/v1/submissions?count=" + std::to_string(settings_.ids_ahead);
    clients_[entry]->send(
        std::move(request), seconds{5},
        [this, entry](const http_result& end)
        {
            minting_[entry] = false;
            const auto answer = parse_or_null(end.response.body);
            const auto* object = answer.if_object();
            const auto* list =
                object ? object->if_contains("submissions") : nullptr;
            if (list && list->is_array())
            {
                for (const auto& id : list->get_array())
                    ids_[entry].push_back(id.get_string().c_str());
            }
            auto waiting = std::exchange(waiting_[entry], {});
            for (const auto place : waiting)
            {
                auto& job = *jobs_[place];
                // An entry that gives no ids is left for the next one.
                if (ids_[entry].empty())
                    job.entry = (entry + 1) % clients_.size();
                if (ids_[entry].empty() && ++job.attempts > settings_.attempts)
                {
                    job.lost = true;
                    settle(job);
                    continue;
                }
                const auto wait = ids_[entry].empty() ? settings_.retry_wait
                                                      : duration::zero();
                run_after(io_, wait, [this, &job] { begin(job); });
            }
        });
}

void load_run::schedule()
{
    while (next_ < plan_.size())
    {
        const auto due = start_ + plan_[next_].at;
        const auto now = process_clock().now();
        if (due > now)
            return run_after(io_, due - now, [this] { schedule(); });
        begin(*jobs_[next_++]);
    }
}

void load_run::begin(job_state& job)
{
    auto& ids = ids_[job.entry];
    if (ids.size() < settings_.ids_ahead / 2)
        mint(job.entry);
    if (ids.empty())
    {
        waiting_[job.entry].push_back(job.place);
        return mint(job.entry);
    }
    job.id = std::move(ids.back());
    ids.pop_back();
    const auto& planned = plan_[job.place];
    json::array tasks;
    for (std::size_t i = 0; i < planned.work_ms.size(); ++i)
    {
        json::object payload{
            {"echo", std::to_string(job.place) + "/" + std::to_string(i)}};
        if (planned.work_ms[i] > 0)
            payload["work_ms"] = planned.work_ms[i];
        tasks.push_back(json::object{{"payload", std::move(payload)}});
    }
    const auto deadline =
        std::chrono::duration_cast<milliseconds>(what_.deadline).count();
    job.body = json::serialize(json::object{{"team", team_of(job.place)},
                                            {"deadline_ms", deadline},
                                            {"tasks", std::move(tasks)}});
    send(job, job.entry);
    if (!planned.resubmit || clients_.size() < 2)
        return;
    ++job.open;
    ++totals_.resubmitted;
    run_after(io_, planned.resubmit_after,
              [this, &job]
              {
                  --job.open;
                  send(job, other_than(job.entry, job));
              });
}

std::string load_run::team_of(std::size_t place) const
{
    if (what_.teams <= 1)
        return what_.team;
    return what_.team + "-" + std::to_string(place % what_.teams + 1);
}

std::size_t load_run::other_than(std::size_t entry, job_state& job)
{
    const auto step = 1 + job.attempts % (clients_.size() - 1);
    return (entry + step) % clients_.size();
}

void load_run::send(job_state& job, std::size_t entry)
{
    ++job.attempts;
    ++job.open;
    http_request request;
    request.method = "PUT";
    request.target = "/v1/jobs/" + job.id;
    request.body = job.body;
    if (!settings_.token.empty())
        request.headers.push_back(
            {"Authorization", "Bearer " + settings_.token});
    clients_[entry]->send(std::move(request),
                          [this, &job, entry](const http_result& end)
                          { answered(job, entry, end); });
}

void load_run::again(job_state& job, std::size_t entry, duration wait)
{
    if (job.attempts >= settings_.attempts)
    {
        job.lost = !job.answered;
        if (--job.open == 0)
            settle(job);
        return;
    }
    ++totals_.resubmitted;
    const auto to = clients_.size() > 1 ? other_than(entry, job) : entry;
    run_after(io_, wait,
              [this, &job, to]
              {
                  --job.open;
                  send(job, to);
              });
}

void load_run::answered(job_state& job, std::size_t entry,
                        const http_result& end)
{
    // A job that never left its caller takes a fresh id from another entry;
    // ids of an entry that is gone are worth nothing.
    if (!end.answered && end.progress == send_progress::nothing_sent &&
        job.attempts == 1 && job.open == 1 && clients_.size() > 1)
    {
        ids_[entry].clear();
        job.open = job.attempts = 0;
        job.entry = (entry + 1) % clients_.size();
        return begin(job);
    }
    // A caller that does not know asks again elsewhere, as the users' do.
    if (!end.answered)
        return again(job, entry, settings_.retry_wait);
    const auto& response = end.response;
    const auto answer = parse_or_null(response.body);
    const bool unknown =
        response.status == 503 && field(answer, "verdict") == "may_have_run";
    if (unknown)
        return again(job, entry, settings_.retry_wait * 3);
    judge(job, response);
    if (--job.open == 0)
        settle(job);
}

void load_run::judge(job_state& job, const http_response& response)
{
    const auto answer = parse_or_null(response.body);
    const bool refused = response.status >= 400;
    if (job.answered)
    {
        // A refusal of one copy says nothing of the other; two answers of the
        // job itself have to be the same.
        const bool differs =
            !refused && !job.refused && response.body != job.first_answer;
        totals_.differing += differs ? 1 : 0;
        if (refused || !job.refused)
            return;
    }
    job.answered = true;
    job.refused = refused;
    job.first_answer = response.body;
    const auto state = field(answer, "state");
    job.complete = !refused && state == "complete";
    if (!job.complete)
    {
        ++totals_.reasons[field(answer, "reason")];
        return;
    }
    check_whole(job, response.body);
    const auto& planned = plan_[job.place];
    const auto now = process_clock().now();
    const double took =
        std::chrono::duration<double, std::milli>(now - (start_ + planned.at))
            .count();
    totals_.latencies_ms.push_back(took);
    const double ideal = ideal_ms(planned.work_ms, totals_.slots);
    if (ideal > 0)
        totals_.slowdowns.push_back(took / ideal);
    totals_.tasks_complete += planned.work_ms.size();
    if (settings_.timeline > duration::zero())
    {
        const auto bin =
            static_cast<std::size_t>((now - start_) / settings_.timeline);
        if (totals_.timeline.size() <= bin)
            totals_.timeline.resize(bin + 1);
        totals_.timeline[bin] += planned.work_ms.size();
    }
}

void load_run::check_whole(job_state& job, const std::string& body)
{
    const auto answer = parse_or_null(body);
    const auto* results = answer.as_object().if_contains("results");
    const auto count = plan_[job.place].work_ms.size();
    if (!results || !results->is_array() ||
        results->get_array().size() != count)
    {
        ++totals_.partial;
        return;
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto expected =
            std::to_string(job.place) + "/" + std::to_string(i);
        if (field(results->get_array()[i], "echo") != expected)
        {
            ++totals_.crossed;
            return;
        }
    }
}

void load_run::settle(job_state& job)
{
    --open_;
    if (job.complete)
        ++totals_.complete;
    else if (job.refused)
        ++totals_.refused;
    else if (job.answered)
        ++totals_.failed;
    else
        ++totals_.lost;
}

void load_run::count_starts()
{
    if (settings_.runners.empty())
        return;
    std::map<std::string, std::size_t> starts;
    std::vector<std::unique_ptr<http_client>> runners;
    std::size_t open = settings_.runners.size();
    std::size_t unreached = 0;
    for (const auto& runner : settings_.runners)
    {
        http_client_settings calls;
        calls.server = runner;
        calls.max_body_bytes = 1UL << 30;
        runners.push_back(http_client::create(io_, calls));
        http_request request;
        request.target = "/starts";
        runners.back()->send(
            std::move(request),
            [&](const http_result& end)
            {
                --open;
                const auto answer = parse_or_null(end.response.body);
                const auto* object = answer.if_object();
                const auto* counts =
                    object ? object->if_contains("starts") : nullptr;
                if (!counts || !counts->is_object())
                {
                    ++unreached;
                    return;
                }
                for (const auto& one : counts->get_object())
                    starts[std::string(one.key())] +=
                        one.value().to_number<std::size_t>();
            });
    }
    while (open > 0)
        io_.run_one();
    totals_.starts_counted = unreached < settings_.runners.size();
    std::map<std::string, bool> refused;
    for (const auto& job : jobs_)
        refused[job->id] = job->refused;
    for (const auto& [task, count] : starts)
    {
        const auto owner = refused.find(task.substr(0, task.find('/')));
        if (owner == refused.end())
            continue;
        totals_.started_twice += count > 1 ? 1 : 0;
        totals_.refused_but_ran += owner->second ? 1 : 0;
    }
}

} // namespace glenhollow
