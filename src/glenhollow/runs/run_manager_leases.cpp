// Leases of runs, and the handling of runs and ends whose lease has expired.
#include "glenhollow/runs/run_manager.hpp"

#include "glenhollow/runs/run_manager_timing.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

using namespace manager_timing;

run_manager::lease_record& run_manager::lease_of(const run_record& run)
{
    return leases_[run.lease];
}

/// @return The lease of a run that this process did not start.
lease_id run_manager::implied_lease(const run_ref& run) const
{
    return run.in_memory() ? unclaimed_lease
                           : part_of(run.task.job, settings_.parts);
}

bool run_manager::claim(lease_id lease, std::uint32_t epoch)
{
    auto& record = leases_[lease];
    if (epoch < record.epoch)
        return false;
    const bool newer = epoch > record.epoch;
    if (newer)
        log_change(log_level::info, "part_adopted",
                   {{"part", lease},
                    {"epoch", epoch},
                    {"previous_epoch", record.epoch}});
    record.epoch = epoch;
    // Orders that have not started must not start under the new adoption: their
    // tasks may have been started elsewhere, by another owner in between or by
    // this one while the agent was unreachable.
    if (is_part_lease(lease))
        refuse_waiting(lease);
    return true;
}

lease_account run_manager::adopt(lease_id lease, std::uint32_t epoch)
{
    lease_account out;
    out.declined = !claim(lease, epoch);
    if (out.declined)
        return out;
    const auto is_covered = [lease](lease_id of)
    { return of == lease || (!is_part_lease(lease) && of == unclaimed_lease); };
    for (const auto& [ref, run] : runs_)
    {
        if (is_covered(run.lease))
            out.runs.push_back({ref, run.phase, run.are_needs_known});
    }
    for (auto& [ref, entry] : unconfirmed_.ends())
    {
        if (!is_covered(entry.lease))
            continue;
        entry.reported = entry.lease == lease;
        out.ends.push_back(entry.end);
        out.ends.back().claimed = entry.reported;
    }
    return out;
}

void run_manager::renew(lease_id lease, std::uint32_t epoch, instant confirmed)
{
    auto& record = leases_[lease];
    if (epoch != record.epoch)
        return;
    const auto length =
        is_part_lease(lease) ? settings_.part_lease : settings_.memory_lease;
    const bool first =
        record.lease_epoch != epoch || clock_.now() >= record.expires_at;
    record.lease_epoch = epoch;
    record.expires_at = std::max(record.expires_at, confirmed + length);
    if (first)
        start_waiting();
}

void run_manager::renew_submitter(lease_id lease, submitter_id submitter,
                                  instant alive_at)
{
    // Runs whose lease has expired end long before this.
    static constexpr duration retention = seconds{10};
    const auto now = clock_.now();
    auto& submitters = leases_[lease].submitters;
    std::erase_if(submitters, [now](const auto& one)
                  { return now - one.second > retention; });
    auto& expires_at = submitters[submitter];
    const bool first = now >= expires_at;
    expires_at =
        std::max(expires_at, std::min(alive_at, now) + settings_.memory_lease);
    if (first)
        start_waiting();
}

void run_manager::expire(lease_id lease)
{
    leases_[lease].expires_at = {};
    end_expired_runs();
    for (const auto& end : take_ends(lease))
        unconfirmed_.confirm(end);
}

bool run_manager::is_leased(lease_id lease) const
{
    const auto known = leases_.find(lease);
    return known != leases_.end() && clock_.now() < known->second.expires_at;
}

void run_manager::refuse_waiting(lease_id lease)
{
    refuse_waiting_if([lease](const run_record& run)
                      { return run.lease == lease; });
}

void run_manager::refuse_all_waiting()
{
    refuse_waiting_if([](const run_record&) { return true; });
}

/// Ends the waiting orders that fulfil a condition as `not_begun`.
void run_manager::refuse_waiting_if(
    const std::function<bool(const run_record&)>& condition)
{
    std::vector<run_ref> refused;
    for (const auto& [ref, run] : runs_)
    {
        if (run.phase == run_phase::waiting && condition(run))
            refused.push_back(ref);
    }
    for (const auto& ref : refused)
        end_run(ref, run_outcome::not_begun, 0);
}

std::set<lease_id> run_manager::leases_in_use() const
{
    std::set<lease_id> used;
    for (const auto& [ref, run] : runs_)
        used.insert(run.lease);
    for (const auto& [ref, entry] : unconfirmed_.ends())
        used.insert(entry.lease);
    return used;
}

bool run_manager::expired(lease_id lease, instant found) const
{
    const auto now = clock_.now();
    if (lease == unclaimed_lease)
        return now - found >= settings_.claim_timeout;
    const auto known = leases_.find(lease);
    return known == leases_.end() || now >= known->second.expires_at;
}

bool run_manager::is_expired(const run_record& run) const
{
    return expired(run.lease, run.phase_changed_at) ||
           (run.order.submitter != no_submitter &&
            clock_.now() >= lease_expiry(run));
}

/// A job host outlives the entries that submit jobs to it, and the caller of an
/// ended entry resends its job. The lease of a host's run must therefore not
/// end later than that of an entry that runs the job itself.
/// @return Time at which the lease of the run expires; zero without a holder.
instant run_manager::lease_expiry(const run_record& run) const
{
    const auto known = leases_.find(run.lease);
    if (known == leases_.end())
        return {};
    const auto& lease = known->second;
    if (run.order.submitter == no_submitter)
        return lease.expires_at;
    const auto submitter = lease.submitters.find(run.order.submitter);
    return submitter == lease.submitters.end()
               ? instant{}
               : std::min(lease.expires_at, submitter->second);
}

/// @return Time by which the run has ended; zero without a holder.
instant run_manager::lease_end(const run_record& run) const
{
    const auto expires_at = lease_expiry(run);
    return expires_at == instant{} ? instant{}
                                   : expires_at + settings_.stop_time;
}

/// This process may be suspended at any time and then stops no runs. Each run
/// must therefore end by itself while its holder's confirmation is still valid,
/// because a caller may resend its job to another entry afterwards. One hold
/// covers all runs, so it ends with the earliest lease plus the time to stop
/// its runs.
/// @return Time until which the server may continue its runs.
instant run_manager::hold_end() const
{
    auto end = clock_.now() + settings_.hold;
    for (const auto& [ref, run] : runs_)
    {
        // No stop or lease ends a run in memory that has already ended.
        if (!occupies(run.phase) || (run.awaits_end() && ref.in_memory()))
            continue;
        end = std::min(end, lease_end(run));
        if (run.hold_limit.count() != 0)
            end = std::min(end, run.hold_limit);
    }
    return end;
}

/// The runs of a part whose lease expires must end before another owner starts
/// them elsewhere, and the ends of the part must not be withdrawn later. Both
/// are certain once the hold has lapsed. In-memory runs of a silent entry are
/// stopped; the hold lapses only if that fails.
void run_manager::check_leases()
{
    if (hold_lapsing_)
    {
        if (clock_.running() < lapse_end_)
            return;
        hold_lapsing_ = false;
        unconfirmed_.release_all();
        log_change(log_level::info, "hold_lapsed", {});
        return;
    }
    end_expired_runs();
    release_expired_ends();
}

/// Logs runs whose lease has expired, and when it was confirmed last.
void run_manager::log_orphans(const std::vector<run_ref>& orphans) const
{
    if (orphans.empty())
        return;
    const auto& first = runs_.at(orphans.front());
    const auto confirmed = lease_expiry(first) - settings_.memory_lease;
    log_change(
        log_level::info, "runs_orphaned",
        {{"runs", orphans.size()},
         {"lease", first.lease},
         {"submitter", first.order.submitter},
         {"confirmed_ms_ago", (clock_.now() - confirmed) / milliseconds{1}},
         {"job", to_text(first.order.run.task.job)}});
}

void run_manager::end_expired_runs()
{
    const auto now = clock_.now();
    std::vector<run_ref> orphans;
    for (auto& [ref, run] : runs_)
    {
        if (!is_expired(run))
        {
            run.orphaned_at = {};
            continue;
        }
        if (is_part_lease(run.lease))
        {
            if (occupies(run.phase))
                stop_renewing_hold("part_lease", run.lease);
            continue;
        }
        if (run.awaits_end())
            continue;
        if (run.phase == run_phase::waiting &&
            now - run.phase_changed_at < settings_.claim_timeout)
            // The entry had no runs here; its lease is about to be renewed.
            continue;
        if (run.orphaned_at.count() == 0)
        {
            run.orphaned_at = now;
            orphans.push_back(ref);
        }
        else if (now - run.orphaned_at > settings_.stop_time)
        {
            stop_renewing_hold("memory_lease", run.lease);
        }
    }
    log_orphans(orphans);
    for (const auto& ref : orphans)
        begin_stop(ref);
}

void run_manager::release_expired_ends()
{
    std::vector<run_end> expired_ends;
    std::vector<run_end> released;
    for (const auto& [ref, entry] : unconfirmed_.ends())
    {
        if (!expired(entry.lease, entry.recorded_at))
            continue;
        const bool has_result = entry.end.outcome == run_outcome::done ||
                                entry.end.outcome == run_outcome::failed;
        if (ref.in_memory())
            (clock_.now() - entry.recorded_at >
                     settings_.unclaimed_end_retention
                 ? expired_ends
                 : released)
                .push_back(entry.end);
        else if (has_result && entry.end.number != 0 && !entry.released)
            stop_renewing_hold("end_unconfirmed", entry.lease);
    }
    for (const auto& end : released)
        unconfirmed_.release(end.run);
    for (const auto& end : expired_ends)
        unconfirmed_.confirm(end);
}

void run_manager::stop_renewing_hold(std::string_view cause, lease_id lease)
{
    if (std::exchange(hold_lapsing_, true))
        return;
    ++stats_.lapses;
    lapse_end_ = std::max(latest_hold(), clock_.running()) + lapse_margin;
    log_change(log_level::warning, "hold_renewal_stopped",
               {{"cause", cause}, {"lease", lease}});
}

} // namespace glenhollow
