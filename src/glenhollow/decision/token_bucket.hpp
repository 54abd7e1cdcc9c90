#ifndef GLENHOLLOW_DECISION_TOKEN_BUCKET_HPP
#define GLENHOLLOW_DECISION_TOKEN_BUCKET_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>

namespace glenhollow
{

/// Token bucket: tokens accrue at a rate, up to a burst size. The class takes
/// the time as a parameter.
class token_bucket final
{
public:
    /// Sets the rate and the burst size. The first call fills the bucket; later
    /// calls keep the current tokens, up to the burst size.
    /// @param rate Tokens per second.
    /// @param burst Maximum number of tokens in the bucket.
    /// @param now The current time.
    void configure(double rate, double burst, instant now)
    {
        const bool unconfigured = burst_ < 0;
        refill(now);
        rate_ = rate;
        burst_ = burst;
        tokens_ = unconfigured ? burst : std::min(tokens_, burst);
    }

    /// Takes tokens if enough are available. A full bucket grants any count and
    /// its balance goes negative, so that a request larger than the burst size
    /// is not refused forever.
    /// @param count Number of tokens.
    /// @param now The current time.
    /// @return Whether the tokens were taken.
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

    /// @param count Number of tokens.
    /// @return Time until the tokens are available, as of the last refill. At
    /// rate 0, missing tokens give 60 s.
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

    /// @return Number of tokens as of the last refill.
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

    double rate_ = 0;       ///< Tokens per second.
    double burst_ = -1;     ///< Maximum number; negative until configured.
    double tokens_ = 0;     ///< Tokens as of the last refill.
    instant last_refill_{}; ///< Time of the last refill.
};

} // namespace glenhollow

#endif
