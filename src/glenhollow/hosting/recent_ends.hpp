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

/// Limits of the record of ended jobs.
struct recent_ends_settings
{
    /// Time for which an end is kept, so that a resubmission after a lost
    /// answer finds it. Entries keep the ends of jobs that they ran themselves
    /// for as long (memory_ended_retention).
    duration retention = seconds{10};
    /// Maximum number of jobs kept; the oldest is evicted first. They take some
    /// 2 MB and cover 2,000 jobs a second for the retention time.
    std::size_t max_jobs = 20'000;
};

/// Final states of jobs that ended recently at hosts. A job that is resubmitted
/// to the entry that handed it over is answered from here instead of running
/// again. Not thread-safe.
class recent_ends final
{
public:
    /// @param settings Limits of the record.
    explicit recent_ends(const recent_ends_settings& settings)
        : settings_(settings)
    {
    }

    /// Records the end of a job; a later end of the same job is ignored.
    /// @param id The job.
    /// @param state Final state of the job.
    /// @param now Current time.
    void record(job_id id, job_state state, instant now)
    {
        expire(now);
        if (!states_.emplace(id, state).second)
            return;
        order_.emplace_back(now, id);
        if (order_.size() > settings_.max_jobs)
            evict_oldest();
    }

    /// @param id The job.
    /// @return Final state of the job, if it is recorded.
    std::optional<job_state> find(job_id id) const
    {
        const auto found = states_.find(id);
        if (found == states_.end())
            return std::nullopt;
        return found->second;
    }

    /// Removes the ends that are older than the retention time.
    /// @param now Current time.
    void expire(instant now)
    {
        while (!order_.empty() &&
               now - order_.front().first > settings_.retention)
            evict_oldest();
    }

    /// @return Number of recorded jobs.
    std::size_t size() const { return order_.size(); }

private:
    void evict_oldest()
    {
        states_.erase(order_.front().second);
        order_.pop_front();
    }

    recent_ends_settings settings_;
    std::unordered_map<job_id, job_state> states_; ///< Final state by job.
    std::deque<std::pair<instant, job_id>> order_; ///< Jobs, oldest end first.
};

} // namespace glenhollow

#endif
