#ifndef GLENHOLLOW_DECISION_TEAM_QUOTA_HPP
#define GLENHOLLOW_DECISION_TEAM_QUOTA_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/decision/token_bucket.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace glenhollow
{

/// Smoothed rate at which a team asks for task starts.
class demand_meter final
{
public:
    /// @param tasks Asked for now.
    /// @param now The time.
    void add(double tasks, instant now);

    /// @param now The time.
    /// @return Tasks a second, smoothed over about a second.
    double rate(instant now) const;

private:
    double decayed_sum_ = 0; ///< Decaying sum.
    instant last_update_{};  ///< Time of the last change.
};

/// The part of a quota that falls to one entry.
/// @param own Demand here, tasks a second.
/// @param others Demand at the other entries, tasks a second.
/// @param entries Entries in all, this one included.
/// @param floor Demand that every entry is taken to have at least, tasks a
/// second; entries that report nothing count with it.
/// @return A share in 0..1; the shares of entries that see the same demand
/// sum to 1.
double quota_share(double own_demand, const std::vector<double>& peer_demands,
                   std::size_t entries, double floor);

/// Demand below which an entry says nothing of a team: half of an equal part
/// of the quota. Teams that keep within their quota cost no message.
/// @param quota Of the team, tasks a second.
/// @param entries Entries in all.
/// @return The demand, tasks a second.
double demand_floor(double quota, std::size_t entries);

/// Limits of quotas.
struct team_quota_settings
{
    double burst_seconds = 0.5; ///< Of the quota, saved up.
};

/// Per-team limits on task starts at one shard. Pure state.
class team_quota final
{
public:
    /// @param settings Limits.
    explicit team_quota(const team_quota_settings& settings)
        : settings_(settings)
    {
    }

    /// @param settings New limits.
    void apply(const team_quota_settings& settings) { settings_ = settings; }

    /// @param team A team.
    /// @param quota Its quota in tasks a second over all entries, or nothing
    /// for no limit.
    void set_quota(const std::string& team, std::optional<double> quota);

    /// @param quota Of teams without one of their own, or nothing.
    void set_default(std::optional<double> quota) { default_quota_ = quota; }

    /// Forgets all quotas; shares and demand are kept.
    void clear_quotas() { quotas_.clear(); }

    /// @param team A team.
    /// @param share The part of its quota that falls to this shard, 0..1.
    void set_share(const std::string& team, double share);

    /// @param share Of teams without one of their own.
    void set_default_share(double share) { default_share_ = share; }

    /// Notes demand and asks for starts.
    /// @param team Whose they are.
    /// @param tasks How many.
    /// @param now The time.
    /// @return Nothing when granted, or how long until they would be.
    std::optional<duration> try_acquire(const std::string& team, double tasks,
                                        instant now);

    /// @param now The time.
    /// @return The demand of each team with a quota, tasks a second.
    std::vector<std::pair<std::string, double>> demand(instant now) const;

    /// @param team A team.
    /// @param now The time.
    /// @return Task starts a second granted to it here.
    double in_use(const std::string& team, instant now) const;

    /// Forgets teams that have been idle for long; their names come from
    /// callers.
    /// @param now The time.
    void remove_idle_teams(instant now);

    /// @param team A team.
    /// @return Its quota over all entries, or nothing for no limit.
    std::optional<double> quota_of(const std::string& team) const;

private:
    /// What is known of a team.
    struct team_state
    {
        token_bucket bucket;         ///< Of starts granted here.
        demand_meter demand;         ///< Of starts asked for here.
        demand_meter granted;        ///< Of starts granted here.
        double configured_rate = -1; ///< Rate that the bucket was set to.
    };

    double share_of(const std::string& team) const;

    team_quota_settings settings_;            ///< Limits.
    std::optional<double> default_quota_;     ///< Quota without a row.
    double default_share_ = 1;                ///< Share without a row.
    std::map<std::string, double> quotas_;    ///< By team, tasks a second.
    std::map<std::string, double> shares_;    ///< By team.
    std::map<std::string, team_state> teams_; ///< By team.
};

} // namespace glenhollow

#endif
