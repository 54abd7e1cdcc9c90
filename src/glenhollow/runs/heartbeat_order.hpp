#ifndef GLENHOLLOW_RUNS_HEARTBEAT_ORDER_HPP
#define GLENHOLLOW_RUNS_HEARTBEAT_ORDER_HPP

#include "glenhollow/runs/server_incarnation.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace glenhollow
{

/// Detects heartbeats that arrive out of order. Sequence numbers are compared
/// within one incarnation only. Earlier incarnations are remembered, so that a
/// delayed heartbeat of one does not reset the order of another.
class heartbeat_order final
{
public:
    /// Number of remembered incarnations. Heartbeats of earlier ones at the
    /// same address may still be on their way.
    static constexpr std::size_t max_incarnations = 4;

    /// @param incarnation Sender of the heartbeat.
    /// @param sequence Sequence number of the heartbeat.
    /// @return The higher number received from the same incarnation, if any.
    std::optional<std::uint64_t>
    newer_sequence(const server_incarnation& incarnation,
                   std::uint64_t sequence) const;

    /// Records a heartbeat that is used.
    /// @param incarnation Sender of the heartbeat.
    /// @param sequence Sequence number of the heartbeat.
    void record(const server_incarnation& incarnation, std::uint64_t sequence);

private:
    /// The highest sequence number of one incarnation.
    struct entry
    {
        server_incarnation incarnation;
        std::uint64_t sequence = 0;
    };

    std::deque<entry> entries_; ///< Most recently recorded first.
};

} // namespace glenhollow

#endif
