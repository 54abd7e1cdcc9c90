#include "glenhollow/durable/placer_choice.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace glenhollow
{

namespace
{

std::uint64_t score(const std::string& name, std::size_t group)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), group + 1);
}

std::size_t max_agents(const std::vector<placer_candidate>& candidates)
{
    std::size_t highest = 0;
    for (const auto& one : candidates)
        highest = std::max(highest, one.can_place ? one.agents : 0);
    return highest;
}

/// @return The entries that may be placers, in no particular order.
std::vector<placer_candidate>
eligible(const std::vector<placer_candidate>& candidates,
         const placer_choice_settings& settings)
{
    const double min_agents =
        settings.min_agent_share * static_cast<double>(max_agents(candidates));
    std::vector<placer_candidate> out;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(out),
                 [min_agents](const placer_candidate& one)
                 {
                     return one.can_place && one.agents > 0 &&
                            static_cast<double>(one.agents) >= min_agents;
                 });
    return out;
}

} // namespace

std::vector<std::string>
choose_placers(const std::vector<placer_candidate>& candidates,
               const placer_choice_settings& settings)
{
    auto remaining = eligible(candidates, settings);
    const auto agents = max_agents(candidates);
    // Rounded, so that small changes near a full number of groups do not add
    // one.
    const auto wanted = std::max<std::size_t>(
        1, (agents + settings.group_agents / 2) / settings.group_agents);
    std::vector<std::string> placers;
    while (!remaining.empty() && placers.size() < wanted)
    {
        const auto rank =
            [&settings, group = placers.size()](const placer_candidate& one)
        {
            return std::tuple(-static_cast<std::int64_t>(one.power),
                              one.started / settings.start_granularity_s,
                              score(one.name, group), one.name);
        };
        const auto best = std::min_element(remaining.begin(), remaining.end(),
                                           [&rank](const auto& a, const auto& b)
                                           { return rank(a) < rank(b); });
        placers.push_back(best->name);
        remaining.erase(best);
    }
    return placers;
}

std::size_t group_of(const std::string& agent, std::size_t groups)
{
    std::size_t best = 0;
    for (std::size_t group = 1; group < groups; ++group)
    {
        if (score(agent, group) > score(agent, best))
            best = group;
    }
    return best;
}

} // namespace glenhollow
