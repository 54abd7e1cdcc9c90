#ifndef GLENHOLLOW_DURABLE_PLACER_CHOICE_HPP
#define GLENHOLLOW_DURABLE_PLACER_CHOICE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace glenhollow
{

/// An entry that could place the tasks of others.
struct placer_candidate
{
    std::string name;         ///< Its name.
    std::uint32_t power = 0;  ///< Thousandths of a core that it may use.
    std::size_t agents = 0;   ///< With which it has a session.
    bool can_place = false;   ///< Timely, configured and not stopping.
    std::int64_t started = 0; ///< By its time of day, in seconds.
};

/// Limits of the choice.
struct placer_choice_settings
{
    double min_agent_share = 0.6;  ///< Of the most that any entry has a session
                                   ///< with: one that is cut from more would
                                   ///< leave their room unused for everybody.
                                   ///< Where agents go, those that place
                                   ///< notice it first, seconds before others:
                                   ///< that must not cost them the queue.
    std::size_t group_agents = 80; ///< Agents of one group, about: their
                                   ///< placer spends 0.15 of its 0.5 cores on
                                   ///< the busiest day that was measured (67
                                   ///< agents, 3,000 starts a second).
    std::int64_t start_granularity_s =
        10; ///< Entries that started within the same
            ///< span of so many seconds are alike.
};

/// Chooses the entries that place the tasks of all, one for each group of
/// agents: of those that reach most agents the most powerful ones; among
/// like ones those that have run for longest, so that an entry that comes back
/// does not take a queue away; then in an order that each group has for itself,
/// so that the loss of one placer moves one group. All entries choose alike
/// from like views; where views differ two entries may place at the same agents
/// for a while, which costs room but breaks no promise, since each task is
/// ordered by its own entry alone and agents guard their own room.
/// @param candidates Live entries, the chooser included.
/// @param settings Limits.
/// @return The placers' names, by group; empty where no entry is able.
std::vector<std::string>
choose_placers(const std::vector<placer_candidate>& candidates,
               const placer_choice_settings& settings);

/// Divides agents into groups, alike at all entries; one group more or less
/// moves few agents (rendezvous hashing).
/// @param agent Its name.
/// @param groups How many there are; at least 1.
/// @return The agent's group, from 0.
std::size_t group_of(const std::string& agent, std::size_t groups);

} // namespace glenhollow

#endif
