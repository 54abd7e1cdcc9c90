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

/// Measures the rate of task starts of one client account as an exponentially
/// decaying average.
class demand_meter final
{
public:
    /// Adds task starts to the average.
    void add(double tasks, instant now);

    /// @return Smoothed rate, tasks per second.
    double rate(instant now) const;

private:
    double decayed_sum_ = 0; ///< Sum of tasks, decayed to last_update_.
    instant last_update_{};  ///< Time of the last add().
};

/// Computes this entry's share of the quota of a client account, in proportion
/// to its demand.
/// @param own_demand Demand at this entry, tasks per second.
/// @param peer_demands Demand reported by other entries, tasks per second.
/// @param entries Number of entries, including this one.
/// @param floor Minimum demand assumed for every entry, tasks per second;
/// entries without a report count with this value.
/// @return Share, 0..1. The shares sum to 1 if all entries use the same
/// demands.
double quota_share(double own_demand, const std::vector<double>& peer_demands,
                   std::size_t entries, double floor);

/// Computes the demand up to which an entry does not report a client account to
/// the other entries: half of an equal share of the quota. Accounts well within
/// their quota cause no messages.
/// @param quota Quota of the client account, tasks per second.
/// @param entries Number of entries, including this one.
/// @return Demand, tasks per second.
double demand_floor(double quota, std::size_t entries);

/// Settings of the quotas.
struct team_quota_settings
{
    double burst_seconds = 0.5; ///< Burst size, seconds of the rate.
};

/// Limits the rate of task starts of each client account at one shard. The
/// class does no I/O and takes the time as a parameter.
class team_quota final
{
public:
    /// Creates quotas without a limit for any client account.
    explicit team_quota(const team_quota_settings& settings)
        : settings_(settings)
    {
    }

    /// Replaces the settings; a bucket takes a new burst size when its rate
    /// next changes.
    void apply(const team_quota_settings& settings) { settings_ = settings; }

    /// Sets the quota of a client account.
    /// @param team The client account.
    /// @param quota Tasks per second over all entries; none to use the default
    /// quota.
    void set_quota(const std::string& team, std::optional<double> quota);

    /// Sets the quota of client accounts without their own quota.
    /// @param quota Tasks per second over all entries; none for no limit.
    void set_default(std::optional<double> quota) { default_quota_ = quota; }

    /// Removes the quotas of all client accounts. The default quota, the shares
    /// and the measured demand are kept.
    void clear_quotas() { quotas_.clear(); }

    /// Sets the share of a client account's quota that this shard grants.
    /// @param team The client account.
    /// @param share Share, 0..1.
    void set_share(const std::string& team, double share);

    /// Sets the share of client accounts without their own share.
    /// @param share Share, 0..1.
    void set_default_share(double share) { default_share_ = share; }

    /// Requests task starts and records them as demand, granted or not.
    /// @param team The client account.
    /// @param tasks Number of task starts.
    /// @param now The current time.
    /// @return None if granted, otherwise the time until the request can be
    /// granted.
    std::optional<duration> try_acquire(const std::string& team, double tasks,
                                        instant now);

    /// @return Demand of each client account with a quota, tasks per second.
    std::vector<std::pair<std::string, double>> demand(instant now) const;

    /// @return Rate granted to a client account at this shard, tasks per
    /// second.
    double in_use(const std::string& team, instant now) const;

    /// Removes the state of idle client accounts. Callers choose the account
    /// names, so the number of accounts is not bounded otherwise.
    void remove_idle_teams(instant now);

    /// @return Quota of a client account over all entries, tasks per second;
    /// none for no limit.
    std::optional<double> quota_of(const std::string& team) const;

private:
    /// Rates of one client account at this shard.
    struct team_state
    {
        token_bucket bucket;         ///< Limits the granted starts.
        demand_meter demand;         ///< Rate of requested starts.
        demand_meter granted;        ///< Rate of granted starts.
        double configured_rate = -1; ///< Rate of the bucket; -1 if unset.
    };

    double share_of(const std::string& team) const;

    team_quota_settings settings_;            ///< Current settings.
    std::optional<double> default_quota_;     ///< Quota without an own value.
    double default_share_ = 1;                ///< Share without an own value.
    std::map<std::string, double> quotas_;    ///< Tasks per second, by account.
    std::map<std::string, double> shares_;    ///< Shares by account.
    std::map<std::string, team_state> teams_; ///< State by account.
};

} // namespace glenhollow

#endif
