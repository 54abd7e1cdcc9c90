#ifndef GLENHOLLOW_CONFIGURATION_TUNING_HPP
#define GLENHOLLOW_CONFIGURATION_TUNING_HPP

#include "glenhollow/core/result.hpp"
#include "glenhollow/decision/placement.hpp"
#include "glenhollow/decision/queue_order.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace glenhollow
{

/// Settings that operators can change at run time, with their defaults.
/// setting_table() describes each member.
struct tuning
{
    placement_kind placement = placement_kind::late_binding;
    queue_order_kind queue_order = queue_order_kind::least_work;
    double default_team_quota = -1; ///< Tasks per second; negative: no limit.
    double quota_burst_s = 0.5;     ///< Burst, in seconds of the quota.
    double overcommit = 2;      ///< Tasks that may queue at a backend server.
    double short_reserve = 0.1; ///< Share of slots reserved for short tasks.
    double long_task_ms = 1000; ///< Threshold of long tasks.
    double start_window_s = 10; ///< Time limit for a task to start.
    double longest_deadline_s = 120; ///< Maximum deadline.
    double usual_deadline_s = 30;    ///< Default deadline.
    double id_lifetime_s = 120;      ///< Lifetime of submission ids.
    double ack_delay_s = 20;         ///< Retention of results at agents.
    double heartbeat_s = 10;         ///< Heartbeat interval of idle links.
    double resend_window_s = 3;      ///< Time limit for reconnecting.
    double deadline_share = 0.9;     ///< Share for queueing and running.
    double retry_share = 0.1;        ///< Retries per new task.
    double most_ejected = 0.3;       ///< Maximum share of ejected servers.
    double slow_at = 2;              ///< Slowness, in expected durations.
    double starts_per_call = 1;      ///< Starts of a job per message.
    double max_tasks = 1000;         ///< Maximum tasks in one job.
    double max_queued_tasks = 50000; ///< Maximum queued tasks in one shard.
    double max_jobs = 20000;         ///< Maximum jobs in flight in one shard.
    double runner_slots = 0;         ///< Slots per server; 0: the agent's flag.
};

/// Pointer to the member that stores a setting.
using tuning_member = std::variant<double tuning::*, placement_kind tuning::*,
                                   queue_order_kind tuning::*>;

/// Name, unit, range and meaning of a setting.
struct setting_description
{
    std::string_view name;  ///< Name in operator statements.
    tuning_member member;   ///< Member that stores the value.
    std::string_view unit;  ///< Unit; empty if none.
    double least = 0;       ///< Minimum of a number.
    double most = 0;        ///< Maximum of a number.
    bool whole = false;     ///< Only integers are allowed.
    std::string_view about; ///< One-line description.
};

/// @return All settings in the order of the documentation.
std::span<const setting_description> setting_table();

/// @return The setting of that name, or null.
const setting_description* find_setting(std::string_view name);

/// Parses a value and stores it.
/// @return An error with the allowed range if the value is invalid.
result<void> set_value(const setting_description& setting,
                       std::string_view value, tuning& target);

/// @return The current value of a setting as text.
std::string value_text(const setting_description& setting, const tuning& from);

/// @return The allowed values of a setting as text.
std::string range_text(const setting_description& setting);

/// @return Content of docs/SETTINGS.md, generated from the table.
std::string settings_page();

} // namespace glenhollow

#endif
