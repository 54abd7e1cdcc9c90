#include "glenhollow/durable/remembered_cancels.hpp"

namespace glenhollow
{

bool remembered_cancels::note(job_id id, instant now)
{
    const bool news =
        known_.emplace(id, remembered_cancel{job_state::cancelled, false, now})
            .second;
    if (!news)
        return false;
    order_.push_back(id);
    if (order_.size() > settings_.most)
    {
        ++crowded_out_;
        forget_first();
    }
    return true;
}

void remembered_cancels::found(job_id id, job_state state)
{
    const auto known = known_.find(id);
    if (known == known_.end())
        return;
    known->second.found = true;
    known->second.state = state;
}

const remembered_cancel* remembered_cancels::find(job_id id) const
{
    const auto known = known_.find(id);
    return known == known_.end() ? nullptr : &known->second;
}

void remembered_cancels::forget_first()
{
    known_.erase(order_.front());
    order_.pop_front();
}

/// What another entry told has an earlier time than its neighbours, and stays
/// with them a little longer.
void remembered_cancels::forget_old(instant now)
{
    while (!order_.empty() &&
           now - known_.at(order_.front()).noted >= settings_.keep)
        forget_first();
}

std::vector<std::pair<job_id, remembered_cancel>>
remembered_cancels::all() const
{
    std::vector<std::pair<job_id, remembered_cancel>> out;
    out.reserve(order_.size());
    for (const auto id : order_)
        out.emplace_back(id, known_.at(id));
    return out;
}

} // namespace glenhollow
