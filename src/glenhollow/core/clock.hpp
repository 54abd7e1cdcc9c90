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
};

/// The machine's own CLOCK_BOOTTIME.
class system_clock final : public clock_source
{
public:
    /// @return Time since boot, suspended time included.
    instant now() const override;
};

/// A clock that a test moves.
class manual_clock final : public clock_source
{
public:
    /// @return The time last set.
    instant now() const override { return now_; }

    /// @param by How far to move the clock.
    void advance(duration by) { now_ += by; }

private:
    instant now_{seconds{1000}}; ///< The time shown.
};

/// @return The clock of this process.
const clock_source& process_clock();

/// @return Wall time in ns since 1970, for logs and traces only.
std::int64_t wall_nanoseconds();

} // namespace glenhollow

#endif
