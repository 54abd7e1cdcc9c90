#ifndef GLENHOLLOW_DURABLE_REPORT_BUDGET_HPP
#define GLENHOLLOW_DURABLE_REPORT_BUDGET_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace glenhollow
{

/// Limits of a report budget.
struct report_budget_settings
{
    double max_rate = 1500;                    ///< Reports a second.
    double min_rate = 150;                     ///< Reports a second.
    double increase = 4;                       ///< Each punctual tick.
    double decrease_factor = 0.8;              ///< Factor of each late tick.
    duration late_threshold = milliseconds{4}; ///< A tick that comes later.
    duration max_gap = seconds{1};             ///< Told to agents, at most.
};

/// How many reports of room an entry can bear, by how late its own timers
/// come: a small or busy machine takes fewer, and thus works with an older
/// view of the runners rather than answer its callers late. The work does not
/// grow with the number of agents. One thread.
class report_budget final
{
public:
    /// @param settings Limits.
    explicit report_budget(const report_budget_settings& settings)
        : settings_(settings), rate_(settings.max_rate)
    {
    }

    /// A tick has come.
    /// @param lag How much later than it was due.
    void record_tick(duration lag)
    {
        rate_ = lag > settings_.late_threshold
                    ? rate_ * settings_.decrease_factor
                    : rate_ + settings_.increase;
        rate_ = std::clamp(rate_, settings_.min_rate, settings_.max_rate);
    }

    /// @param agents Agents that report.
    /// @return The least time between two reports of room of one of them.
    duration gap(std::size_t agents) const
    {
        const std::chrono::duration<double> wanted{static_cast<double>(agents) /
                                                   rate_};
        return std::min(std::chrono::duration_cast<duration>(wanted),
                        settings_.max_gap);
    }

    /// @return Reports a second, for all agents together.
    double rate() const { return rate_; }

private:
    report_budget_settings settings_; ///< Limits.
    double rate_;                     ///< Reports a second.
};

} // namespace glenhollow

#endif
