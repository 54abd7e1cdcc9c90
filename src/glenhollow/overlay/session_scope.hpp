#ifndef GLENHOLLOW_OVERLAY_SESSION_SCOPE_HPP
#define GLENHOLLOW_OVERLAY_SESSION_SCOPE_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/overlay/agent_directory.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace glenhollow
{

/// Settings of the session scope.
struct session_scope_settings
{
    /// Time for which a session stays open once it is no longer needed.
    duration linger = seconds{2};
};

/// Needs of an entry for sessions with agents.
struct session_demand
{
    /// Agents that suffice to hand jobs over; null if every agent is needed.
    const std::set<std::string>* sample = nullptr;
    /// Increases with each change of the sample.
    std::uint64_t sample_revision = 0;
    /// Whether every agent is needed, as each may run tasks of this entry or
    /// must be queried.
    bool every_agent = false;
    /// Whether a session is in use and must not end.
    std::function<bool(const std::string&)> in_use;
};

/// Decides with which agents an entry keeps sessions, so that their number
/// grows neither with the agents nor with the entries. An entry that hands its
/// jobs over needs a sample of the agents; otherwise, or if any agent may hold
/// its tasks, it needs all of them. Waiting tasks do not extend the scope:
/// under overload they wait at every entry, and more sessions would add to the
/// load.
class session_scope final
{
public:
    /// Sessions to open and to end.
    struct changes
    {
        /// Agents that are new or have a new address.
        std::vector<std::string> open;
        std::vector<std::string> end; ///< Agents whose session is to end.
    };

    /// @param settings Settings of the scope.
    explicit session_scope(const session_scope_settings& settings = {})
        : settings_(settings)
    {
    }

    /// Determines the sessions to open and to end.
    /// @param directory Addresses of all agents.
    /// @param demand Current needs of the entry.
    /// @param now Current time.
    /// @return Changes to make.
    changes update(const agent_directory& directory,
                   const session_demand& demand, instant now);

    /// @return Number of agents with which sessions are kept.
    std::size_t size() const { return sessions_.size(); }

private:
    /// A session that is kept open.
    struct kept_session
    {
        host_port address; ///< Address of the agent.
        /// Time at which the need ended; empty while the session is needed.
        std::optional<instant> unneeded_since;
    };

    /// Inputs of an update, compared to skip updates without changes.
    struct update_inputs
    {
        std::uint64_t directory = 0; ///< Revision of the directory.
        std::uint64_t sample = 0;    ///< Revision of the sample.
        bool every_agent = false;    ///< Whether every agent was needed.

        bool operator==(const update_inputs&) const = default;
    };

    void open_needed(const agent_directory& directory,
                     const session_demand& demand, bool every_agent,
                     changes& out);
    void end_unneeded(const agent_directory& directory,
                      const session_demand& demand, bool every_agent,
                      instant now, changes& out);

    session_scope_settings settings_;
    /// Kept sessions by agent name.
    std::map<std::string, kept_session> sessions_;
    std::optional<update_inputs> last_inputs_; ///< Inputs of the last update.
    /// Whether a session is kept that is no longer needed.
    bool lingering_ = false;
};

} // namespace glenhollow

#endif
