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

/// Hash seeds, one for each independent order.
constexpr std::uint64_t agent_order_seed = 1;
constexpr std::uint64_t host_order_seed = 2;
constexpr std::uint64_t sample_order_seed = 3;

std::uint64_t hash_score(const std::string& name, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

constexpr double mantissa_range = 9007199254740992.0; // 2^53

/// @return The upper 53 bits, which a double represents exactly.
double mantissa_bits(std::uint64_t bits)
{
    constexpr unsigned unused_bits = 11;
    return static_cast<double>(bits >> unused_bits);
}

/// @return Number in (0, 1] that depends only on the job and the host.
double uniform_draw(job_id job, const std::string& host)
{
    return (mantissa_bits(hash_score(host, job)) + 1) / mantissa_range;
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
                  return std::pair(hash_score(a, agent_order_seed), a) <
                         std::pair(hash_score(b, agent_order_seed), b);
              });
    const auto target_count =
        std::max<std::size_t>(1, (count + size / 2) / size);
    std::vector<host_group> groups(target_count);
    for (std::size_t i = 0; i < count; ++i)
        groups[i * target_count / count].agents.push_back(std::move(agents[i]));
    return groups;
}

std::vector<std::size_t> sample_groups(const std::string& entry,
                                       std::size_t groups,
                                       std::size_t target_count)
{
    std::set<std::size_t> drawn;
    if (target_count >= groups)
    {
        for (std::size_t i = 0; i < groups; ++i)
            drawn.insert(i);
        return {drawn.begin(), drawn.end()};
    }
    for (std::uint64_t i = 0; drawn.size() < target_count; ++i)
    {
        const auto bits = XXH3_64bits_withSeed(
            &i, sizeof i, hash_score(entry, sample_order_seed));
        const double position = mantissa_bits(bits) / mantissa_range;
        drawn.insert(
            static_cast<std::size_t>(position * static_cast<double>(groups)));
    }
    return {drawn.begin(), drawn.end()};
}

std::string
choose_host(const host_group& group,
            const std::function<bool(const std::string&)>& is_eligible)
{
    const std::string* best = nullptr;
    for (const auto& agent : group.agents)
    {
        if (!is_eligible(agent))
            continue;
        if (best == nullptr || hash_score(agent, host_order_seed) <
                                   hash_score(*best, host_order_seed))
            best = &agent;
    }
    return best == nullptr ? std::string{} : *best;
}

std::size_t draw_host(job_id job, const std::vector<host_choice>& choices)
{
    std::size_t best = choices.size();
    double min_time = 0;
    for (std::size_t i = 0; i < choices.size(); ++i)
    {
        if (choices[i].weight <= 0)
            continue;
        // Exponentially distributed times with the weights as rates: the chance
        // that a host's time is the shortest is its share of the total weight.
        const double time =
            -std::log(uniform_draw(job, choices[i].host)) / choices[i].weight;
        if (best < choices.size() && time >= min_time)
            continue;
        best = i;
        min_time = time;
    }
    return best;
}

} // namespace glenhollow
