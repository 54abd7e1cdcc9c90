#ifndef GLENHOLLOW_DURABLE_MEMBER_DIRECTORY_HPP
#define GLENHOLLOW_DURABLE_MEMBER_DIRECTORY_HPP

#include "glenhollow/core/names.hpp"
#include "glenhollow/durable/table_follower.hpp"
#include "glenhollow/http/client.hpp"

#include <functional>
#include <memory>
#include <string>

namespace glenhollow
{

/// What a process of the system does.
enum class member_role : std::uint8_t
{
    entry, ///< Takes jobs.
    agent  ///< Beside a runner.
};

template <>
struct name_table<member_role>
{
    static constexpr std::array<std::string_view, 2> names{"entry", "agent"};
};

/// One process as its row tells.
struct member_row
{
    std::string name;                      ///< Of the machine.
    member_role role = member_role::entry; ///< What it does.
    host_port where;                       ///< Its address for links.
    std::string memo{}; ///< What it keeps for its next process; may be empty.
    std::uint32_t millicores = 0; ///< Thousandths of a core that it may use; 0:
                                  ///< not told.
};

/// @param row The member's row.
/// @return The member, or what is wrong with the row.
result<member_row> decode_member(const stored_row& row);

/// Writes this process's row until it is there; a row is a hint, links tell
/// who is alive.
class member_announcer final
{
public:
    /// Told the memo of an earlier process.
    using memo_handler = std::function<void(const std::string&)>;

    /// @param store Outlives it.
    /// @param later Runs delayed work.
    /// @param self This process.
    member_announcer(row_store& store, journal_chain::delay later,
                     member_row self);
    ~member_announcer();

    /// Begins to write.
    /// @param on_memo Told once what an earlier process kept, if anything.
    void begin(memo_handler on_memo = {});

    /// Keeps a memo in the row, some time from now; the latest one counts.
    /// @param memo For the next process of this member.
    void keep(std::string memo);

private:
    struct state;
    std::shared_ptr<state> state_; ///< Shared with calls that are out.
};

/// Table of the rows.
inline constexpr std::string_view members_table = "members";

} // namespace glenhollow

#endif
