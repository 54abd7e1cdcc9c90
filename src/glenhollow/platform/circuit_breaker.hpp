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
    std::size_t failures = 3;                 ///< In a row, to open.
    duration first_pause = milliseconds{500}; ///< Doubles each time.
    duration longest_pause = seconds{5};      ///< The doubling ends here.
};

/// Keeps calls back from a service that fails; lets one through after each
/// pause. Pure state.
class circuit_breaker final
{
public:
    /// @param settings Limits.
    explicit circuit_breaker(const circuit_breaker_settings& settings)
        : settings_(settings), pause_(settings.first_pause)
    {
    }

    /// @param now The time.
    /// @return Whether a call may be made; after a pause just one.
    bool allow(instant now)
    {
        if (failures_ < settings_.failures)
            return true;
        if (now < until_)
            return false;
        // The next trial has to wait for the end of this one.
        until_ = now + pause_;
        return true;
    }

    /// @param ok Whether the call was answered.
    /// @param now The time.
    void note(bool ok, instant now)
    {
        if (ok)
        {
            failures_ = 0;
            pause_ = settings_.first_pause;
            return;
        }
        ++failures_;
        if (failures_ < settings_.failures)
            return;
        until_ = now + pause_;
        pause_ = std::min(pause_ * 2, settings_.longest_pause);
    }

    /// @param now The time.
    /// @return Whether calls are kept back.
    bool is_open(instant now) const
    {
        return failures_ >= settings_.failures && now < until_;
    }

    /// @return Whether the last calls failed, open or on trial.
    bool has_tripped() const { return failures_ >= settings_.failures; }

private:
    circuit_breaker_settings settings_; ///< Limits.
    std::size_t failures_ = 0;          ///< In a row.
    instant until_{};                   ///< End of the pause.
    duration pause_;                    ///< Length of the next one.
};

} // namespace glenhollow

#endif
