#ifndef GLENHOLLOW_DURABLE_PLACEMENT_RATE_HPP
#define GLENHOLLOW_DURABLE_PLACEMENT_RATE_HPP

#include "glenhollow/core/clock.hpp"

namespace glenhollow
{

/// How quickly the work of one queue finds places while some of it waits: the
/// share of the runners that this entry gets, beside all others. One thread.
class placement_rate final
{
public:
    /// @param core_ms Work that found a place.
    void placed(double core_ms) { core_ms_ += core_ms; }

    /// Ends a span of time.
    /// @param now The time.
    /// @param waits Whether work waits at its end.
    void review(instant now, bool is_waiting)
    {
        const double interval_ms =
            std::chrono::duration<double, std::milli>(now - since_).count();
        if (!is_waiting || !was_waiting_)
            cores_ = intervals_ = 0;
        else if (interval_ms > 0)
            add_sample(core_ms_ / interval_ms);
        was_waiting_ = is_waiting;
        core_ms_ = 0;
        since_ = now;
    }

    /// @return Core-milliseconds a millisecond; 0 where it is not known, for
    /// nothing has had to wait for long.
    double cores() const { return intervals_ < min_intervals ? 0 : cores_; }

private:
    static constexpr double weight = 0.3;   ///< Of the newest span.
    static constexpr int min_intervals = 3; ///< Spans before it is told.

    void add_sample(double cores)
    {
        cores_ = cores_ == 0 ? cores : cores_ + weight * (cores - cores_);
        ++intervals_;
    }

    double core_ms_ = 0;       ///< In this span.
    double cores_ = 0;         ///< On average; 0: nothing waited lately.
    int intervals_ = 0;        ///< Noted since work began to wait.
    bool was_waiting_ = false; ///< At the begin of this span.
    instant since_{};          ///< Its begin.
};

} // namespace glenhollow

#endif
