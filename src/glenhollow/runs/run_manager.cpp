#include "glenhollow/runs/run_manager.hpp"

#include "glenhollow/runs/run_manager_timing.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

using namespace manager_timing;

run_manager::run_manager(const clock_source& clock,
                         backend_server_client& server, delay schedule,
                         std::uint64_t fencing_token,
                         const run_manager_settings& settings)
    : clock_(clock), server_(server), schedule_(std::move(schedule)),
      settings_(settings), fencing_token_(fencing_token), pace_(settings.pace),
      breaker_(settings.breaker)
{
    last_answer_ = clock_.running();
}

run_manager::~run_manager()
{
    *alive_ = false;
}

/// The previous process may have renewed the hold just before it ended.
void run_manager::begin()
{
    held_until_ = clock_.running() + with_drift(settings_.hold);
    poll();
}

/// The same in-memory job may be submitted again through another entry and then
/// uses the same run numbers. An end under the earlier entry's lease does not
/// apply to the new run.
bool run_manager::is_ended(const run_ref& ref, lease_id memory)
{
    const auto known = unconfirmed_.ends().find(ref);
    if (known == unconfirmed_.ends().end())
        return false;
    if (!ref.in_memory() || known->second.lease == memory)
        return true;
    const auto end = known->second.end;
    unconfirmed_.confirm(end);
    return false;
}

/// An order that was delayed on its way may arrive after the incarnation for
/// which it was chosen has ended. The next one may lack the label, the room or
/// the service that the run needs.
bool run_manager::is_for_other_incarnation(const run_order& order) const
{
    return order.incarnation_number != 0 &&
           order.incarnation_number != incarnation_number_;
}

/// An order that exceeds the whole capacity would wait for good.
bool run_manager::exceeds_capacity(const run_order& order) const
{
    return !resources{}.can_fit(order.needs, account_.capacity);
}

void run_manager::order(run_order order, lease_id memory)
{
    const auto ref = order.run;
    if (runs_.contains(ref) || is_ended(ref, memory))
        return;
    run_record record;
    record.lease = ref.in_memory() ? memory : implied_lease(ref);
    const bool other_incarnation = is_for_other_incarnation(order);
    const bool refused = draining_ || other_incarnation ||
                         exceeds_capacity(order) ||
                         order.epoch < leases_[record.lease].epoch ||
                         account_.phase != server_phase::ready ||
                         (probing() && !runs_.empty()) ||
                         (runs_.size() >= settings_.max_waiting &&
                          load().waiting >= settings_.max_waiting);
    max_order_cpu_ = std::max(max_order_cpu_, order.needs.cpu);
    record.order = std::move(order);
    record.phase_changed_at = record.ordered_at = clock_.now();
    runs_.emplace(ref, std::move(record));
    stats_.refused_by_leaving += refused && account_.leaves_at ? 1 : 0;
    stats_.refused_by_incarnation += other_incarnation ? 1 : 0;
    if (refused)
        return end_run(ref, run_outcome::not_begun, 0);
    start_waiting();
}

/// The hold may extend beyond the lease of this run, for the runs of other
/// leases. A start late in its lease would let the run continue under that
/// hold.
bool run_manager::may_start(const run_record& run)
{
    const auto& owner = lease_of(run);
    const auto expires_at = lease_expiry(run);
    const bool occupied = used_.cpu > 0 || used_.gpu > 0 || used_.memory > 0;
    return account_.phase == server_phase::ready && !hold_lapsing_ &&
           has_room_for_ends() && !(probing() && occupied) &&
           runs_without_needs_ == 0 && server_clock_.known() &&
           hold_end() > clock_.now() && owner.lease_epoch == owner.epoch &&
           clock_.now() < expires_at &&
           latest_hold() - clock_.running() <=
               expires_at - clock_.now() + settings_.held_past_lease &&
           used_.can_fit(run.order.needs, account_.capacity);
}

/// @return Whether the server can list the ends of all its runs and orders
/// along with the ends that it has to keep.
bool run_manager::has_room_for_ends() const
{
    return unconfirmed_.kept_by_server() + runs_.size() <
           settings_.max_listed_ends;
}

/// Entries must not send work while it cannot start.
void run_manager::check_room_for_ends()
{
    const bool has_room = has_room_for_ends();
    if (std::exchange(had_room_for_ends_, has_room) == has_room)
        return;
    stats_.ends_full += has_room ? 0 : 1;
    notify_load_changed();
    if (has_room)
        start_waiting();
}

void run_manager::start_waiting()
{
    std::vector<run_record*> waiting;
    for (auto& [ref, run] : runs_)
    {
        if (run.phase == run_phase::waiting)
            waiting.push_back(&run);
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const run_record* a, const run_record* b)
              { return a->order.urgency < b->order.urgency; });
    for (auto* run : waiting)
    {
        if (may_start(*run))
            send_start(*run);
    }
}

/// @return The context of orders to the current incarnation, with the end of
/// the hold as deadline.
order_context run_manager::context() const
{
    const auto now = clock_.now();
    return {account_.instance, listed_born_ms_, fencing_token_,
            server_clock_.at(clock_.running(), hold_end() - now)};
}

void run_manager::send_start(run_record& run)
{
    run.phase = run_phase::starting;
    run.phase_changed_at = clock_.now();
    used_.add(run.order.needs);
    held_until_ = std::max(
        held_until_, clock_.running() + with_drift(hold_end() - clock_.now()));
    server_.start({run.order.run, run.order.spec}, context(),
                  [this, alive = alive_, ref = run.order.run,
                   born_ms = listed_born_ms_](const order_result& answer)
                  {
                      if (!*alive)
                          return;
                      update_server_clock(born_ms, answer.clock_ms);
                      start_answered(ref, answer);
                  });
    await_start(run.order.run);
}

/// Updates the estimate of the server's clock, unless the answer is from an
/// incarnation that has ended.
/// @param born_ms Start time of the incarnation that the order was for; 0:
/// unknown.
/// @param clock_ms Server clock in the answer.
void run_manager::update_server_clock(std::int64_t born_ms,
                                      std::int64_t clock_ms)
{
    if (born_ms == listed_born_ms_)
        server_clock_.update(clock_.running(), clock_ms);
}

void run_manager::start_answered(const run_ref& ref, const order_result& answer)
{
    const auto known = runs_.find(ref);
    if (known == runs_.end())
        return;
    auto& run = known->second;
    switch (answer.outcome)
    {
    case order_outcome::done:
        ++stats_.started;
        refusal_backoff_ = {};
        if (run.phase == run_phase::doubtful && run.is_stop_pending)
        {
            // The answer arrived after the stop was sent.
            run.phase = run_phase::stopping;
            return;
        }
        return mark_started(run);
    case order_outcome::unanswered:
        ++stats_.doubtful;
        if (run.phase == run_phase::starting)
            mark_doubtful(run);
        return;
    case order_outcome::fenced:
        raise_token();
        break;
    case order_outcome::unhealthy:
        back_off();
        break;
    default:
        break;
    }
    log_change(log_level::info, "start_refused",
               {{"job", to_text(ref.task.job)},
                {"run", ref.run},
                {"lease", run.lease},
                {"cause", to_name(answer.outcome)}});
    end_run(ref, run_outcome::not_begun, 0);
}

/// The unanswered run may be running, or start until its deadline.
void run_manager::mark_doubtful(run_record& run)
{
    run.phase = run_phase::doubtful;
    run.phase_changed_at = clock_.now();
    run.latest_start =
        clock_.running() + with_drift(settings_.hold) + lapse_margin;
}

/// A server that refuses starts appears to be idle and would attract more of
/// them.
void run_manager::back_off()
{
    if (is_backing_off())
        return;
    refusal_backoff_ =
        std::clamp(refusal_backoff_ * 2, settings_.min_refusal_backoff,
                   settings_.max_refusal_backoff);
    backoff_until_ = clock_.now() + refusal_backoff_;
    set_phase(server_phase::absent);
}

bool run_manager::is_backing_off() const
{
    const auto now = clock_.now();
    return now < backoff_until_ || breaker_.state(now) == breaker_state::open;
}

bool run_manager::probing() const
{
    return breaker_.state(clock_.now()) == breaker_state::probing;
}

/// @param failed Whether the run failed or stalled.
void run_manager::record_health(const run_ref& ref, bool failed)
{
    if (!breaker_.record_end(ref.task.job, failed, clock_.now()))
        return;
    const auto state = breaker_.state(clock_.now());
    log_change(log_level::warning, "breaker_state_changed",
               {{"instance", account_.instance},
                {"state", to_name(state)},
                {"job", to_text(ref.task.job)},
                {"run", ref.run}});
    if (state == breaker_state::open)
        set_phase(server_phase::absent);
    else
        notify_load_changed();
}

/// A healthy server reports progress in steps of at most one hundredth of a
/// task.
duration run_manager::stall_limit(const run_record& run) const
{
    const milliseconds estimate{run.order.estimate_ms};
    if (estimate.count() == 0)
        return settings_.max_stall;
    const auto share =
        std::chrono::duration_cast<duration>(estimate * settings_.stall_share);
    return std::clamp<duration>(share, settings_.min_stall,
                                settings_.max_stall);
}

void run_manager::mark_started(run_record& run)
{
    if (run.phase == run_phase::stopping || run.phase == run_phase::running)
        return;
    run.phase = run_phase::running;
    run.phase_changed_at = clock_.now();
    run.started = run.progressed_at = clock_.running();
    lease_of(run).started.push_back(run.order.run);
    if (listener_ != nullptr)
        listener_->run_started(run.lease);
}

/// The caller of a withdrawn job may resend it to another entry, and the server
/// may carry out the stop late. The run must then end with its hold.
void run_manager::stop(const run_ref& ref)
{
    const auto known = runs_.find(ref);
    if (known != runs_.end() && ref.in_memory() &&
        known->second.hold_limit.count() == 0)
        known->second.hold_limit =
            std::min(lease_end(known->second), clock_.now() + settings_.hold);
    begin_stop(ref);
}

void run_manager::begin_stop(const run_ref& ref)
{
    const auto known = runs_.find(ref);
    if (known == runs_.end())
        return;
    auto& run = known->second;
    if (run.phase == run_phase::waiting)
        return end_run(ref, run_outcome::not_begun, 0);
    if (run.phase != run_phase::doubtful)
        run.phase = run_phase::stopping;
    send_stop(run);
}

void run_manager::send_stop(run_record& run)
{
    constexpr std::uint32_t most_at_once = 3; // Some answers are lost.
    if (run.is_stop_pending && run.stop_attempts >= most_at_once)
        return;
    run.is_stop_pending = true;
    ++run.stop_attempts;
    run.stop_sent = clock_.now();
    server_.stop(run.order.run, context(),
                 [this, alive = alive_, ref = run.order.run,
                  born_ms = listed_born_ms_](const order_result& answer)
                 {
                     if (!*alive)
                         return;
                     update_server_clock(born_ms, answer.clock_ms);
                     stop_answered(ref, answer);
                 });
}

void run_manager::stop_answered(const run_ref& ref, const order_result& answer)
{
    const auto known = runs_.find(ref);
    if (known == runs_.end())
        return;
    auto& run = known->second;
    if (answer.outcome == order_outcome::done ||
        answer.outcome == order_outcome::superseded)
    {
        // The server now refuses a late start of this run.
        run.settled_at = clock_.now();
        if (run.phase == run_phase::doubtful)
            // Only a later poll can show that the run has not started.
            poll_now();
        return;
    }
    if (answer.outcome == order_outcome::fenced)
        raise_token();
    run.is_stop_pending = false;
    run.stop_attempts = 0;
}

void run_manager::size(const run_order& order, lease_id memory)
{
    const auto known = runs_.find(order.run);
    if (known == runs_.end() || known->second.are_needs_known)
        return;
    known->second.are_needs_known = true;
    if (order.run.in_memory())
        known->second.lease = memory;
    known->second.order.submitter = order.submitter;
    known->second.order.needs = order.needs;
    used_.add(order.needs);
    --runs_without_needs_;
    notify_load_changed();
    start_waiting();
}

/// Polls return at once while ends are unconfirmed. As soon as none is left, a
/// poll may wait at the server for the next end.
void run_manager::confirm(const run_end& end)
{
    const bool waited = unconfirmed_.has_unsettled();
    unconfirmed_.confirm(end);
    check_room_for_ends();
    if (waited && !unconfirmed_.has_unsettled() && polled_ && !hold_lapsing_)
        poll();
}

void run_manager::erase_run(const run_ref& ref)
{
    const auto known = runs_.find(ref);
    if (known == runs_.end())
        return;
    if (!known->second.are_needs_known)
        --runs_without_needs_;
    else if (occupies(known->second.phase))
        used_.subtract(known->second.order.needs);
    runs_.erase(known);
}

void run_manager::end_run(const run_ref& ref, run_outcome outcome,
                          std::uint64_t number)
{
    run_end end{ref, outcome, number, 0, true};
    const auto known = runs_.find(ref);
    if (known != runs_.end() && occupies(known->second.phase))
    {
        const auto& run = known->second;
        const auto ended_at =
            run.awaits_end() ? run.unlisted_since : clock_.now();
        const auto ran = ended_at - run.phase_changed_at;
        end.duration_us = static_cast<std::uint32_t>(
            std::chrono::duration_cast<microseconds>(ran).count());
        if (outcome == run_outcome::done)
            record_pace(run);
    }
    const bool occupied = known != runs_.end() && occupies(known->second.phase);
    const bool is_orphaned =
        known != runs_.end() && known->second.orphaned_at.count() != 0;
    const auto lease =
        known != runs_.end() ? known->second.lease : implied_lease(ref);
    erase_run(ref);
    if (!unconfirmed_.add(end, lease, clock_.now()))
        return;
    ++stats_.ends[static_cast<std::size_t>(outcome)];
    if (outcome == run_outcome::not_begun)
        ++stats_.not_begun;
    if (is_orphaned && ref.in_memory())
        // The entry may never claim it.
        unconfirmed_.release(ref);
    if (listener_ != nullptr)
        listener_->lease_changed(lease);
    if (outcome == run_outcome::done || outcome == run_outcome::failed)
        record_health(ref, outcome == run_outcome::failed);
    if (!occupied)
        return;
    notify_load_changed();
    start_waiting();
}

void run_manager::end_all(run_outcome outcome)
{
    std::vector<run_ref> all;
    for (const auto& [ref, run] : runs_)
        all.push_back(ref);
    for (const auto& ref : all)
    {
        const auto known = runs_.find(ref);
        if (known == runs_.end())
            continue;
        const bool waiting = known->second.phase == run_phase::waiting;
        end_run(ref, waiting ? run_outcome::not_begun : outcome, 0);
    }
}

void run_manager::tick()
{
    check_leases();
    check_silence();
    check_runs();
    check_leaving();
    check_room_for_ends();
    start_waiting();
}

void run_manager::check_runs()
{
    const auto now = clock_.now();
    std::vector<run_ref> to_stop;
    std::vector<run_ref> stalled;
    for (auto& [ref, run] : runs_)
    {
        const bool retry = now - run.stop_sent >= stop_retry;
        if (run.phase == run_phase::stopping && run.settled_at.count() == 0 &&
            retry)
            to_stop.push_back(ref);
        if (run.phase == run_phase::doubtful && run.settled_at.count() == 0)
        {
            if (clock_.running() > run.latest_start)
                run.settled_at = now; // Its deadline has passed.
            else if (retry &&
                     now - run.phase_changed_at >= settings_.answer_timeout)
                to_stop.push_back(ref);
        }
        // The time without answered polls does not count as a stall.
        if (run.phase == run_phase::running && !run.awaits_end() &&
            last_answer_ - run.progressed_at > stall_limit(run))
        {
            ++stats_.stalled;
            log_change(log_level::info, "run_stalled",
                       {{"job", to_text(ref.task.job)},
                        {"run", ref.run},
                        {"percent", run.percent}});
            to_stop.push_back(ref);
            stalled.push_back(ref);
        }
    }
    for (const auto& ref : to_stop)
        begin_stop(ref);
    for (const auto& ref : stalled)
        record_health(ref, true);
}

void run_manager::raise_token()
{
    fencing_token_ += token_step;
    log_change(log_level::warning, "fencing_token_raised",
               {{"token", fencing_token_}});
}

void run_manager::set_phase(server_phase phase)
{
    if (account_.phase == phase)
        return;
    log_change(log_level::info, "server_phase",
               {{"instance", account_.instance},
                {"from", to_name(account_.phase)},
                {"to", to_name(phase)}});
    account_.phase = phase;
    if (listener_ != nullptr)
        listener_->phase_changed();
    if (phase != server_phase::ready)
        refuse_all_waiting();
    notify_load_changed();
}

void run_manager::notify_load_changed()
{
    if (listener_ != nullptr)
        listener_->load_changed();
}

server_load run_manager::load() const
{
    const auto now = clock_.now();
    server_load out;
    out.used = used_;
    if (account_.leaves_at)
        out.leaves_in = std::max(duration{0}, *account_.leaves_at - now);
    out.cold = std::max(duration{0}, account_.cold_until - now);
    out.pace = pace_.known() ? pace_.value() : 0;
    for (const auto& [ref, run] : runs_)
    {
        if (run.phase != run_phase::waiting)
            continue;
        out.used.add(run.order.needs);
        ++out.waiting;
    }
    if (runs_without_needs_ > 0 || !polled_ || hold_lapsing_ ||
        !has_room_for_ends())
        out.used = account_.capacity;
    else if (probing())
        out.used.cpu = std::max(out.used.cpu, probing_cpu_used());
    return out;
}

/// The load of a probing server is reported as nearly full, with capacity for
/// one run.
std::uint32_t run_manager::probing_cpu_used() const
{
    const auto all = account_.capacity.cpu;
    const auto spare = std::max(all / 4, std::min(all, max_order_cpu_));
    return runs_.empty() ? all - spare : all;
}

std::vector<run_end> run_manager::take_ends(lease_id lease)
{
    std::vector<run_end> ends;
    for (auto& [ref, entry] : unconfirmed_.ends())
    {
        if (entry.lease == lease && !std::exchange(entry.reported, true))
            ends.push_back(entry.end);
    }
    return ends;
}

std::vector<run_ref> run_manager::take_started(lease_id lease)
{
    return std::exchange(leases_[lease].started, {});
}

} // namespace glenhollow
