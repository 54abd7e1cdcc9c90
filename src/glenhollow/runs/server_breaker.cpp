#include "glenhollow/runs/server_breaker.hpp"

#include <algorithm>

namespace glenhollow
{

bool server_breaker::record_end(job_id job, bool failed, instant now)
{
    const auto before = state(now);
    // Ends of earlier runs do not count while it is open.
    if (before == breaker_state::open)
        return false;
    if (!failed)
    {
        failures_ = 0;
        several_jobs_ = false;
        if (before == breaker_state::closed ||
            ++successes_ < settings_.successes_to_close)
            return false;
        reset();
        return true;
    }
    if (before == breaker_state::probing)
    {
        open(now);
        return true;
    }
    // Failures of a single job do not count against the server.
    several_jobs_ |= failures_ > 0 && job != last_failed_job_;
    last_failed_job_ = job;
    if (++failures_ < settings_.failures_to_open || !several_jobs_)
        return false;
    open(now);
    return true;
}

void server_breaker::open(instant now)
{
    closed_ = false;
    failures_ = successes_ = 0;
    open_time_ = std::clamp(open_time_ * 2, settings_.min_open_time,
                            settings_.max_open_time);
    probing_from_ = now + open_time_;
}

breaker_state server_breaker::state(instant now) const
{
    if (closed_)
        return breaker_state::closed;
    return now < probing_from_ ? breaker_state::open : breaker_state::probing;
}

void server_breaker::reset()
{
    *this = server_breaker(settings_);
}

} // namespace glenhollow
