#ifndef GLENHOLLOW_RUNS_SERVER_CLOCK_HPP
#define GLENHOLLOW_RUNS_SERVER_CLOCK_HPP

#include "glenhollow/core/clock.hpp"

#include <cstdint>

namespace glenhollow
{

/// The runner's steady clock as seen from beside it. Never ahead of it: an
/// answer's reading is as old as the answer's way, and time is counted as the
/// runner counts it, on the same machine: without suspended time.
class server_clock final
{
public:
    /// @param now When an answer arrived, by clock_source::running.
    /// @param clock_ms What it said; 0: nothing.
    void update(instant now, std::int64_t clock_ms)
    {
        if (clock_ms <= 0)
            return;
        clock_ms_ = clock_ms;
        updated_at_ = now;
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
        const auto since = now - updated_at_ + ahead;
        return clock_ms_ +
               std::chrono::duration_cast<milliseconds>(since).count();
    }

private:
    std::int64_t clock_ms_ = 0; ///< As last told.
    instant updated_at_{};      ///< When.
};

} // namespace glenhollow

#endif
