#ifndef GLENHOLLOW_HOSTING_LIVENESS_EVIDENCE_HPP
#define GLENHOLLOW_HOSTING_LIVENESS_EVIDENCE_HPP

#include "glenhollow/core/clock.hpp"

#include <cstdint>

namespace glenhollow
{

/// Part of a message that shows when it was sent.
struct liveness_proof
{
    /// Number of the last answer that the sender has received; 0: not told.
    std::uint64_t answer = 0;
    duration since{}; ///< Time between its receipt and this message.
};

/// Determines until when the other end of a session was certainly alive. The
/// sender of a message was alive for the told time after its last answer was
/// sent from here, so a message that was delayed proves no more than one that
/// was not. Not thread-safe.
class liveness_evidence final
{
public:
    /// @param opened Time at which the answer that opened the session was sent.
    explicit liveness_evidence(instant opened)
        : last_sent_(opened), previous_sent_(opened), alive_at_(opened)
    {
    }

    /// Records that an answer is being sent.
    /// @param now Current time.
    /// @return Number of the answer.
    std::uint64_t record_answer(instant now);

    /// Records a received message.
    /// @param proof Proof in the message.
    /// @param now Current time.
    void record_message(const liveness_proof& proof, instant now);

    /// @return Latest time at which the other end was certainly alive.
    instant alive_at() const { return alive_at_; }

private:
    /// Number of the last answer; the first is the opening of the session.
    std::uint64_t last_number_ = 1;
    instant last_sent_{};     ///< Time of the last answer.
    instant previous_sent_{}; ///< Time of the answer before.
    instant alive_at_{};      ///< See alive_at().
};

} // namespace glenhollow

#endif
