#include "glenhollow/membership/membership.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace glenhollow
{

void membership::apply(const std::vector<member>& changes)
{
    bool any_changed = false;
    for (const auto& change : changes)
    {
        const auto known = members_.find(change.name);
        if (change.state == member_state::gone)
        {
            any_changed |= members_.erase(change.name) > 0;
            continue;
        }
        if (known != members_.end() && known->second == change)
            continue;
        members_[change.name] = change;
        any_changed = true;
    }
    if (any_changed && changed_handler_)
        changed_handler_();
}

void membership::add_unknown(const std::vector<member>& known)
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

std::vector<member> membership::with_role(member_role role) const
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

namespace
{

/// @return Whether the entry is among the `limit` best candidates for the
/// backend server.
bool ranks_among_first(const std::string& entry, const std::string& runner,
                       const std::vector<std::string>& candidates,
                       std::size_t limit)
{
    if (candidates.size() <= limit)
        return true;
    const auto seed = XXH3_64bits(runner.data(), runner.size());
    const auto weight_of = [seed](const std::string& name)
    { return XXH3_64bits_withSeed(name.data(), name.size(), seed); };
    const auto own = weight_of(entry);
    const auto better = std::count_if(candidates.begin(), candidates.end(),
                                      [&](const std::string& other)
                                      { return weight_of(other) > own; });
    return static_cast<std::size_t>(better) < limit;
}

} // namespace

std::vector<member> link_subset(const std::string& entry,
                                const std::vector<member>& entries,
                                const std::vector<member>& runners,
                                const link_subset_settings& settings)
{
    std::map<std::string, std::vector<std::string>> by_hall;
    std::map<std::string, std::vector<std::string>> outside;
    std::string hall;
    for (const auto& one : entries)
    {
        by_hall[one.hall].push_back(one.name);
        hall = one.name == entry ? one.hall : hall;
    }
    std::vector<member> chosen;
    for (const auto& runner : runners)
    {
        const bool own = runner.hall == hall;
        auto& candidates = own ? by_hall[hall] : outside[runner.hall];
        if (candidates.empty())
        {
            for (const auto& one : entries)
            {
                if (one.hall != runner.hall)
                    candidates.push_back(one.name);
            }
        }
        if (ranks_among_first(entry, runner.name, candidates,
                              own ? settings.own_hall : settings.other_halls))
            chosen.push_back(runner);
    }
    return chosen;
}

} // namespace glenhollow
