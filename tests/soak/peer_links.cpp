#include "soak/peer_links.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace glenhollow::soak
{

namespace
{

/// @param pair From 0: 0-1, 0-2, 1-2, 0-3 and so on.
/// @return Both halls, the smaller one first.
std::pair<std::uint32_t, std::uint32_t> halls_of(std::uint32_t pair)
{
    std::uint32_t second = 1;
    while (pair >= second)
    {
        pair -= second;
        ++second;
    }
    return {pair, second};
}

} // namespace

peer_links::peer_links(boost::asio::io_context& io,
                       const std::vector<peer_place>& places,
                       std::uint32_t entries)
    : places_(places)
{
    for (std::uint32_t from = 0; from < entries; ++from)
    {
        for (std::uint32_t to = 0; to < places_.size(); ++to)
        {
            if (from == to)
                continue;
            const host_port shown{places_[to].where.host,
                                  places_[from].where.port};
            links_.push_back(
                {std::make_unique<faulty_link>(io, shown, places_[to].where),
                 from, to});
        }
    }
}

bool peer_links::is_of(const peer_link& one, std::size_t place,
                       const planned_fault& fault) const
{
    switch (group_of(fault.kind))
    {
    case fault_group::peer:
        return place == fault.target;
    case fault_group::process:
        return one.from == fault.target || one.to == fault.target;
    case fault_group::halls:
        return std::pair<std::uint32_t, std::uint32_t>(
                   std::minmax(places_[one.from].hall, places_[one.to].hall)) ==
               halls_of(fault.target);
    default:
        return false;
    }
}

void peer_links::harm(const planned_fault& fault)
{
    for (std::size_t i = 0; i < links_.size(); ++i)
    {
        if (!is_of(links_[i], i, fault))
            continue;
        if (fault.kind == fault_kind::peer_lost)
            links_[i].link->strand();
        else
            links_[i].link->harm(state_of(fault.kind), fault.lasts);
    }
}

std::vector<std::uint32_t> peer_links::touched(const planned_fault& fault) const
{
    std::set<std::uint32_t> out;
    for (std::size_t i = 0; i < links_.size(); ++i)
    {
        if (is_of(links_[i], i, fault))
            out.insert({links_[i].from, links_[i].to});
    }
    return {out.begin(), out.end()};
}

bool peer_links::calm() const
{
    return std::all_of(links_.begin(), links_.end(),
                       [](const peer_link& one) { return one.link->calm(); });
}

} // namespace glenhollow::soak
