#ifndef GLENHOLLOW_DECISION_TOKEN_BUCKET_HPP
#define GLENHOLLOW_DECISION_TOKEN_BUCKET_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>

namespace glenhollow
{

/// Tokens that come at a rate, up to a burst. Pure state.
class token_bucket final
{
public:
    /// Changes rate and burst; what has been saved up is kept up to the burst.
    /// @param rate Tokens a second.
    /// @param burst Most tokens saved up.
    /// @param now The time.
    void configure(double rate, double burst, instant now)
    {
        const bool unconfigured = burst_ < 0;
        refill(now);
        rate_ = rate;
        burst_ = burst;
        tokens_ = unconfigured ? burst : std::min(tokens_, burst);
    }

    /// @param count Tokens wanted.
    /// @param now The time.
    /// @return Whether they were there and are taken. A full bucket gives any
    /// count and goes into debt, so that a large job is not refused forever.
    bool take(double count, instant now)
    {
        refill(now);
        if (rate_ <= 0)
            return false;
        if (tokens_ < std::min(count, burst_))
            return false;
        tokens_ -= count;
        return true;
    }

    /// @param count Tokens wanted.
    /// @return How long until they are there.
    duration wait_for(double count) const
    {
        const double missing = std::min(count, burst_) - tokens_;
        if (missing <= 0)
            return duration::zero();
        if (rate_ <= 0)
            return seconds{60};
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(missing / rate_));
    }

    /// @return Tokens there at the last call.
    double tokens() const { return tokens_; }

private:
    void refill(instant now)
    {
        const double elapsed_seconds =
            std::chrono::duration<double>(now - last_refill_).count();
        last_refill_ = now;
        if (elapsed_seconds > 0 && burst_ >= 0)
            tokens_ = std::min(burst_, tokens_ + elapsed_seconds * rate_);
    }

    double rate_ = 0;       ///< Tokens a second.
    double burst_ = -1;     ///< Most tokens; negative until configured.
    double tokens_ = 0;     ///< There now.
    instant last_refill_{}; ///< Time of the last refill.
};

} // namespace glenhollow

#endif
