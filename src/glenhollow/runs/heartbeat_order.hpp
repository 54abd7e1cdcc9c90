#ifndef GLENHOLLOW_RUNS_HEARTBEAT_ORDER_HPP
#define GLENHOLLOW_RUNS_HEARTBEAT_ORDER_HPP

#include "glenhollow/runs/server_incarnation.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace glenhollow
{

/// Tells heartbeats that were overtaken on their way. Numbers are compared
/// within one life only, and those of earlier lives are remembered, so that
/// one of theirs that comes late does not make room for others.
class heartbeat_order final
{
public:
    /// Lives that are remembered; one at an address after the other, of which
    /// heartbeats can be on their way.
    static constexpr std::size_t max_incarnations = 4;

    /// @param life Whose heartbeat it is.
    /// @param sequence Its number.
    /// @return The number that has overtaken it; nothing where it is news.
    std::optional<std::uint64_t>
    newer_sequence(const server_incarnation& incarnation,
                   std::uint64_t sequence) const;

    /// @param life Whose heartbeat is used.
    /// @param sequence Its number.
    void record(const server_incarnation& incarnation, std::uint64_t sequence);

private:
    /// The latest of one life.
    struct entry
    {
        server_incarnation incarnation; ///< Whose.
        std::uint64_t sequence = 0;     ///< Its number.
    };

    std::deque<entry> entries_; ///< The one noted last in front.
};

} // namespace glenhollow

#endif
