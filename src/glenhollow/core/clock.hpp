#ifndef GLENHOLLOW_CORE_CLOCK_HPP
#define GLENHOLLOW_CORE_CLOCK_HPP

#include <chrono>

namespace glenhollow
{

/// A length of time.
using duration = std::chrono::nanoseconds;

/// An instant on one machine's monotonic clock that counts suspend, in ns.
/// Instants of two machines are never compared.
using instant = std::chrono::nanoseconds;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A source of the time, so that unit tests can drive it by hand.
class clock_source
{
public:
    virtual ~clock_source() = default;

    /// @return The time now.
    virtual instant now() const = 0;

    /// What a process on this machine measures by a steady clock goes on by
    /// this one: it stands still while the machine is suspended.
    /// @return Time that this machine has run; only differences count.
    virtual instant running() const { return now(); }
};

/// The machine's own CLOCK_BOOTTIME, and CLOCK_MONOTONIC for time that it has
/// run.
class system_clock final : public clock_source
{
public:
    /// @return Time since boot, suspended time included.
    instant now() const override;

    /// @return Time since boot without suspended time.
    instant running() const override;
};

/// A clock that a test moves.
class manual_clock final : public clock_source
{
public:
    /// @return The time last set.
    instant now() const override { return now_; }

    /// @return Time shown without that of suspensions.
    instant running() const override { return now_ - suspended_; }

    /// @param by How far to move the clock.
    void advance(duration by) { now_ += by; }

    /// The machine was suspended.
    /// @param length How long.
    void suspend(duration length)
    {
        now_ += length;
        suspended_ += length;
    }

private:
    instant now_{seconds{1000}}; ///< The time shown.
    duration suspended_{};       ///< So far.
};

/// @return The clock of this process.
const clock_source& process_clock();

/// @return Wall time in ns since 1970, for logs and traces only.
std::int64_t wall_nanoseconds();

} // namespace glenhollow

#endif
