#include "soak/soak_clients.hpp"

#include "glenhollow/core/run_after.hpp"
#include "platform/json_body.hpp"
#include "soak/client_traffic.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdio>

namespace glenhollow::soak
{

namespace json = boost::json;

namespace
{

constexpr duration ready_interval = seconds{1};
constexpr unsigned missed_out = 2;
constexpr duration again_after = seconds{2};
/// Within which callers leave, and cancels come.
constexpr double longest_leave_ms = 600;
constexpr double longest_cancel_ms = 800;

milliseconds drawn_ms(random_engine& engine, double most)
{
    return milliseconds{1 + static_cast<std::int64_t>(uniform(engine) * most)};
}

http_client_settings limits(const host_port& server, duration timeout,
                            std::size_t connections)
{
    http_client_settings out;
    out.server = server;
    out.connect_timeout = seconds{1};
    out.call_timeout = timeout;
    out.max_connections = connections;
    return out;
}

std::string body_of(const soak_job& job)
{
    json::array steps;
    for (const auto& step : job.steps)
    {
        json::object out{{"count", step.count},
                         {"cpu", step.cpu},
                         {"mem_mb", 16},
                         {"estimate_ms", std::max(150U, job.work_ms / 2)}};
        if (!step.after.empty())
            out["after"] = json::array(step.after.begin(), step.after.end());
        steps.emplace_back(std::move(out));
    }
    json::object out{{"spec", job.spec}, {"steps", std::move(steps)}};
    if (!job.kept)
        out["best_effort"] = true;
    return json::serialize(out);
}

} // namespace

soak_clients::soak_clients(boost::asio::io_context& io,
                           const client_settings& settings,
                           const std::vector<entry_address>& entries,
                           soak_checker& checker, teller tell)
    : io_(io), settings_(settings), checker_(checker), tell_(std::move(tell)),
      random_(settings.seed)
{
    for (const auto& entry : entries)
    {
        node added;
        added.callers = http_client::create(
            io, limits(entry.callers, settings.patience, 1000));
        added.readiness =
            http_client::create(io, limits(entry.readiness, seconds{1}, 2));
        nodes_.push_back(std::move(added));
    }
}

void soak_clients::begin_balancer()
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        check_ready(i);
}

void soak_clients::begin()
{
    submit_next();
}

bool soak_clients::any_ready() const
{
    return std::any_of(nodes_.begin(), nodes_.end(),
                       [](const node& one) { return one.missed < missed_out; });
}

std::vector<std::string> soak_clients::open_jobs() const
{
    std::vector<std::string> out;
    for (const auto& [id, open] : open_)
        out.push_back(id + (open.accepted ? " (accepted)" : " (no answer)"));
    return out;
}

void soak_clients::check_ready(std::size_t at)
{
    nodes_[at].readiness->send(
        platform::get_request("/ready"),
        [this, at](const http_result& got)
        {
            auto& node = nodes_[at];
            const bool ready = got.answered && got.response.status == 200;
            node.missed = ready ? 0 : std::min(node.missed + 1, missed_out);
        });
    run_after(io_, ready_interval, [this, at] { check_ready(at); });
}

soak_clients::node& soak_clients::pick()
{
    std::vector<node*> in;
    for (auto& one : nodes_)
    {
        if (one.missed < missed_out)
            in.push_back(&one);
    }
    // When fewer than half are in, all of them are used.
    if (2 * in.size() < nodes_.size())
        return nodes_[random_() % nodes_.size()];
    return *in[random_() % in.size()];
}

soak_job soak_clients::draw_job()
{
    if (settings_.mixed)
        return mixed_job(random_, settings_.kept);
    soak_job job;
    job.id = drawn_id(random_);
    job.kept = uniform(random_) < settings_.kept;
    const auto range = settings_.most_work_ms - settings_.least_work_ms;
    job.work_ms = settings_.least_work_ms +
                  static_cast<unsigned>(random_() % std::max(1U, range));
    job.spec = "work_ms=" + std::to_string(job.work_ms) + ";" + job.id;
    const std::size_t steps = 1 + (random_() % 4 == 0 ? 1 : 0);
    for (std::size_t i = 0; i < steps; ++i)
    {
        soak_step step;
        step.count = 1 + static_cast<std::uint32_t>(random_() % 4);
        step.cpu = 250 * (1 + static_cast<std::uint32_t>(random_() % 4));
        if (i > 0)
            step.after = {static_cast<std::uint32_t>(i - 1)};
        job.steps.push_back(std::move(step));
    }
    return job;
}

void soak_clients::submit_next()
{
    if (!more_)
        return;
    open_job open;
    open.job = draw_job();
    open.body = body_of(open.job);
    open.sent = process_clock().now();
    ++counts_.sent;
    checker_.submitted(open.job);
    const auto id = open.job.id;
    const bool kept = open.job.kept;
    // A kept job's end is seen when it is asked for.
    meter_.sent(id, open.sent,
                timely_bound(open.job) + (kept ? settings_.ask : duration{0}));
    open_.emplace(id, std::move(open));
    submit(id);
    if (!kept)
        cancel_later(id);
    run_after(io_, settings_.between, [this] { submit_next(); });
}

http_request soak_clients::request_of(const std::string& method,
                                      const std::string& id,
                                      std::string body) const
{
    const auto patience =
        std::chrono::duration_cast<milliseconds>(settings_.patience).count();
    return {method,
            settings_.prefix + id,
            {{"Host", settings_.host},
             {"Content-Type", "application/json"},
             {"Glenhollow-Timeout-Ms", std::to_string(patience)}},
            std::move(body)};
}

void soak_clients::submit(const std::string& id)
{
    const auto known = open_.find(id);
    if (known == open_.end())
        return;
    if (known->second.cancelled && !known->second.job.kept)
        return end(id, "cancelled");
    ++counts_.attempts;
    auto request = request_of("POST", id, known->second.body);
    if (settings_.leave > 0 && uniform(random_) < settings_.leave)
    {
        ++counts_.left;
        const auto leaves = drawn_ms(random_, longest_leave_ms);
        return pick().callers->send(std::move(request), leaves,
                                    [this, id](const http_result& got)
                                    {
                                        if (got.answered)
                                            return take_submitted(id, got);
                                        not_answered(id, true);
                                    });
    }
    const auto now = process_clock().now();
    const bool well = now >= well_;
    counts_.calm_calls += well ? 1 : 0;
    pick().callers->send(std::move(request),
                         [this, id, well](const http_result& got)
                         {
                             counts_.calm_held += well && !got.answered ? 1 : 0;
                             take_submitted(id, got);
                         });
}

/// @param leaves Whether its caller left; one in two never comes back.
void soak_clients::not_answered(const std::string& id, bool leaves)
{
    ++counts_.no_answer;
    checker_.unanswered(id);
    const auto known = open_.find(id);
    if (known == open_.end())
        return;
    if (leaves && uniform(random_) < 0.5)
    {
        meter_.left_out(id);
        if (!known->second.accepted)
            return end(id, "left");
        return;
    }
    if (leaves)
        meter_.left_out(id);
    run_after(io_, settings_.retransmit, [this, id] { submit(id); });
}

void soak_clients::cancel_later(const std::string& id)
{
    if (settings_.cancel <= 0 || uniform(random_) >= settings_.cancel)
        return;
    run_after(io_, drawn_ms(random_, longest_cancel_ms),
              [this, id]
              {
                  if (!open_.contains(id))
                      return;
                  ++counts_.cancels;
                  meter_.left_out(id);
                  checker_.cancelling(id);
                  open_.at(id).cancelled = true;
                  cancel(id);
              });
}

/// Sent again until it is answered, also when the job has ended meanwhile.
void soak_clients::cancel(const std::string& id)
{
    pick().callers->send(request_of("DELETE", id, {}),
                         [this, id](const http_result& got)
                         {
                             const auto status = got.response.status;
                             if (got.answered && status / 100 == 2)
                                 return checker_.cancelled(
                                     id, process_clock().now());
                             if (got.answered && status == 410)
                                 return;
                             if (more_ || open_.contains(id))
                                 run_after(io_, settings_.retransmit,
                                           [this, id] { cancel(id); });
                         });
}

void soak_clients::take_submitted(const std::string& id, const http_result& got)
{
    const auto status = got.response.status;
    if (!got.answered || status == 502 || status == 504)
        return not_answered(id, false);
    const auto body = platform::parse_object(got.response.body);
    const auto state = platform::string_field(body, "state");
    checker_.answered(id, status, state, process_clock().now());
    const auto known = open_.find(id);
    if (known == open_.end())
        return;
    if (status == 429 || status == 503)
    {
        ++counts_.refused;
        return end(id, "refused");
    }
    if (status != 200)
    {
        checker_.broken("ANSWER", id + " got " + std::to_string(status) + " " +
                                      got.response.body.substr(0, 200));
        return end(id, "odd");
    }
    if (known->second.job.kept)
        accepted(known->second);
    else
        end(id, state);
}

void soak_clients::accepted(open_job& open)
{
    if (std::exchange(open.accepted, true))
        return;
    const auto id = open.job.id;
    cancel_later(id);
    if (uniform(random_) < settings_.again)
        run_after(io_, again_after, [this, id] { send_again(id); });
    run_after(io_, settings_.ask, [this, id] { ask(id); });
}

/// Its answer may be of any kind; the job is accepted already.
void soak_clients::send_again(const std::string& id)
{
    const auto known = open_.find(id);
    if (known == open_.end() || known->second.cancelled)
        return;
    ++counts_.attempts;
    pick().callers->send(request_of("POST", id, known->second.body),
                         [this, id](const http_result& got)
                         {
                             if (!got.answered)
                                 return checker_.unanswered(id);
                             checker_.answered(id, got.response.status, "",
                                               process_clock().now());
                             if (got.response.status != 200)
                                 tell_("job " + id +
                                       " sent again after its acceptance got " +
                                       std::to_string(got.response.status));
                         });
}

void soak_clients::ask(const std::string& id)
{
    if (!open_.contains(id))
        return;
    const auto asked = process_clock().now();
    pick().callers->send(request_of("GET", id, {}),
                         [this, id, asked](const http_result& got)
                         { take_state(id, asked, got); });
}

void soak_clients::take_state(const std::string& id, instant asked,
                              const http_result& got)
{
    const auto state = platform::string_field(
        platform::parse_object(got.response.body), "state");
    if (got.answered)
        checker_.shown(id, got.response.status, state, asked,
                       process_clock().now());
    if (got.answered && got.response.status == 410)
        tell_("job " + id + " got 410");
    if (got.answered && got.response.status == 200 &&
        (state == "succeeded" || state == "failed" || state == "cancelled"))
        return end(id, state);
    if (got.answered && got.response.status == 410 && open_.contains(id) &&
        open_.at(id).cancelled)
        return end(id, "cancelled");
    run_after(io_, settings_.ask, [this, id] { ask(id); });
}

void soak_clients::end(const std::string& id, const std::string& state)
{
    const auto known = open_.find(id);
    if (known == open_.end())
        return;
    if (state == "succeeded")
    {
        meter_.served(id, process_clock().now());
        ++counts_.succeeded;
        last_served_ = std::max(last_served_, known->second.sent);
    }
    if (state == "failed")
        ++counts_.failed;
    if (state != "succeeded" && state != "cancelled" && state != "left")
        tell_("job " + id + (known->second.job.kept ? " (kept) " : " ") +
              state);
    open_.erase(known);
}

} // namespace glenhollow::soak
