#include "glenhollow/explain/decision_ring.hpp"

namespace glenhollow
{

bool is_notable(decision_kind kind)
{
    switch (kind)
    {
    case decision_kind::refused:
    case decision_kind::failed:
    case decision_kind::cancelled:
    case decision_kind::drained:
    case decision_kind::undrained:
    case decision_kind::ejected:
    case decision_kind::returned:
    case decision_kind::adopted:
    case decision_kind::changed:
        return true;
    default:
        return false;
    }
}

void decision_ring::add(decision_record record)
{
    record.wall = wall_nanoseconds();
    ++total_;
    if (notable_ && is_notable(record.kind))
        notable_(record);
    if (records_.size() < capacity_)
    {
        records_.push_back(record);
        return;
    }
    records_[next_] = record;
    next_ = (next_ + 1) % capacity_;
}

void decision_ring::for_each(
    const std::function<void(const decision_record&)>& visit) const
{
    for (std::size_t i = 0; i < records_.size(); ++i)
        visit(records_[(next_ + i) % records_.size()]);
}

} // namespace glenhollow
