#include "glenhollow/runs/run_manager.hpp"

#include "glenhollow/runs/run_manager_timing.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

using namespace manager_timing;

run_manager::run_manager(const clock_source& clock, runner_port& runner,
                         delay later, std::uint64_t fencing_token,
                         const run_manager_settings& settings)
    : clock_(clock), runner_(runner), later_(std::move(later)),
      settings_(settings), token_(fencing_token), pace_(settings.pace),
      breaker_(settings.breaker)
{
    answered_ = clock_.running();
}

run_manager::~run_manager()
{
    *alive_ = false;
}

/// The process before may have renewed the hold until a moment ago.
void run_manager::begin()
{
    held_until_ = clock_.running() + with_drift(settings_.hold);
    look();
}

/// The same job may come over another entry, whose runs have the same numbers:
/// the end of one that was ordered by an entry of before must not swallow it.
bool run_manager::is_ended(const run_ref& ref, lease_id memory)
{
    const auto known = ledger_.ends().find(ref);
    if (known == ledger_.ends().end())
        return false;
    if (!ref.in_memory() || known->second.lease == memory)
        return true;
    const auto end = known->second.end;
    ledger_.confirm(end);
    return false;
}

void run_manager::order(run_order order, lease_id memory)
{
    const auto ref = order.run;
    if (runs_.contains(ref) || is_ended(ref, memory))
        return;
    run_record record;
    record.lease = ref.in_memory() ? memory : found_lease(ref);
    const bool refused = draining_ ||
                         order.epoch < leases_[record.lease].epoch ||
                         account_.phase != runner_phase::ready ||
                         (probing() && !runs_.empty()) ||
                         (runs_.size() >= settings_.waiting_limit &&
                          room().waiting >= settings_.waiting_limit);
    largest_cpu_ = std::max(largest_cpu_, order.needs.cpu);
    record.order = std::move(order);
    record.changed = record.ordered = clock_.now();
    runs_.emplace(ref, std::move(record));
    stats_.refused_leaving += refused && account_.leaves ? 1 : 0;
    if (refused)
        return end_run(ref, run_outcome::not_begun, 0);
    start_waiting();
}

/// The server may have been told to go on for longer than the lease lasts, for
/// the runs of others: one that begins late in its lease would go on with them.
bool run_manager::may_start(const run_record& run)
{
    // A lease of 0.8 s and this end before a caller's wait of 1.3 s, by clocks
    // that differ by a fiftieth.
    constexpr duration held_past_lease = milliseconds{450};
    const auto& owner = lease_of(run);
    const bool occupied = used_.cpu > 0 || used_.gpu > 0 || used_.memory > 0;
    return account_.phase == runner_phase::ready && !lapsing_ &&
           !(probing() && occupied) && unsized_ == 0 && runner_clock_.known() &&
           hold_end() > clock_.now() && owner.lease_epoch == owner.epoch &&
           clock_.now() < owner.until &&
           latest_hold() - clock_.running() <=
               owner.until - clock_.now() + held_past_lease &&
           used_.can_fit(run.order.needs, account_.capacity);
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

/// @return Whose orders they are, and for how long all may go on there.
order_context run_manager::context() const
{
    const auto now = clock_.now();
    return {account_.instance, listed_born_ms_, token_,
            runner_clock_.at(clock_.running(), hold_end() - now)};
}

void run_manager::send_start(run_record& run)
{
    run.phase = run_phase::starting;
    run.changed = clock_.now();
    used_.add(run.order.needs);
    held_until_ = std::max(
        held_until_, clock_.running() + with_drift(hold_end() - clock_.now()));
    runner_.start({run.order.run, run.order.spec}, context(),
                  [this, alive = alive_, ref = run.order.run,
                   born_ms = listed_born_ms_](const order_result& got)
                  {
                      if (!*alive)
                          return;
                      heard_clock(born_ms, got.clock_ms);
                      start_answered(ref, got);
                  });
    expect_start(run.order.run);
}

/// An answer that is read late may be of a life that has ended since.
/// @param born_ms Start of the life that the order was for; 0: not told.
/// @param clock_ms What its clock showed.
void run_manager::heard_clock(std::int64_t born_ms, std::int64_t clock_ms)
{
    if (born_ms == listed_born_ms_)
        runner_clock_.heard(clock_.running(), clock_ms);
}

void run_manager::start_answered(const run_ref& ref, const order_result& got)
{
    const auto known = runs_.find(ref);
    if (known == runs_.end())
        return;
    auto& run = known->second;
    switch (got.outcome)
    {
    case order_outcome::done:
        ++stats_.started;
        refusal_wait_ = {};
        if (run.phase == run_phase::doubtful && run.asked_stop)
        {
            run.phase = run_phase::stopping; // Its answer came too late.
            return;
        }
        return begun(run);
    case order_outcome::unanswered:
        ++stats_.doubtful;
        if (run.phase == run_phase::starting)
            leave_in_doubt(run);
        return;
    case order_outcome::fenced:
        raise_token();
        break;
    case order_outcome::unhealthy:
        leave_alone();
        break;
    default:
        break;
    }
    log_change(log_level::info, "start_refused",
               {{"job", to_text(ref.task.job)},
                {"run", ref.run},
                {"lease", run.lease},
                {"cause", to_name(got.outcome)}});
    end_run(ref, run_outcome::not_begun, 0);
}

/// No answer came: it may run, or begin while its deadline lasts.
void run_manager::leave_in_doubt(run_record& run)
{
    run.phase = run_phase::doubtful;
    run.changed = clock_.now();
    run.latest_begin =
        clock_.running() + with_drift(settings_.hold) + lapse_slack;
}

/// A runner that refuses starts looks empty and would draw all of them.
void run_manager::leave_alone()
{
    if (left_alone())
        return;
    refusal_wait_ = std::clamp(refusal_wait_ * 2, settings_.first_refusal,
                               settings_.longest_refusal);
    refused_until_ = clock_.now() + refusal_wait_;
    set_phase(runner_phase::absent);
}

bool run_manager::left_alone() const
{
    const auto now = clock_.now();
    return now < refused_until_ || breaker_.state(now) == breaker_state::open;
}

bool run_manager::probing() const
{
    return breaker_.state(clock_.now()) == breaker_state::probing;
}

/// @param bad Whether a run failed or stood still.
void run_manager::note_health(const run_ref& ref, bool bad)
{
    if (!breaker_.note_end(ref.task.job, bad, clock_.now()))
        return;
    const auto state = breaker_.state(clock_.now());
    log_change(log_level::warning, "runner_judged",
               {{"instance", account_.instance},
                {"state", to_name(state)},
                {"job", to_text(ref.task.job)},
                {"run", ref.run}});
    if (state == breaker_state::open)
        set_phase(runner_phase::absent);
    else
        tell_room();
}

/// A sound runner shows progress of a hundredth of a task at least.
duration run_manager::stall_limit(const run_record& run) const
{
    const milliseconds estimate{run.order.estimate_ms};
    if (estimate.count() == 0)
        return settings_.stall;
    const auto share =
        std::chrono::duration_cast<duration>(estimate * settings_.stall_share);
    return std::clamp<duration>(share, settings_.least_stall, settings_.stall);
}

void run_manager::begun(run_record& run)
{
    if (run.phase == run_phase::stopping || run.phase == run_phase::running)
        return;
    run.phase = run_phase::running;
    run.changed = clock_.now();
    run.begun = run.progressed = clock_.running();
    lease_of(run).begun.push_back(run.order.run);
    if (listener_ != nullptr)
        listener_->run_began(run.lease);
}

void run_manager::stop(const run_ref& ref)
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
    if (run.asked_stop && run.stops >= most_at_once)
        return;
    run.asked_stop = true;
    ++run.stops;
    run.stop_sent = clock_.now();
    runner_.stop(run.order.run, context(),
                 [this, alive = alive_, ref = run.order.run,
                  born_ms = listed_born_ms_](const order_result& got)
                 {
                     if (!*alive)
                         return;
                     heard_clock(born_ms, got.clock_ms);
                     stop_answered(ref, got);
                 });
}

void run_manager::stop_answered(const run_ref& ref, const order_result& got)
{
    const auto known = runs_.find(ref);
    if (known == runs_.end())
        return;
    auto& run = known->second;
    if (got.outcome == order_outcome::done ||
        got.outcome == order_outcome::superseded)
    {
        // From now on the runner refuses a late start of this run.
        run.settled = clock_.now();
        if (run.phase == run_phase::doubtful)
            look_now(); // Only a later look can show that it has not begun.
        return;
    }
    if (got.outcome == order_outcome::fenced)
        raise_token();
    run.asked_stop = false;
    run.stops = 0;
}

void run_manager::size(const run_order& order, lease_id memory)
{
    const auto known = runs_.find(order.run);
    if (known == runs_.end() || known->second.sized)
        return;
    known->second.sized = true;
    if (order.run.in_memory())
        known->second.lease = memory;
    known->second.order.needs = order.needs;
    used_.add(order.needs);
    --unsized_;
    tell_room();
    start_waiting();
}

/// Ends that are not confirmed make the next look return at once; as soon as
/// none is left, a look can wait for the next end and tell it without delay.
void run_manager::confirm(const run_end& end)
{
    const bool waited = ledger_.waits();
    ledger_.confirm(end);
    if (waited && !ledger_.waits() && informed_ && !lapsing_)
        look();
}

void run_manager::free_run(const run_ref& ref)
{
    const auto known = runs_.find(ref);
    if (known == runs_.end())
        return;
    if (!known->second.sized)
        --unsized_;
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
        const auto ran = clock_.now() - known->second.changed;
        end.duration_us = static_cast<std::uint32_t>(
            std::chrono::duration_cast<microseconds>(ran).count());
        if (outcome == run_outcome::done)
            note_pace(known->second);
    }
    const bool occupied = known != runs_.end() && occupies(known->second.phase);
    const bool orphan =
        known != runs_.end() && known->second.orphaned.count() != 0;
    const auto lease =
        known != runs_.end() ? known->second.lease : found_lease(ref);
    free_run(ref);
    if (!ledger_.add(end, lease, clock_.now()))
        return;
    ++stats_.ends[static_cast<std::size_t>(outcome)];
    if (outcome == run_outcome::not_begun)
        ++stats_.not_begun;
    if (orphan && ref.in_memory())
        ledger_.excuse(ref); // Its entry may never ask for it.
    if (listener_ != nullptr)
        listener_->lease_changed(lease);
    if (outcome == run_outcome::done || outcome == run_outcome::failed)
        note_health(ref, outcome == run_outcome::failed);
    if (!occupied)
        return;
    tell_room();
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
        if (run.phase == run_phase::stopping && run.settled.count() == 0 &&
            retry)
            to_stop.push_back(ref);
        if (run.phase == run_phase::doubtful && run.settled.count() == 0)
        {
            if (clock_.running() > run.latest_begin)
                run.settled = now; // Too late for it to begin.
            else if (retry && now - run.changed >= settings_.patience)
                to_stop.push_back(ref);
        }
        // By what looks have shown, not by how long none was answered.
        if (run.phase == run_phase::running &&
            answered_ - run.progressed > stall_limit(run))
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
        stop(ref);
    for (const auto& ref : stalled)
        note_health(ref, true);
}

void run_manager::raise_token()
{
    token_ += token_step;
    log_change(log_level::warning, "fencing_token_raised", {{"token", token_}});
}

void run_manager::set_phase(runner_phase phase)
{
    if (account_.phase == phase)
        return;
    log_change(log_level::info, "runner_phase",
               {{"instance", account_.instance},
                {"from", to_name(account_.phase)},
                {"to", to_name(phase)}});
    account_.phase = phase;
    if (listener_ != nullptr)
        listener_->phase_changed();
    if (phase != runner_phase::ready)
    {
        std::vector<run_ref> waiting;
        for (const auto& [ref, run] : runs_)
        {
            if (run.phase == run_phase::waiting)
                waiting.push_back(ref);
        }
        for (const auto& ref : waiting)
            end_run(ref, run_outcome::not_begun, 0);
    }
    tell_room();
}

void run_manager::tell_room()
{
    if (listener_ != nullptr)
        listener_->room_changed();
}

runner_room run_manager::room() const
{
    const auto now = clock_.now();
    runner_room out;
    out.used = used_;
    if (account_.leaves)
        out.leaves_in = std::max(duration{0}, *account_.leaves - now);
    out.cold = std::max(duration{0}, account_.cold_until - now);
    out.pace = pace_.known() ? pace_.value() : 0;
    for (const auto& [ref, run] : runs_)
    {
        if (run.phase != run_phase::waiting)
            continue;
        out.used.add(run.order.needs);
        ++out.waiting;
    }
    if (unsized_ > 0 || !informed_ || lapsing_)
        out.used = account_.capacity;
    else if (probing())
        out.used.cpu = std::max(out.used.cpu, probing_used());
    return out;
}

/// A runner on probation looks crowded, with room for one run.
std::uint32_t run_manager::probing_used() const
{
    const auto all = account_.capacity.cpu;
    const auto spare = std::max(all / 4, std::min(all, largest_cpu_));
    return runs_.empty() ? all - spare : all;
}

std::vector<run_end> run_manager::take_ends(lease_id lease)
{
    std::vector<run_end> ends;
    for (auto& [ref, kept] : ledger_.ends())
    {
        if (kept.lease == lease && !std::exchange(kept.told, true))
            ends.push_back(kept.end);
    }
    return ends;
}

std::vector<run_ref> run_manager::take_begun(lease_id lease)
{
    return std::exchange(leases_[lease].begun, {});
}

} // namespace glenhollow
