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
void run_manager::await_answer(duration wait, std::function<bool()> is_pending,
                               std::function<void()> on_timeout)
{
    const auto due = clock_.now() + wait;
    schedule_(wait,
              [this, alive = alive_, due, is_pending = std::move(is_pending),
               on_timeout = std::move(on_timeout)]() mutable
              {
                  if (!*alive || !is_pending())
                      return;
                  if (clock_.now() - due > settings_.max_timer_lag)
                      return await_answer(settings_.answer_timeout,
                                          std::move(is_pending),
                                          std::move(on_timeout));
                  on_timeout();
              });
}

/// A start without an answer may be carried out seconds later. Unless a look
/// shows the run, a stop by its number bars that, and the sooner the task can
/// start elsewhere the better.
void run_manager::await_start(const run_ref& ref)
{
    await_answer(
        settings_.answer_timeout,
        [this, ref]
        {
            const auto known = runs_.find(ref);
            return known != runs_.end() &&
                   known->second.phase == run_phase::starting;
        },
        [this, ref]
        {
            mark_doubtful(runs_.at(ref));
            poll_now(); // It may run, and only its answer be lost.
        });
}

/// While a look is not answered nothing is known of ends: another one is sent.
void run_manager::await_poll(std::uint64_t number, duration wait)
{
    await_answer(
        wait + settings_.answer_timeout,
        [this, number] { return poll_pending_ && poll_number_ == number; },
        [this, number, wait]
        {
            if (pending_polls_ >= settings_.max_pending_polls)
                return await_poll(number, wait); // It is silent.
            ++stats_.polls_lost;
            last_poll_failed_ = true;
            poll_now();
        });
}

/// Does not wait for the look that is out.
void run_manager::poll_now()
{
    if (pending_polls_ >= settings_.max_pending_polls)
        return;
    poll_pending_ = false;
    held_until_ = std::max(held_until_, pending_hold_end_);
    poll_at_once_ = true;
    poll();
}

void run_manager::poll()
{
    if (poll_pending_)
        return;
    poll_pending_ = true;
    ++stats_.polls;
    ++pending_polls_;
    const auto number = ++poll_number_;
    hold_request request;
    request.context = context();
    request.confirmed = unconfirmed_.confirmed();
    request.link = listed_link_;
    pending_hold_end_ = {};
    // A look that is not answered may renew the hold all the same; a runner
    // that stays silent must be let go of before its runs count as ended.
    const auto hold_length = hold_end() - clock_.now();
    // Nor is anything renewed that was not seen: it may be nobody's.
    const bool renews_nothing =
        hold_lapsing_ ||
        clock_.running() - last_answer_ > max_unanswered_renewal || !polled_ ||
        hold_length <= duration{0};
    if (renews_nothing)
        request.context.deadline_ms = 0;
    else if (server_clock_.known())
        pending_hold_end_ = clock_.running() + with_drift(hold_length);
    // A life that has just registered is met without delay.
    const bool is_verified = is_verified_ || account_.instance.empty();
    const bool at_once = std::exchange(poll_at_once_, false);
    if (!unconfirmed_.has_unsettled() && server_clock_.known() && polled_ &&
        !hold_lapsing_ && is_verified && !at_once && !last_poll_failed_)
        request.wait = settings_.poll_wait;
    server_.hold(request,
                 [this, alive = alive_,
                  sent = sent_poll{number, clock_.now(), account_.incarnation(),
                                   request.confirmed, request.link,
                                   listed_born_ms_}](const hold_result& answer)
                 {
                     if (*alive)
                         handle_poll_answer(sent, answer);
                 });
    await_poll(number, request.wait);
}

void run_manager::handle_poll_answer(const sent_poll& poll_sent,
                                     const hold_result& answer)
{
    --pending_polls_;
    if (poll_sent.number != poll_number_)
        return; // Given up: a later one tells more.
    // What the last life answered must not count for one that has registered
    // under its id since.
    const bool is_expected =
        !poll_sent.incarnation.empty() &&
        may_be_same_incarnation(poll_sent.incarnation, account_.incarnation());
    poll_pending_ = false;
    if (answer.outcome != order_outcome::unhealthy)
        held_until_ = std::max(held_until_, pending_hold_end_);
    pending_hold_end_ = {};
    const bool had_clock = server_clock_.known();
    if (answer.outcome == order_outcome::fenced)
        raise_token();
    if (answer.outcome == order_outcome::wrong_incarnation && is_expected)
    {
        end_incarnation();
        return poll();
    }
    const bool done = answer.outcome == order_outcome::done &&
                      (is_expected || poll_sent.incarnation.empty());
    last_poll_failed_ = !done;
    if (!answer.reached)
        handle_unreachable();
    if (done)
    {
        check_ack(poll_sent, answer);
        // Start, connection and clock are of one life: that of the list.
        listed_link_ = answer.link;
        update_start_time(answer.born_ms);
        server_clock_.update(clock_.running(), answer.clock_ms);
        if (is_expected && !account_.instance.empty())
            confirm_incarnation(poll_sent.sent);
        poll_gap_ = clock_.running() - last_answer_;
        last_answer_ = clock_.running();
        const bool first = !polled_;
        polled_ = true;
        apply_finished(answer.finished);
        apply_running(poll_sent.sent, answer.running);
        resolve_missing(poll_sent.sent, answer.running);
        if (first || account_.phase == server_phase::absent)
            update_phase();
    }
    if (!had_clock && server_clock_.known())
        return poll();
    schedule_poll(done);
}

/// A mark that comes to another life makes it forget ends that nobody has seen.
void run_manager::check_ack(const sent_poll& poll_sent,
                            const hold_result& answer)
{
    if (poll_sent.acknowledged == 0 || poll_sent.link != answer.link ||
        !start_times_differ(poll_sent.acknowledged_born_ms, answer.born_ms))
        return;
    ++stats_.misdelivered_acks;
    log_change(log_level::error, "ack_misdelivered",
               {{"acknowledged", poll_sent.acknowledged},
                {"acknowledged_born_ms", poll_sent.acknowledged_born_ms},
                {"answered_born_ms", answer.born_ms}});
}

void run_manager::schedule_poll(bool answered)
{
    const bool at_once =
        !unconfirmed_.has_unsettled() && polled_ && !hold_lapsing_;
    auto gap = at_once ? duration{0} : settings_.poll_interval;
    if (!answered)
        gap = poll_retry;
    schedule_(gap,
              [this, alive = alive_]
              {
                  if (*alive)
                      poll();
              });
}

void run_manager::apply_finished(const std::vector<run_end>& finished)
{
    for (const auto& end : finished)
    {
        if (end.number <= unconfirmed_.confirmed())
        {
            ++stats_.repeated_ends;
            continue;
        }
        end_run(end.run, end.outcome, end.number);
    }
}

/// Its end was told, so that its task may run elsewhere or its job have ended:
/// nobody would ever stop it.
void run_manager::stop_ended_run(instant sent, const run_ref& ref)
{
    const auto& entry = unconfirmed_.ends().at(ref);
    if (entry.recorded_at >= sent ||
        clock_.now() - ended_run_stopped_at_ < stop_retry)
        return; // The look may have left before the end.
    ended_run_stopped_at_ = clock_.now();
    ++stats_.ended_runs_stopped;
    log_change(log_level::warning, "ended_run_still_listed",
               {{"job", to_text(ref.task.job)},
                {"run", ref.run},
                {"ended", to_name(entry.end.outcome)}});
    server_.stop(ref, context(),
                 [this, alive = alive_,
                  born_ms = listed_born_ms_](const order_result& answer)
                 {
                     if (*alive)
                         update_server_clock(born_ms, answer.clock_ms);
                 });
}

void run_manager::apply_running(instant sent,
                                const std::vector<server_run>& running)
{
    const auto now = clock_.now();
    const auto runs_found_before = stats_.found;
    for (const auto& listed : running)
    {
        const auto known = runs_.find(listed.run);
        if (known == runs_.end())
        {
            if (unconfirmed_.contains(listed.run))
            {
                stop_ended_run(sent, listed.run);
                continue;
            }
            run_record found;
            found.order.run = listed.run;
            found.lease = implied_lease(listed.run);
            found.phase = run_phase::running;
            found.are_needs_known = false;
            found.phase_changed_at = now;
            found.started = found.progressed_at = clock_.running();
            ++runs_without_needs_;
            ++stats_.found;
            runs_.emplace(listed.run, std::move(found));
            continue;
        }
        auto& run = known->second;
        const bool was_doubtful = run.phase == run_phase::doubtful;
        if (run.phase == run_phase::starting || was_doubtful)
            started(run);
        if (was_doubtful && run.is_stop_pending)
            run.phase = run_phase::stopping;
        if (listed.percent > run.percent)
        {
            run.percent = listed.percent;
            run.progressed_at = clock_.running();
        }
    }
    if (stats_.found != runs_found_before)
        log_change(log_level::info, "runs_found",
                   {{"runs", stats_.found - runs_found_before}});
}

/// Runs that the runner ought to show and does not.
void run_manager::resolve_missing(instant sent,
                                  const std::vector<server_run>& running)
{
    std::unordered_set<run_ref, run_ref_hash> listed;
    for (const auto& one : running)
        listed.insert(one.run);
    std::vector<run_ref> missing;
    for (auto& [ref, run] : runs_)
    {
        if (listed.contains(ref))
            continue;
        if (run.phase == run_phase::doubtful && run.stop_attempts == 0 &&
            run.phase_changed_at <= sent)
            send_stop(run);
        const bool ran =
            (run.phase == run_phase::running ||
             run.phase == run_phase::stopping) &&
            run.phase_changed_at < sent &&
            (run.phase == run_phase::running ||
             (run.settled_at.count() != 0 && run.settled_at < sent));
        // A stop that was answered by then was carried out before the look.
        const bool never_started = run.phase == run_phase::doubtful &&
                                   run.settled_at.count() != 0 &&
                                   run.settled_at <= sent;
        if (ran || never_started)
            missing.push_back(ref);
    }
    for (const auto& ref : missing)
    {
        const auto known = runs_.find(ref);
        if (known == runs_.end())
            continue;
        const auto& run = known->second;
        const bool doubtful = run.phase == run_phase::doubtful;
        if (!doubtful && !run.may_have_run)
        {
            ++stats_.runs_missing;
            log_change(log_level::info, "run_missing",
                       {{"job", to_text(ref.task.job)},
                        {"run", ref.run},
                        {"confirmed", unconfirmed_.confirmed()},
                        {"born_ms", listed_born_ms_}});
        }
        const bool never_started = doubtful && !run.may_have_run;
        end_run(ref,
                never_started ? run_outcome::not_begun : run_outcome::lapsed,
                0);
    }
}

/// Nobody listens there: it has ended, and what comes next may be of another
/// kind. No start is tried before it has answered, and no hold is asked for by
/// the clock of the one that has ended.
void run_manager::handle_unreachable()
{
    server_clock_.reset();
    set_phase(server_phase::absent);
    if (signed_off_at_)
        departed(account_.instance);
}

duration run_manager::silence_limit() const
{
    return with_drift(settings_.hold) + lapse_margin;
}

/// A process that was only just asked, or has only just begun, has not seen
/// what its server does.
bool run_manager::are_runs_known() const
{
    const auto now = clock_.running();
    return polled_ || (now - last_answer_ >= silence_limit() &&
                       now >= latest_hold() + lapse_margin);
}

instant run_manager::latest_hold() const
{
    return std::max(held_until_, pending_hold_end_);
}

/// A runner that answers nothing has let go of everything by now. It counts the
/// time that its machine has run.
void run_manager::check_silence()
{
    const auto now = clock_.running();
    if (now - last_answer_ < silence_limit())
        return;
    set_phase(server_phase::absent);
    if (!runs_.empty() && now >= latest_hold() + lapse_margin)
        end_all(run_outcome::lapsed);
    if (candidate_ && runs_.empty())
        replace_incarnation(*candidate_); // Nobody speaks against it any more.
}

} // namespace glenhollow
