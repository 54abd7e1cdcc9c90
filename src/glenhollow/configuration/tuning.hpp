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

/// Everything an operator can set while the system runs, with its defaults.
/// setting_table() describes each member.
struct tuning
{
    placement_kind placement = placement_kind::late_binding;     ///< Strategy.
    queue_order_kind queue_order = queue_order_kind::least_work; ///< Order.
    double default_team_quota = -1;  ///< Tasks a second; below 0: no limit.
    double quota_burst_s = 0.5;      ///< Saved up, in seconds of the quota.
    double overcommit = 2;           ///< Tasks that may wait at a runner.
    double short_reserve = 0.1;      ///< Share that long tasks leave free.
    double long_task_ms = 1000;      ///< Longer tasks are long ones.
    double start_window_s = 10;      ///< A sent start must begin within.
    double longest_deadline_s = 120; ///< A caller may ask for.
    double usual_deadline_s = 30;    ///< When a caller names none.
    double id_lifetime_s = 120;      ///< Of a submission id.
    double ack_delay_s = 20;         ///< Results stay at agents so long.
    double heartbeat_s = 10;         ///< Of idle links.
    double resend_window_s = 3;      ///< A broken link may come back.
    double deadline_share = 0.9;     ///< Of a deadline, for queueing.
    double retry_share = 0.1;        ///< Retries per fresh task.
    double most_ejected = 0.3;       ///< Share of the runners.
    double slow_at = 2;              ///< Times the expected length.
    double starts_per_call = 1;      ///< Of one job, in one message.
    double max_tasks = 1000;         ///< In one job.
    double max_queued_tasks = 50000; ///< Waiting at one shard.
    double max_jobs = 20000;         ///< In flight at one shard.
    double runner_slots = 0;         ///< Of every runner; 0: as its flag says.
};

/// Which member of the tuning a setting is.
using tuning_member = std::variant<double tuning::*, placement_kind tuning::*,
                                   queue_order_kind tuning::*>;

/// One setting: the one place that knows its name, unit, range and meaning.
struct setting_description
{
    std::string_view name;  ///< As operators write it.
    tuning_member member;   ///< Where its value goes.
    std::string_view unit;  ///< Empty for a plain number or a name.
    double least = 0;       ///< Smallest value, for numbers.
    double most = 0;        ///< Largest value, for numbers.
    bool whole = false;     ///< Only whole numbers.
    std::string_view about; ///< One line.
};

/// @return All settings in the order of the documentation.
std::span<const setting_description> setting_table();

/// @param name As operators write it.
/// @return The setting, or null.
const setting_description* find_setting(std::string_view name);

/// @param setting A setting.
/// @param value As an operator wrote it.
/// @param target Gets the value.
/// @return Nothing, or the allowed range.
result<void> set_value(const setting_description& setting,
                       std::string_view value, tuning& target);

/// @param setting A setting.
/// @param from A tuning.
/// @return Its value there as text.
std::string value_text(const setting_description& setting, const tuning& from);

/// @param setting A setting.
/// @return Its allowed values as text.
std::string range_text(const setting_description& setting);

/// @return docs/SETTINGS.md, made from the table.
std::string settings_page();

} // namespace glenhollow

#endif
