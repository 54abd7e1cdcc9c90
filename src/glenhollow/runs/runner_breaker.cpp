#include "glenhollow/runs/runner_breaker.hpp"

#include <algorithm>

namespace glenhollow
{

bool runner_breaker::note_end(job_id job, bool bad, instant now)
{
    const auto before = state(now);
    if (before == breaker_state::open)
        return false; // Of runs from before; nothing new.
    if (!bad)
    {
        bad_ = 0;
        several_jobs_ = false;
        if (before == breaker_state::closed ||
            ++good_ < settings_.good_to_close)
            return false;
        reset();
        return true;
    }
    if (before == breaker_state::probing)
    {
        open(now);
        return true;
    }
    // A job that fails everywhere says nothing of the runner.
    several_jobs_ |= bad_ > 0 && job != bad_job_;
    bad_job_ = job;
    if (++bad_ < settings_.bad_in_row || !several_jobs_)
        return false;
    open(now);
    return true;
}

void runner_breaker::open(instant now)
{
    closed_ = false;
    bad_ = good_ = 0;
    wait_ = std::clamp(wait_ * 2, settings_.first_wait, settings_.longest_wait);
    probe_at_ = now + wait_;
}

breaker_state runner_breaker::state(instant now) const
{
    if (closed_)
        return breaker_state::closed;
    return now < probe_at_ ? breaker_state::open : breaker_state::probing;
}

void runner_breaker::reset()
{
    *this = runner_breaker(settings_);
}

} // namespace glenhollow
