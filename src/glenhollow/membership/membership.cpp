#include "glenhollow/membership/membership.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace glenhollow
{

void membership::apply(const std::vector<member>& changes)
{
    bool any = false;
    for (const auto& change : changes)
    {
        const auto known = members_.find(change.name);
        if (change.state == member_state::gone)
        {
            any |= members_.erase(change.name) > 0;
            continue;
        }
        if (known != members_.end() && known->second == change)
            continue;
        members_[change.name] = change;
        any = true;
    }
    if (any && changed_)
        changed_();
}

void membership::learn(const std::vector<member>& known)
{
    std::vector<member> unknown;
    for (const auto& one : known)
    {
        if (!members_.contains(one.name))
            unknown.push_back(one);
    }
    apply(unknown);
}

const member* membership::find(const std::string& name) const
{
    const auto known = members_.find(name);
    return known == members_.end() ? nullptr : &known->second;
}

std::vector<member> membership::of_role(member_role role) const
{
    std::vector<member> found;
    for (const auto& [name, one] : members_)
    {
        if (one.role == role)
            found.push_back(one);
    }
    return found;
}

std::vector<std::string> rendezvous_order(const std::string& key,
                                          std::vector<std::string> candidates)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(candidates.size());
    const auto seed = XXH3_64bits(key.data(), key.size());
    for (auto& name : candidates)
    {
        const auto weight =
            XXH3_64bits_withSeed(name.data(), name.size(), seed);
        ranked.emplace_back(weight, std::move(name));
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<std::string> ordered;
    ordered.reserve(ranked.size());
    for (auto& [weight, name] : ranked)
        ordered.push_back(std::move(name));
    return ordered;
}

std::vector<member> link_subset(const std::string& entry,
                                const std::string& hall,
                                const std::vector<member>& runners,
                                const link_subset_settings& settings)
{
    std::map<std::string, const member*> by_name;
    std::vector<std::string> own;
    std::vector<std::string> other;
    for (const auto& one : runners)
    {
        by_name.emplace(one.name, &one);
        (one.hall == hall ? own : other).push_back(one.name);
    }
    std::vector<member> chosen;
    const auto take = [&](std::vector<std::string> names, std::size_t most)
    {
        auto ordered = rendezvous_order(entry, std::move(names));
        ordered.resize(std::min(ordered.size(), most));
        for (const auto& name : ordered)
            chosen.push_back(*by_name.at(name));
    };
    take(std::move(own), settings.own_hall);
    take(std::move(other), settings.other_halls);
    return chosen;
}

} // namespace glenhollow
