// Polling of the backend server: current runs, ends, and whether it answers.
#include "glenhollow/runs/run_manager.hpp"

#include "glenhollow/runs/run_manager_timing.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace glenhollow
{

using namespace manager_timing;

namespace
{

std::unordered_set<run_ref, run_ref_hash>
runs_of(const std::vector<server_run>& running)
{
    std::unordered_set<run_ref, run_ref_hash> runs;
    for (const auto& one : running)
        runs.insert(one.run);
    return runs;
}

} // namespace

/// Calls a handler if an answer is missing after a timeout. A timer that fires
/// late shows that this process was delayed and may not have read the answer
/// yet; the wait is then extended.
/// @param wait Timeout.
/// @param is_pending Whether the answer is still missing.
/// @param on_timeout Called if it is missing after the timeout.
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

/// A start without an answer may be carried out seconds later. Unless a poll
/// lists the run, a stop prevents that, so that the task can soon start
/// elsewhere.
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
            poll_now(); // Only the answer may be lost.
        });
}

/// Ends are unknown while a poll is unanswered, so another poll is sent.
void run_manager::await_poll(std::uint64_t number, duration wait)
{
    await_answer(
        wait + settings_.answer_timeout,
        [this, number] { return poll_pending_ && poll_number_ == number; },
        [this, number, wait]
        {
            if (pending_polls_ >= settings_.max_pending_polls)
                return await_poll(number, wait); // The server is silent.
            ++stats_.polls_lost;
            last_poll_failed_ = true;
            poll_now();
        });
}

/// Sends a poll without waiting for the pending one.
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
    // An unanswered poll may renew the hold. If the server stays silent, its
    // hold must lapse before its runs count as ended.
    const auto hold_length = hold_end() - clock_.now();
    // Unseen runs are not renewed either, since they may have no holder.
    const bool renews_nothing =
        hold_lapsing_ ||
        clock_.running() - last_answer_ > max_unanswered_renewal || !polled_ ||
        hold_length <= duration{0};
    if (renews_nothing)
        request.context.deadline_ms = 0;
    else if (server_clock_.known())
        pending_hold_end_ = clock_.running() + with_drift(hold_length);
    // A newly registered incarnation is polled without waiting.
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
    // A later poll has replaced it.
    if (poll_sent.number != poll_number_)
        return;
    // An answer of the previous incarnation does not apply to one that has
    // registered under the same id since.
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
        // Start time, connection and clock belong to the listed incarnation.
        listed_link_ = answer.link;
        update_start_time(answer.born_ms);
        server_clock_.update(clock_.running(), answer.clock_ms);
        if (is_expected && !account_.instance.empty())
            confirm_incarnation(poll_sent.sent);
        poll_gap_ = clock_.running() - last_answer_;
        last_answer_ = clock_.running();
        const bool first = !polled_;
        polled_ = true;
        record_list(answer);
        apply_finished(answer.finished);
        apply_running(poll_sent.sent, answer.running);
        if (answer.lists_all_ends)
            resolve_missing(poll_sent.sent, answer.running);
        else
            mark_unlisted(poll_sent.sent, answer.running);
        if (first || account_.phase == server_phase::absent)
            update_phase();
    }
    if (!had_clock && server_clock_.known())
        return poll();
    schedule_poll(done);
}

/// An acknowledgement that reaches another incarnation would make it forget
/// ends that were never seen.
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

/// Logs when the server begins or ceases to have more ends than it lists.
void run_manager::record_list(const hold_result& answer)
{
    const bool is_cut = !answer.lists_all_ends;
    stats_.polls_cut += is_cut ? 1 : 0;
    all_ends_seen_ = all_ends_seen_ || !is_cut;
    if (std::exchange(is_list_cut_, is_cut) == is_cut)
        return;
    log_change(log_level::info, is_cut ? "end_list_cut" : "end_list_complete",
               {{"instance", account_.instance},
                {"listed", answer.finished.size()},
                {"confirmed", unconfirmed_.confirmed()},
                {"runs", runs_.size()}});
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

/// A run listed after its end was reported must be stopped: its task may run
/// elsewhere, and no owner would stop it.
void run_manager::stop_ended_run(instant sent, const run_ref& ref)
{
    const auto& entry = unconfirmed_.ends().at(ref);
    // The poll may precede the end.
    if (entry.recorded_at >= sent ||
        clock_.now() - ended_run_stopped_at_ < stop_retry)
        return;
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
            mark_started(run);
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

/// A run that was running and is not running any more has ended, although a
/// full list of ends does not name it yet. It neither stalls nor needs a stop.
void run_manager::mark_unlisted(instant sent,
                                const std::vector<server_run>& running)
{
    const auto listed = runs_of(running);
    for (auto& [ref, run] : runs_)
    {
        const bool was_running =
            run.phase == run_phase::running || run.phase == run_phase::stopping;
        if (was_running && run.phase_changed_at < sent && !run.awaits_end() &&
            !listed.contains(ref))
            run.unlisted_since = clock_.now();
    }
}

/// Settles runs that are neither running nor among the ends. Applies to
/// complete lists only: one that was cut may lack the end of a run.
void run_manager::resolve_missing(instant sent,
                                  const std::vector<server_run>& running)
{
    const auto listed = runs_of(running);
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
        // A stop answered before the poll was carried out before it.
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

/// Nothing listens at the server's address: the incarnation has ended. Nothing
/// is started, and no hold is requested by its clock, until a server has
/// answered.
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

/// A process that has just started or has just sent its first poll does not
/// know the runs yet. Ends that a full list does not name may belong to runs of
/// an earlier process, until a list has named all.
bool run_manager::are_runs_known() const
{
    const auto now = clock_.running();
    return all_ends_seen_ || (now - last_answer_ >= silence_limit() &&
                              now >= latest_hold() + lapse_margin);
}

instant run_manager::latest_hold() const
{
    return std::max(held_until_, pending_hold_end_);
}

/// The runs of a silent server have lapsed after this time, by a clock that
/// does not count suspended time.
void run_manager::check_silence()
{
    const auto now = clock_.running();
    if (now - last_answer_ < silence_limit())
        return;
    set_phase(server_phase::absent);
    if (!runs_.empty() && now >= latest_hold() + lapse_margin)
        end_all(run_outcome::lapsed);
    // No poll contradicts the candidate any more.
    if (candidate_ && runs_.empty())
        replace_incarnation(*candidate_);
}

} // namespace glenhollow
