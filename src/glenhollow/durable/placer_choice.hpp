#ifndef GLENHOLLOW_DURABLE_PLACER_CHOICE_HPP
#define GLENHOLLOW_DURABLE_PLACER_CHOICE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace glenhollow
{

/// An entry that could place the tasks of all.
struct placer_candidate
{
    std::string name;        ///< Its name.
    std::uint32_t power = 0; ///< Thousandths of a core that it may use.
    std::size_t agents = 0;  ///< With which it has a session.
    bool able = false;       ///< Timely, configured and not stopping.
};

/// Limits of the choice.
struct placer_choice_settings
{
    double least_agents = 0.9; ///< Of the most that any entry has a session
                               ///< with: one that is cut from more would leave
                               ///< their room unused for everybody.
};

/// Chooses the entry that places the tasks of all: of those that reach nearly
/// all agents the most powerful one, then the first by name. All entries
/// choose alike from like views; where views differ two entries may place at
/// once for a while, which costs room but breaks no promise, since each task
/// is ordered by its own entry alone and agents guard their own room.
/// @param candidates Live entries, the chooser included.
/// @param settings Limits.
/// @return The placer's name; empty where no entry is able.
std::string choose_placer(const std::vector<placer_candidate>& candidates,
                          const placer_choice_settings& settings);

} // namespace glenhollow

#endif
