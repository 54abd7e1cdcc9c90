#include "glenhollow/telemetry/log_budget.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

log_permit log_budget::admit(std::string_view event, instant now)
{
    auto known = kinds_.find(event);
    if (known == kinds_.end())
        known =
            kinds_.emplace(std::string(event), kind{settings_.burst, now, 0})
                .first;
    auto& one = known->second;
    const double passed =
        std::chrono::duration<double>(now - one.filled).count();
    one.tokens = std::min(settings_.burst,
                          one.tokens + passed * settings_.lines_per_second);
    one.filled = now;
    if (one.tokens < 1)
    {
        ++one.left_out;
        return {false, 0};
    }
    one.tokens -= 1;
    return {true, std::exchange(one.left_out, 0)};
}

} // namespace glenhollow
