#include "glenhollow/decision/retry_budget.hpp"

#include <algorithm>

namespace glenhollow
{

void retry_budget::deposit(const std::string& team, std::size_t tasks)
{
    auto [team_budget, inserted] =
        budget_.try_emplace(team, settings_.initial_budget);
    team_budget->second = std::min(
        settings_.max_budget,
        team_budget->second + settings_.share * static_cast<double>(tasks));
}

bool retry_budget::try_withdraw(const std::string& team, std::size_t attempts)
{
    if (attempts >= settings_.max_attempts)
        return false;
    auto [team_budget, inserted] =
        budget_.try_emplace(team, settings_.initial_budget);
    if (team_budget->second < 1.0)
        return false;
    team_budget->second -= 1.0;
    return true;
}

duration retry_budget::backoff(std::size_t attempts,
                               random_engine& random) const
{
    auto bound = settings_.initial_backoff;
    for (std::size_t i = 1; i < attempts && bound < settings_.max_backoff; ++i)
        bound *= 2;
    bound = std::min(bound, settings_.max_backoff);
    return std::chrono::duration_cast<duration>(bound * uniform(random));
}

} // namespace glenhollow
