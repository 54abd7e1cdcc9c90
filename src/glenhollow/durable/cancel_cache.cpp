#include "glenhollow/durable/cancel_cache.hpp"

namespace glenhollow
{

bool cancel_cache::record(job_id id, instant now)
{
    const bool inserted =
        known_.emplace(id, cached_cancel{job_state::cancelled, false, now})
            .second;
    if (!inserted)
        return false;
    order_.push_back(id);
    if (order_.size() > settings_.max_jobs)
    {
        ++evictions_;
        evict_oldest();
    }
    return true;
}

void cancel_cache::set_end_state(job_id id, job_state state)
{
    const auto known = known_.find(id);
    if (known == known_.end())
        return;
    known->second.found = true;
    known->second.state = state;
}

const cached_cancel* cancel_cache::find(job_id id) const
{
    const auto known = known_.find(id);
    return known == known_.end() ? nullptr : &known->second;
}

void cancel_cache::evict_oldest()
{
    known_.erase(order_.front());
    order_.pop_front();
}

/// A cancel fetched from another entry may be older than its predecessors in
/// the insertion order, and is then kept slightly longer.
void cancel_cache::expire(instant now)
{
    while (!order_.empty() &&
           now - known_.at(order_.front()).cancelled_at >= settings_.retention)
        evict_oldest();
}

std::vector<std::pair<job_id, cached_cancel>> cancel_cache::all() const
{
    std::vector<std::pair<job_id, cached_cancel>> out;
    out.reserve(order_.size());
    for (const auto id : order_)
        out.emplace_back(id, known_.at(id));
    return out;
}

} // namespace glenhollow
