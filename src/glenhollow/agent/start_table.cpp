#include "glenhollow/agent/start_table.hpp"

#include <cassert>
#include <utility>

namespace glenhollow
{

namespace
{

/// Estimated size in bytes of a record without its result: map node, age entry
/// and allocator overhead.
constexpr std::size_t record_overhead = 192;

} // namespace

start_decision start_table::refuse(reason why)
{
    ++stats_.refused;
    return {start_decision::action::refuse, why};
}

start_decision start_table::begin(std::uint64_t incarnation,
                                  const task_key& key, instant begin_by,
                                  instant now, const job_info& job)
{
    // Duplicates are answered from the record, even while fenced or draining.
    if (const auto* existing = find(incarnation, key))
    {
        const bool done = existing->at == start_record::stage::done;
        ++(done ? stats_.replayed : stats_.joined);
        return {done ? start_decision::action::replay
                     : start_decision::action::join,
                reason::none};
    }
    if (is_fenced(incarnation))
        return refuse(reason::fenced);
    if (bytes_ + record_overhead > settings_.max_bytes)
        return refuse(reason::memory_full);

    // Record the refusal: a duplicate that arrives later must not run after
    // the entry has received not_run.
    reason why = reason::none;
    if (draining_)
        why = reason::draining;
    else if (now > begin_by)
        why = reason::start_expired;

    start_record record;
    record.recorded_at = now;
    record.job = job;
    if (why != reason::none)
    {
        record.at = start_record::stage::done;
        record.end = {verdict::not_run, why};
    }
    records_[incarnation].emplace(key, std::move(record));
    by_age_.push_back({now, incarnation, key});
    bytes_ += record_overhead;
    ++count_;
    if (why != reason::none)
        return refuse(why);
    ++stats_.accepted;
    return {start_decision::action::accept, reason::none};
}

reason start_table::check_before_run(std::uint64_t incarnation,
                                     const task_key& key, instant begin_by,
                                     instant now)
{
    auto* record = find_mutable(incarnation, key);
    assert(record && record->at == start_record::stage::queued);
    if (is_fenced(incarnation))
        return reason::fenced;
    if (draining_)
        return reason::draining;
    if (now > begin_by)
        return reason::start_expired;
    record->at = start_record::stage::running;
    return reason::none;
}

void start_table::finish(std::uint64_t incarnation, const task_key& key,
                         start_record record)
{
    auto* existing = find_mutable(incarnation, key);
    if (!existing)
        return;
    record.recorded_at = existing->recorded_at;
    record.job = existing->job;
    record.at = start_record::stage::done;
    bytes_ += record.body.size();
    if (record.end.what == verdict::not_run)
        ++stats_.refused;
    *existing = std::move(record);
}

const start_record* start_table::find(std::uint64_t incarnation,
                                      const task_key& key) const
{
    const auto entry_records = records_.find(incarnation);
    if (entry_records == records_.end())
        return nullptr;
    const auto found = entry_records->second.find(key);
    return found == entry_records->second.end() ? nullptr : &found->second;
}

start_record* start_table::find_mutable(std::uint64_t incarnation,
                                        const task_key& key)
{
    return const_cast<start_record*>(
        std::as_const(*this).find(incarnation, key));
}

void start_table::acknowledge(std::uint64_t incarnation, const task_key& key)
{
    const auto* existing = find(incarnation, key);
    if (!existing || existing->at != start_record::stage::done)
        return;
    erase(incarnation, key);
    // Results are acknowledged in nearly the order of their starts, so trimming
    // the front keeps the queue short.
    while (!by_age_.empty() &&
           !find(by_age_.front().incarnation, by_age_.front().key))
        by_age_.pop_front();
}

void start_table::erase(std::uint64_t incarnation, const task_key& key)
{
    const auto entry_records = records_.find(incarnation);
    if (entry_records == records_.end())
        return;
    const auto found = entry_records->second.find(key);
    if (found == entry_records->second.end())
        return;
    bytes_ -= record_overhead + found->second.body.size();
    --count_;
    entry_records->second.erase(found);
    if (entry_records->second.empty())
        records_.erase(entry_records);
}

void start_table::fence(std::uint64_t incarnation, instant now)
{
    fenced_.emplace(incarnation, now);
}

bool start_table::is_fenced(std::uint64_t incarnation) const
{
    return fenced_.contains(incarnation);
}

std::vector<task_key> start_table::keys_of(std::uint64_t incarnation) const
{
    std::vector<task_key> keys;
    const auto entry_records = records_.find(incarnation);
    if (entry_records == records_.end())
        return keys;
    keys.reserve(entry_records->second.size());
    for (const auto& [key, record] : entry_records->second)
        keys.push_back(key);
    return keys;
}

void start_table::expire(instant now)
{
    const instant cutoff = now - settings_.record_retention;
    while (!by_age_.empty() && by_age_.front().recorded_at < cutoff)
    {
        const auto entry = by_age_.front();
        by_age_.pop_front();
        const auto* existing = find(entry.incarnation, entry.key);
        // The record was acknowledged or replaced by a newer one.
        if (!existing || existing->recorded_at != entry.recorded_at)
            continue;
        if (existing->at != start_record::stage::done)
        {
            // The task is unfinished: keep its record for another period.
            by_age_.push_back({now, entry.incarnation, entry.key});
            find_mutable(entry.incarnation, entry.key)->recorded_at = now;
            continue;
        }
        ++stats_.expired;
        erase(entry.incarnation, entry.key);
    }
    std::erase_if(fenced_,
                  [&](const auto& fence) { return fence.second < cutoff; });
}

} // namespace glenhollow
