#include "glenhollow/decision/occupancy.hpp"

#include <algorithm>
#include <cmath>

namespace glenhollow
{

namespace
{

/// Weight of a new sample in the mean task duration.
constexpr double mean_weight = 0.02;

/// Weight per backend server of the prior that servers are idle; a report that
/// has just arrived has weight 1.
constexpr double idle_prior_weight = 0.1;

/// Lower bound of the mean task duration, s. It avoids a division by zero.
constexpr double min_mean_seconds = 0.001;

} // namespace

void occupancy_estimate::report(runner_index runner, std::int32_t busy,
                                std::int32_t own_tasks, instant now)
{
    auto& last_report = runners_[runner];
    const double peer_tasks = std::max(busy - own_tasks, 0);
    last_report = {peer_tasks, now};
}

void occupancy_estimate::note_length(double seconds)
{
    mean_seconds_ += mean_weight * (seconds - mean_seconds_);
    mean_seconds_ = std::max(mean_seconds_, min_mean_seconds);
}

void occupancy_estimate::apply(std::vector<runner_view>& views,
                               instant now) const
{
    if (views.empty())
        return;
    double weighted_sum = 0;
    double total_weight = idle_prior_weight * static_cast<double>(views.size());
    const auto confidence_in = [&](const report_state& last_report)
    {
        const double age =
            std::chrono::duration<double>(now - last_report.received_at)
                .count();
        return std::exp(-age / mean_seconds_);
    };
    for (const auto& last_report : runners_)
    {
        const double confidence = confidence_in(last_report);
        weighted_sum += confidence * last_report.peer_tasks;
        total_weight += confidence;
    }
    const double mean_tasks = weighted_sum / total_weight;
    for (std::size_t i = 0; i < views.size(); ++i)
    {
        const auto& last_report = runners_[i];
        const double confidence = confidence_in(last_report);
        views[i].peer_tasks =
            last_report.peer_tasks * confidence + mean_tasks * (1 - confidence);
    }
}

} // namespace glenhollow
