#ifndef GLENHOLLOW_PLATFORM_CIRCUIT_BREAKER_HPP
#define GLENHOLLOW_PLATFORM_CIRCUIT_BREAKER_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace glenhollow
{

/// Limits of a circuit breaker.
struct circuit_breaker_settings
{
    std::size_t failures = 3; ///< Consecutive failures that open it.
    duration first_open_time = milliseconds{500}; ///< Doubled per failure.
    duration longest_open_time = seconds{5};      ///< Longest open time.
};

/// Circuit breaker: rejects calls to a failing service and admits one trial
/// call each time the open time has passed. Performs no I/O.
class circuit_breaker final
{
public:
    explicit circuit_breaker(const circuit_breaker_settings& settings)
        : settings_(settings), open_time_(settings.first_open_time)
    {
    }

    /// @return Whether a call may be made; one trial after each open time.
    bool allow(instant now)
    {
        if (failures_ < settings_.failures)
            return true;
        if (now < retry_at_)
            return false;
        // The next trial waits for another open time.
        retry_at_ = now + open_time_;
        return true;
    }

    /// Records the result of a call.
    void record_result(bool succeeded, instant now)
    {
        if (succeeded)
        {
            failures_ = 0;
            open_time_ = settings_.first_open_time;
            return;
        }
        ++failures_;
        if (failures_ < settings_.failures)
            return;
        retry_at_ = now + open_time_;
        open_time_ = std::min(open_time_ * 2, settings_.longest_open_time);
    }

    /// @return Whether calls are rejected.
    bool is_open(instant now) const
    {
        return failures_ >= settings_.failures && now < retry_at_;
    }

    /// @return Whether the failure threshold is reached, open or on trial.
    bool has_tripped() const { return failures_ >= settings_.failures; }

private:
    circuit_breaker_settings settings_;
    std::size_t failures_ = 0; ///< Consecutive failures.
    instant retry_at_{};       ///< Time of the next trial call.
    duration open_time_;       ///< Current open time.
};

} // namespace glenhollow

#endif
