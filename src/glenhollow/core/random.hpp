#ifndef GLENHOLLOW_CORE_RANDOM_HPP
#define GLENHOLLOW_CORE_RANDOM_HPP

#include <cstdint>
#include <random>

namespace glenhollow
{

/// The generator that decisions draw from; seeded in tests.
using random_engine = std::mt19937_64;

/// @return 64 bits from the system's entropy, never 0.
inline std::uint64_t random_incarnation()
{
    std::random_device device;
    const std::uint64_t high = device();
    const std::uint64_t low = device();
    const std::uint64_t bits = (high << 32U) | low;
    return bits == 0 ? 1 : bits;
}

/// @param engine Where the number comes from.
/// @return A number in [0, 1).
inline double uniform(random_engine& engine)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(engine);
}

} // namespace glenhollow

#endif
