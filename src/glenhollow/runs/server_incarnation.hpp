#ifndef GLENHOLLOW_RUNS_SERVER_INCARNATION_HPP
#define GLENHOLLOW_RUNS_SERVER_INCARNATION_HPP

#include <cstdint>
#include <string>

namespace glenhollow
{

/// Identifies one incarnation (process lifetime) of a backend server. Several
/// incarnations may use the same id one after the other; the numbers and times
/// of one do not apply to another. Start times are compared for equality only,
/// because the system clock may be set back.
struct server_incarnation
{
    std::string instance; ///< Id of the backend server.
    /// Start time, Unix ms by the server's own clock; 0: unknown.
    std::int64_t born_ms = 0;

    bool operator==(const server_incarnation&) const = default;

    /// @return Whether no backend server is identified.
    bool empty() const { return instance.empty(); }
};

/// @param one Start time, ms; 0: unknown.
/// @param other Another start time, ms; 0: unknown.
/// @return Whether both are known and different.
inline bool start_times_differ(std::int64_t one, std::int64_t other)
{
    return one != 0 && other != 0 && one != other;
}

/// @return Whether both have the same id and no different start times.
inline bool may_be_same_incarnation(const server_incarnation& one,
                                    const server_incarnation& other)
{
    return one.instance == other.instance &&
           !start_times_differ(one.born_ms, other.born_ms);
}

} // namespace glenhollow

#endif
