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

/// Limits of the scope.
struct session_scope_settings
{
    duration linger = seconds{2}; ///< A session that is not needed any more
                                  ///< stays open for so long.
};

/// What an entry needs sessions for.
struct session_demand
{
    const std::set<std::string>* sample = nullptr; ///< Agents that suffice for
                                                   ///< handing jobs over; null:
                                                   ///< every agent is needed.
    std::uint64_t sample_revision = 0; ///< Rises with each change of the
                                       ///< sample.
    bool every_agent = false;          ///< Each one may run something of this
                                       ///< entry, or must be asked.
    std::function<bool(const std::string&)> in_use; ///< Whether a session must
                                                    ///< not end now.
};

/// Decides with which agents an entry keeps sessions, so that their number
/// grows neither with the agents nor with the entries: a sample while its jobs
/// are handed over to hosts, all while any agent may be the one that it needs.
/// Waiting tasks are no such need: after a loss of power or under overload they
/// wait at every entry, and more sessions would only add to the load.
class session_scope final
{
public:
    /// Sessions to open and to end.
    struct changes
    {
        std::vector<std::string> open; ///< Agents, also with a new address.
        std::vector<std::string> end;  ///< Agents.
    };

    /// @param settings Limits.
    explicit session_scope(const session_scope_settings& settings = {})
        : settings_(settings)
    {
    }

    /// @param directory All agents.
    /// @param demand What sessions are needed for.
    /// @param now The time.
    /// @return What has to change.
    changes update(const agent_directory& directory,
                   const session_demand& demand, instant now);

    /// @return Agents with which sessions are kept.
    std::size_t size() const { return sessions_.size(); }

private:
    /// One session that is kept.
    struct kept_session
    {
        host_port address;                     ///< Address.
        std::optional<instant> unneeded_since; ///< Nothing: it is needed.
    };

    /// What the last update rested on.
    struct update_inputs
    {
        std::uint64_t directory = 0; ///< Its revision.
        std::uint64_t sample = 0;    ///< Its revision.
        bool every_agent = false;    ///< Whether all were needed.

        bool operator==(const update_inputs&) const = default;
    };

    void open_needed(const agent_directory& directory,
                     const session_demand& demand, bool every_agent,
                     changes& out);
    void end_unneeded(const agent_directory& directory,
                      const session_demand& demand, bool every_agent,
                      instant now, changes& out);

    session_scope_settings settings_;              ///< Limits.
    std::map<std::string, kept_session> sessions_; ///< By agent.
    std::optional<update_inputs> last_inputs_;     ///< Of the last update.
    bool lingering_ = false; ///< Some session is kept without need.
};

} // namespace glenhollow

#endif
