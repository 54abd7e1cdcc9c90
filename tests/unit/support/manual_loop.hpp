#ifndef GLENHOLLOW_TESTS_UNIT_SUPPORT_MANUAL_LOOP_HPP
#define GLENHOLLOW_TESTS_UNIT_SUPPORT_MANUAL_LOOP_HPP

#include "glenhollow/core/clock.hpp"

#include <functional>
#include <map>
#include <utility>

namespace glenhollow
{

/// Clock and delayed work that the test advances.
class manual_loop
{
public:
    /// @return A function that schedules work by the manual clock.
    std::function<void(duration, std::function<void()>)> delay()
    {
        return [this](duration wait, std::function<void()> work)
        { work_.emplace(clock.now() + wait, std::move(work)); };
    }

    /// Advances the clock and runs the work that becomes due, in order.
    void advance(duration by)
    {
        const auto end = clock.now() + by;
        while (!work_.empty() && work_.begin()->first <= end)
        {
            auto next = work_.extract(work_.begin());
            if (next.key() > clock.now())
                clock.advance(next.key() - clock.now());
            next.mapped()();
        }
        clock.advance(end - clock.now());
    }

    manual_clock clock; ///< Clock for the code under test.

private:
    std::multimap<instant, std::function<void()>> work_; ///< Work by time.
};

} // namespace glenhollow

#endif
