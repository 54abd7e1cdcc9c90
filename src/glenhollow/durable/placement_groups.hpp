#ifndef GLENHOLLOW_DURABLE_PLACEMENT_GROUPS_HPP
#define GLENHOLLOW_DURABLE_PLACEMENT_GROUPS_HPP

#include "glenhollow/core/random.hpp"
#include "glenhollow/durable/placement_client.hpp"
#include "glenhollow/durable/placer_choice.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Limits of the groups.
struct placement_groups_settings
{
    placement_client_settings client; ///< Of the session with each placer.
    placer_choice_settings choice;    ///< Who places.
};

/// Has this entry's tasks placed: the agents are divided into groups, each of
/// which has a placer among the entries. A job waits at one of them, chosen by
/// what they told of their room. Without any placer this entry places its tasks
/// itself, at all agents. Runs inside an rpc_loop.
class placement_groups final : private placer_selector
{
public:
    /// @param clock Outlives the groups.
    /// @param peers Links to the entries; outlives the groups.
    /// @param placing This entry's queue; outlives the groups.
    /// @param on_change Told that orders may have to leave.
    /// @param settings Limits.
    placement_groups(const clock_source& clock, entry_peers& peers,
                     dispatcher& queue, std::function<void()> on_change,
                     const placement_groups_settings& settings);
    ~placement_groups() noexcept override;

    /// Chooses the placers anew, and follows them.
    /// @param candidates Live entries, this one included.
    void choose(const std::vector<placer_candidate>& candidates);

    /// Tells the placers what has changed, and leaves those that are silent.
    void flush();

    /// Ends all sessions, while the event loop lives.
    void close();

    /// @return Whether other entries place tasks of this one.
    bool delegates() const;

    /// @return How many groups there are.
    std::size_t groups() const { return placers_.size(); }

    /// @return The group that this entry places for; nothing: none.
    std::optional<std::size_t> own_group() const { return own_group_; }

    /// @param agent Its name.
    /// @return Whether it is of the group that this entry places for; also
    /// where it places for all or for none.
    bool in_own_group(const std::string& agent) const;

    /// @return Placers whose sessions are open, separated by commas.
    std::string placers() const;

    /// @return Counters of all sessions.
    placement_client_stats stats() const;

private:
    placer_number select(const ready_task& task) override;
    std::vector<std::string>
    select_placers(std::vector<placer_candidate> candidates) const;
    void set_own_group(std::optional<std::size_t> group, std::size_t groups);
    double weight(const placement_load& load) const;

    const clock_source& clock_;            ///< This entry's.
    entry_peers& peers_;                   ///< Links to the entries.
    dispatcher& queue_;                    ///< This entry's queue.
    std::function<void()> on_change_;      ///< Told of changes.
    placement_groups_settings settings_;   ///< Limits.
    std::vector<std::string> placers_;     ///< By group.
    std::optional<std::size_t> own_group_; ///< That this entry places for.
    std::vector<std::unique_ptr<placement_client>> clients_; ///< By group.
    random_engine random_; ///< Draws among the groups.
};

} // namespace glenhollow

#endif
