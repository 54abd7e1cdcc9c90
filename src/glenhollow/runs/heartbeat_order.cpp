#include "glenhollow/runs/heartbeat_order.hpp"

#include <algorithm>

namespace glenhollow
{

std::optional<std::uint64_t>
heartbeat_order::newer_sequence(const server_incarnation& incarnation,
                                std::uint64_t sequence) const
{
    const auto known = std::find_if(entries_.begin(), entries_.end(),
                                    [&incarnation](const entry& one)
                                    { return one.incarnation == incarnation; });
    if (known == entries_.end() || known->sequence <= sequence)
        return std::nullopt;
    return known->sequence;
}

void heartbeat_order::record(const server_incarnation& incarnation,
                             std::uint64_t sequence)
{
    std::uint64_t highest = sequence;
    std::erase_if(entries_,
                  [&](const entry& one)
                  {
                      if (one.incarnation != incarnation)
                          return false;
                      highest = std::max(highest, one.sequence);
                      return true;
                  });
    entries_.push_front({incarnation, highest});
    if (entries_.size() > max_incarnations)
        entries_.pop_back();
}

} // namespace glenhollow
