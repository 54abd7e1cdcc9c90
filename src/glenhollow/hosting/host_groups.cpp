#include "glenhollow/hosting/host_groups.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace glenhollow
{

namespace
{

/// Seeds that keep the orders of agents, hosts and jobs apart.
constexpr std::uint64_t agent_order = 1;
constexpr std::uint64_t host_order = 2;

std::uint64_t score(const std::string& name, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

/// @return A number in (0, 1] that belongs to a job and a host.
double draw(job_id job, const std::string& host)
{
    constexpr double steps = 9007199254740992.0; // 2^53: exact in a double.
    constexpr unsigned unused_bits = 11;
    return (static_cast<double>(score(host, job) >> unused_bits) + 1) / steps;
}

} // namespace

std::vector<host_group> divide_agents(std::vector<std::string> agents,
                                      std::size_t size)
{
    const auto count = agents.size();
    if (count == 0)
        return {};
    std::sort(agents.begin(), agents.end(),
              [](const std::string& a, const std::string& b)
              {
                  return std::pair(score(a, agent_order), a) <
                         std::pair(score(b, agent_order), b);
              });
    const auto wanted = std::max<std::size_t>(1, (count + size / 2) / size);
    std::vector<host_group> groups(wanted);
    for (std::size_t i = 0; i < count; ++i)
        groups[i * wanted / count].agents.push_back(std::move(agents[i]));
    return groups;
}

std::string choose_host(const host_group& group,
                        const std::function<bool(const std::string&)>& able)
{
    const std::string* best = nullptr;
    for (const auto& agent : group.agents)
    {
        if (!able(agent))
            continue;
        if (best == nullptr ||
            score(agent, host_order) < score(*best, host_order))
            best = &agent;
    }
    return best == nullptr ? std::string{} : *best;
}

std::size_t draw_host(job_id job, const std::vector<host_choice>& choices)
{
    std::size_t best = choices.size();
    double shortest = 0;
    for (std::size_t i = 0; i < choices.size(); ++i)
    {
        if (choices[i].weight <= 0)
            continue;
        // Times of first events at these rates: each is the shortest as often
        // as its rate's share of all.
        const double time =
            -std::log(draw(job, choices[i].host)) / choices[i].weight;
        if (best < choices.size() && time >= shortest)
            continue;
        best = i;
        shortest = time;
    }
    return best;
}

} // namespace glenhollow
