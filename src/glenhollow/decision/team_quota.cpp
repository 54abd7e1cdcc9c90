#include "glenhollow/decision/team_quota.hpp"

#include <algorithm>
#include <cmath>

namespace glenhollow
{

namespace
{

/// Time constant of the decay in demand_meter, s.
constexpr double smoothing_seconds = 1.0;

/// Minimum demand assumed for every entry, tasks per second. It keeps shares
/// above 0, so that the first request at an entry is not refused.
constexpr double min_demand = 0.5;

/// Demand below which a client account counts as idle, tasks per second.
constexpr double idle_demand = 1e-6;

} // namespace

void demand_meter::add(double tasks, instant now)
{
    decayed_sum_ = rate(now) * smoothing_seconds + tasks;
    last_update_ = now;
}

double demand_meter::rate(instant now) const
{
    const double elapsed_seconds =
        std::chrono::duration<double>(now - last_update_).count();
    return decayed_sum_ * std::exp(-elapsed_seconds / smoothing_seconds) /
           smoothing_seconds;
}

double demand_floor(double quota, std::size_t entries)
{
    constexpr double floor_share = 0.5;
    return std::max(min_demand,
                    floor_share * quota /
                        static_cast<double>(std::max<std::size_t>(entries, 1)));
}

double quota_share(double own_demand, const std::vector<double>& peer_demands,
                   std::size_t entries, double floor)
{
    double total = std::max(own_demand, floor);
    std::size_t unreported_entries = std::max<std::size_t>(entries, 1) - 1;
    for (const double demand : peer_demands)
    {
        total += std::max(demand, floor);
        unreported_entries -= unreported_entries > 0 ? 1 : 0;
    }
    total += floor * static_cast<double>(unreported_entries);
    return std::max(own_demand, floor) / total;
}

void team_quota::set_quota(const std::string& team, std::optional<double> quota)
{
    if (quota)
        quotas_[team] = *quota;
    else
        quotas_.erase(team);
}

void team_quota::set_share(const std::string& team, double share)
{
    shares_[team] = share;
}

std::optional<double> team_quota::quota_of(const std::string& team) const
{
    const auto found = quotas_.find(team);
    return found != quotas_.end() ? std::optional(found->second)
                                  : default_quota_;
}

double team_quota::share_of(const std::string& team) const
{
    const auto found = shares_.find(team);
    return found != shares_.end() ? found->second : default_share_;
}

std::optional<duration> team_quota::try_acquire(const std::string& team,
                                                double tasks, instant now)
{
    const auto quota = quota_of(team);
    if (!quota)
        return std::nullopt;
    auto& state = teams_[team];
    state.demand.add(tasks, now);
    const double rate = *quota * share_of(team);
    if (rate != state.configured_rate)
    {
        state.bucket.configure(rate, rate * settings_.burst_seconds, now);
        state.configured_rate = rate;
    }
    if (state.bucket.take(tasks, now))
    {
        state.granted.add(tasks, now);
        return std::nullopt;
    }
    return state.bucket.wait_for(tasks);
}

double team_quota::in_use(const std::string& team, instant now) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second.granted.rate(now);
}

void team_quota::remove_idle_teams(instant now)
{
    std::erase_if(teams_, [now](const auto& item)
                  { return item.second.demand.rate(now) < idle_demand; });
}

std::vector<std::pair<std::string, double>>
team_quota::demand(instant now) const
{
    std::vector<std::pair<std::string, double>> rates;
    for (const auto& [team, state] : teams_)
    {
        if (quota_of(team))
            rates.emplace_back(team, state.demand.rate(now));
    }
    return rates;
}

} // namespace glenhollow
