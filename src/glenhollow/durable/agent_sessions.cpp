#include "glenhollow/durable/agent_sessions.hpp"

#include "glenhollow/core/wire_bounds.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <utility>

namespace glenhollow
{

/// The session with one agent.
struct agent_sessions::session
{
    std::string agent;
    std::unique_ptr<rpc_link> link;
    kj::Maybe<wire::RunSession::Client> orders; ///< Session at the agent while
                                                ///< attached.
    /// Interface of the agent while connected.
    kj::Maybe<wire::RunAgent::Client> agent_interface;
    std::uint64_t number = 0;  ///< Number of the session, increasing.
    bool attached = false;     ///< Whether the session is open.
    instant silent_since{};    ///< Time from which the agent counts as silent.
    agent_clock clock;         ///< Lower bound of the agent's clock.
    std::uint64_t process = 0; ///< Incarnation of the agent's process; 0: never
                               ///< attached.
    std::uint64_t accounted_process = 0; ///< Process that last listed its runs
                                         ///< of this entry's jobs in memory.
    instant down_since{}; ///< Time at which the last session ended.
    /// Leases of submitters that the agent was sent, by this process's clock.
    std::map<submitter_id, instant> sent_leases;
};

namespace
{

/// The maximum gap between sessions over which an account can be complete.
/// Agents discard ends that were not requested for 10 s (see
/// run_manager_settings).
constexpr duration max_session_gap = seconds{5};

/// Minimum time by which a submitter's lease advances before it is sent again;
/// small against its length.
constexpr duration min_lease_advance = milliseconds{100};

} // namespace

/// Receives the reports of an agent.
class agent_sessions::report_server final : public wire::RunReports::Server
{
public:
    report_server(agent_sessions& sessions, std::string agent,
                  std::uint64_t number)
        : sessions_(sessions), agent_(std::move(agent)), number_(number)
    {
    }

    kj::Promise<void> report(ReportContext context) override
    {
        sessions_.on_report(agent_, number_, context.getParams().getReport());
        const auto owned = sessions_.listener_.renewed_parts();
        auto results = context.getResults();
        results.setRoomGapMs(sessions_.room_report_interval_ms(agent_));
        results.setPlaces(sessions_.listener_.places_for_others(agent_));
        const auto hall = sessions_.listener_.evacuation_of(agent_);
        results.setEvacuated(hall.evacuated);
        results.setEvacuatedAt(hall.version);
        auto renewed = results.initRenewed(static_cast<unsigned>(owned.size()));
        for (unsigned i = 0; i < renewed.size(); ++i)
            fill(renewed[i], owned[i]);
        fill_submitters(results);
        const auto ends = sessions_.listener_.take_confirmed(agent_);
        fill(results.initConfirmed(static_cast<unsigned>(ends.size())), ends);
        return kj::READY_NOW;
    }

private:
    void fill_submitters(wire::RunReports::ReportResults::Builder results)
    {
        const auto known = sessions_.sessions_.find(agent_);
        if (known == sessions_.sessions_.end() ||
            known->second->number != number_)
            return;
        const auto due = sessions_.due_submitter_leases(*known->second);
        fill(results.initSubmitters(static_cast<unsigned>(due.size())), due);
    }

    agent_sessions& sessions_; ///< Must outlive the connection.
    std::string agent_;        ///< Name of the agent.
    std::uint64_t number_;     ///< Number of the session.
};

agent_sessions::agent_sessions(boost::asio::io_context& io,
                               const clock_source& clock,
                               agent_session_listener& listener,
                               const agent_sessions_settings& settings)
    : io_(io), clock_(clock), listener_(listener), settings_(settings)
{
}

agent_sessions::~agent_sessions() noexcept = default;

void agent_sessions::close()
{
    sessions_.clear();
}

void agent_sessions::add(const std::string& agent, const host_port& where)
{
    auto& one = sessions_[agent];
    if (one && one->link->where() == where)
        return;
    if (one && one->attached)
        listener_.agent_detached(agent);
    one = std::make_unique<session>();
    one->agent = agent;
    one->link = std::make_unique<rpc_link>(
        io_, clock_, where, settings_.link,
        [this, agent](capnp::Capability::Client server)
        { connected(agent, server.castAs<wire::RunAgent>()); },
        [this, agent] { disconnected(agent); });
    one->link->tick();
}

void agent_sessions::remove(const std::string& agent)
{
    const auto known = sessions_.find(agent);
    if (known == sessions_.end())
        return;
    if (known->second->attached)
        listener_.agent_detached(agent);
    sessions_.erase(known);
}

void agent_sessions::connected(const std::string& agent,
                               wire::RunAgent::Client interface)
{
    auto& to = *sessions_.at(agent);
    to.number = ++last_number_;
    to.clock.reset();
    to.sent_leases.clear();
    to.silent_since =
        clock_.now() + settings_.attach_timeout - settings_.silence;
    auto request = interface.attachRequest();
    to.agent_interface = kj::mv(interface);
    request.setEntry(settings_.entry);
    request.setIncarnation(settings_.incarnation);
    request.setReports(kj::heap<report_server>(*this, agent, to.number));
    to.link->add(request.send().then(
        [this, agent, number = to.number](auto&& answer)
        {
            const auto known = sessions_.find(agent);
            if (known == sessions_.end() || known->second->number != number)
                return;
            known->second->process = answer.getIncarnation();
            attached(*known->second, answer.getSession(),
                     from_wire(answer.getState()));
        },
        [](kj::Exception&&) {}));
}

void agent_sessions::attached(session& to, wire::RunSession::Client opened,
                              const server_report& report)
{
    to.orders = kj::mv(opened);
    to.attached = true;
    to.silent_since = clock_.now();
    log_change(log_level::info, "agent_attached",
               {{"agent", to.agent},
                {"runner", report.account.instance},
                {"phase", to_name(report.account.phase)}});
    listener_.agent_attached(to.agent, report);
    for (const auto& part : listener_.owned_parts())
        adopt_at(to, part);
}

void agent_sessions::disconnected(const std::string& agent)
{
    const auto known = sessions_.find(agent);
    if (known == sessions_.end())
        return;
    auto& ended = *known->second;
    ended.orders = nullptr;
    ended.agent_interface = nullptr;
    if (!std::exchange(ended.attached, false))
        return;
    // Counts from the agent's last report, since this process may have been
    // paused.
    ended.down_since = std::min(clock_.now(), ended.silent_since);
    log_change(log_level::warning, "agent_detached", {{"agent", agent}});
    listener_.agent_detached(agent);
}

/// @return Whether this account and the agent's reports since its last one
/// cover all its runs: the process is the same and the gap was short.
bool agent_sessions::is_account_complete(session& by)
{
    const bool same =
        std::exchange(by.accounted_process, by.process) == by.process &&
        by.process != 0;
    return same && clock_.now() - by.down_since < max_session_gap;
}

void agent_sessions::adopt(part_epoch part)
{
    for (auto& [agent, one] : sessions_)
    {
        if (one->attached)
            adopt_at(*one, part);
    }
}

void agent_sessions::adopt_at(session& at, part_epoch part)
{
    KJ_IF_MAYBE (orders, at.orders)
    {
        auto request = orders->adoptRequest();
        fill(request.initPart(), part);
        at.link->add(request.send().then(
            [this, agent = at.agent, number = at.number, part](auto&& answer)
            {
                lease_account account;
                account.declined = answer.getDeclined();
                const auto from = sessions_.find(agent);
                if (part.part == memory_part && from != sessions_.end() &&
                    from->second->number == number)
                    account.complete = is_account_complete(*from->second);
                for (auto run : answer.getRuns())
                    account.runs.push_back(from_wire(run));
                for (auto end : answer.getEnds())
                    account.ends.push_back(from_wire(end));
                listener_.agent_adopted(agent, part, account);
            },
            [](kj::Exception&&) {}));
    }
}

void agent_sessions::on_report(const std::string& agent, std::uint64_t number,
                               wire::RunReport::Reader report)
{
    const auto known = sessions_.find(agent);
    if (known == sessions_.end() || known->second->number != number)
        return;
    std::vector<run_end> ends;
    for (auto end : report.getEnds())
        ends.push_back(from_wire(end));
    std::vector<run_ref> begun;
    for (auto run : report.getStarted())
        begun.push_back(from_wire(run));
    auto state = from_wire(report.getState());
    for (auto grant : report.getGranted())
        state.granted.push_back(grant);
    state.next_within = milliseconds{report.getNextWithinMs()};
    known->second->clock.on_report(told_instant(report.getSentAt()),
                                   clock_.now());
    known->second->silent_since =
        glenhollow::silent_since(clock_.now(), state.next_within);
    listener_.agent_reported(agent, state, ends, begun);
}

void agent_sessions::send(const std::string& agent, order_batch batch)
{
    const auto known = sessions_.find(agent);
    if (known == sessions_.end())
        return;
    KJ_IF_MAYBE (orders, known->second->orders)
    {
        auto& since = known->second->silent_since;
        since = std::min(since, clock_.now());
        listener_.agent_ordered(agent);
        // The lease counts from no later than the agent's silence, so that runs
        // under it have ended when a silent agent is given up.
        if (!batch.starts.empty())
            batch.leased_at =
                known->second->clock.at(since).value_or(instant{});
        if (!batch.starts.empty() || !batch.sizes.empty())
            batch.submitters = due_submitter_leases(*known->second);
        auto request = orders->orderRequest();
        fill(request.initBatch(), batch);
        known->second->link->add(
            request.send().then([](auto&&) {}, [](kj::Exception&&) {}));
    }
}

std::uint32_t
agent_sessions::room_report_interval_ms(const std::string& agent) const
{
    const auto gap = listener_.room_report_interval(agent, attached_count_);
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(gap).count());
}

/// @return The leases of submitters, by the agent's clock, that have advanced
/// since they were sent.
std::vector<submitter_lease> agent_sessions::due_submitter_leases(session& to)
{
    const auto leases = listener_.submitters();
    // Drops those of ended submitters from time to time.
    if (to.sent_leases.size() > 2 * leases.size())
        to.sent_leases.clear();
    std::vector<submitter_lease> due;
    for (const auto& one : leases)
    {
        auto& sent = to.sent_leases[one.submitter];
        const auto at_agent = to.clock.at(one.leased_at);
        if (!at_agent || one.leased_at - sent < min_lease_advance)
            continue;
        sent = one.leased_at;
        due.push_back({one.submitter, *at_agent});
    }
    return due;
}

void agent_sessions::send_report_pacing()
{
    for (auto& [agent, one] : sessions_)
    {
        if (!listener_.places_at(agent))
            continue; // The answer to its next report carries the pacing.
        KJ_IF_MAYBE (orders, one->orders)
        {
            auto request = orders->paceRequest();
            request.setRoomGapMs(room_report_interval_ms(agent));
            request.setPlaces(listener_.places_for_others(agent));
            one->link->add(
                request.send().then([](auto&&) {}, [](kj::Exception&&) {}));
        }
    }
}

void agent_sessions::tick()
{
    std::vector<rpc_link*> silent;
    attached_count_ = 0;
    for (auto& [agent, one] : sessions_)
    {
        one->link->tick();
        attached_count_ += one->attached ? 1 : 0;
        if (one->link->up() &&
            clock_.now() - one->silent_since > settings_.silence)
            silent.push_back(one->link.get());
    }
    for (auto* link : silent)
        link->drop();
}

bool agent_sessions::is_attached(const std::string& agent) const
{
    const auto known = sessions_.find(agent);
    return known != sessions_.end() && known->second->attached;
}

bool agent_sessions::open_host(const std::string& agent, host_handler done)
{
    const auto known = sessions_.find(agent);
    if (known == sessions_.end() || !known->second->attached)
        return false;
    KJ_IF_MAYBE (interface, known->second->agent_interface)
    {
        auto request = interface->hostRequest();
        request.setEntry(settings_.entry);
        known->second->link->add(
            request.send().then([done = std::move(done)](auto&& answer)
                                { done(answer.getSession()); },
                                [](kj::Exception&&) {}));
        return true;
    }
    return false;
}

} // namespace glenhollow
