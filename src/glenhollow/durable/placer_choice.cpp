#include "glenhollow/durable/placer_choice.hpp"

#include <algorithm>

namespace glenhollow
{

std::string choose_placer(const std::vector<placer_candidate>& candidates,
                          const placer_choice_settings& settings)
{
    std::size_t most = 0;
    for (const auto& one : candidates)
        most = std::max(most, one.able ? one.agents : 0);
    const double least = settings.least_agents * static_cast<double>(most);
    const placer_candidate* best = nullptr;
    for (const auto& one : candidates)
    {
        if (!one.able || one.agents == 0 ||
            static_cast<double>(one.agents) < least)
            continue;
        if (best == nullptr || one.power > best->power ||
            (one.power == best->power && one.name < best->name))
            best = &one;
    }
    return best == nullptr ? std::string{} : best->name;
}

} // namespace glenhollow
