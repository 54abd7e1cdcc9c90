#include "glenhollow/runs/run_agent_service.hpp"

#include "glenhollow/core/run_after.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <kj/debug.h>

#include <algorithm>
#include <utility>

namespace glenhollow
{

/// One entry's link.
class run_agent_service::session_server final : public wire::RunSession::Server
{
public:
    session_server(run_agent_service& service, std::uint64_t number)
        : service_(service), number_(number)
    {
    }

    kj::Promise<void> adopt(AdoptContext context) override
    {
        return service_.once_known().then([this, context]() mutable
                                          { return tell_account(context); });
    }

    kj::Promise<void> tell_account(AdoptContext& context)
    {
        const auto part = from_wire(context.getParams().getPart());
        auto* session = service_.find(number_);
        // An empty answer would say that nothing runs here.
        if (session == nullptr)
            return KJ_EXCEPTION(FAILED, "another session has replaced this");
        const lease_id lease =
            part.part == memory_part ? session->memory : part.part;
        const auto known = service_.manager_.adopt(lease, part.epoch);
        auto out = context.getResults();
        out.setDeclined(known.declined);
        auto runs = out.initRuns(static_cast<unsigned>(known.runs.size()));
        for (unsigned i = 0; i < runs.size(); ++i)
            fill(runs[i], known.runs[i]);
        auto ends = out.initEnds(static_cast<unsigned>(known.ends.size()));
        for (unsigned i = 0; i < ends.size(); ++i)
            fill(ends[i], known.ends[i]);
        log_change(log_level::info, "account_told",
                   {{"entry", session->entry},
                    {"lease", lease},
                    {"epoch", part.epoch},
                    {"runs", known.runs.size()},
                    {"ends", known.ends.size()},
                    {"server_seen", service_.manager_.informed()}});
        if (!known.declined)
            service_.adopted(number_, lease);
        return kj::READY_NOW;
    }

    kj::Promise<void> order(OrderContext context) override
    {
        auto* session = service_.find(number_);
        if (session == nullptr)
            return kj::READY_NOW; // Another session has replaced this one.
        ++session->received;
        ++service_.batches_;
        session->marks.room = true;
        auto batch = from_wire(context.getParams().getBatch());
        auto& manager = service_.manager_;
        if (batch.leased_at.count() != 0)
            manager.renew(session->memory, 0,
                          std::min(batch.leased_at, service_.clock_.now()));
        for (const auto& end : batch.confirmed)
            manager.confirm(end);
        for (const auto& size : batch.sizes)
            manager.size(size, session->memory);
        for (const auto& run : batch.stops)
            manager.stop(run);
        for (auto& start : batch.starts)
        {
            service_.note_grant(start);
            manager.order(std::move(start), session->memory);
        }
        service_.ordered(*session);
        return kj::READY_NOW;
    }

    kj::Promise<void> pace(PaceContext context) override
    {
        auto params = context.getParams();
        service_.pace(number_, milliseconds{params.getRoomGapMs()},
                      params.getPlaces());
        return kj::READY_NOW;
    }

private:
    run_agent_service& service_; ///< Outlives its sessions.
    std::uint64_t number_;       ///< Of the session.
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
        out.setSession(kj::heap<session_server>(service_, service_.numbers_));
        out.setIncarnation(service_.incarnation_);
        fill(out.initState(), {service_.manager_.account(),
                               service_.manager_.room(),
                               0,
                               true,
                               {}});
        log_change(
            log_level::info, "entry_attached",
            {{"entry", entry}, {"lease", service_.sessions_.at(entry).memory}});
        return kj::READY_NOW;
    }

    kj::Promise<void> host(HostContext context) override
    {
        if (!service_.open_host_)
            return KJ_EXCEPTION(UNIMPLEMENTED, "this agent hosts no jobs");
        const std::string entry = context.getParams().getEntry();
        context.getResults().setSession(service_.open_host_(entry));
        return kj::READY_NOW;
    }

private:
    run_agent_service& service_; ///< Outlives the server.
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

run_agent_service::session* run_agent_service::find(std::uint64_t number)
{
    const auto known = by_number_.find(number);
    return known == by_number_.end() ? nullptr : known->second;
}

/// An entry attaches, again or with another process: what an ended process
/// had in memory is nobody's.
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
    const auto memory = same ? opened.memory : memory_lease(processes_++);
    by_number_.erase(opened.number);
    opened = {};
    opened.entry = entry;
    opened.incarnation = incarnation;
    opened.memory = memory;
    opened.number = ++numbers_;
    by_number_[opened.number] = &opened;
    opened.reports = kj::mv(reports);
}

std::vector<lease_id> run_agent_service::leases_of(const session& of) const
{
    std::vector<lease_id> leases;
    for (const auto& [lease, owner] : owners_)
    {
        if (owner == of.number)
            leases.push_back(lease);
    }
    return leases;
}

void run_agent_service::adopted(std::uint64_t number, lease_id lease)
{
    owners_[lease] = number;
    auto* owner = find(number);
    if (owner == nullptr)
        return;
    owner->marks.urgent =
        true; // The lease begins with the next confirmed report.
    schedule_now();
}

/// An entry that had nothing here holds no lease any more: the answer to a
/// report renews it, and its runs wait for that.
void run_agent_service::ordered(session& by)
{
    if (manager_.leased(by.memory))
        return schedule_room();
    by.marks.urgent = true;
    schedule_now();
}

/// An entry begins to place, or places no more: it needs the room as it is.
void run_agent_service::pace(std::uint64_t number, duration wished, bool places)
{
    auto* from = find(number);
    if (from == nullptr)
        return;
    from->marks.wished = wished;
    from->marks.places = places;
    from->marks.urgent = true;
    schedule_now();
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
    owner->marks.urgent = true;
    schedule_now();
}

void run_agent_service::run_began(lease_id lease)
{
    // Jobs in memory are counted by the next report, which comes soon: the
    // entry has a run here.
    auto* owner = is_part_lease(lease) ? owner_of(lease) : nullptr;
    if (owner == nullptr)
        return;
    owner->marks.room = true;
    schedule_room();
}

void run_agent_service::room_changed()
{
    tell_waiting();
    for (auto& [entry, one] : sessions_)
        one.marks.room = true;
    schedule_room();
}

/// Entries must not send work to a runner that is left alone.
void run_agent_service::phase_changed()
{
    for (auto& [entry, one] : sessions_)
        one.marks.urgent = true;
    schedule_now();
}

std::size_t run_agent_service::open_sessions() const
{
    return std::count_if(sessions_.begin(), sessions_.end(),
                         [](const auto& one)
                         { return one.second.reports != nullptr; });
}

void run_agent_service::schedule_now()
{
    if (std::exchange(scheduled_, true))
        return;
    run_after(io_, duration{0},
              [this, alive = alive_]
              {
                  if (!*alive)
                      return;
                  scheduled_ = false;
                  flush();
              });
}

/// Its placer counts the room as taken until it hears that the order is here.
void run_agent_service::note_grant(const run_order& order)
{
    if (order.grant == 0)
        return;
    for (auto& [entry, one] : sessions_)
    {
        if (one.incarnation != order.placer)
            continue;
        one.granted.push_back(order.grant);
        one.marks.room = true;
    }
}

duration run_agent_service::next_room_gap() const
{
    const auto open = open_sessions();
    auto gap = pacing_.room_gap(open);
    for (const auto& [entry, one] : sessions_)
    {
        if (one.marks.room && one.reports != nullptr)
            gap = std::min(gap, pacing_.room_gap(one.marks, open));
    }
    return gap;
}

/// One timer serves all that changes within the gap.
void run_agent_service::schedule_room()
{
    if (std::exchange(room_scheduled_, true))
        return;
    run_after(io_, next_room_gap(),
              [this, alive = alive_]
              {
                  if (!*alive)
                      return;
                  room_scheduled_ = false;
                  flush();
                  const bool left =
                      std::any_of(sessions_.begin(), sessions_.end(),
                                  [](const auto& one) {
                                      return one.second.marks.room &&
                                             one.second.reports != nullptr;
                                  });
                  if (left)
                      schedule_room();
              });
}

void run_agent_service::tick()
{
    tell_waiting();
    flush();
}

/// An entry takes what an account does not list for not there, and has it begin
/// elsewhere: none is told before this process knows what runs.
kj::Promise<void> run_agent_service::once_known()
{
    if (manager_.knows_runs())
        return kj::READY_NOW;
    auto wait = kj::newPromiseAndFulfiller<void>();
    waiting_.push_back(kj::mv(wait.fulfiller));
    return kj::mv(wait.promise);
}

void run_agent_service::tell_waiting()
{
    if (waiting_.empty() || !manager_.knows_runs())
        return;
    for (auto& one : std::exchange(waiting_, {}))
        one->fulfill();
}

/// Parts have an owner that must not lose its lease, whether or not they run.
void run_agent_service::mark_busy()
{
    auto leases = manager_.leases_in_use();
    for (const auto& [lease, owner] : owners_)
    {
        if (is_part_lease(lease))
            leases.insert(lease);
    }
    for (auto& [entry, one] : sessions_)
        one.marks.busy = false;
    for (const auto lease : leases)
    {
        if (auto* owner = owner_of(lease))
            owner->marks.busy = true;
    }
}

bool run_agent_service::is_due(const session& to, std::size_t open) const
{
    if (to.reporting || to.reports == nullptr)
        return false;
    return pacing_.is_due(to.marks, open, clock_.now());
}

void run_agent_service::flush()
{
    mark_busy();
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

void run_agent_service::fill_begun(const std::vector<lease_id>& leases,
                                   wire::RunReport::Builder out)
{
    std::vector<run_ref> begun;
    for (const auto lease : leases)
    {
        const auto some = manager_.take_begun(lease);
        begun.insert(begun.end(), some.begin(), some.end());
    }
    auto list = out.initStarted(static_cast<unsigned>(begun.size()));
    for (unsigned i = 0; i < list.size(); ++i)
        fill(list[i], begun[i]);
}

void run_agent_service::report(session& to, std::size_t open)
{
    KJ_IF_MAYBE (reports, to.reports)
    {
        auto request = reports->reportRequest();
        auto out = request.initReport();
        const auto& account = manager_.account();
        const bool whole = to.told_life != account.life();
        fill(out.initState(),
             {account, manager_.room(), to.received, whole, {}});
        const auto leases = leases_of(to);
        fill_ends(leases, out);
        fill_begun(leases, out);
        auto granted =
            out.initGranted(static_cast<unsigned>(to.granted.size()));
        for (unsigned i = 0; i < granted.size(); ++i)
            granted.set(i, to.granted[i]);
        to.granted.clear();
        const auto next = pacing_.heartbeat(to.marks, open);
        out.setNextWithinMs(static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(next).count()));
        const auto sent = clock_.now();
        out.setSentAt(sent.count());
        const auto number = to.number;
        to.reporting = true;
        to.told_life = account.life();
        to.marks.urgent = to.marks.room = false;
        to.marks.reported = sent;
        ++reports_;
        calls_.add(request.send().then(
            [this, number, sent](auto&& answer)
            {
                std::vector<part_epoch> renewed;
                for (auto part : answer.getRenewed())
                    renewed.push_back(from_wire(part));
                for (const auto& end : from_wire(answer.getConfirmed()))
                    manager_.confirm(end);
                hall_told(answer.getEvacuated(), answer.getEvacuatedAt());
                report_answered(number, sent, renewed,
                                milliseconds{answer.getRoomGapMs()},
                                answer.getPlaces());
            },
            [this, number](kj::Exception&&) { report_failed(number); }));
    }
}

void run_agent_service::report_answered(std::uint64_t number, instant sent,
                                        const std::vector<part_epoch>& renewed,
                                        duration wished, bool places)
{
    auto* from = find(number);
    if (from == nullptr)
        return;
    from->reporting = false;
    from->marks.wished = wished;
    from->marks.places = places;
    manager_.renew(from->memory, 0, sent);
    for (const auto& part : renewed)
        manager_.renew(part.part, part.epoch, sent);
    if (from->marks.urgent)
        schedule_now();
    else if (from->marks.room)
        schedule_room();
}

/// Entries learn of evacuations at different times: the newest word counts.
void run_agent_service::hall_told(bool evacuated, std::uint64_t version)
{
    if (version <= hall_version_)
        return;
    hall_version_ = version;
    manager_.evacuate(evacuated);
}

/// The link is gone; its entry attaches and adopts again, and is then told of
/// all ends.
void run_agent_service::report_failed(std::uint64_t number)
{
    auto* from = find(number);
    if (from == nullptr)
        return;
    log_change(log_level::info, "entry_detached", {{"entry", from->entry}});
    from->reports = nullptr;
    from->reporting = false;
}

} // namespace glenhollow
