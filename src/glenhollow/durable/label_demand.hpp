#ifndef GLENHOLLOW_DURABLE_LABEL_DEMAND_HPP
#define GLENHOLLOW_DURABLE_LABEL_DEMAND_HPP

#include "glenhollow/core/clock.hpp"

#include <map>
#include <string>

namespace glenhollow
{

/// How much work prefers the runners of each label, over about a second. One
/// thread.
class label_demand final
{
public:
    /// @param label A preferred label.
    /// @param core_ms Core-milliseconds that have come for it.
    /// @param now The time.
    void add(const std::string& label, double core_ms, instant now);

    /// @param label A label.
    /// @param now The time.
    /// @return Cores that the work for it keeps busy, on average.
    double cores(const std::string& label, instant now) const;

    /// @return Whether no work with a preferred label has come lately.
    bool empty() const { return labels_.empty(); }

    /// Forgets labels that hardly any work prefers.
    /// @param now The time.
    void remove_negligible(instant now);

private:
    /// A decaying sum.
    struct decaying_sum
    {
        double core_ms = 0; ///< At the time below.
        instant at{};       ///< Of the last change.
    };

    static double decayed(const decaying_sum& sum, instant now);

    std::map<std::string, decaying_sum> labels_; ///< By label.
};

} // namespace glenhollow

#endif
