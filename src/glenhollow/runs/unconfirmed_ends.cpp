#include "glenhollow/runs/unconfirmed_ends.hpp"

namespace glenhollow
{

bool unconfirmed_ends::add(const run_end& end, std::uint32_t lease, instant now)
{
    if (end.number != 0 &&
        (end.number <= confirmed_ || listed_.contains(end.number)))
        return false;
    const auto known = ends_.find(end.run);
    // The backend server's own listing replaces an end concluded here.
    const bool concluded = known != ends_.end() &&
                           known->second.end.number == 0 && end.number != 0;
    if (known != ends_.end() && !concluded)
        return false;
    if (end.number != 0)
    {
        listed_.emplace(end.number, false);
        ++unsettled_;
    }
    ends_.insert_or_assign(end.run,
                           unconfirmed_end{end, lease, now, false, false});
    return true;
}

void unconfirmed_ends::confirm(const run_end& end)
{
    const auto known = ends_.find(end.run);
    if (known == ends_.end())
        return;
    // The confirmation of a concluded end does not cover the listed one.
    if (known->second.end.number != end.number)
        return;
    ends_.erase(known);
    settle(end.number);
}

void unconfirmed_ends::settle(std::uint64_t number)
{
    const auto known = listed_.find(number);
    if (known == listed_.end() || known->second)
        return;
    known->second = true;
    --unsettled_;
    while (!listed_.empty() && listed_.begin()->second)
    {
        confirmed_ = listed_.begin()->first;
        listed_.erase(listed_.begin());
    }
}

void unconfirmed_ends::release(const run_ref& run)
{
    const auto known = ends_.find(run);
    if (known == ends_.end() || known->second.released)
        return;
    known->second.released = true;
    settle(known->second.end.number);
}

void unconfirmed_ends::release_all()
{
    for (auto& [run, recorded] : ends_)
    {
        recorded.released = true;
        settle(recorded.end.number);
    }
}

void unconfirmed_ends::reset_numbers()
{
    for (auto& [run, recorded] : ends_)
    {
        recorded.end.number = 0;
        recorded.reported = false;
    }
    listed_.clear();
    unsettled_ = 0;
    confirmed_ = 0;
}

} // namespace glenhollow
