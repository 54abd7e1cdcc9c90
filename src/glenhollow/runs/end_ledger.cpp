#include "glenhollow/runs/end_ledger.hpp"

#include <algorithm>

namespace glenhollow
{

bool end_ledger::add(const run_end& end, std::uint32_t lease, instant now)
{
    if (end.number != 0)
    {
        if (end.number <= confirmed_)
            return false;
        highest_ = std::max(highest_, end.number);
    }
    const auto known = ends_.find(end.run);
    if (known != ends_.end())
    {
        // Concluded before, now listed by the runner: the runner knows.
        if (known->second.end.number != 0 || end.number == 0)
            return false;
        known->second.end = end;
        known->second.told = false;
        listed_.emplace(end.number, false);
        return true;
    }
    ends_.emplace(end.run, kept_end{end, lease, now, false, false});
    if (end.number != 0)
        listed_.emplace(end.number, false);
    return true;
}

void end_ledger::confirm(const run_end& end)
{
    const auto known = ends_.find(end.run);
    if (known == ends_.end())
        return;
    // A confirmation of a concluded end says nothing of the listed one.
    if (known->second.end.number != end.number)
        return;
    ends_.erase(known);
    settle(end.number);
}

void end_ledger::settle(std::uint64_t number)
{
    if (number == 0)
        return;
    listed_.erase(number);
    confirmed_ =
        std::max(confirmed_,
                 listed_.empty() ? highest_ : listed_.begin()->first - 1);
}

void end_ledger::excuse_all()
{
    for (auto& [run, kept] : ends_)
        kept.excused = true;
    listed_.clear();
    confirmed_ = std::max(confirmed_, highest_);
}

void end_ledger::new_life()
{
    for (auto& [run, kept] : ends_)
    {
        kept.end.number = 0;
        kept.told = false;
    }
    listed_.clear();
    confirmed_ = 0;
    highest_ = 0;
}

} // namespace glenhollow
