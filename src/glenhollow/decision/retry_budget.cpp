#include "glenhollow/decision/retry_budget.hpp"

#include <algorithm>

namespace glenhollow
{

void retry_budget::earn(const std::string& team, std::size_t tasks)
{
    auto [entry, fresh] = budget_.try_emplace(team, settings_.at_first);
    entry->second =
        std::min(settings_.most_saved,
                 entry->second + settings_.share * static_cast<double>(tasks));
}

bool retry_budget::spend(const std::string& team, std::size_t attempts)
{
    if (attempts >= settings_.attempts)
        return false;
    auto [entry, fresh] = budget_.try_emplace(team, settings_.at_first);
    if (entry->second < 1.0)
        return false;
    entry->second -= 1.0;
    return true;
}

duration retry_budget::backoff(std::size_t attempts,
                               random_engine& random) const
{
    auto bound = settings_.first_backoff;
    for (std::size_t i = 1; i < attempts && bound < settings_.longest_backoff;
         ++i)
        bound *= 2;
    bound = std::min(bound, settings_.longest_backoff);
    return std::chrono::duration_cast<duration>(bound * uniform(random));
}

} // namespace glenhollow
