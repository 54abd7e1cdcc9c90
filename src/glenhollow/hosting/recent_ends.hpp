#ifndef GLENHOLLOW_HOSTING_RECENT_ENDS_HPP
#define GLENHOLLOW_HOSTING_RECENT_ENDS_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace glenhollow
{

/// Bounds of what is remembered.
struct recent_ends_settings
{
    duration retention = seconds{10}; ///< As long as an entry remembers the
                                      ///< ends of jobs in memory that it ran
                                      ///< itself: a job whose answer was lost
                                      ///< comes again some seconds later.
    std::size_t max_jobs = 20'000; ///< Jobs, the oldest goes first: some 2 MB,
                                   ///< and 2,000 jobs a second for `keep`.
};

/// How jobs that hosts ran have ended lately, so that one that arrives again at
/// the entry that handed it over is answered and not run anew. One thread.
class recent_ends final
{
public:
    /// @param settings Bounds.
    explicit recent_ends(const recent_ends_settings& settings)
        : settings_(settings)
    {
    }

    /// @param id A job that has ended.
    /// @param state How.
    /// @param now The time.
    void record(job_id id, job_state state, instant now)
    {
        expire(now);
        if (!states_.emplace(id, state).second)
            return;
        order_.emplace_back(now, id);
        if (order_.size() > settings_.max_jobs)
            evict_oldest();
    }

    /// @param id A job.
    /// @return How it ended, if it did lately.
    std::optional<job_state> find(job_id id) const
    {
        const auto found = states_.find(id);
        if (found == states_.end())
            return std::nullopt;
        return found->second;
    }

    /// @param now The time.
    void expire(instant now)
    {
        while (!order_.empty() &&
               now - order_.front().first > settings_.retention)
            evict_oldest();
    }

    /// @return Jobs that are remembered.
    std::size_t size() const { return order_.size(); }

private:
    void evict_oldest()
    {
        states_.erase(order_.front().second);
        order_.pop_front();
    }

    recent_ends_settings settings_;                ///< Bounds.
    std::unordered_map<job_id, job_state> states_; ///< By job.
    std::deque<std::pair<instant, job_id>> order_; ///< By time.
};

} // namespace glenhollow

#endif
