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

/// Settings of the placement groups.
struct placement_groups_settings
{
    placement_client_settings client; ///< Settings of the session with each
                                      ///< placer.
    placer_choice_settings choice;    ///< Settings of the choice of placers.
};

/// Delegates this entry's tasks to placers. The agents are divided into groups,
/// each of which has one entry as its placer. A job waits at one placer, which
/// is drawn by the loads that the placers reported. Without any placer the
/// entry places its tasks itself at all agents. Runs inside an rpc_loop.
class placement_groups final : private placer_selector
{
public:
    /// @param clock Must outlive the groups.
    /// @param peers Links to the entries; must outlive the groups.
    /// @param queue This entry's queue; must outlive the groups.
    /// @param on_change Called when orders may have to be sent.
    placement_groups(const clock_source& clock, entry_peers& peers,
                     dispatcher& queue, std::function<void()> on_change,
                     const placement_groups_settings& settings);
    ~placement_groups() noexcept override;

    /// Chooses the placers and opens sessions with them.
    /// @param candidates The live entries, this one included.
    void choose(const std::vector<placer_candidate>& candidates);

    /// Sends changes to the placers, and ends the sessions with those that do
    /// not answer.
    void flush();

    /// Ends all sessions. Must be called while the event loop lives.
    void close();

    /// @return Whether other entries place tasks of this one.
    bool delegates() const;

    /// @return The number of groups.
    std::size_t groups() const { return placers_.size(); }

    /// @return The group for which this entry places; nothing: none.
    std::optional<std::size_t> own_group() const { return own_group_; }

    /// @return Whether the agent is in the group for which this entry places;
    /// also true if this entry places for all groups or for none.
    bool in_own_group(const std::string& agent) const;

    /// @return The placers with open sessions, separated by commas.
    std::string placers() const;

    /// @return The sums of the counters of all sessions.
    placement_client_stats stats() const;

private:
    placer_number select(const ready_task& task) override;
    std::vector<std::string>
    select_placers(std::vector<placer_candidate> candidates) const;
    void set_own_group(std::optional<std::size_t> group, std::size_t groups);
    double weight(const placement_load& load) const;

    const clock_source& clock_;
    entry_peers& peers_;              ///< Links to the entries.
    dispatcher& queue_;               ///< This entry's queue.
    std::function<void()> on_change_; ///< Called when orders may have to be
                                      ///< sent.
    placement_groups_settings settings_;
    std::vector<std::string> placers_;     ///< Indexed by group.
    std::optional<std::size_t> own_group_; ///< The group for which this entry
                                           ///< places.
    /// Indexed by group.
    std::vector<std::unique_ptr<placement_client>> clients_;
    random_engine random_; ///< Draws the group of a job.
};

} // namespace glenhollow

#endif
