#ifndef GLENHOLLOW_RUNS_SERVER_CLOCK_HPP
#define GLENHOLLOW_RUNS_SERVER_CLOCK_HPP

#include "glenhollow/core/clock.hpp"

#include <cstdint>

namespace glenhollow
{

/// Estimate of the backend server's steady clock. It is never ahead of that
/// clock: a reading is as old as the answer that carried it. Both clocks belong
/// to the same machine and do not count suspended time.
class server_clock final
{
public:
    /// Records a reading of the clock.
    /// @param now Time when the answer arrived, by clock_source::running.
    /// @param clock_ms Server clock in the answer, ms; 0: not reported.
    void update(instant now, std::int64_t clock_ms)
    {
        if (clock_ms <= 0)
            return;
        clock_ms_ = clock_ms;
        updated_at_ = now;
    }

    /// Forgets the clock, because a new incarnation has its own.
    void reset() { clock_ms_ = 0; }

    /// @return Whether the server has reported its clock.
    bool known() const { return clock_ms_ > 0; }

    /// @param now Current time, by clock_source::running.
    /// @param ahead Offset from now.
    /// @return The server's clock at that time, ms; 0 while unknown.
    std::int64_t at(instant now, duration ahead) const
    {
        if (!known())
            return 0;
        const auto since = now - updated_at_ + ahead;
        return clock_ms_ +
               std::chrono::duration_cast<milliseconds>(since).count();
    }

private:
    std::int64_t clock_ms_ = 0; ///< Last reported reading, ms; 0: unknown.
    instant updated_at_{};      ///< Time when the reading arrived.
};

} // namespace glenhollow

#endif
