#ifndef GLENHOLLOW_RUNS_SERVER_INCARNATION_HPP
#define GLENHOLLOW_RUNS_SERVER_INCARNATION_HPP

#include <cstdint>
#include <string>

namespace glenhollow
{

/// One life of a backend server. Its id may serve several of them in turn, and
/// nothing that is numbered or timed by one says anything of another. Starts
/// are only ever compared for being the same: the time of day may be set back
/// between two of them.
struct server_incarnation
{
    std::string instance;     ///< Its id.
    std::int64_t born_ms = 0; ///< When it started, Unix ms by its own word;
                              ///< 0: not told.

    bool operator==(const server_incarnation&) const = default;

    /// @return Whether there is none.
    bool empty() const { return instance.empty(); }
};

/// @param one Start of a life, ms; 0: not told.
/// @param other The same of another one.
/// @return Whether both are told and differ.
inline bool start_times_differ(std::int64_t one, std::int64_t other)
{
    return one != 0 && other != 0 && one != other;
}

/// @param one A life.
/// @param other Another one.
/// @return Whether nothing that was told keeps them apart.
inline bool may_be_same_incarnation(const server_incarnation& one,
                                    const server_incarnation& other)
{
    return one.instance == other.instance &&
           !start_times_differ(one.born_ms, other.born_ms);
}

} // namespace glenhollow

#endif
