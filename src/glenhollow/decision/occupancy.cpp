#include "glenhollow/decision/occupancy.hpp"

#include <algorithm>
#include <cmath>

namespace glenhollow
{

namespace
{

/// Weight of a new length in the mean.
constexpr double length_weight = 0.02;

/// Weight of the assumption that runners are idle, against a fresh report.
constexpr double doubt = 0.1;

/// Shortest mean length, s, so that the age of a report can be divided by it.
constexpr double least_mean = 0.001;

} // namespace

void occupancy_estimate::report(runner_index runner, std::int32_t busy,
                                std::int32_t own, instant now)
{
    auto& known = runners_[runner];
    const double others = std::max(busy - own, 0);
    known = {others, now};
}

void occupancy_estimate::note_length(double seconds)
{
    mean_seconds_ += length_weight * (seconds - mean_seconds_);
    mean_seconds_ = std::max(mean_seconds_, least_mean);
}

void occupancy_estimate::apply(std::vector<runner_view>& views,
                               instant now) const
{
    if (views.empty())
        return;
    double weighted = 0;
    double weight = doubt * static_cast<double>(views.size());
    const auto trust_in = [&](const report_state& known)
    {
        const double age =
            std::chrono::duration<double>(now - known.at).count();
        return std::exp(-age / mean_seconds_);
    };
    for (const auto& known : runners_)
    {
        const double trust = trust_in(known);
        weighted += trust * known.others;
        weight += trust;
    }
    const double mean = weighted / weight;
    for (std::size_t i = 0; i < views.size(); ++i)
    {
        const auto& known = runners_[i];
        const double trust = trust_in(known);
        views[i].others = known.others * trust + mean * (1 - trust);
    }
}

} // namespace glenhollow
