#ifndef GLENHOLLOW_RUNS_RUNNER_CLOCK_HPP
#define GLENHOLLOW_RUNS_RUNNER_CLOCK_HPP

#include "glenhollow/core/clock.hpp"

#include <cstdint>

namespace glenhollow
{

/// The runner's steady clock as seen from beside it. Never ahead of it: an
/// answer's reading is as old as the answer's way, and time is counted as the
/// runner counts it, on the same machine: without suspended time.
class runner_clock final
{
public:
    /// @param now When an answer arrived, by clock_source::running.
    /// @param clock_ms What it said; 0: nothing.
    void heard(instant now, std::int64_t clock_ms)
    {
        if (clock_ms <= 0)
            return;
        clock_ms_ = clock_ms;
        heard_ = now;
    }

    /// Forgets, for another life of the runner.
    void reset() { clock_ms_ = 0; }

    /// @return Whether the clock has been told.
    bool known() const { return clock_ms_ > 0; }

    /// @param now By clock_source::running.
    /// @param ahead A while from now.
    /// @return That moment on the runner's clock, ms; 0 while unknown.
    std::int64_t at(instant now, duration ahead) const
    {
        if (!known())
            return 0;
        const auto since = now - heard_ + ahead;
        return clock_ms_ +
               std::chrono::duration_cast<milliseconds>(since).count();
    }

private:
    std::int64_t clock_ms_ = 0; ///< As last told.
    instant heard_{};           ///< When.
};

} // namespace glenhollow

#endif
