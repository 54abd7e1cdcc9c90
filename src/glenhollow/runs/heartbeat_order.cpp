#include "glenhollow/runs/heartbeat_order.hpp"

#include <algorithm>

namespace glenhollow
{

std::optional<std::uint64_t>
heartbeat_order::overtaken(const server_life& life,
                           std::uint64_t sequence) const
{
    const auto known =
        std::find_if(lives_.begin(), lives_.end(),
                     [&life](const latest& one) { return one.life == life; });
    if (known == lives_.end() || known->sequence <= sequence)
        return std::nullopt;
    return known->sequence;
}

void heartbeat_order::note(const server_life& life, std::uint64_t sequence)
{
    std::uint64_t highest = sequence;
    std::erase_if(lives_,
                  [&](const latest& one)
                  {
                      if (one.life != life)
                          return false;
                      highest = std::max(highest, one.sequence);
                      return true;
                  });
    lives_.push_front({life, highest});
    if (lives_.size() > most_lives)
        lives_.pop_back();
}

} // namespace glenhollow
