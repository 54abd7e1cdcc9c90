#ifndef GLENHOLLOW_CORE_WIRE_BOUNDS_HPP
#define GLENHOLLOW_CORE_WIRE_BOUNDS_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace glenhollow
{

/// Lengths of time that come over a link stay below it, so that sums of some
/// of them, in nanoseconds, can be counted with: 100 days, ms.
inline constexpr std::int64_t longest_told_ms = 8'640'000'000;

/// @param told A length of time that came over a link, ms; may be negative.
/// @return It, within what can be counted with.
constexpr std::int64_t told_length_ms(std::int64_t told)
{
    return std::clamp(told, -longest_told_ms, longest_told_ms);
}

/// @param told Nanoseconds of a monotonic clock that came over a link.
/// @return It as an instant; 0 where no clock shows that.
constexpr instant told_instant(std::int64_t told)
{
    constexpr std::int64_t most = 1LL << 61; // 73 years.
    return told < 0 || told > most ? instant{} : instant{told};
}

/// @param told An amount that came over a link.
/// @return It; 0 where it is none.
inline double told_amount(double told)
{
    return std::isfinite(told) && told > 0 ? told : 0.0;
}

} // namespace glenhollow

#endif
