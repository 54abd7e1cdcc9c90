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

/// Bounds of what is remembered.
struct cancel_cache_settings
{
    duration retention =
        seconds{60}; ///< A caller that had no answer sends its job
                     ///< again while it is patient: for 30 s at
                     ///< most, and a cancel may come before it.
    std::size_t max_jobs = 20'000; ///< Jobs; the oldest goes first. Some 2 MB,
                                   ///< and 333 cancels a second for `keep`.
};

/// A job in memory that its caller has cancelled.
struct cached_cancel
{
    job_state state = job_state::cancelled; ///< How it ended, as far as known.
    bool found = false;                     ///< Some entry had it.
    instant cancelled_at{};                 ///< When its cancelling was heard.
};

/// The jobs in memory that were cancelled lately, so that one that arrives
/// again, or for the first time, is not run.
class cancel_cache final
{
public:
    /// @param settings Bounds.
    explicit cancel_cache(const cancel_cache_settings& settings)
        : settings_(settings)
    {
    }

    /// Repeated, it keeps its first time.
    /// @param id A job that is cancelled.
    /// @param now The time, or when it was heard elsewhere.
    /// @return Whether it is news.
    bool record(job_id id, instant now);

    /// @param id A job that is remembered, else nothing is done.
    /// @param state How it ended, by the entry that had it.
    void found(job_id id, job_state state);

    /// @param id A job.
    /// @return What is known of its cancelling, or null.
    const cached_cancel* find(job_id id) const;

    /// @param now The time: what is older than is kept goes.
    void expire(instant now);

    /// @return All, the oldest first.
    std::vector<std::pair<job_id, cached_cancel>> all() const;

    /// @return Jobs.
    std::size_t size() const { return known_.size(); }

    /// @return Jobs forgotten before their time, for want of room.
    std::uint64_t evictions() const { return evictions_; }

private:
    void evict_oldest();

    cancel_cache_settings settings_;                  ///< Bounds.
    std::unordered_map<job_id, cached_cancel> known_; ///< By job.
    std::deque<job_id> order_;                        ///< As they were noted.
    std::uint64_t evictions_ = 0; ///< Forgotten before their time.
};

} // namespace glenhollow

#endif
