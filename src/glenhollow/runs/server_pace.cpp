#include "glenhollow/runs/server_pace.hpp"

#include <algorithm>
#include <cmath>

namespace glenhollow
{

namespace
{

// Plausible range of a single ratio.
constexpr double min_ratio = 0.2;
constexpr double max_ratio = 20.0;

} // namespace

void server_pace::record(double ratio)
{
    ++ends_;
    const double weight = std::max(1.0 / ends_, settings_.min_weight);
    const double log_ratio = std::log(std::clamp(ratio, min_ratio, max_ratio));
    const double deviation = log_ratio - log_mean_;
    // The first ends are not clamped, since any of them may be the outlier.
    const double bounded =
        known() ? std::clamp(deviation, -settings_.max_log_deviation,
                             settings_.max_log_deviation)
                : deviation;
    log_mean_ += weight * bounded;
}

void server_pace::reset()
{
    log_mean_ = 0;
    ends_ = 0;
}

double server_pace::value() const
{
    return std::exp(log_mean_);
}

} // namespace glenhollow
