#include "glenhollow/runs/run_agent_service.hpp"

#include "glenhollow/core/run_after.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <kj/debug.h>

#include <algorithm>
#include <utility>

namespace glenhollow
{

/// The interface of one entry's session.
class run_agent_service::session_server final : public wire::RunSession::Server
{
public:
    session_server(run_agent_service& service, std::uint64_t session_number)
        : service_(service), session_number_(session_number)
    {
    }

    /// Reports carry ends to the holder before its account is sent. A server
    /// that lists only some of its ends lists further ones once the holder has
    /// confirmed these.
    kj::Promise<void> adopt(AdoptContext context) override
    {
        const auto part = from_wire(context.getParams().getPart());
        auto* session = service_.find(session_number_);
        if (session == nullptr)
            return replaced();
        const auto lease = lease_of(*session, part);
        if (service_.manager_.claim(lease, part.epoch))
            service_.handle_adoption(session_number_, lease);
        return service_.when_runs_known().then(
            [this, context]() mutable { return send_account(context); });
    }

    kj::Promise<void> send_account(AdoptContext& context)
    {
        const auto part = from_wire(context.getParams().getPart());
        auto* session = service_.find(session_number_);
        if (session == nullptr)
            return replaced();
        const auto lease = lease_of(*session, part);
        const auto known = service_.manager_.adopt(lease, part.epoch);
        auto out = context.getResults();
        out.setDeclined(known.declined);
        auto runs = out.initRuns(static_cast<unsigned>(known.runs.size()));
        for (unsigned i = 0; i < runs.size(); ++i)
            fill(runs[i], known.runs[i]);
        auto ends = out.initEnds(static_cast<unsigned>(known.ends.size()));
        for (unsigned i = 0; i < ends.size(); ++i)
            fill(ends[i], known.ends[i]);
        log_change(log_level::info, "lease_account_sent",
                   {{"entry", session->entry},
                    {"lease", lease},
                    {"epoch", part.epoch},
                    {"runs", known.runs.size()},
                    {"ends", known.ends.size()},
                    {"server_polled", service_.manager_.is_polled()}});
        return kj::READY_NOW;
    }

    kj::Promise<void> order(OrderContext context) override
    {
        auto* session = service_.find(session_number_);
        // A newer session has replaced this one.
        if (session == nullptr)
            return kj::READY_NOW;
        ++session->received;
        ++service_.batch_count_;
        session->status.load = true;
        auto batch = from_wire(context.getParams().getBatch());
        auto& manager = service_.manager_;
        if (batch.leased_at.count() != 0)
            manager.renew(session->memory, 0,
                          std::min(batch.leased_at, service_.clock_.now()));
        for (const auto& one : batch.submitters)
            manager.renew_submitter(session->memory, one.submitter,
                                    one.leased_at);
        for (const auto& end : batch.confirmed)
            manager.confirm(end);
        for (const auto& size : batch.sizes)
            manager.size(size, session->memory);
        for (const auto& run : batch.stops)
            manager.stop(run);
        for (auto& start : batch.starts)
        {
            service_.record_grant(start);
            manager.order(std::move(start), session->memory);
        }
        service_.handle_orders(*session);
        return kj::READY_NOW;
    }

    kj::Promise<void> pace(PaceContext context) override
    {
        auto params = context.getParams();
        service_.pace(session_number_, milliseconds{params.getRoomGapMs()},
                      params.getPlaces());
        return kj::READY_NOW;
    }

private:
    /// An empty answer would mean that no runs exist.
    static kj::Exception replaced()
    {
        return KJ_EXCEPTION(
            FAILED, "a newer session of the entry has replaced this one");
    }

    static lease_id lease_of(const session& holder, const part_epoch& part)
    {
        return part.part == memory_part ? holder.memory : part.part;
    }

    run_agent_service& service_;
    std::uint64_t session_number_;
};

/// The bootstrap interface.
class run_agent_service::agent_server final : public wire::RunAgent::Server
{
public:
    explicit agent_server(run_agent_service& service) : service_(service) {}

    kj::Promise<void> attach(AttachContext context) override
    {
        auto params = context.getParams();
        const std::string entry = params.getEntry();
        service_.open(entry, params.getIncarnation(), params.getReports());
        auto out = context.getResults();
        out.setSession(
            kj::heap<session_server>(service_, service_.session_count_));
        out.setIncarnation(service_.incarnation_);
        fill(out.initState(), service_.current_state(0, true));
        log_change(
            log_level::info, "entry_attached",
            {{"entry", entry}, {"lease", service_.sessions_.at(entry).memory}});
        return kj::READY_NOW;
    }

    kj::Promise<void> host(HostContext context) override
    {
        if (!service_.job_host_factory_)
            return KJ_EXCEPTION(UNIMPLEMENTED, "this agent does not host jobs");
        const std::string entry = context.getParams().getEntry();
        context.getResults().setSession(service_.job_host_factory_(entry));
        return kj::READY_NOW;
    }

private:
    run_agent_service& service_;
};

run_agent_service::run_agent_service(boost::asio::io_context& io,
                                     const clock_source& clock,
                                     run_manager& manager,
                                     std::uint64_t incarnation,
                                     const report_pacing_settings& settings)
    : io_(io), clock_(clock), manager_(manager), incarnation_(incarnation),
      pacing_(settings)
{
    manager_.listen(this);
}

run_agent_service::~run_agent_service() noexcept
{
    *alive_ = false;
    manager_.listen(nullptr);
}

wire::RunAgent::Client run_agent_service::bootstrap()
{
    return kj::heap<agent_server>(*this);
}

run_agent_service::session*
run_agent_service::find(std::uint64_t session_number)
{
    const auto known = sessions_by_number_.find(session_number);
    return known == sessions_by_number_.end() ? nullptr : known->second;
}

/// Opens a session. If the entry has a new process, the in-memory runs of the
/// old one are expired.
void run_agent_service::open(const std::string& entry,
                             std::uint64_t incarnation,
                             wire::RunReports::Client reports)
{
    auto& opened = sessions_[entry];
    const bool same = opened.incarnation == incarnation;
    if (same)
        manager_.refuse_waiting(opened.memory);
    else if (opened.incarnation != 0)
        manager_.expire(opened.memory);
    const auto memory = same ? opened.memory : memory_lease(process_count_++);
    sessions_by_number_.erase(opened.session_number);
    opened = {};
    opened.entry = entry;
    opened.incarnation = incarnation;
    opened.memory = memory;
    opened.session_number = ++session_count_;
    sessions_by_number_[opened.session_number] = &opened;
    opened.reports = kj::mv(reports);
}

std::vector<lease_id>
run_agent_service::leases_of(const session& owner_session) const
{
    std::vector<lease_id> leases;
    for (const auto& [lease, owner] : owners_)
    {
        if (owner == owner_session.session_number)
            leases.push_back(lease);
    }
    return leases;
}

void run_agent_service::handle_adoption(std::uint64_t session_number,
                                        lease_id lease)
{
    owners_[lease] = session_number;
    auto* owner = find(session_number);
    if (owner == nullptr)
        return;
    // The lease begins with the next answered report.
    owner->status.urgent = true;
    schedule_urgent_report();
}

/// An entry without runs here has no valid lease. Its orders wait for an urgent
/// report, whose answer renews the lease.
void run_agent_service::handle_orders(session& sender)
{
    if (manager_.is_leased(sender.memory))
        return schedule_load_report();
    sender.status.urgent = true;
    schedule_urgent_report();
}

/// An entry starts or stops placing: it needs the current load at once.
void run_agent_service::pace(std::uint64_t session_number,
                             duration requested_interval, bool is_placer)
{
    auto* sender = find(session_number);
    if (sender == nullptr)
        return;
    sender->status.requested_interval = requested_interval;
    sender->status.is_placer = is_placer;
    sender->status.urgent = true;
    schedule_urgent_report();
}

run_agent_service::session* run_agent_service::owner_of(lease_id lease)
{
    const auto known = owners_.find(lease);
    return known == owners_.end() ? nullptr : find(known->second);
}

void run_agent_service::lease_changed(lease_id lease)
{
    auto* owner = owner_of(lease);
    if (owner == nullptr)
        return;
    owner->status.urgent = true;
    schedule_urgent_report();
}

void run_agent_service::run_started(lease_id lease)
{
    // The next regular report counts in-memory runs; it is due soon, because
    // the entry has a run here.
    auto* owner = is_part_lease(lease) ? owner_of(lease) : nullptr;
    if (owner == nullptr)
        return;
    owner->status.load = true;
    schedule_load_report();
}

void run_agent_service::load_changed()
{
    resume_waiting();
    for (auto& [entry, one] : sessions_)
        one.status.load = true;
    schedule_load_report();
}

/// Entries must not send work to a server that accepts none.
void run_agent_service::phase_changed()
{
    for (auto& [entry, one] : sessions_)
        one.status.urgent = true;
    schedule_urgent_report();
}

std::size_t run_agent_service::open_sessions() const
{
    return std::count_if(sessions_.begin(), sessions_.end(),
                         [](const auto& one)
                         { return one.second.reports != nullptr; });
}

void run_agent_service::schedule_urgent_report()
{
    if (std::exchange(urgent_report_scheduled_, true))
        return;
    run_after(io_, duration{0},
              [this, alive = alive_]
              {
                  if (!*alive)
                      return;
                  urgent_report_scheduled_ = false;
                  send_due_reports();
              });
}

/// The placer counts the capacity as taken until it learns that the order has
/// arrived.
void run_agent_service::record_grant(const run_order& order)
{
    if (order.grant == 0)
        return;
    for (auto& [entry, one] : sessions_)
    {
        if (one.incarnation != order.placer)
            continue;
        one.granted.push_back(order.grant);
        one.status.load = true;
    }
}

duration run_agent_service::next_load_interval() const
{
    const auto open = open_sessions();
    auto gap = pacing_.load_interval(open);
    for (const auto& [entry, one] : sessions_)
    {
        if (one.status.load && one.reports != nullptr)
            gap = std::min(gap, pacing_.load_interval(one.status, open));
    }
    return gap;
}

/// Combines all changes within the interval into one report.
void run_agent_service::schedule_load_report()
{
    if (std::exchange(load_report_scheduled_, true))
        return;
    run_after(io_, next_load_interval(),
              [this, alive = alive_]
              {
                  if (!*alive)
                      return;
                  load_report_scheduled_ = false;
                  send_due_reports();
                  const bool left =
                      std::any_of(sessions_.begin(), sessions_.end(),
                                  [](const auto& one) {
                                      return one.second.status.load &&
                                             one.second.reports != nullptr;
                                  });
                  if (left)
                      schedule_load_report();
              });
}

void run_agent_service::tick()
{
    resume_waiting();
    send_due_reports();
}

/// An entry restarts the runs that an account does not list, so no account is
/// sent before the runs are known.
kj::Promise<void> run_agent_service::when_runs_known()
{
    if (manager_.are_runs_known())
        return kj::READY_NOW;
    auto wait = kj::newPromiseAndFulfiller<void>();
    waiting_adoptions_.push_back(kj::mv(wait.fulfiller));
    return kj::mv(wait.promise);
}

void run_agent_service::resume_waiting()
{
    if (waiting_adoptions_.empty() || !manager_.are_runs_known())
        return;
    for (auto& one : std::exchange(waiting_adoptions_, {}))
        one->fulfill();
}

/// Owners of parts count as busy even without runs, because they must keep
/// their leases.
void run_agent_service::update_busy_sessions()
{
    auto leases = manager_.leases_in_use();
    for (const auto& [lease, owner] : owners_)
    {
        if (is_part_lease(lease))
            leases.insert(lease);
    }
    for (auto& [entry, one] : sessions_)
        one.status.busy = false;
    for (const auto lease : leases)
    {
        if (auto* owner = owner_of(lease))
            owner->status.busy = true;
    }
}

bool run_agent_service::is_due(const session& receiver, std::size_t open) const
{
    if (receiver.reporting || receiver.reports == nullptr)
        return false;
    return pacing_.is_due(receiver.status, open, clock_.now());
}

void run_agent_service::send_due_reports()
{
    update_busy_sessions();
    const auto open = open_sessions();
    for (auto& [entry, one] : sessions_)
    {
        if (is_due(one, open))
            report(one, open);
    }
}

void run_agent_service::fill_ends(const std::vector<lease_id>& leases,
                                  wire::RunReport::Builder out)
{
    std::vector<run_end> ends;
    for (const auto lease : leases)
    {
        const auto some = manager_.take_ends(lease);
        ends.insert(ends.end(), some.begin(), some.end());
    }
    auto list = out.initEnds(static_cast<unsigned>(ends.size()));
    for (unsigned i = 0; i < list.size(); ++i)
        fill(list[i], ends[i]);
}

void run_agent_service::fill_started(const std::vector<lease_id>& leases,
                                     wire::RunReport::Builder out)
{
    std::vector<run_ref> started;
    for (const auto lease : leases)
    {
        const auto some = manager_.take_started(lease);
        started.insert(started.end(), some.begin(), some.end());
    }
    auto list = out.initStarted(static_cast<unsigned>(started.size()));
    for (unsigned i = 0; i < list.size(); ++i)
        fill(list[i], started[i]);
}

server_report run_agent_service::current_state(std::uint64_t received,
                                               bool has_account) const
{
    server_report state;
    state.account = manager_.account();
    state.load = manager_.load();
    state.received = received;
    state.has_account = has_account;
    state.incarnation_number = manager_.incarnation_number();
    return state;
}

void run_agent_service::report(session& receiver, std::size_t open)
{
    KJ_IF_MAYBE (reports, receiver.reports)
    {
        auto request = reports->reportRequest();
        auto out = request.initReport();
        const auto& account = manager_.account();
        const auto number = manager_.incarnation_number();
        const bool has_account =
            receiver.reported_incarnation != account.incarnation() ||
            receiver.reported_number != number ||
            receiver.reported_capacity != account.capacity;
        fill(out.initState(), current_state(receiver.received, has_account));
        const auto leases = leases_of(receiver);
        fill_ends(leases, out);
        fill_started(leases, out);
        auto granted =
            out.initGranted(static_cast<unsigned>(receiver.granted.size()));
        for (unsigned i = 0; i < granted.size(); ++i)
            granted.set(i, receiver.granted[i]);
        receiver.granted.clear();
        const auto next = pacing_.heartbeat(receiver.status, open);
        out.setNextWithinMs(static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(next).count()));
        const auto sent = clock_.now();
        out.setSentAt(sent.count());
        const auto session_number = receiver.session_number;
        receiver.reporting = true;
        receiver.reported_incarnation = account.incarnation();
        receiver.reported_number = number;
        receiver.reported_capacity = account.capacity;
        receiver.status.urgent = receiver.status.load = false;
        receiver.status.reported = sent;
        ++report_count_;
        pending_reports_.add(request.send().then(
            [this, session_number, sent](auto&& answer)
            {
                std::vector<part_epoch> renewed;
                for (auto part : answer.getRenewed())
                    renewed.push_back(from_wire(part));
                for (const auto& end : from_wire(answer.getConfirmed()))
                    manager_.confirm(end);
                update_hall(answer.getEvacuated(), answer.getEvacuatedAt());
                handle_report_answer(session_number, sent, renewed,
                                     from_wire(answer.getSubmitters()),
                                     milliseconds{answer.getRoomGapMs()},
                                     answer.getPlaces());
            },
            [this, session_number](kj::Exception&&)
            { handle_report_failure(session_number); }));
    }
}

void run_agent_service::handle_report_answer(
    std::uint64_t session_number, instant sent,
    const std::vector<part_epoch>& renewed,
    const std::vector<submitter_lease>& submitters, duration requested_interval,
    bool is_placer)
{
    auto* sender = find(session_number);
    if (sender == nullptr)
        return;
    sender->reporting = false;
    sender->status.requested_interval = requested_interval;
    sender->status.is_placer = is_placer;
    manager_.renew(sender->memory, 0, sent);
    for (const auto& part : renewed)
        manager_.renew(part.part, part.epoch, sent);
    for (const auto& one : submitters)
        manager_.renew_submitter(sender->memory, one.submitter, one.leased_at);
    if (sender->status.urgent)
        schedule_urgent_report();
    else if (sender->status.load)
        schedule_load_report();
}

/// Entries learn of evacuations at different times; the newest version applies.
void run_agent_service::update_hall(bool evacuated, std::uint64_t version)
{
    if (version <= hall_version_)
        return;
    hall_version_ = version;
    manager_.evacuate(evacuated);
}

/// The link is lost. When the entry attaches and adopts its leases again, it
/// receives all ends.
void run_agent_service::handle_report_failure(std::uint64_t session_number)
{
    auto* sender = find(session_number);
    if (sender == nullptr)
        return;
    log_change(log_level::info, "entry_detached", {{"entry", sender->entry}});
    sender->reports = nullptr;
    sender->reporting = false;
}

} // namespace glenhollow
