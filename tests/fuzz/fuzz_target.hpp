#ifndef GLENHOLLOW_TESTS_FUZZ_TARGET_HPP
#define GLENHOLLOW_TESTS_FUZZ_TARGET_HPP

#include <string_view>
#include <vector>

namespace glenhollow::fuzz
{

/// One decoder of what comes from outside, with what must hold of it.
struct fuzz_target
{
    std::string_view name; ///< Also of its folder in the corpus.

    /// Decodes; ends the process where a property does not hold.
    void (*run)(std::string_view bytes) = nullptr;
};

/// @return All targets.
const std::vector<fuzz_target>& fuzz_targets();

/// @param name Of a target.
/// @return The target, or null.
const fuzz_target* find_target(std::string_view name);

} // namespace glenhollow::fuzz

#endif
