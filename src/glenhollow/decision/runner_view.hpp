#ifndef GLENHOLLOW_DECISION_RUNNER_VIEW_HPP
#define GLENHOLLOW_DECISION_RUNNER_VIEW_HPP

#include "glenhollow/core/clock.hpp"

#include <cstdint>

namespace glenhollow
{

/// Addresses a runner inside one entry shard: its place in the link table.
using runner_index = std::uint32_t;

/// What an entry shard knows of one runner when it places a task.
struct runner_view
{
    bool connected = false;       ///< The link to its agent is up.
    bool draining = false;        ///< Its agent refuses new starts.
    bool shunned = false;         ///< Its agent cannot reach the runner.
    bool ejected = false;         ///< Health took it out.
    bool on_trial = false;        ///< Health lets one task through at a time.
    bool own_hall = true;         ///< It stands in the entry's hall.
    std::int32_t slots = 0;       ///< Tasks it can run at once.
    std::int32_t outstanding = 0; ///< Our own starts without an end.
    double peer_tasks = 0;        ///< Tasks of other entries, estimated.
    double speed = 1.0;           ///< Below 1: slower than its siblings.
    duration delay{}; ///< Measured time of a message there and back.

    /// @return Whether it may get a task at all.
    bool usable() const
    {
        return connected && !draining && !shunned && !ejected && slots > 0 &&
               !(on_trial && outstanding > 0);
    }

    /// @return Slots it offers, fewer the slower it is, at least one.
    std::int32_t effective_slots() const
    {
        const auto scaled = static_cast<std::int32_t>(slots * speed + 0.5);
        return scaled < 1 ? 1 : (scaled > slots ? slots : scaled);
    }

    /// @return Tasks believed to be there.
    double occupancy() const { return outstanding + peer_tasks; }

    /// @return Slots believed to be free; negative when tasks wait there.
    double free_slots() const { return effective_slots() - occupancy(); }
};

} // namespace glenhollow

#endif
