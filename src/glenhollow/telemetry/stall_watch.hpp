#ifndef GLENHOLLOW_TELEMETRY_STALL_WATCH_HPP
#define GLENHOLLOW_TELEMETRY_STALL_WATCH_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/telemetry/log.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <chrono>
#include <cstdint>

namespace glenhollow
{

/// Limits of a watch.
struct stall_watch_settings
{
    duration interval = milliseconds{50}; ///< Between two ticks.
    duration limit = milliseconds{150};   ///< A tick that comes later by more
                                          ///< is told; three ticks, far beyond
                                          ///< what timers lag on a busy VM.
};

/// Tells when a process stood still, by its own ticks: what others did
/// meanwhile, and what then comes all at once, can't be understood without.
/// One thread.
class stall_watch final
{
public:
    /// @param settings Limits.
    explicit stall_watch(const stall_watch_settings& settings)
        : settings_(settings)
    {
    }

    /// @param now When this tick came.
    void ticked(instant now)
    {
        const auto late = now - last_ - settings_.interval;
        const bool first = last_ == instant{};
        last_ = now;
        if (first || late <= settings_.limit)
            return;
        const auto ms = std::chrono::duration_cast<milliseconds>(late).count();
        ++stalls_;
        stalled_ms_ += static_cast<std::uint64_t>(ms);
        log_change(log_level::warning, "stood_still", {{"ms", ms}});
    }

    /// @return Times that the process stood still.
    std::uint64_t stalls() const { return stalls_; }

    /// @param page Gets the counters.
    void collect(metric_page& page) const
    {
        page.counter("process_stalls_total",
                     "Times that this process stood still",
                     static_cast<double>(stalls_), {});
        page.counter("process_stalled_ms_total", "For so long altogether",
                     static_cast<double>(stalled_ms_), {});
    }

private:
    stall_watch_settings settings_; ///< Limits.
    instant last_{};                ///< Last tick; 0: none yet.
    std::uint64_t stalls_ = 0;      ///< So far.
    std::uint64_t stalled_ms_ = 0;  ///< So far.
};

} // namespace glenhollow

#endif
