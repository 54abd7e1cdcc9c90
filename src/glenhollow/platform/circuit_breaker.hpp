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
    std::size_t failures = 3;                     ///< In a row, to open.
    duration first_open_time = milliseconds{500}; ///< Doubles each time.
    duration longest_open_time = seconds{5};      ///< The doubling ends here.
};

/// Keeps calls back from a service that fails; lets one through after each
/// pause. Pure state.
class circuit_breaker final
{
public:
    /// @param settings Limits.
    explicit circuit_breaker(const circuit_breaker_settings& settings)
        : settings_(settings), open_time_(settings.first_open_time)
    {
    }

    /// @param now The time.
    /// @return Whether a call may be made; after a pause just one.
    bool allow(instant now)
    {
        if (failures_ < settings_.failures)
            return true;
        if (now < retry_at_)
            return false;
        // The next trial has to wait for the end of this one.
        retry_at_ = now + open_time_;
        return true;
    }

    /// @param ok Whether the call was answered.
    /// @param now The time.
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

    /// @param now The time.
    /// @return Whether calls are kept back.
    bool is_open(instant now) const
    {
        return failures_ >= settings_.failures && now < retry_at_;
    }

    /// @return Whether the last calls failed, open or on trial.
    bool has_tripped() const { return failures_ >= settings_.failures; }

private:
    circuit_breaker_settings settings_; ///< Limits.
    std::size_t failures_ = 0;          ///< In a row.
    instant retry_at_{};                ///< End of the pause.
    duration open_time_;                ///< Length of the next one.
};

} // namespace glenhollow

#endif
