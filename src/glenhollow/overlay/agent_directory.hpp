#ifndef GLENHOLLOW_OVERLAY_AGENT_DIRECTORY_HPP
#define GLENHOLLOW_OVERLAY_AGENT_DIRECTORY_HPP

#include "glenhollow/http/client.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace glenhollow
{

/// The agents of the deployment and their addresses, as the members' rows tell.
/// A process has sessions with some of them; see session_scope.
class agent_directory final
{
public:
    /// @param name Of an agent.
    /// @param where Its address; replaces an earlier one.
    void set(const std::string& name, const host_port& address)
    {
        const auto [found, is_new] = agents_.try_emplace(name, address);
        if (!is_new && found->second == address)
            return;
        found->second = address;
        ++revision_;
    }

    /// @param name Of an agent that has left for good.
    void erase(const std::string& name) { revision_ += agents_.erase(name); }

    /// @return Addresses by name.
    const std::map<std::string, host_port>& agents() const { return agents_; }

    /// @return A number that rises with each change.
    std::uint64_t revision() const { return revision_; }

private:
    std::map<std::string, host_port> agents_; ///< By name.
    std::uint64_t revision_ = 0;              ///< Of these.
};

} // namespace glenhollow

#endif
