#ifndef GLENHOLLOW_DURABLE_REPORT_BUDGET_HPP
#define GLENHOLLOW_DURABLE_REPORT_BUDGET_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace glenhollow
{

/// Settings of a report budget.
struct report_budget_settings
{
    double max_rate = 1500; ///< Reports per second.
    double min_rate = 150;  ///< Reports per second.
    double increase = 4;    ///< Reports per second added after a tick on time.
    double decrease_factor = 0.8; ///< Factor applied to the rate after a late
                                  ///< tick.
    duration late_threshold = milliseconds{4}; ///< A tick with a greater delay
                                               ///< counts as late.
    duration max_gap = seconds{1}; ///< Longest gap that agents are asked to
                                   ///< keep.
};

/// The rate of capacity reports that an entry accepts from all agents together.
/// It falls when the entry's timers are late: an overloaded entry then works
/// with an older view of the backend servers instead of answering its callers
/// late. The cost does not grow with the number of agents. Not thread-safe.
class report_budget final
{
public:
    explicit report_budget(const report_budget_settings& settings)
        : settings_(settings), rate_(settings.max_rate)
    {
    }

    /// Adjusts the rate after a timer tick.
    /// @param lag The delay of the tick against its due time.
    void record_tick(duration lag)
    {
        rate_ = lag > settings_.late_threshold
                    ? rate_ * settings_.decrease_factor
                    : rate_ + settings_.increase;
        rate_ = std::clamp(rate_, settings_.min_rate, settings_.max_rate);
    }

    /// @param agents The number of agents that report.
    /// @return The minimum time between two capacity reports of one agent.
    duration gap(std::size_t agents) const
    {
        const std::chrono::duration<double> wanted{static_cast<double>(agents) /
                                                   rate_};
        return std::min(std::chrono::duration_cast<duration>(wanted),
                        settings_.max_gap);
    }

    /// @return Reports per second, of all agents together.
    double rate() const { return rate_; }

private:
    report_budget_settings settings_;
    double rate_; ///< Reports per second.
};

} // namespace glenhollow

#endif
