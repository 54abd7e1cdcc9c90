// Incarnations of the backend server, and whether it accepts work.
#include "glenhollow/runs/run_manager.hpp"

#include "glenhollow/runs/run_manager_timing.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <utility>

namespace glenhollow
{

using namespace manager_timing;

/// A delayed heartbeat may arrive after its sender has ended and the next
/// incarnation has registered. The server's answers to polls decide: it refuses
/// a poll for another id, and its lists contain its start time, which
/// distinguishes incarnations of the same id.
heartbeat_outcome run_manager::registered(const server_account& heartbeat,
                                          const server_timing& times)
{
    const auto outcome = check_heartbeat(heartbeat);
    ++stats_.heartbeats[static_cast<std::size_t>(outcome)];
    if (outcome != heartbeat_outcome::accepted)
        return outcome;
    auto account = heartbeat;
    adjust_for_age(account, times);
    has_registered_ = true;
    heartbeats_.record(account.incarnation(), account.sequence);
    const bool is_same =
        may_be_same_incarnation(account_.incarnation(), account.incarnation());
    if (is_same)
        is_restored_ = false;
    const bool matches_listed =
        !start_times_differ(account.born_ms, listed_born_ms_);
    if (is_same || (account_.instance.empty() && matches_listed))
        apply_account(account);
    else if (!is_verified_ && matches_listed)
        replace_incarnation(account); // No poll has confirmed the other.
    else
        set_candidate(account);
    return outcome;
}

heartbeat_outcome run_manager::check_heartbeat(const server_account& account)
{
    const auto latest =
        heartbeats_.newer_sequence(account.incarnation(), account.sequence);
    if (latest)
    {
        log_change(log_level::info, "heartbeat_out_of_order",
                   {{"instance", account.instance},
                    {"born_ms", account.born_ms},
                    {"phase", to_name(account.phase)},
                    {"sequence", account.sequence},
                    {"latest_sequence", *latest}});
        return heartbeat_outcome::out_of_order;
    }
    if (account.born_ms != 0 || listed_born_ms_ == 0)
        return heartbeat_outcome::accepted;
    log_change(log_level::warning, "heartbeat_without_start_time",
               {{"instance", account.instance},
                {"phase", to_name(account.phase)},
                {"listed_born_ms", listed_born_ms_}});
    return heartbeat_outcome::without_start_time;
}

/// Another incarnation has registered than the one that answers polls.
void run_manager::set_candidate(const server_account& other)
{
    if (!candidate_ || candidate_->incarnation() != other.incarnation())
        candidate_since_ = clock_.now();
    candidate_ = other;
    poll_now();
}

/// Backend servers continue to run while this process restarts, and register
/// again only with their next heartbeat. A poll shows at once whether the
/// restored incarnation is still running.
void run_manager::restored(const server_account& account)
{
    // A heartbeat sent before this process started may precede the restored
    // one.
    const bool is_newer = may_be_same_incarnation(account_.incarnation(),
                                                  account.incarnation()) &&
                          account.sequence > account_.sequence;
    if (!is_newer && (has_registered_ || !account_.instance.empty()))
        return;
    heartbeats_.record(account.incarnation(), account.sequence);
    if (is_newer)
        return apply_account(account);
    ++stats_.restored;
    is_restored_ = true;
    log_change(log_level::info, "server_account_restored",
               {{"instance", account.instance},
                {"service", account.service},
                {"phase", to_name(account.phase)}});
    apply_account(account);
}

void run_manager::apply_account(const server_account& account)
{
    const bool is_new =
        !may_be_same_incarnation(account_.incarnation(), account.incarnation());
    const auto phase = account_.phase;
    const auto previous_capacity = account_.capacity;
    const auto previous_leaves_at = account_.leaves_at;
    account_ = account;
    account_.phase = phase;
    reported_phase_ = account.phase;
    if (is_new)
        begin_incarnation();
    else if (account_.capacity != previous_capacity)
        handle_capacity_change();
    handle_leaving_notice(previous_leaves_at);
    if (is_new)
        log_change(log_level::info, "runner_registered",
                   {{"instance", account.instance},
                    {"born_ms", account.born_ms},
                    {"service", account.service},
                    {"cpu", account.capacity.cpu}});
    update_phase();
    if (is_new)
        notify_load_changed();
    // The pending poll expects no incarnation.
    if (is_new && polled_)
        poll_now();
    start_waiting();
}

/// What an entry knew of the last incarnation does not apply to the next one:
/// orders for the last one must not start there, nor wait for its room.
void run_manager::begin_incarnation()
{
    ++incarnation_number_;
    pace_.reset(); // The new one may differ in speed.
    refuse_all_waiting();
}

/// Entries choose this server by its capacity, and orders that it can't hold
/// any more have to start elsewhere.
void run_manager::handle_capacity_change()
{
    log_change(log_level::info, "server_capacity_changed",
               {{"instance", account_.instance},
                {"cpu", account_.capacity.cpu},
                {"memory", account_.capacity.memory},
                {"gpu", account_.capacity.gpu}});
    refuse_waiting_if([this](const run_record& run)
                      { return exceeds_capacity(run.order); });
    notify_load_changed();
}

void run_manager::replace_incarnation(const server_account& next)
{
    const auto account = next; // A copy: next may refer to candidate_.
    candidate_.reset();
    if (account_.instance.empty())
        return apply_account(account);
    log_change(log_level::warning, "server_replaced",
               {{"from", account_.instance},
                {"from_born_ms", account_.born_ms},
                {"to", account.instance},
                {"to_born_ms", account.born_ms}});
    departed(account_.instance);
    apply_account(account);
}

/// Marks the registered incarnation as verified, because it answered a poll,
/// and drops an older candidate.
/// @param sent Time when the poll was sent.
void run_manager::confirm_incarnation(instant sent)
{
    is_verified_ = true;
    check_sign_off(sent);
    if (!candidate_ || sent < candidate_since_)
        return;
    ++stats_.stale_registrations;
    log_change(log_level::info, "stale_registration",
               {{"instance", candidate_->instance},
                {"born_ms", candidate_->born_ms},
                {"registered", account_.instance}});
    candidate_.reset();
}

/// Another incarnation has answered; the runs of the registered one have ended.
void run_manager::end_incarnation()
{
    if (candidate_)
        replace_incarnation(*candidate_);
    else
        departed(account_.instance);
}

void run_manager::departed(const std::string& instance)
{
    if (candidate_ && candidate_->instance == instance)
        candidate_.reset();
    if (instance != account_.instance)
        return;
    log_change(log_level::info, "server_ended", {{"instance", instance}});
    if (std::exchange(is_restored_, false) && !is_verified_)
        ++stats_.restored_ended;
    candidate_.reset();
    const bool was_verified = is_verified_;
    clear_account();
    // The runs found may belong to another incarnation than the departed one.
    if (!was_verified)
        return;
    end_all(run_outcome::lapsed);
    unconfirmed_.reset_numbers();
    server_clock_.reset();
    breaker_.reset();
    polled_ = all_ends_seen_ = false;
    listed_born_ms_ = 0;
    listed_link_ = 0;
}

/// Nothing is started until an incarnation registers, since its kind is
/// unknown.
void run_manager::clear_account()
{
    account_.instance.clear();
    account_.born_ms = 0;
    account_.sequence = 0;
    account_.leaves_at.reset();
    account_.cold_until = {};
    is_verified_ = false;
    signed_off_at_.reset();
    reported_phase_ = server_phase::absent;
    set_phase(server_phase::absent);
}

void run_manager::signed_off(const server_incarnation& incarnation)
{
    if (candidate_ &&
        may_be_same_incarnation(candidate_->incarnation(), incarnation))
        candidate_.reset();
    if (!may_be_same_incarnation(account_.incarnation(), incarnation))
        return;
    if (reported_phase_ == server_phase::draining || !is_verified_)
        return departed(account_.instance);
    signed_off_at_ = clock_.now();
    poll_now();
}

/// Drops an earlier sign-off, because the registered incarnation answered.
/// @param sent Time when the poll was sent.
void run_manager::check_sign_off(instant sent)
{
    if (!signed_off_at_ || sent < *signed_off_at_)
        return;
    ++stats_.unconfirmed_sign_offs;
    log_change(
        log_level::info, "unconfirmed_sign_off",
        {{"instance", account_.instance}, {"born_ms", account_.born_ms}});
    signed_off_at_.reset();
}

/// Discards what is known about an incarnation with another start time, even if
/// the ids are equal.
/// @param born_ms Start time of the incarnation that listed its runs; 0:
/// unknown.
void run_manager::update_start_time(std::int64_t born_ms)
{
    if (born_ms == 0)
        return;
    const auto before = std::exchange(listed_born_ms_, born_ms);
    if (start_times_differ(before, born_ms))
        handle_same_id_restart(before);
    if (start_times_differ(account_.born_ms, born_ms))
        clear_account();
    else if (!account_.instance.empty())
        account_.born_ms = born_ms;
    if (!account_.instance.empty() || !candidate_ ||
        candidate_->born_ms != born_ms)
        return;
    const auto next = *candidate_;
    candidate_.reset();
    apply_account(next);
}

/// The runs are settled one by one by what the new incarnation lists: it may
/// have accepted an order meant for the old one.
/// @param before_ms Start time of the previous incarnation.
void run_manager::handle_same_id_restart(std::int64_t before_ms)
{
    ++stats_.same_id_restarts;
    log_change(log_level::warning, "server_restarted",
               {{"instance", account_.instance},
                {"from_born_ms", before_ms},
                {"to_born_ms", listed_born_ms_},
                {"runs", runs_.size()}});
    unconfirmed_.reset_numbers();
    breaker_.reset();
    server_clock_.reset();
    all_ends_seen_ = false;
    begin_incarnation();
    for (auto& [ref, run] : runs_)
        run.may_have_run = occupies(run.phase);
}

/// The phase reported by the server applies while it answers and is not in
/// backoff. In an evacuated hall a ready server counts as draining.
void run_manager::update_phase()
{
    const bool answers = clock_.running() - last_answer_ < silence_limit();
    if (!polled_ || !is_verified_ || !answers || is_backing_off())
        return;
    const bool held = evacuated_ && reported_phase_ == server_phase::ready;
    set_phase(held ? server_phase::draining : reported_phase_);
}

void run_manager::evacuate(bool evacuated)
{
    if (std::exchange(evacuated_, evacuated) == evacuated)
        return;
    log_change(log_level::warning,
               evacuated ? "hall_evacuated" : "hall_evacuation_ended",
               {{"hall", account_.zone}, {"instance", account_.instance}});
    update_phase();
    start_waiting();
}

void run_manager::drain()
{
    draining_ = true;
    if (account_.phase == server_phase::ready)
        set_phase(server_phase::draining);
    reported_phase_ = server_phase::draining;
}

} // namespace glenhollow
