#include "glenhollow/hosting/host_groups.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace glenhollow
{

namespace
{

/// Seeds that keep the orders of agents, hosts and jobs apart.
constexpr std::uint64_t agent_order = 1;
constexpr std::uint64_t host_order = 2;
constexpr std::uint64_t sample_order = 3;

std::uint64_t score(const std::string& name, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

constexpr double exact_steps = 9007199254740992.0; // 2^53: exact in a double.

/// @return A whole number below exact_steps.
double exact(std::uint64_t bits)
{
    constexpr unsigned unused_bits = 11;
    return static_cast<double>(bits >> unused_bits);
}

/// @return A number in (0, 1] that belongs to a job and a host.
double draw(job_id job, const std::string& host)
{
    return (exact(score(host, job)) + 1) / exact_steps;
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

std::vector<std::size_t> sample_groups(const std::string& entry,
                                       std::size_t groups, std::size_t wanted)
{
    std::set<std::size_t> drawn;
    if (wanted >= groups)
    {
        for (std::size_t i = 0; i < groups; ++i)
            drawn.insert(i);
        return {drawn.begin(), drawn.end()};
    }
    for (std::uint64_t i = 0; drawn.size() < wanted; ++i)
    {
        const auto bits =
            XXH3_64bits_withSeed(&i, sizeof i, score(entry, sample_order));
        const double place = exact(bits) / exact_steps;
        drawn.insert(
            static_cast<std::size_t>(place * static_cast<double>(groups)));
    }
    return {drawn.begin(), drawn.end()};
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
