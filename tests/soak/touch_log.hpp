#ifndef GLENHOLLOW_TESTS_SOAK_TOUCH_LOG_HPP
#define GLENHOLLOW_TESTS_SOAK_TOUCH_LOG_HPP

#include "glenhollow/core/clock.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace glenhollow::soak
{

/// When processes were disturbed: rules with a time bound hold only for those
/// that were in touch with the others.
class touch_log final
{
public:
    /// @param process Any number; alike for the same process.
    /// @param from When something began that disturbs it.
    /// @param to When that ends.
    void disturb(std::uint32_t process, instant from, instant to);

    /// The same for all processes.
    void disturb_all(instant from, instant to);

    /// @param process Its number.
    /// @param at When.
    /// @return Whether it was left alone then and for some time before, so that
    /// it knows what it was told.
    bool in_touch(std::uint32_t process, instant at) const;

private:
    /// From, to.
    struct span
    {
        instant from{}; ///< Begin.
        instant to{};   ///< End.
    };

    static bool clear(const std::vector<span>& spans, instant at);

    std::map<std::uint32_t, std::vector<span>> spans_; ///< By process.
    std::vector<span> of_all_;                         ///< Of all.
};

} // namespace glenhollow::soak

#endif
