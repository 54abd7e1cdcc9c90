#ifndef GLENHOLLOW_DURABLE_PLACER_CHOICE_HPP
#define GLENHOLLOW_DURABLE_PLACER_CHOICE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace glenhollow
{

/// An entry that may place the tasks of others.
struct placer_candidate
{
    std::string name;
    std::uint32_t power = 0;  ///< CPU that the entry may use, in thousandths of
                              ///< a core.
    std::size_t agents = 0;   ///< Agents with which it has a session.
    bool can_place = false;   ///< Whether its timers are on time, it is
                              ///< configured and not stopping.
    std::int64_t started = 0; ///< Start by its wall clock, in seconds since
                              ///< 1970.
};

/// Settings of the choice of placers.
struct placer_choice_settings
{
    double min_agent_share = 0.6; ///< Share of the largest number of agents of
                                  ///< any entry that a placer must reach. It is
                                  ///< below 1 because placers notice the loss
                                  ///< of agents seconds before other entries
                                  ///< do, and must not lose their role by that.
                                  ///< The capacity of agents that a placer
                                  ///< cannot reach stays unused.
    std::size_t group_agents = 80; ///< Approximate number of agents per group,
                                   ///< limited by the CPU use of the placer: at
                                   ///< 67 agents and 3,000 starts a second it
                                   ///< used 0.15 cores.
    std::int64_t start_granularity_s = 10; ///< Entries that started within the
                                           ///< same span of this many seconds
                                           ///< count as equally old.
};

/// Chooses the placer of each group of agents. Of the entries that reach most
/// agents, the most powerful ones are preferred, then those that have run
/// longest, so that a restarted entry does not take over a queue, then an order
/// of each group, so that the loss of a placer moves only one group. Entries
/// with equal views choose the same placers. Under differing views two entries
/// may place at the same agents for a while, which wastes room but is safe:
/// each task is ordered only by its own entry, and agents check their own room.
/// @param candidates The live entries, the choosing one included.
/// @param settings Limits.
/// @return The names of the placers by group; empty if no entry can place.
std::vector<std::string>
choose_placers(const std::vector<placer_candidate>& candidates,
               const placer_choice_settings& settings);

/// Assigns an agent to a group by rendezvous hashing: all entries get the same
/// result, and a change of the number of groups moves few agents.
/// @param groups The number of groups; at least 1.
/// @return The index of the group, from 0.
std::size_t group_of(const std::string& agent, std::size_t groups);

} // namespace glenhollow

#endif
