// Looks at the runner: what runs, what has ended, whether it answers.
#include "glenhollow/runs/run_keeper.hpp"

#include "glenhollow/runs/run_keeper_timing.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <unordered_set>

namespace glenhollow
{

using namespace keeper_timing;

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

duration run_keeper::silence_limit() const
{
    return with_drift(settings_.hold) + lapse_slack;
}

instant run_keeper::latest_hold() const
{
    return std::max(held_until_, hold_out_);
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

} // namespace glenhollow
