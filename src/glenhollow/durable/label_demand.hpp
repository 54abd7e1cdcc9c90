#ifndef GLENHOLLOW_DURABLE_LABEL_DEMAND_HPP
#define GLENHOLLOW_DURABLE_LABEL_DEMAND_HPP

#include "glenhollow/core/clock.hpp"

#include <map>
#include <string>

namespace glenhollow
{

/// The amount of recent work that prefers each label, averaged over about a
/// second. Not thread-safe.
class label_demand final
{
public:
    /// @param core_ms Core-milliseconds of a new task that prefers the label.
    void add(const std::string& label, double core_ms, instant now);

    /// @return The average number of cores that work with this label keeps
    /// busy.
    double cores(const std::string& label, instant now) const;

    /// @return Whether no recent work has a preferred label.
    bool empty() const { return labels_.empty(); }

    /// Removes labels that almost no work prefers.
    void remove_negligible(instant now);

private:
    /// A sum that decays exponentially.
    struct decaying_sum
    {
        double core_ms = 0; ///< Value at the time of the last change.
        instant at{};       ///< Time of the last change.
    };

    static double decayed(const decaying_sum& sum, instant now);

    std::map<std::string, decaying_sum> labels_;
};

} // namespace glenhollow

#endif
