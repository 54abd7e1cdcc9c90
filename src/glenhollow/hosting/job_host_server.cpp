#include "glenhollow/hosting/job_host_server.hpp"

#include "glenhollow/core/wire_bounds.hpp"
#include "glenhollow/durable/job_wire.hpp"
#include "glenhollow/durable/queue_catalog.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <kj/debug.h>

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

std::int64_t wall_milliseconds()
{
    return wall_nanoseconds() / 1'000'000;
}

liveness_proof proof_from(wire::LivenessProof::Reader in)
{
    return {in.getAnswer(), told_instant(in.getSinceNs())};
}

} // namespace

void fill(wire::HostLoad::Builder out, const job_host& host)
{
    const auto loads = host.loads();
    auto list = out.initLoads(static_cast<unsigned>(loads.size()));
    unsigned at = 0;
    for (const auto& [service, load] : loads)
    {
        auto one = list[at++];
        one.setService(service);
        one.setReadyCores(load.ready_cores);
        one.setFreeCores(load.free_cores);
        one.setWaitingWork(load.waiting_work);
    }
    out.setAgents(static_cast<std::uint32_t>(host.attached()));
    out.setStopping(host.refusing());
}

/// RPC interface of one entry's session. The session ends with the connection.
class job_host_server::session_server final : public wire::JobHost::Server
{
public:
    session_server(job_host_server& server, session_number number)
        : server_(server), alive_(server.alive_), number_(number)
    {
    }

    ~session_server() noexcept
    {
        if (*alive_)
            server_.end(number_, "closed");
    }

    kj::Promise<void> submit(SubmitContext context) override
    {
        const auto job =
            from_wire(context.getParams().getJob(), wall_milliseconds());
        auto* caller = refresh_session(context.getParams().getAlive());
        if (const auto valid = check_job_definition(job); !valid)
        {
            log_change(
                log_level::error, "handed_job_invalid",
                {{"job", to_text(job.id)}, {"cause", valid.error().text}});
            fill(context.getResults().initAnswer(),
                 job_reply{job_outcome::not_owner, job_state::queued, {}});
            return kj::READY_NOW;
        }
        if (caller == nullptr || server_.host_.paused())
        {
            // The same job may have arrived through another session.
            const bool is_known = *alive_ && server_.host_.knows(job.id);
            fill(context.getResults().initAnswer(),
                 job_reply{is_known ? job_outcome::unknown
                                    : job_outcome::not_owner,
                           job_state::queued,
                           {}});
            return kj::READY_NOW;
        }
        if (context.getParams().getOnlyWithRoom() &&
            !server_.host_.knows(job.id) && !server_.host_.has_room(job))
        {
            auto out = context.getResults();
            fill(out.initAnswer(),
                 job_reply{job_outcome::not_owner, job_state::queued, {}});
            fill(out.initLoad(), server_.host_);
            return kj::READY_NOW;
        }
        server_.record_job(number_, job.id);
        auto paf = kj::newPromiseAndFulfiller<job_reply>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<job_reply>>>(
                kj::mv(paf.fulfiller));
        server_.host_.submit(job, number_,
                             [fulfiller](const job_reply& reply)
                             { (*fulfiller)->fulfill(job_reply(reply)); });
        return paf.promise.then(
            [this, alive = alive_, id = job.id,
             context](const job_reply& reply) mutable
            {
                auto out = context.getResults();
                fill(out.initAnswer(), reply);
                if (!*alive)
                    return;
                server_.release(number_, id);
                fill(out.initLoad(), server_.host_);
            });
    }

    kj::Promise<void> withdraw(WithdrawContext context) override
    {
        if (refresh_session() == nullptr)
            return kj::READY_NOW;
        for (const auto job : context.getParams().getJobs())
        {
            server_.release(number_, job);
            server_.withdraw_if_unclaimed(job);
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        if (refresh_session() == nullptr)
        {
            fill(context.getResults().initAnswer(), job_reply{});
            return kj::READY_NOW;
        }
        auto paf = kj::newPromiseAndFulfiller<job_reply>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<job_reply>>>(
                kj::mv(paf.fulfiller));
        server_.host_.cancel(context.getParams().getJob(),
                             [fulfiller](const job_reply& reply)
                             { (*fulfiller)->fulfill(job_reply(reply)); });
        return paf.promise.then(
            [context](const job_reply& reply) mutable
            { fill(context.getResults().initAnswer(), reply); });
    }

    kj::Promise<void> check(CheckContext context) override
    {
        auto* caller = refresh_session(context.getParams().getAlive());
        if (caller == nullptr)
            return KJ_EXCEPTION(DISCONNECTED, "the session has ended");
        std::vector<agent_address> agents;
        for (auto one : context.getParams().getAgents())
        {
            auto where =
                host_port::parse(std::string_view(one.getWhere().cStr()));
            if (where)
                agents.push_back({one.getName(), std::move(where.value())});
        }
        if (!agents.empty() && agents != caller->agents)
        {
            caller->agents = std::move(agents);
            server_.merge_groups();
        }
        auto out = context.getResults();
        fill(out.initLoad(), server_.host_);
        out.setNumber(caller->liveness.record_answer(server_.clock_.now()));
        return kj::READY_NOW;
    }

private:
    /// Records a call of the entry that proves when it was alive.
    /// @return The session, or null if it has ended.
    session* refresh_session(wire::LivenessProof::Reader proof)
    {
        auto* caller = refresh_session();
        if (caller != nullptr)
            server_.record_message(number_, proof_from(proof));
        return caller;
    }

    /// Records a call of the entry.
    /// @return The session, or null if it has ended.
    session* refresh_session()
    {
        auto* caller = *alive_ ? server_.find(number_) : nullptr;
        if (caller == nullptr)
            return nullptr;
        const auto now = server_.clock_.now();
        // A call that was delayed past the timeout does not show that the entry
        // is alive.
        if (now - caller->last_call > server_.settings_.silence_timeout)
        {
            server_.end(number_, "silent");
            return nullptr;
        }
        caller->last_call = now;
        return caller;
    }

    job_host_server& server_;     ///< Not used after its destruction.
    std::shared_ptr<bool> alive_; ///< False once the server is destroyed.
    session_number number_;       ///< Number of the session.
};

job_host_server::job_host_server(const clock_source& clock, job_host& host,
                                 const job_host_server_settings& settings)
    : clock_(clock), host_(host), settings_(settings)
{
}

job_host_server::~job_host_server() noexcept
{
    *alive_ = false;
}

wire::JobHost::Client job_host_server::open(const std::string& entry)
{
    for (auto at = sessions_.begin(); at != sessions_.end();)
    {
        const auto current = at++;
        if (current->second.entry == entry)
            end(current->first, "replaced");
    }
    const auto number = ++session_count_;
    const auto now = clock_.now();
    sessions_.insert(
        {number, {entry, now, liveness_evidence(now), {}, {}, {}}});
    log_change(log_level::info, "host_session_opened", {{"entry", entry}});
    return kj::heap<session_server>(*this, number);
}

job_host_server::session* job_host_server::find(session_number number)
{
    const auto found = sessions_.find(number);
    return found == sessions_.end() ? nullptr : &found->second;
}

void job_host_server::record_message(session_number number,
                                     const liveness_proof& proof)
{
    auto& caller = sessions_.at(number);
    caller.liveness.record_message(proof, clock_.now());
    update_submitter(number, caller);
}

void job_host_server::record_job(session_number number, job_id job)
{
    auto& caller = sessions_.at(number);
    caller.jobs.insert(job);
    caller.last_job = clock_.now();
    update_submitter(number, caller);
}

/// Only entries with runs need leases. The runs of a job may keep the lease of
/// an entry that no longer awaits it, while another entry does.
void job_host_server::update_submitter(session_number number,
                                       const session& caller)
{
    constexpr duration retention = seconds{10};
    if (!caller.jobs.empty() || clock_.now() - caller.last_job < retention)
        host_.record_alive(number, caller.liveness.alive_at());
    else
        host_.forget_submitter(number);
}

/// Withdraws a job unless another session awaits it as well.
void job_host_server::withdraw_if_unclaimed(job_id job)
{
    const auto claimed = std::find_if(
        sessions_.begin(), sessions_.end(),
        [job](const auto& one) { return one.second.jobs.contains(job); });
    if (claimed == sessions_.end())
        host_.withdraw(job);
    else
        host_.set_submitter(job, claimed->first);
}

void job_host_server::end(session_number number, std::string_view cause)
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end())
        return;
    const auto ended = std::move(found->second);
    sessions_.erase(found);
    host_.forget_submitter(number);
    log_change(log_level::info, "host_session_ended",
               {{"entry", ended.entry},
                {"cause", cause},
                {"jobs", ended.jobs.size()}});
    for (const auto job : ended.jobs)
        withdraw_if_unclaimed(job);
    merge_groups();
}

void job_host_server::release(session_number number, job_id job)
{
    auto* open_session = find(number);
    if (open_session == nullptr)
        return;
    open_session->jobs.erase(job);
    open_session->last_job = clock_.now();
}

/// Sets the host's group to the union of the groups that entries sent, as
/// entries may know different members for a while.
void job_host_server::merge_groups()
{
    std::map<std::string, host_port> all;
    for (const auto& [number, one] : sessions_)
    {
        for (const auto& agent : one.agents)
            all[agent.name] = agent.where;
    }
    std::vector<agent_address> agents;
    for (const auto& [name, where] : all)
        agents.push_back({name, where});
    host_.set_group(agents);
}

void job_host_server::tick()
{
    const auto now = clock_.now();
    std::vector<session_number> silent;
    for (const auto& [number, one] : sessions_)
    {
        if (now - one.last_call > settings_.silence_timeout)
            silent.push_back(number);
    }
    for (const auto number : silent)
        end(number, "silent");
}

} // namespace glenhollow
