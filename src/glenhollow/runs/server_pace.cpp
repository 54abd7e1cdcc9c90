#include "glenhollow/runs/server_pace.hpp"

#include <algorithm>
#include <cmath>

namespace glenhollow
{

namespace
{

// Whatever the guesses: no backend server is that quick or slow.
constexpr double least_ratio = 0.2;
constexpr double most_ratio = 20.0;

} // namespace

void server_pace::note(double ratio)
{
    ++ends_;
    const double weight = std::max(1.0 / ends_, settings_.least_weight);
    const double seen = std::log(std::clamp(ratio, least_ratio, most_ratio));
    const double off = seen - logarithm_;
    // Before some are known any of them may be the one that is far off.
    const double bounded =
        known() ? std::clamp(off, -settings_.outlier, settings_.outlier) : off;
    logarithm_ += weight * bounded;
}

void server_pace::reset()
{
    logarithm_ = 0;
    ends_ = 0;
}

double server_pace::value() const
{
    return std::exp(logarithm_);
}

} // namespace glenhollow
