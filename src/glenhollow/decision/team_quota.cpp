#include "glenhollow/decision/team_quota.hpp"

#include <algorithm>
#include <cmath>

namespace glenhollow
{

namespace
{

/// Time constant of the demand meter, s.
constexpr double smoothing_seconds = 1.0;

/// Demand that every entry is taken to have, so that a share is never 0 and a
/// first request somewhere is not refused for want of history; tasks a second.
constexpr double least_demand = 0.5;

/// Below this demand a team is forgotten, tasks a second.
constexpr double idle_rate = 1e-6;

} // namespace

void demand_meter::add(double tasks, instant now)
{
    level_ = rate(now) * smoothing_seconds + tasks;
    last_ = now;
}

double demand_meter::rate(instant now) const
{
    const double passed = std::chrono::duration<double>(now - last_).count();
    return level_ * std::exp(-passed / smoothing_seconds) / smoothing_seconds;
}

double quota_floor(double quota, std::size_t entries)
{
    constexpr double part = 0.5;
    return std::max(least_demand,
                    part * quota /
                        static_cast<double>(std::max<std::size_t>(entries, 1)));
}

double quota_share(double own, const std::vector<double>& others,
                   std::size_t entries, double floor)
{
    double total = std::max(own, floor);
    std::size_t silent = std::max<std::size_t>(entries, 1) - 1;
    for (const double demand : others)
    {
        total += std::max(demand, floor);
        silent -= silent > 0 ? 1 : 0;
    }
    total += floor * static_cast<double>(silent);
    return std::max(own, floor) / total;
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
    const auto own = quotas_.find(team);
    return own != quotas_.end() ? std::optional(own->second) : default_;
}

double team_quota::share_of(const std::string& team) const
{
    const auto own = shares_.find(team);
    return own != shares_.end() ? own->second : default_share_;
}

std::optional<duration> team_quota::ask(const std::string& team, double tasks,
                                        instant now)
{
    const auto quota = quota_of(team);
    if (!quota)
        return std::nullopt;
    auto& state = teams_[team];
    state.demand.add(tasks, now);
    const double rate = *quota * share_of(team);
    if (rate != state.in_force)
    {
        state.bucket.configure(rate, rate * settings_.burst_seconds, now);
        state.in_force = rate;
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
    const auto known = teams_.find(team);
    return known == teams_.end() ? 0 : known->second.granted.rate(now);
}

void team_quota::forget_idle(instant now)
{
    std::erase_if(teams_, [now](const auto& one)
                  { return one.second.demand.rate(now) < idle_rate; });
}

std::vector<std::pair<std::string, double>>
team_quota::demand(instant now) const
{
    std::vector<std::pair<std::string, double>> all;
    for (const auto& [team, state] : teams_)
    {
        if (quota_of(team))
            all.emplace_back(team, state.demand.rate(now));
    }
    return all;
}

} // namespace glenhollow
