#ifndef GLENHOLLOW_MEMBERSHIP_MEMBER_HPP
#define GLENHOLLOW_MEMBERSHIP_MEMBER_HPP

#include "glenhollow/core/names.hpp"
#include "glenhollow/http/client.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace glenhollow
{

/// What a VM is for.
enum class member_role : std::uint8_t
{
    entry, ///< Runs glenhollow-entry.
    runner ///< Runs a runner with glenhollow-agent.
};

template <>
struct name_table<member_role>
{
    static constexpr std::array<std::string_view, 2> names{"entry", "runner"};
};

/// What the platform's list says of a VM.
enum class member_state : std::uint8_t
{
    live,    ///< It runs.
    leaving, ///< It will be stopped.
    gone     ///< It is no more.
};

template <>
struct name_table<member_state>
{
    static constexpr std::array<std::string_view, 3> names{"live", "leaving",
                                                           "gone"};
};

/// One VM of the platform's list.
struct member
{
    std::string name;                        ///< Its name.
    member_role role = member_role::runner;  ///< What it is for.
    std::string hall;                        ///< Where it stands.
    host_port rpc;                           ///< Its process's RPC port.
    member_state state = member_state::live; ///< As listed, with a lag.

    bool operator==(const member& other) const
    {
        return name == other.name && role == other.role && hall == other.hall &&
               rpc.host == other.rpc.host && rpc.port == other.rpc.port &&
               state == other.state;
    }
};

/// All VMs by name.
using member_map = std::map<std::string, member>;

} // namespace glenhollow

#endif
