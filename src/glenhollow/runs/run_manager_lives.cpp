// Lives of the backend server, and whether it takes work.
#include "glenhollow/runs/run_manager.hpp"

#include "glenhollow/runs/run_manager_timing.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <utility>

namespace glenhollow
{

using namespace manager_timing;

/// A heartbeat that was held back may come after its sender has ended and the
/// next life has registered. Which life is there is told by the backend server
/// itself: it refuses a look that expects another id, and its lists name its
/// start, which alone tells lives of one id apart.
account_use run_manager::registered(const runner_account& told,
                                    const runner_times& times)
{
    const auto use = use_of(told);
    ++stats_.heartbeats[static_cast<std::size_t>(use)];
    if (use != account_use::taken)
        return use;
    auto account = told;
    date(account, times);
    registered_ = true;
    heartbeats_.note(account.life(), account.sequence);
    const bool same = may_be_same(account_.life(), account.life());
    if (same)
        from_memory_ = false;
    const bool shown = !starts_differ(account.born_ms, listed_born_ms_);
    if (same || (account_.instance.empty() && shown))
        take_account(account);
    else if (!verified_ && shown)
        replace_life(account); // No look has spoken for the other.
    else
        doubt(account);
    return use;
}

account_use run_manager::use_of(const runner_account& account)
{
    const auto latest = heartbeats_.overtaken(account.life(), account.sequence);
    if (latest)
    {
        log_change(log_level::info, "heartbeat_late",
                   {{"instance", account.instance},
                    {"born_ms", account.born_ms},
                    {"phase", to_name(account.phase)},
                    {"sequence", account.sequence},
                    {"latest", *latest}});
        return account_use::late;
    }
    if (account.born_ms != 0 || listed_born_ms_ == 0)
        return account_use::taken;
    log_change(log_level::warning, "heartbeat_undated",
               {{"instance", account.instance},
                {"phase", to_name(account.phase)},
                {"listed_born_ms", listed_born_ms_}});
    return account_use::undated;
}

/// Another life has registered than that which answers, or has last answered.
void run_manager::doubt(const runner_account& other)
{
    if (!candidate_ || candidate_->life() != other.life())
        candidate_since_ = clock_.now();
    candidate_ = other;
    look_now();
}

/// Backend servers live on while this process is away, and register again only
/// with their next heartbeat; a look tells at once whether the life is the
/// same.
void run_manager::remembered(const runner_account& account)
{
    // A heartbeat that was on its way when this process began may be older.
    const bool later = may_be_same(account_.life(), account.life()) &&
                       account.sequence > account_.sequence;
    if (!later && (registered_ || !account_.instance.empty()))
        return;
    heartbeats_.note(account.life(), account.sequence);
    if (later)
        return take_account(account);
    ++stats_.remembered;
    from_memory_ = true;
    log_change(log_level::info, "runner_remembered",
               {{"instance", account.instance},
                {"service", account.service},
                {"phase", to_name(account.phase)}});
    take_account(account);
}

void run_manager::take_account(const runner_account& account)
{
    const bool news = !may_be_same(account_.life(), account.life());
    const auto phase = account_.phase;
    const auto left = account_.leaves;
    account_ = account;
    account_.phase = phase;
    told_phase_ = account.phase;
    if (news)
        pace_.reset(); // It may be of another kind, also at this address.
    note_notice(left);
    if (news)
        log_change(log_level::info, "runner_registered",
                   {{"instance", account.instance},
                    {"born_ms", account.born_ms},
                    {"service", account.service},
                    {"cpu", account.capacity.cpu}});
    take_told_phase();
    if (news)
        tell_room();
    if (news && informed_)
        look_now(); // The look that is out expects no life.
    start_waiting();
}

void run_manager::replace_life(const runner_account& next)
{
    const auto account = next; // It may be the candidate, which ends here.
    candidate_.reset();
    if (account_.instance.empty())
        return take_account(account);
    log_change(log_level::warning, "runner_replaced",
               {{"from", account_.instance},
                {"from_born_ms", account_.born_ms},
                {"to", account.instance},
                {"to_born_ms", account.born_ms}});
    departed(account_.instance);
    take_account(account);
}

/// The registered life has answered.
/// @param sent When the look left.
void run_manager::verify_life(instant sent)
{
    verified_ = true;
    verify_sign_off(sent);
    if (!candidate_ || sent < candidate_since_)
        return;
    ++stats_.stale_registrations;
    log_change(log_level::info, "registration_stale",
               {{"instance", candidate_->instance},
                {"born_ms", candidate_->born_ms},
                {"registered", account_.instance}});
    candidate_.reset();
}

/// Another life answered: what the registered one ran has ended with it.
void run_manager::life_is_over()
{
    if (candidate_)
        replace_life(*candidate_);
    else
        departed(account_.instance);
}

void run_manager::departed(const std::string& instance)
{
    if (candidate_ && candidate_->instance == instance)
        candidate_.reset();
    if (instance != account_.instance)
        return;
    log_change(log_level::info, "runner_departed", {{"instance", instance}});
    if (std::exchange(from_memory_, false) && !verified_)
        ++stats_.forgotten;
    candidate_.reset();
    const bool shown = verified_;
    forget_account();
    // What was found running may be another life's than that which departs.
    if (!shown)
        return;
    end_all(run_outcome::lapsed);
    ledger_.new_life();
    runner_clock_.reset();
    breaker_.reset();
    informed_ = false;
    listed_born_ms_ = 0;
    listed_link_ = 0;
}

/// Until a life has registered nothing starts: it may be of another kind.
void run_manager::forget_account()
{
    account_.instance.clear();
    account_.born_ms = 0;
    account_.sequence = 0;
    account_.leaves.reset();
    account_.cold_until = {};
    verified_ = false;
    sign_off_.reset();
    told_phase_ = runner_phase::absent;
    set_phase(runner_phase::absent);
}

void run_manager::signed_off(const server_life& life)
{
    if (candidate_ && may_be_same(candidate_->life(), life))
        candidate_.reset();
    if (!may_be_same(account_.life(), life))
        return;
    if (told_phase_ == runner_phase::draining || !verified_)
        return departed(account_.instance);
    sign_off_ = clock_.now();
    look_now();
}

/// The registered life has answered.
/// @param sent When the look left.
void run_manager::verify_sign_off(instant sent)
{
    if (!sign_off_ || sent < *sign_off_)
        return;
    ++stats_.stale_sign_offs;
    log_change(
        log_level::info, "sign_off_stale",
        {{"instance", account_.instance}, {"born_ms", account_.born_ms}});
    sign_off_.reset();
}

/// What is known of the life that was there counts for nothing with the one
/// that the lists are of, however alike their ids are.
/// @param born_ms Start of the life that shows its runs; 0: not told.
void run_manager::note_born(std::int64_t born_ms)
{
    if (born_ms == 0)
        return;
    const auto before = std::exchange(listed_born_ms_, born_ms);
    if (starts_differ(before, born_ms))
        begin_life(before);
    if (starts_differ(account_.born_ms, born_ms))
        forget_account();
    else if (!account_.instance.empty())
        account_.born_ms = born_ms;
    if (!account_.instance.empty() || !candidate_ ||
        candidate_->born_ms != born_ms)
        return;
    const auto next = *candidate_;
    candidate_.reset();
    take_account(next);
}

/// Runs are settled one by one, by what the new life shows: an order that was
/// meant for the last one may have been taken by this one.
/// @param before_ms Start of the life before.
void run_manager::begin_life(std::int64_t before_ms)
{
    ++stats_.born_again;
    log_change(log_level::warning, "runner_born_again",
               {{"instance", account_.instance},
                {"from_born_ms", before_ms},
                {"to_born_ms", listed_born_ms_},
                {"runs", runs_.size()}});
    ledger_.new_life();
    breaker_.reset();
    runner_clock_.reset();
    for (auto& [ref, run] : runs_)
        run.may_have_run = occupies(run.phase);
}

/// The backend server's own word counts while it answers and takes starts; in
/// an evacuated hall it counts as draining.
void run_manager::take_told_phase()
{
    const bool answers = clock_.running() - answered_ < silence_limit();
    if (!informed_ || !verified_ || !answers || left_alone())
        return;
    const bool held = evacuated_ && told_phase_ == runner_phase::ready;
    set_phase(held ? runner_phase::draining : told_phase_);
}

void run_manager::evacuate(bool evacuated)
{
    if (std::exchange(evacuated_, evacuated) == evacuated)
        return;
    log_change(log_level::warning,
               evacuated ? "hall_evacuated" : "hall_taken_back",
               {{"hall", account_.zone}, {"instance", account_.instance}});
    take_told_phase();
    start_waiting();
}

void run_manager::drain()
{
    draining_ = true;
    if (account_.phase == runner_phase::ready)
        set_phase(runner_phase::draining);
    told_phase_ = runner_phase::draining;
}

} // namespace glenhollow
