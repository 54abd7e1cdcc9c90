#include "glenhollow/hosting/host_link.hpp"

#include "glenhollow/durable/job_wire.hpp"
#include "glenhollow/durable/placement_wire.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <utility>

namespace glenhollow
{

/// An open session.
struct host_link::session
{
    wire::JobHost::Client host;        ///< What is called.
    std::vector<agent_address> told;   ///< The group as the host was told.
    instant checked{};                 ///< The last check left.
    std::optional<instant> unanswered; ///< When the check that is out left.
    background_tasks calls;            ///< Die with the session.

    explicit session(wire::JobHost::Client of) : host(kj::mv(of)) {}
};

host_link::host_link(const clock_source& clock, agent_sessions& agents,
                     std::function<void(std::function<void()>)> later,
                     std::string host, const host_link_settings& settings)
    : clock_(clock), agents_(agents), later_(std::move(later)),
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
    if (opening_ && now - opening_since_ > settings_.silence)
    {
        opening_ = false;
        ++number_;
        avoid_until_ = now + settings_.retry;
    }
    if (!session_ && !opening_ && now >= avoid_until_)
    {
        const auto number = ++number_;
        opening_since_ = now;
        opening_ = agents_.open_host(
            host_,
            [this, alive = alive_, number](wire::JobHost::Client host)
            {
                if (*alive)
                    opened(number, kj::mv(host));
            });
    }
    if (!session_)
        return;
    if (session_->unanswered && now - *session_->unanswered > settings_.silence)
        return lose("silent");
    if (!agents_.is_attached(host_))
        return lose("link_down");
    // A host without any agent yet is about to get them.
    constexpr int hurry = 4;
    const auto wait = load_.by_service.empty() ? interval / hurry : interval;
    if (!session_->unanswered && now - session_->checked >= wait)
        check(group);
}

void host_link::opened(std::uint64_t number, wire::JobHost::Client host)
{
    if (number != number_)
        return; // Given up meanwhile.
    opening_ = false;
    session_ = std::make_unique<session>(kj::mv(host));
    load_ = {};
    log_change(log_level::info, "job_host_followed", {{"agent", host_}});
    check(group_);
}

void host_link::check(const std::vector<agent_address>& group)
{
    auto request = session_->host.checkRequest();
    if (session_->told != group)
    {
        auto out = request.initAgents(static_cast<unsigned>(group.size()));
        for (unsigned i = 0; i < out.size(); ++i)
        {
            out[i].setName(group[i].name);
            out[i].setWhere(group[i].where.to_string());
        }
        session_->told = group;
    }
    session_->checked = clock_.now();
    session_->unanswered = session_->checked;
    session_->calls.add(request.send().then(
        [this, number = number_](auto&& answer)
        {
            if (number != number_ || !session_)
                return;
            session_->unanswered.reset();
            told(answer.getLoad());
        },
        [this, alive = alive_, number = number_](kj::Exception&&)
        {
            // Not from inside the session's own call.
            later_(
                [this, alive, number]
                {
                    if (*alive && number == number_)
                        lose("session_ended");
                });
        }));
}

void host_link::told(wire::HostLoad::Reader load)
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

bool host_link::prompt() const
{
    return open() && (!session_->unanswered ||
                      clock_.now() - *session_->unanswered < settings_.slow);
}

bool host_link::avoided() const
{
    return load_.stopping || clock_.now() < avoid_until_;
}

const placement_load* host_link::load(const std::string& service) const
{
    const auto known = load_.by_service.find(service);
    return known == load_.by_service.end() ? nullptr : &known->second;
}

void host_link::submit(const job_definition& job, bool only_with_room,
                       std::int64_t wall_ms, answer_handler done)
{
    if (!session_)
        return done(std::nullopt);
    auto request = session_->host.submitRequest();
    fill(request.initJob(), job, wall_ms);
    request.setOnlyWithRoom(only_with_room);
    sent_cores_ += job.widest_cores();
    ++stats_.handed;
    const auto mine = ++submissions_;
    jobs_[job.id] = {mine, std::move(done)};
    session_->calls.add(request.send().then(
        [this, number = number_, id = job.id, mine](auto&& answer)
        {
            if (number != number_)
                return;
            if (answer.hasLoad())
                told(answer.getLoad());
            answered(number, id, mine, from_wire(answer.getAnswer()));
        },
        [this, alive = alive_, number = number_, id = job.id,
         mine](kj::Exception&&)
        {
            later_(
                [this, alive, number, id, mine]
                {
                    if (*alive)
                        answered(number, id, mine, std::nullopt);
                });
        }));
}

void host_link::answered(std::uint64_t number, job_id id,
                         std::uint64_t submission,
                         const std::optional<job_reply>& reply)
{
    const auto known = jobs_.find(id);
    if (number != number_ || known == jobs_.end() ||
        known->second.submission != submission)
        return; // It came again meanwhile.
    stats_.lost += reply ? 0 : 1;
    const auto done = std::move(known->second.done);
    jobs_.erase(known);
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
    const auto mine = ++cancel_numbers_;
    cancels_[mine] = std::move(done);
    const auto end =
        [this, alive = alive_, mine](const std::optional<job_reply>& reply)
    {
        if (!*alive)
            return;
        auto one = cancels_.extract(mine);
        if (!one.empty())
            one.mapped()(reply);
    };
    session_->calls.add(request.send().then(
        [end](auto&& answer) { end(from_wire(answer.getAnswer())); },
        [end, later = later_](kj::Exception&&)
        { later([end] { end(std::nullopt); }); }));
}

/// Nothing is known of what the host did: its jobs may have run, and run no
/// more once it has noticed the same silence or its leases have run out.
void host_link::lose(std::string_view cause)
{
    log_change(log_level::warning, "job_host_lost",
               {{"agent", host_}, {"cause", cause}, {"jobs", jobs_.size()}});
    avoid_until_ = clock_.now() + settings_.retry;
    withdraw_all();
    ++number_;
    later_([old = std::shared_ptr<session>(std::move(session_))]() mutable
           { old.reset(); });
    load_ = {};
    sent_cores_ = 0;
    stats_.lost += jobs_.size();
    for (auto& [id, open] : std::exchange(jobs_, {}))
        open.done(std::nullopt);
    for (auto& [number, done] : std::exchange(cancels_, {}))
        done(std::nullopt);
}

/// One that is slow, not dead, need not work for callers who were told.
void host_link::withdraw_all()
{
    if (!session_ || jobs_.empty())
        return;
    auto request = session_->host.withdrawRequest();
    auto list = request.initJobs(static_cast<unsigned>(jobs_.size()));
    unsigned at = 0;
    for (const auto& [id, open] : jobs_)
        list.set(at++, id);
    session_->calls.add(request.send().ignoreResult());
}

void host_link::close()
{
    ++number_;
    session_.reset();
}

} // namespace glenhollow
