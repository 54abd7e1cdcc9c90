#ifndef GLENHOLLOW_DURABLE_CANCEL_CACHE_HPP
#define GLENHOLLOW_DURABLE_CANCEL_CACHE_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace glenhollow
{

/// Bounds of a cancel_cache.
struct cancel_cache_settings
{
    duration retention = seconds{60}; ///< Exceeds the time for which callers
                                      ///< resubmit a job, 30 s, as a cancel
                                      ///< may arrive before the job.
    /// Capacity; the oldest entry is evicted first. It takes some 2 MB and
    /// covers 333 cancels a second for the retention time.
    std::size_t max_jobs = 20'000;
};

/// A cancelled job.
struct cached_cancel
{
    job_state state = job_state::cancelled; ///< Last known end state.
    bool found = false;                     ///< Whether an entry had the job.
    instant cancelled_at{}; ///< Time at which its cancel was received.
};

/// Recently cancelled jobs that are kept in memory or that their owner did not
/// know. A submission that arrives after its cancel is rejected by a look-up
/// here.
class cancel_cache final
{
public:
    explicit cancel_cache(const cancel_cache_settings& settings)
        : settings_(settings)
    {
    }

    /// Adds a cancelled job; a job that is present keeps its time.
    /// @param now Time at which the cancel was received by any entry.
    /// @return Whether the job was added.
    bool record(job_id id, instant now);

    /// Records how a job ended, if the job is present.
    /// @param state End state reported by the entry that had the job.
    void set_end_state(job_id id, job_state state);

    /// @return The cached entry of a job, or null.
    const cached_cancel* find(job_id id) const;

    /// Removes jobs whose retention has expired.
    void expire(instant now);

    /// @return All cached jobs, the oldest first.
    std::vector<std::pair<job_id, cached_cancel>> all() const;

    /// @return Number of cached jobs.
    std::size_t size() const { return known_.size(); }

    /// @return Number of jobs evicted because the cache was full.
    std::uint64_t evictions() const { return evictions_; }

private:
    void evict_oldest();

    cancel_cache_settings settings_;
    std::unordered_map<job_id, cached_cancel> known_; ///< Cached jobs by id.
    std::deque<job_id> order_; ///< Ids in insertion order.
    std::uint64_t evictions_ = 0;
};

} // namespace glenhollow

#endif
