#include "glenhollow/hosting/host_link.hpp"

#include "glenhollow/durable/job_wire.hpp"
#include "glenhollow/durable/placement_wire.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <utility>

namespace glenhollow
{

/// An open session with the host.
struct host_link::session
{
    wire::JobHost::Client host; ///< RPC interface of the host.
    /// Group that the host was last sent.
    std::vector<agent_address> sent_group;
    instant check_sent{}; ///< Time at which the last check was sent.
    instant proof_sent{}; ///< Time at which the host was last told that this
                          ///< entry is alive.
    std::uint64_t answer = 1; ///< Number of the last answer; 1: the opening.
    instant answered_at{};    ///< Time at which it was received.
    /// Time at which the pending check was sent; empty if none is pending.
    std::optional<instant> unanswered_since;
    background_tasks calls; ///< Pending calls; cancelled with the session.

    session(wire::JobHost::Client client, instant opened)
        : host(kj::mv(client)), answered_at(opened)
    {
    }

    /// Shows the host that this entry is alive now.
    void prove_alive(wire::LivenessProof::Builder out, instant now)
    {
        out.setAnswer(answer);
        out.setSinceNs((now - answered_at).count());
        proof_sent = now;
    }
};

host_link::host_link(const clock_source& clock, agent_sessions& agents,
                     std::function<void(std::function<void()>)> post,
                     std::string host, const host_link_settings& settings)
    : clock_(clock), agents_(agents), post_(std::move(post)),
      host_(std::move(host)), settings_(settings)
{
}

host_link::~host_link() noexcept
{
    *alive_ = false;
}

void host_link::tick(const std::vector<agent_address>& group, duration interval)
{
    const auto now = clock_.now();
    group_ = group;
    if (is_opening_ && now - opening_started_ > settings_.silence_timeout)
    {
        is_opening_ = false;
        ++session_number_;
        retry_at_ = now + settings_.retry_delay;
    }
    if (!session_ && !is_opening_ && now >= retry_at_)
    {
        const auto session_number = ++session_number_;
        opening_started_ = now;
        is_opening_ = agents_.open_host(
            host_,
            [this, alive = alive_, session_number](wire::JobHost::Client host)
            {
                if (*alive)
                    session_opened(session_number, kj::mv(host));
            });
    }
    if (!session_)
        return;
    if (session_->unanswered_since &&
        now - *session_->unanswered_since > settings_.silence_timeout)
        return end_as_lost("silent");
    if (!agents_.is_attached(host_))
        return end_as_lost("link_down");
    // A host without any reported load is checked more often, as its agents are
    // about to attach.
    constexpr int initial_check_divisor = 4;
    const auto wait =
        load_.by_service.empty() ? interval / initial_check_divisor : interval;
    // The runs of open jobs are leased from the last proof.
    const bool proof_due = !jobs_.empty() && now - session_->proof_sent >=
                                                 settings_.check_interval;
    if (!session_->unanswered_since &&
        (proof_due || now - session_->check_sent >= wait))
        send_check(group);
}

void host_link::session_opened(std::uint64_t session_number,
                               wire::JobHost::Client host)
{
    if (session_number != session_number_)
        return; // The attempt was given up meanwhile.
    is_opening_ = false;
    session_ = std::make_unique<session>(kj::mv(host), clock_.now());
    load_ = {};
    log_change(log_level::info, "job_host_followed", {{"agent", host_}});
    send_check(group_);
}

void host_link::send_check(const std::vector<agent_address>& group)
{
    auto request = session_->host.checkRequest();
    if (session_->sent_group != group)
    {
        auto out = request.initAgents(static_cast<unsigned>(group.size()));
        for (unsigned i = 0; i < out.size(); ++i)
        {
            out[i].setName(group[i].name);
            out[i].setWhere(group[i].where.to_string());
        }
        session_->sent_group = group;
    }
    session_->check_sent = clock_.now();
    session_->unanswered_since = session_->check_sent;
    session_->prove_alive(request.initAlive(), session_->check_sent);
    session_->calls.add(request.send().then(
        [this, session_number = session_number_](auto&& answer)
        {
            if (session_number != session_number_ || !session_)
                return;
            session_->unanswered_since.reset();
            session_->answer = answer.getNumber();
            session_->answered_at = clock_.now();
            update_load(answer.getLoad());
        },
        [this, alive = alive_,
         session_number = session_number_](kj::Exception&&)
        {
            // Queued, since the session must not end inside its own call.
            post_(
                [this, alive, session_number]
                {
                    if (*alive && session_number == session_number_)
                        end_as_lost("session_ended");
                });
        }));
}

void host_link::update_load(wire::HostLoad::Reader load)
{
    load_.by_service.clear();
    for (auto one : load.getLoads())
        load_.by_service[one.getService()] = load_from(one);
    load_.agents = load.getAgents();
    if (load.getStopping() && !load_.stopping)
        log_change(log_level::info, "job_host_stopping", {{"agent", host_}});
    load_.stopping = load.getStopping();
    sent_cores_ = 0;
}

bool host_link::is_responsive() const
{
    return is_open() &&
           (!session_->unanswered_since ||
            clock_.now() - *session_->unanswered_since < settings_.slow_after);
}

bool host_link::is_avoided() const
{
    return load_.stopping || clock_.now() < retry_at_;
}

const placement_load* host_link::load(const std::string& service) const
{
    const auto found = load_.by_service.find(service);
    return found == load_.by_service.end() ? nullptr : &found->second;
}

void host_link::submit(const job_definition& job, bool only_with_room,
                       std::int64_t wall_ms, answer_handler done)
{
    if (!session_)
        return done(std::nullopt);
    auto request = session_->host.submitRequest();
    fill(request.initJob(), job, wall_ms);
    request.setOnlyWithRoom(only_with_room);
    session_->prove_alive(request.initAlive(), clock_.now());
    sent_cores_ += job.peak_cores();
    ++stats_.submitted;
    const auto request_number = ++submission_count_;
    jobs_[job.id] = {request_number, std::move(done)};
    session_->calls.add(request.send().then(
        [this, session_number = session_number_, id = job.id,
         request_number](auto&& answer)
        {
            if (session_number != session_number_)
                return;
            if (answer.hasLoad())
                update_load(answer.getLoad());
            handle_reply(session_number, id, request_number,
                         from_wire(answer.getAnswer()));
        },
        [this, alive = alive_, session_number = session_number_, id = job.id,
         request_number](kj::Exception&&)
        {
            post_(
                [this, alive, session_number, id, request_number]
                {
                    if (*alive)
                        handle_reply(session_number, id, request_number,
                                     std::nullopt);
                });
        }));
}

void host_link::handle_reply(std::uint64_t session_number, job_id id,
                             std::uint64_t submission,
                             const std::optional<job_reply>& reply)
{
    const auto found = jobs_.find(id);
    if (session_number != session_number_ || found == jobs_.end() ||
        found->second.submission != submission)
        return; // The reply is for an earlier session or submission.
    stats_.lost += reply ? 0 : 1;
    const auto done = std::move(found->second.done);
    jobs_.erase(found);
    done(reply);
}

void host_link::withdraw(job_id id)
{
    if (jobs_.erase(id) == 0 || !session_)
        return;
    auto request = session_->host.withdrawRequest();
    request.initJobs(1).set(0, id);
    session_->calls.add(request.send().ignoreResult());
}

void host_link::cancel(job_id id, answer_handler done)
{
    if (!session_)
        return done(std::nullopt);
    auto request = session_->host.cancelRequest();
    request.setJob(id);
    const auto request_number = ++cancel_count_;
    pending_cancels_[request_number] = std::move(done);
    const auto end = [this, alive = alive_,
                      request_number](const std::optional<job_reply>& reply)
    {
        if (!*alive)
            return;
        auto handler = pending_cancels_.extract(request_number);
        if (!handler.empty())
            handler.mapped()(reply);
    };
    session_->calls.add(request.send().then(
        [end](auto&& answer) { end(from_wire(answer.getAnswer())); },
        [end, post = post_](kj::Exception&&)
        { post([end] { end(std::nullopt); }); }));
}

/// Ends the session and replies to all callers with an unknown result. Jobs may
/// still run until the host detects the silence or its leases expire.
void host_link::end_as_lost(std::string_view cause)
{
    log_change(log_level::warning, "job_host_lost",
               {{"agent", host_}, {"cause", cause}, {"jobs", jobs_.size()}});
    retry_at_ = clock_.now() + settings_.retry_delay;
    withdraw_all();
    ++session_number_;
    post_([old = std::shared_ptr<session>(std::move(session_))]() mutable
          { old.reset(); });
    load_ = {};
    sent_cores_ = 0;
    stats_.lost += jobs_.size();
    for (auto& [id, job] : std::exchange(jobs_, {}))
        job.done(std::nullopt);
    for (auto& [request_number, done] : std::exchange(pending_cancels_, {}))
        done(std::nullopt);
}

/// A slow host may still be running; it need not work for callers that have
/// been answered.
void host_link::withdraw_all()
{
    if (!session_ || jobs_.empty())
        return;
    auto request = session_->host.withdrawRequest();
    auto list = request.initJobs(static_cast<unsigned>(jobs_.size()));
    unsigned at = 0;
    for (const auto& [id, job] : jobs_)
        list.set(at++, id);
    session_->calls.add(request.send().ignoreResult());
}

void host_link::close()
{
    ++session_number_;
    session_.reset();
}

} // namespace glenhollow
