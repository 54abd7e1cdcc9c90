// The compiler's own fuzzer over one target: scripts/fuzz.sh TARGET SECONDS.
#include "fuzz/fuzz_target.hpp"

#include <cstdint>
#include <cstdio>
#include <cstdlib>

namespace
{

using glenhollow::fuzz::find_target;

const glenhollow::fuzz::fuzz_target& chosen()
{
    const char* name = std::getenv("GLENHOLLOW_FUZZ_TARGET");
    const auto* target = find_target(name == nullptr ? "" : name);
    if (target != nullptr)
        return *target;
    std::fprintf(stderr, "GLENHOLLOW_FUZZ_TARGET names no target\n");
    std::exit(2);
}

} // namespace

/// Called by the fuzzer with each input.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    static const auto& target = chosen();
    target.run({reinterpret_cast<const char*>(data), size});
    return 0;
}
