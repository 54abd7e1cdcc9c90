// Looks at the runner: what runs, what has ended, whether it answers.
#include "glenhollow/runs/run_manager.hpp"

#include "glenhollow/runs/run_manager_timing.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace glenhollow
{

using namespace manager_timing;

/// Waits for an answer. A timer that comes late says that this process was
/// not run meanwhile; the answer may be here, unread.
/// @param awaited Whether the answer is still missing.
/// @param missed Called when it has not come in time.
void run_manager::expect(duration wait, std::function<bool()> awaited,
                         std::function<void()> missed)
{
    const auto due = clock_.now() + wait;
    later_(wait,
           [this, alive = alive_, due, awaited = std::move(awaited),
            missed = std::move(missed)]() mutable
           {
               if (!*alive || !awaited())
                   return;
               if (clock_.now() - due > settings_.own_lag)
                   return expect(settings_.patience, std::move(awaited),
                                 std::move(missed));
               missed();
           });
}

/// A start without an answer may be carried out seconds later. Unless a look
/// shows the run, a stop by its number bars that, and the sooner the task can
/// start elsewhere the better.
void run_manager::expect_start(const run_ref& ref)
{
    expect(
        settings_.patience,
        [this, ref]
        {
            const auto known = runs_.find(ref);
            return known != runs_.end() &&
                   known->second.phase == run_phase::starting;
        },
        [this, ref]
        {
            leave_in_doubt(runs_.at(ref));
            look_now(); // It may run, and only its answer be lost.
        });
}

/// While a look is not answered nothing is known of ends: another one is sent.
void run_manager::expect_look(std::uint64_t number, duration wait)
{
    expect(
        wait + settings_.patience,
        [this, number] { return looking_ && look_number_ == number; },
        [this, number, wait]
        {
            if (looks_out_ >= settings_.looks_out)
                return expect_look(number, wait); // It is silent.
            ++stats_.looks_lost;
            unsure_ = true;
            look_now();
        });
}

/// Does not wait for the look that is out.
void run_manager::look_now()
{
    if (looks_out_ >= settings_.looks_out)
        return;
    looking_ = false;
    held_until_ = std::max(held_until_, hold_out_);
    hurried_ = true;
    look();
}

void run_manager::look()
{
    if (looking_)
        return;
    looking_ = true;
    ++stats_.looks;
    ++looks_out_;
    const auto number = ++look_number_;
    hold_request request;
    request.context = context();
    request.confirmed = ledger_.confirmed();
    request.link = listed_link_;
    hold_out_ = {};
    // A look that is not answered may renew the hold all the same; a runner
    // that stays silent must be let go of before its runs count as ended.
    const auto renewed_for = hold_end() - clock_.now();
    // Nor is anything renewed that was not seen: it may be nobody's.
    const bool let_go = lapsing_ ||
                        clock_.running() - answered_ > renew_blind ||
                        !informed_ || renewed_for <= duration{0};
    if (let_go)
        request.context.deadline_ms = 0;
    else if (runner_clock_.known())
        hold_out_ = clock_.running() + with_drift(renewed_for);
    // A life that has just registered is met without delay.
    const bool known_life = verified_ || account_.instance.empty();
    const bool hurried = std::exchange(hurried_, false);
    if (!ledger_.waits() && runner_clock_.known() && informed_ && !lapsing_ &&
        known_life && !hurried && !unsure_)
        request.wait = settings_.look_wait;
    runner_.hold(request,
                 [this, alive = alive_,
                  sent = sent_look{number, clock_.now(), account_.life(),
                                   request.confirmed, request.link,
                                   listed_born_ms_}](const hold_result& got)
                 {
                     if (*alive)
                         look_answered(sent, got);
                 });
    expect_look(number, request.wait);
}

void run_manager::look_answered(const sent_look& asked, const hold_result& got)
{
    --looks_out_;
    if (asked.number != look_number_)
        return; // Given up: a later one tells more.
    // What the last life answered must not count for one that has registered
    // under its id since.
    const bool expected =
        !asked.life.empty() && may_be_same(asked.life, account_.life());
    looking_ = false;
    if (got.outcome != order_outcome::unhealthy)
        held_until_ = std::max(held_until_, hold_out_);
    hold_out_ = {};
    const bool knew_clock = runner_clock_.known();
    if (got.outcome == order_outcome::fenced)
        raise_token();
    if (got.outcome == order_outcome::wrong_life && expected)
    {
        life_is_over();
        return look();
    }
    const bool done =
        got.outcome == order_outcome::done && (expected || asked.life.empty());
    unsure_ = !done;
    if (!got.reached)
        unreached();
    if (done)
    {
        check_mark(asked, got);
        // Start, connection and clock are of one life: that of the list.
        listed_link_ = got.link;
        note_born(got.born_ms);
        runner_clock_.heard(clock_.running(), got.clock_ms);
        if (expected && !account_.instance.empty())
            verify_life(asked.sent);
        look_gap_ = clock_.running() - answered_;
        answered_ = clock_.running();
        const bool first = !informed_;
        informed_ = true;
        take_finished(got.finished);
        take_running(asked.sent, got.running);
        settle_absent(asked.sent, got.running);
        if (first || account_.phase == runner_phase::absent)
            take_told_phase();
    }
    if (!knew_clock && runner_clock_.known())
        return look();
    look_again(done);
}

/// A mark that comes to another life makes it forget ends that nobody has seen.
void run_manager::check_mark(const sent_look& asked, const hold_result& got)
{
    if (asked.mark == 0 || asked.link != got.link ||
        !starts_differ(asked.mark_born_ms, got.born_ms))
        return;
    ++stats_.marks_misread;
    log_change(log_level::error, "mark_misread",
               {{"mark", asked.mark},
                {"of_born_ms", asked.mark_born_ms},
                {"read_by_born_ms", got.born_ms}});
}

void run_manager::look_again(bool answered)
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

void run_manager::take_finished(const std::vector<run_end>& finished)
{
    for (const auto& end : finished)
    {
        if (end.number <= ledger_.confirmed())
        {
            ++stats_.ends_repeated;
            continue;
        }
        end_run(end.run, end.outcome, end.number);
    }
}

/// Its end was told, so that its task may run elsewhere or its job have ended:
/// nobody would ever stop it.
void run_manager::stop_ended(instant sent, const run_ref& ref)
{
    const auto& kept = ledger_.ends().at(ref);
    if (kept.noted >= sent || clock_.now() - stray_stopped_ < stop_retry)
        return; // The look may have left before the end.
    stray_stopped_ = clock_.now();
    ++stats_.strays;
    log_change(log_level::warning, "ended_run_shown",
               {{"job", to_text(ref.task.job)},
                {"run", ref.run},
                {"ended", to_name(kept.end.outcome)}});
    runner_.stop(ref, context(),
                 [this, alive = alive_,
                  born_ms = listed_born_ms_](const order_result& got)
                 {
                     if (*alive)
                         heard_clock(born_ms, got.clock_ms);
                 });
}

void run_manager::take_running(instant sent,
                               const std::vector<shown_run>& running)
{
    const auto now = clock_.now();
    const auto found_before = stats_.found;
    for (const auto& shown : running)
    {
        const auto known = runs_.find(shown.run);
        if (known == runs_.end())
        {
            if (ledger_.contains(shown.run))
            {
                stop_ended(sent, shown.run);
                continue;
            }
            run_record found;
            found.order.run = shown.run;
            found.lease = found_lease(shown.run);
            found.phase = run_phase::running;
            found.sized = false;
            found.changed = now;
            found.begun = found.progressed = clock_.running();
            ++unsized_;
            ++stats_.found;
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
            run.progressed = clock_.running();
        }
    }
    if (stats_.found != found_before)
        log_change(log_level::info, "runs_found",
                   {{"runs", stats_.found - found_before}});
}

/// Runs that the runner ought to show and does not.
void run_manager::settle_absent(instant sent,
                                const std::vector<shown_run>& running)
{
    std::unordered_set<run_ref, run_ref_hash> shown;
    for (const auto& one : running)
        shown.insert(one.run);
    std::vector<run_ref> gone;
    for (auto& [ref, run] : runs_)
    {
        if (shown.contains(ref))
            continue;
        if (run.phase == run_phase::doubtful && run.stops == 0 &&
            run.changed <= sent)
            send_stop(run);
        const bool ran = (run.phase == run_phase::running ||
                          run.phase == run_phase::stopping) &&
                         run.changed < sent &&
                         (run.phase == run_phase::running ||
                          (run.settled.count() != 0 && run.settled < sent));
        // A stop that was answered by then was carried out before the look.
        const bool never = run.phase == run_phase::doubtful &&
                           run.settled.count() != 0 && run.settled <= sent;
        if (ran || never)
            gone.push_back(ref);
    }
    for (const auto& ref : gone)
    {
        const auto known = runs_.find(ref);
        if (known == runs_.end())
            continue;
        const auto& run = known->second;
        const bool doubtful = run.phase == run_phase::doubtful;
        if (!doubtful && !run.may_have_run)
        {
            ++stats_.vanished;
            log_change(log_level::info, "run_vanished",
                       {{"job", to_text(ref.task.job)},
                        {"run", ref.run},
                        {"confirmed", ledger_.confirmed()},
                        {"born_ms", listed_born_ms_}});
        }
        const bool never = doubtful && !run.may_have_run;
        end_run(ref, never ? run_outcome::not_begun : run_outcome::lapsed, 0);
    }
}

/// Nobody listens there: it has ended, and what comes next may be of another
/// kind. No start is tried before it has answered, and no hold is asked for by
/// the clock of the one that has ended.
void run_manager::unreached()
{
    runner_clock_.reset();
    set_phase(runner_phase::absent);
    if (sign_off_)
        departed(account_.instance);
}

duration run_manager::silence_limit() const
{
    return with_drift(settings_.hold) + lapse_slack;
}

/// A process that was only just asked, or has only just begun, has not seen
/// what its server does.
bool run_manager::knows_runs() const
{
    const auto now = clock_.running();
    return informed_ || (now - answered_ >= silence_limit() &&
                         now >= latest_hold() + lapse_slack);
}

instant run_manager::latest_hold() const
{
    return std::max(held_until_, hold_out_);
}

/// A runner that answers nothing has let go of everything by now. It counts the
/// time that its machine has run.
void run_manager::check_silence()
{
    const auto now = clock_.running();
    if (now - answered_ < silence_limit())
        return;
    set_phase(runner_phase::absent);
    if (!runs_.empty() && now >= latest_hold() + lapse_slack)
        end_all(run_outcome::lapsed);
    if (candidate_ && runs_.empty())
        replace_life(*candidate_); // Nobody speaks against it any more.
}

} // namespace glenhollow
