#include "glenhollow/hosting/liveness_evidence.hpp"

#include "glenhollow/durable/lease_timing.hpp"

#include <algorithm>

namespace glenhollow
{

std::uint64_t liveness_evidence::record_answer(instant now)
{
    previous_sent_ = last_sent_;
    last_sent_ = now;
    return ++last_number_;
}

/// At most one answer is on its way, so a proof names the last one or the one
/// before.
void liveness_evidence::record_message(const liveness_proof& proof, instant now)
{
    // An older version tells nothing; its messages are taken as prompt.
    if (proof.answer == 0)
    {
        alive_at_ = now;
        return;
    }
    const bool names_last = proof.answer == last_number_;
    if (!names_last && proof.answer + 1 != last_number_)
        return;
    const auto sent = names_last ? last_sent_ : previous_sent_;
    const auto since = std::max(duration{0}, min_on_other_clock(proof.since));
    alive_at_ = std::max(alive_at_, std::min(now, sent + since));
}

} // namespace glenhollow
