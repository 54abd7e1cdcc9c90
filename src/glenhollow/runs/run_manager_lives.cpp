// Lives of the backend server, and whether it takes work.
#include "glenhollow/runs/run_manager.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <utility>

namespace glenhollow
{

/// A heartbeat that was held back may come after its sender has ended and the
/// next life has registered. Which life is there is told by the backend server
/// itself: it refuses a look that expects another one.
void run_manager::registered(const runner_account& told,
                             const runner_times& times)
{
    auto account = told;
    date(account, times);
    registered_ = true;
    ++stats_.heartbeats;
    if (account_.instance == account.instance)
        from_memory_ = false;
    if (account_.instance == account.instance || account_.instance.empty())
        return take_account(account);
    if (!verified_)
        return replace_life(account); // No look has spoken for the other.
    if (!candidate_ || candidate_->instance != account.instance)
        candidate_since_ = clock_.now();
    candidate_ = account;
    look_now();
}

void run_manager::note_late(const runner_account& account, std::uint64_t latest)
{
    ++stats_.heartbeats_late;
    log_change(log_level::info, "heartbeat_late",
               {{"instance", account.instance},
                {"born_ms", account.born_ms},
                {"phase", to_name(account.phase)},
                {"sequence", account.sequence},
                {"latest", latest},
                {"listed_born_ms", listed_born_ms_}});
}

/// Backend servers live on while this process is away, and register again only
/// with their next heartbeat; a look tells at once whether the life is the
/// same.
void run_manager::remembered(const runner_account& account)
{
    if (registered_ || !account_.instance.empty())
        return;
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
    const bool news = account_.instance != account.instance;
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
    log_change(log_level::warning, "runner_replaced",
               {{"from", account_.instance}, {"to", next.instance}});
    const auto account = next; // It may be the candidate, which ends here.
    departed(account_.instance);
    take_account(account);
}

/// The registered life has answered.
/// @param sent When the look left.
void run_manager::verify_life(instant sent)
{
    verified_ = true;
    if (!candidate_ || sent < candidate_since_)
        return;
    ++stats_.stale_registrations;
    log_change(log_level::info, "registration_stale",
               {{"instance", candidate_->instance},
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
    account_.instance.clear();
    account_.leaves.reset();
    account_.cold_until = {};
    told_phase_ = runner_phase::absent;
    set_phase(runner_phase::absent);
    // What was found running may be another life's than that which departs.
    if (!std::exchange(verified_, false))
        return;
    end_all(run_outcome::lapsed);
    ledger_.new_life();
    runner_clock_.reset();
    breaker_.reset();
    informed_ = false;
}

/// The backend server's own word counts while it answers and takes starts; in
/// an evacuated hall it counts as draining.
void run_manager::take_told_phase()
{
    const bool answers = clock_.now() - answered_ < silence_limit();
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
