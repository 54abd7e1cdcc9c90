#ifndef GLENHOLLOW_TELEMETRY_LOG_BUDGET_HPP
#define GLENHOLLOW_TELEMETRY_LOG_BUDGET_HPP

#include "glenhollow/core/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace glenhollow
{

/// Limits of the lines of one kind.
struct log_budget_settings
{
    double lines_per_second = 20; ///< Sustained.
    double burst = 60;            ///< At once.
};

/// What becomes of one line.
struct log_permit
{
    bool write = true;          ///< Whether it is written.
    std::uint64_t left_out = 0; ///< Lines of its kind left out before it.
};

/// Bounds the lines of each kind, so that a flood of one kind costs neither
/// the process nor the other kinds. What is left out is counted and said.
class log_budget final
{
public:
    /// @param settings Limits of each kind.
    explicit log_budget(const log_budget_settings& settings = {})
        : settings_(settings)
    {
    }

    /// @param event Kind of line.
    /// @param now The time.
    /// @return Whether to write it, and how many were left out before.
    log_permit admit(std::string_view event, instant now);

private:
    /// One kind of line.
    struct kind
    {
        double tokens = 0;          ///< Lines that may be written now.
        instant filled{};           ///< When that was true.
        std::uint64_t left_out = 0; ///< Since the last written line.
    };

    log_budget_settings settings_;                   ///< Limits.
    std::map<std::string, kind, std::less<>> kinds_; ///< By event.
};

} // namespace glenhollow

#endif
