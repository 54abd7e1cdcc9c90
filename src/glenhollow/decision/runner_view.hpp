#ifndef GLENHOLLOW_DECISION_RUNNER_VIEW_HPP
#define GLENHOLLOW_DECISION_RUNNER_VIEW_HPP

#include "glenhollow/core/clock.hpp"

#include <cstdint>

namespace glenhollow
{

/// Index of a runner (a backend server) in the link table of an entry shard.
using runner_index = std::uint32_t;

/// The state of one backend server as an entry shard sees it at placement.
struct runner_view
{
    bool connected = false;       ///< The link to its agent is up.
    bool draining = false;        ///< Its agent refuses new tasks.
    bool shunned = false;         ///< Its agent cannot connect to it.
    bool ejected = false;         ///< The health monitor has ejected it.
    bool on_trial = false;        ///< It gets one task at a time.
    bool own_hall = true;         ///< It is in the same hall as the entry.
    std::int32_t slots = 0;       ///< Tasks it can run at once.
    std::int32_t outstanding = 0; ///< Tasks of this shard that have not ended.
    double peer_tasks = 0; ///< Estimated number of tasks of other entries.
    double speed = 1.0;    ///< Factor on its slots; below 1 if it is slow.
    duration delay{};      ///< Measured round-trip time to its agent.

    /// @return Whether it can get a task.
    bool usable() const
    {
        return connected && !draining && !shunned && !ejected && slots > 0 &&
               !(on_trial && outstanding > 0);
    }

    /// @return Number of slots scaled by speed, at least 1.
    std::int32_t effective_slots() const
    {
        const auto scaled = static_cast<std::int32_t>(slots * speed + 0.5);
        return scaled < 1 ? 1 : (scaled > slots ? slots : scaled);
    }

    /// @return Estimated number of tasks running or queued there.
    double occupancy() const { return outstanding + peer_tasks; }

    /// @return Estimated number of free slots; negative if tasks are queued.
    double free_slots() const { return effective_slots() - occupancy(); }
};

} // namespace glenhollow

#endif
