#ifndef GLENHOLLOW_MEMBERSHIP_MEMBER_HPP
#define GLENHOLLOW_MEMBERSHIP_MEMBER_HPP

#include "glenhollow/core/names.hpp"
#include "glenhollow/http/client.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace glenhollow
{

/// Role of a VM.
enum class member_role : std::uint8_t
{
    entry, ///< Runs glenhollow-entry.
    runner ///< Runs a backend server and glenhollow-agent.
};

template <>
struct name_table<member_role>
{
    static constexpr std::array<std::string_view, 2> names{"entry", "runner"};
};

/// State of a VM in the platform's list.
enum class member_state : std::uint8_t
{
    live,    ///< The VM is running.
    leaving, ///< The VM will be stopped.
    gone     ///< The VM no longer exists.
};

template <>
struct name_table<member_state>
{
    static constexpr std::array<std::string_view, 3> names{"live", "leaving",
                                                           "gone"};
};

/// A VM in the platform's list.
struct member
{
    std::string name;
    member_role role = member_role::runner;
    std::string hall; ///< Hall in which the VM runs.
    host_port rpc;    ///< RPC address of the VM's process.
    /// Listed state, which may be out of date.
    member_state state = member_state::live;

    bool operator==(const member& other) const
    {
        return name == other.name && role == other.role && hall == other.hall &&
               rpc.host == other.rpc.host && rpc.port == other.rpc.port &&
               state == other.state;
    }
};

/// VMs by name.
using member_map = std::map<std::string, member>;

} // namespace glenhollow

#endif
