#ifndef GLENHOLLOW_DURABLE_PLACEMENT_RATE_HPP
#define GLENHOLLOW_DURABLE_PLACEMENT_RATE_HPP

#include "glenhollow/core/clock.hpp"

namespace glenhollow
{

/// The rate at which waiting work of one queue is placed. It is the share of
/// the backend servers that this entry gets beside all others. Not thread-safe.
class placement_rate final
{
public:
    /// Records placed work.
    /// @param core_ms Core-milliseconds of the work.
    void placed(double core_ms) { core_ms_ += core_ms; }

    /// Closes a measuring interval.
    /// @param is_waiting Whether work waits at the end of the interval.
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

    /// @return Cores, that is core-milliseconds per millisecond; 0 where it is
    /// unknown because no work has waited for long.
    double cores() const { return intervals_ < min_intervals ? 0 : cores_; }

private:
    static constexpr double weight = 0.3; ///< Weight of the newest interval in
                                          ///< the average.
    static constexpr int min_intervals = 3; ///< Intervals measured before a
                                            ///< rate is given.

    void add_sample(double cores)
    {
        cores_ = cores_ == 0 ? cores : cores_ + weight * (cores - cores_);
        ++intervals_;
    }

    double core_ms_ = 0;       ///< Work placed in this interval.
    double cores_ = 0;         ///< Moving average; 0: no work waited lately.
    int intervals_ = 0;        ///< Intervals since work began to wait.
    bool was_waiting_ = false; ///< Whether work waited at the start of this
                               ///< interval.
    instant since_{};          ///< Start of this interval.
};

} // namespace glenhollow

#endif
