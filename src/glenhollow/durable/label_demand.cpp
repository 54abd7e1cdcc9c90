#include "glenhollow/durable/label_demand.hpp"

#include <cmath>

namespace glenhollow
{

namespace
{

/// Time constant of the exponential decay.
constexpr double decay_ms = 1000.0;

constexpr double min_core_ms = 1.0;

} // namespace

double label_demand::decayed(const decaying_sum& sum, instant now)
{
    const double age_ms =
        std::chrono::duration<double, std::milli>(now - sum.at).count();
    return sum.core_ms * std::exp(-age_ms / decay_ms);
}

void label_demand::add(const std::string& label, double core_ms, instant now)
{
    auto& known = labels_[label];
    known.core_ms = decayed(known, now) + core_ms;
    known.at = now;
}

double label_demand::cores(const std::string& label, instant now) const
{
    const auto known = labels_.find(label);
    return known == labels_.end() ? 0 : decayed(known->second, now) / decay_ms;
}

void label_demand::remove_negligible(instant now)
{
    std::erase_if(labels_, [now](const auto& one)
                  { return decayed(one.second, now) < min_core_ms; });
}

} // namespace glenhollow
