#include "glenhollow/runs/run_keeper.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <unordered_set>

namespace glenhollow
{

namespace
{

/// Steady clocks may differ by this share.
constexpr double clock_drift = 0.02;
constexpr duration lapse_slack = milliseconds{60};
constexpr duration stop_retry = milliseconds{200};
constexpr duration look_retry = milliseconds{50};
constexpr duration renew_blind = milliseconds{800};
constexpr std::uint64_t token_step = 60'000;

duration with_drift(duration length)
{
    return length + std::chrono::duration_cast<duration>(length * clock_drift);
}

bool occupies(run_phase phase)
{
    return phase != run_phase::waiting;
}

} // namespace

run_keeper::run_keeper(const clock_source& clock, runner_port& runner,
                       delay later, std::uint64_t fencing_token,
                       const run_keeper_settings& settings)
    : clock_(clock), runner_(runner), later_(std::move(later)),
      settings_(settings), token_(fencing_token)
{
    answered_ = clock_.now();
}

run_keeper::~run_keeper()
{
    *alive_ = false;
}

void run_keeper::begin()
{
    look();
}

run_keeper::lease_record& run_keeper::lease_of(const run_record& run)
{
    return leases_[run.lease];
}

/// Of a run that this process did not start.
lease_id run_keeper::found_lease(const run_ref& run) const
{
    return run.in_memory() ? unclaimed_lease
                           : part_of(run.task.job, settings_.parts);
}

void run_keeper::registered(const runner_account& account)
{
    if (account.instance != account_.instance && !account_.instance.empty())
    {
        log_change(log_level::warning, "runner_replaced",
                   {{"from", account_.instance}, {"to", account.instance}});
        departed(account_.instance);
    }
    const bool news = account_.instance != account.instance;
    const auto phase = account_.phase;
    account_ = account;
    account_.phase = phase;
    told_phase_ = account.phase;
    if (news)
        log_change(log_level::info, "runner_registered",
                   {{"instance", account.instance},
                    {"service", account.service},
                    {"cpu", account.capacity.cpu}});
    take_told_phase();
    if (news)
        tell_room();
    start_waiting();
}

void run_keeper::departed(const std::string& instance)
{
    if (instance != account_.instance)
        return;
    log_change(log_level::info, "runner_departed", {{"instance", instance}});
    account_.instance.clear();
    told_phase_ = runner_phase::absent;
    set_phase(runner_phase::absent);
    end_all(run_outcome::lapsed);
    ledger_.new_life();
    runner_clock_.reset();
    informed_ = false;
}

lease_account run_keeper::adopt(lease_id lease, std::uint32_t epoch)
{
    lease_account out;
    auto& record = leases_[lease];
    if (epoch < record.epoch)
    {
        out.declined = true;
        return out;
    }
    if (epoch > record.epoch)
        log_change(log_level::info, "part_adopted",
                   {{"part", lease},
                    {"epoch", epoch},
                    {"previous_epoch", record.epoch}});
    record.epoch = epoch;
    const auto concerns = [lease](lease_id of)
    { return of == lease || (!is_part_lease(lease) && of == unclaimed_lease); };
    for (const auto& [ref, run] : runs_)
    {
        if (concerns(run.lease))
            out.runs.push_back({ref, run.phase, run.sized});
    }
    for (auto& [ref, kept] : ledger_.ends())
    {
        if (!concerns(kept.lease))
            continue;
        kept.told = kept.lease == lease;
        out.ends.push_back(kept.end);
        out.ends.back().claimed = kept.told;
    }
    return out;
}

void run_keeper::renew(lease_id lease, std::uint32_t epoch, instant confirmed)
{
    auto& record = leases_[lease];
    if (epoch != record.epoch)
        return;
    const auto length =
        is_part_lease(lease) ? settings_.part_lease : settings_.memory_lease;
    const bool first =
        record.lease_epoch != epoch || clock_.now() >= record.until;
    record.lease_epoch = epoch;
    record.until = std::max(record.until, confirmed + length);
    if (first)
        start_waiting();
}

void run_keeper::expire(lease_id lease)
{
    leases_[lease].until = {};
    end_expired_runs();
    for (const auto& end : take_ends(lease))
        ledger_.confirm(end);
}

void run_keeper::order(run_order order, lease_id memory)
{
    const auto ref = order.run;
    if (runs_.contains(ref) || ledger_.contains(ref))
        return;
    run_record record;
    record.lease = ref.in_memory() ? memory : found_lease(ref);
    const bool refused = draining_ ||
                         order.epoch < leases_[record.lease].epoch ||
                         account_.phase != runner_phase::ready ||
                         (runs_.size() >= settings_.waiting_limit &&
                          room().waiting >= settings_.waiting_limit);
    record.order = std::move(order);
    record.changed = clock_.now();
    runs_.emplace(ref, std::move(record));
    if (refused)
        return end_run(ref, run_outcome::not_begun, 0);
    start_waiting();
}

bool run_keeper::may_start(const run_record& run)
{
    const auto& owner = lease_of(run);
    return account_.phase == runner_phase::ready && !lapsing_ &&
           unsized_ == 0 && runner_clock_.known() &&
           owner.lease_epoch == owner.epoch && clock_.now() < owner.until &&
           used_.leaves_room(run.order.needs, account_.capacity);
}

void run_keeper::start_waiting()
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

order_context run_keeper::context() const
{
    return {account_.instance, token_,
            runner_clock_.at(clock_.now(), settings_.hold)};
}

void run_keeper::send_start(run_record& run)
{
    run.phase = run_phase::starting;
    run.changed = clock_.now();
    used_.add(run.order.needs);
    held_until_ =
        std::max(held_until_, clock_.now() + with_drift(settings_.hold));
    runner_.start(
        {run.order.run, run.order.spec}, context(),
        [this, alive = alive_, ref = run.order.run](const order_result& got)
        {
            if (*alive)
                start_answered(ref, got);
        });
}

void run_keeper::start_answered(const run_ref& ref, const order_result& got)
{
    runner_clock_.heard(clock_.now(), got.clock_ms);
    const auto known = runs_.find(ref);
    if (known == runs_.end())
        return;
    auto& run = known->second;
    switch (got.outcome)
    {
    case order_outcome::done:
        ++stats_.started;
        refusal_wait_ = {};
        return begun(run);
    case order_outcome::unanswered:
        ++stats_.doubtful;
        if (run.phase == run_phase::starting)
        {
            run.phase = run_phase::doubtful;
            run.changed = clock_.now();
        }
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
                {"cause", to_name(got.outcome)}});
    end_run(ref, run_outcome::not_begun, 0);
}

/// A runner that refuses starts looks empty and would draw all of them.
void run_keeper::leave_alone()
{
    if (left_alone())
        return;
    refusal_wait_ = std::clamp(refusal_wait_ * 2, settings_.first_refusal,
                               settings_.longest_refusal);
    refused_until_ = clock_.now() + refusal_wait_;
    set_phase(runner_phase::absent);
}

bool run_keeper::left_alone() const
{
    return clock_.now() < refused_until_;
}

/// The runner's own word counts while it answers and takes starts.
void run_keeper::take_told_phase()
{
    const bool answers = clock_.now() - answered_ < silence_limit();
    if (informed_ && answers && !left_alone())
        set_phase(told_phase_);
}

void run_keeper::begun(run_record& run)
{
    if (run.phase == run_phase::stopping || run.phase == run_phase::running)
        return;
    run.phase = run_phase::running;
    run.changed = clock_.now();
    run.progressed = run.changed;
    lease_of(run).begun.push_back(run.order.run);
    if (listener_ != nullptr)
        listener_->lease_changed(run.lease);
}

void run_keeper::stop(const run_ref& ref)
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

void run_keeper::send_stop(run_record& run)
{
    if (run.asked_stop)
        return;
    run.asked_stop = true;
    run.stop_sent = clock_.now();
    runner_.stop(
        run.order.run, context(),
        [this, alive = alive_, ref = run.order.run](const order_result& got)
        {
            if (*alive)
                stop_answered(ref, got);
        });
}

void run_keeper::stop_answered(const run_ref& ref, const order_result& got)
{
    runner_clock_.heard(clock_.now(), got.clock_ms);
    const auto known = runs_.find(ref);
    if (known == runs_.end())
        return;
    auto& run = known->second;
    if (got.outcome == order_outcome::done ||
        got.outcome == order_outcome::superseded)
    {
        // From now on the runner refuses a late start of this run.
        run.settled = clock_.now();
        return;
    }
    if (got.outcome == order_outcome::fenced)
        raise_token();
    run.asked_stop = false;
}

void run_keeper::size(const run_order& order, lease_id memory)
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

void run_keeper::confirm(const run_end& end)
{
    ledger_.confirm(end);
}

void run_keeper::free_run(const run_ref& ref)
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

void run_keeper::end_run(const run_ref& ref, run_outcome how,
                         std::uint64_t number)
{
    run_end end{ref, how, number, 0, true};
    const auto known = runs_.find(ref);
    if (known != runs_.end() && occupies(known->second.phase))
    {
        const auto ran = clock_.now() - known->second.changed;
        end.micros = static_cast<std::uint32_t>(
            std::chrono::duration_cast<microseconds>(ran).count());
    }
    const bool occupied = known != runs_.end() && occupies(known->second.phase);
    const bool orphan =
        known != runs_.end() && known->second.orphaned.count() != 0;
    const auto lease =
        known != runs_.end() ? known->second.lease : found_lease(ref);
    free_run(ref);
    if (!ledger_.add(end, lease, clock_.now()))
        return;
    ++stats_.ends[static_cast<std::size_t>(how)];
    if (how == run_outcome::not_begun)
        ++stats_.not_begun;
    if (orphan && ref.in_memory())
        ledger_.excuse(ref); // Its entry may never ask for it.
    if (listener_ != nullptr)
        listener_->lease_changed(lease);
    if (!occupied)
        return;
    tell_room();
    start_waiting();
}

void run_keeper::end_all(run_outcome how)
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
        end_run(ref, waiting ? run_outcome::not_begun : how, 0);
    }
}

void run_keeper::look()
{
    if (looking_)
        return;
    looking_ = true;
    ++stats_.looks;
    hold_request request;
    request.context = context();
    request.confirmed = ledger_.confirmed();
    hold_out_ = {};
    // A look that is not answered may renew the hold all the same; a runner
    // that stays silent must be let go of before its runs count as ended.
    const bool let_go = lapsing_ || clock_.now() - answered_ > renew_blind;
    if (let_go)
        request.context.deadline_ms = 0;
    else if (runner_clock_.known())
        hold_out_ = clock_.now() + with_drift(settings_.hold);
    if (!ledger_.waits() && runner_clock_.known() && informed_ && !lapsing_)
        request.wait = settings_.look_wait;
    runner_.hold(
        request,
        [this, alive = alive_, sent = clock_.now()](const hold_result& got)
        {
            if (*alive)
                look_answered(sent, got);
        });
}

void run_keeper::look_answered(instant sent, const hold_result& got)
{
    looking_ = false;
    if (got.outcome != order_outcome::unhealthy)
        held_until_ = std::max(held_until_, hold_out_);
    hold_out_ = {};
    const bool knew_clock = runner_clock_.known();
    runner_clock_.heard(clock_.now(), got.clock_ms);
    if (got.outcome == order_outcome::fenced)
        raise_token();
    if (got.outcome == order_outcome::done)
    {
        answered_ = clock_.now();
        const bool first = !informed_;
        informed_ = true;
        take_finished(got.finished);
        take_running(got.running);
        settle_absent(sent, got.running);
        if (first || account_.phase == runner_phase::absent)
            take_told_phase();
    }
    if (!knew_clock && runner_clock_.known())
        return look();
    look_again(got.outcome == order_outcome::done);
}

void run_keeper::look_again(bool answered)
{
    const bool at_once = !ledger_.waits() && informed_ && !lapsing_;
    auto gap = at_once ? duration{0} : settings_.look_gap;
    if (!answered)
        gap = look_retry;
    later_(gap,
           [this, alive = alive_]
           {
               if (*alive)
                   look();
           });
}

void run_keeper::take_finished(const std::vector<run_end>& finished)
{
    for (const auto& end : finished)
    {
        if (end.number <= ledger_.confirmed())
            continue;
        end_run(end.run, end.how, end.number);
    }
}

void run_keeper::take_running(const std::vector<shown_run>& running)
{
    const auto now = clock_.now();
    for (const auto& shown : running)
    {
        const auto known = runs_.find(shown.run);
        if (known == runs_.end())
        {
            if (ledger_.contains(shown.run))
                continue;
            run_record found;
            found.order.run = shown.run;
            found.lease = found_lease(shown.run);
            found.phase = run_phase::running;
            found.sized = false;
            found.changed = found.progressed = now;
            ++unsized_;
            runs_.emplace(shown.run, std::move(found));
            continue;
        }
        auto& run = known->second;
        const bool was_doubtful = run.phase == run_phase::doubtful;
        if (run.phase == run_phase::starting || was_doubtful)
            begun(run);
        if (was_doubtful && run.asked_stop)
            run.phase = run_phase::stopping;
        if (shown.percent > run.percent)
        {
            run.percent = shown.percent;
            run.progressed = now;
        }
    }
}

/// Runs that the runner ought to show and does not.
void run_keeper::settle_absent(instant sent,
                               const std::vector<shown_run>& running)
{
    std::unordered_set<run_ref, run_ref_hash> shown;
    for (const auto& one : running)
        shown.insert(one.run);
    std::vector<run_ref> gone;
    for (const auto& [ref, run] : runs_)
    {
        if (shown.contains(ref))
            continue;
        const bool ran = (run.phase == run_phase::running ||
                          run.phase == run_phase::stopping) &&
                         run.changed < sent &&
                         (run.phase == run_phase::running ||
                          (run.settled.count() != 0 && run.settled < sent));
        const bool never = run.phase == run_phase::doubtful &&
                           run.settled.count() != 0 && run.settled < sent;
        if (ran || never)
            gone.push_back(ref);
    }
    for (const auto& ref : gone)
    {
        const auto known = runs_.find(ref);
        if (known == runs_.end())
            continue;
        const bool doubtful = known->second.phase == run_phase::doubtful;
        if (!doubtful)
            ++stats_.vanished;
        end_run(ref, doubtful ? run_outcome::not_begun : run_outcome::lapsed,
                0);
    }
}

void run_keeper::tick()
{
    check_leases();
    check_silence();
    check_runs();
    start_waiting();
}

duration run_keeper::silence_limit() const
{
    return with_drift(settings_.hold) + lapse_slack;
}

instant run_keeper::latest_hold() const
{
    return std::max(held_until_, hold_out_);
}

bool run_keeper::expired(lease_id lease, instant found) const
{
    const auto now = clock_.now();
    if (lease == unclaimed_lease)
        return now - found >= settings_.claim_time;
    const auto known = leases_.find(lease);
    return known == leases_.end() || now >= known->second.until;
}

/// A part whose owner is silent: what runs for it must be dead before a
/// successor may start it elsewhere, and its ends must not be taken back
/// later. Both hold once the runner's hold has lapsed. What runs in memory
/// for a silent entry is stopped, and lapses where that fails.
void run_keeper::check_leases()
{
    if (lapsing_)
    {
        if (clock_.now() < lapse_over_)
            return;
        lapsing_ = false;
        ledger_.excuse_all();
        log_change(log_level::info, "hold_lapsed", {});
        return;
    }
    end_expired_runs();
    excuse_expired_ends();
}

void run_keeper::end_expired_runs()
{
    const auto now = clock_.now();
    std::vector<run_ref> orphans;
    for (auto& [ref, run] : runs_)
    {
        if (!expired(run.lease, run.changed))
        {
            run.orphaned = {};
            continue;
        }
        if (is_part_lease(run.lease))
        {
            if (occupies(run.phase))
                let_hold_lapse("part_lease", run.lease);
            continue;
        }
        if (run.orphaned.count() == 0)
        {
            run.orphaned = now;
            orphans.push_back(ref);
        }
        else if (now - run.orphaned > settings_.stop_time)
        {
            let_hold_lapse("memory_lease", run.lease);
        }
    }
    if (!orphans.empty())
        log_change(log_level::info, "runs_orphaned",
                   {{"runs", orphans.size()}});
    for (const auto& ref : orphans)
        stop(ref);
}

void run_keeper::excuse_expired_ends()
{
    std::vector<run_end> unwanted;
    std::vector<run_end> excused;
    for (const auto& [ref, kept] : ledger_.ends())
    {
        if (!expired(kept.lease, kept.noted))
            continue;
        const bool counts = kept.end.how == run_outcome::done ||
                            kept.end.how == run_outcome::failed;
        if (ref.in_memory())
            (clock_.now() - kept.noted > settings_.keep_unwanted ? unwanted
                                                                 : excused)
                .push_back(kept.end);
        else if (counts && kept.end.number != 0 && !kept.excused)
            let_hold_lapse("end_unconfirmed", kept.lease);
    }
    for (const auto& end : excused)
        ledger_.excuse(end.run);
    for (const auto& end : unwanted)
        ledger_.confirm(end);
}

void run_keeper::let_hold_lapse(std::string_view cause, lease_id lease)
{
    if (std::exchange(lapsing_, true))
        return;
    ++stats_.lapses;
    lapse_over_ = std::max(latest_hold(), clock_.now()) + lapse_slack;
    log_change(log_level::warning, "hold_left_to_lapse",
               {{"cause", cause}, {"lease", lease}});
}

/// A runner that answers nothing has let go of everything by now.
void run_keeper::check_silence()
{
    const auto now = clock_.now();
    if (now - answered_ < silence_limit())
        return;
    set_phase(runner_phase::absent);
    if (!runs_.empty() && now >= latest_hold() + lapse_slack)
        end_all(run_outcome::lapsed);
}

void run_keeper::check_runs()
{
    const auto now = clock_.now();
    std::vector<run_ref> to_stop;
    for (auto& [ref, run] : runs_)
    {
        const bool retry = !run.asked_stop && now - run.stop_sent >= stop_retry;
        if (run.phase == run_phase::stopping && run.settled.count() == 0 &&
            retry)
            to_stop.push_back(ref);
        if (run.phase == run_phase::doubtful && run.settled.count() == 0)
        {
            if (now - run.changed > with_drift(settings_.hold) + lapse_slack)
                run.settled = now; // Too late for it to begin.
            else if (retry)
                to_stop.push_back(ref);
        }
        if (run.phase == run_phase::running &&
            now - run.progressed > settings_.stall &&
            now - answered_ < settings_.look_wait * 2)
        {
            ++stats_.stalled;
            log_change(log_level::info, "run_stalled",
                       {{"job", to_text(ref.task.job)},
                        {"run", ref.run},
                        {"percent", run.percent}});
            to_stop.push_back(ref);
        }
    }
    for (const auto& ref : to_stop)
        stop(ref);
}

void run_keeper::raise_token()
{
    token_ += token_step;
    log_change(log_level::warning, "fencing_token_raised", {{"token", token_}});
}

void run_keeper::set_phase(runner_phase phase)
{
    if (account_.phase == phase)
        return;
    log_change(log_level::info, "runner_phase",
               {{"instance", account_.instance},
                {"from", to_name(account_.phase)},
                {"to", to_name(phase)}});
    account_.phase = phase;
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

void run_keeper::tell_room()
{
    if (listener_ != nullptr)
        listener_->room_changed();
}

void run_keeper::drain()
{
    draining_ = true;
    if (account_.phase == runner_phase::ready)
        set_phase(runner_phase::draining);
    told_phase_ = runner_phase::draining;
}

runner_room run_keeper::room() const
{
    runner_room out;
    out.used = used_;
    for (const auto& [ref, run] : runs_)
    {
        if (run.phase != run_phase::waiting)
            continue;
        out.used.add(run.order.needs);
        ++out.waiting;
    }
    if (unsized_ > 0 || !informed_ || lapsing_)
        out.used = account_.capacity;
    return out;
}

std::vector<run_end> run_keeper::take_ends(lease_id lease)
{
    std::vector<run_end> ends;
    for (auto& [ref, kept] : ledger_.ends())
    {
        if (kept.lease == lease && !std::exchange(kept.told, true))
            ends.push_back(kept.end);
    }
    return ends;
}

std::vector<run_ref> run_keeper::take_begun(lease_id lease)
{
    return std::exchange(leases_[lease].begun, {});
}

} // namespace glenhollow
