#ifndef GLENHOLLOW_OVERLAY_AGENT_DIRECTORY_HPP
#define GLENHOLLOW_OVERLAY_AGENT_DIRECTORY_HPP

#include "glenhollow/http/client.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace glenhollow
{

/// Addresses of all agents of the deployment, from the rows of the members. A
/// process has sessions with only some of them; see session_scope.
class agent_directory final
{
public:
    /// Adds an agent or changes its address.
    /// @param name Name of the agent.
    /// @param address Address of the agent.
    void set(const std::string& name, const host_port& address)
    {
        const auto [found, is_new] = agents_.try_emplace(name, address);
        if (!is_new && found->second == address)
            return;
        found->second = address;
        ++revision_;
    }

    /// Removes an agent that has left for good.
    /// @param name Name of the agent.
    void erase(const std::string& name) { revision_ += agents_.erase(name); }

    /// @return Addresses by agent name.
    const std::map<std::string, host_port>& agents() const { return agents_; }

    /// @return Revision of the directory; increases with each change.
    std::uint64_t revision() const { return revision_; }

private:
    std::map<std::string, host_port> agents_; ///< Addresses by agent name.
    std::uint64_t revision_ = 0;              ///< Increases with each change.
};

} // namespace glenhollow

#endif
