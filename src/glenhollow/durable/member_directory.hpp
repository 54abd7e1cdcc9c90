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

/// Role of a process in the deployment.
enum class member_role : std::uint8_t
{
    entry, ///< Accepts jobs from callers.
    agent  ///< Runs beside a backend server.
};

template <>
struct name_table<member_role>
{
    static constexpr std::array<std::string_view, 2> names{"entry", "agent"};
};

/// Contents of one process's row.
struct member_row
{
    std::string name; ///< Name of the member; it survives restarts.
    member_role role = member_role::entry;
    host_port where;    ///< Address for links.
    std::string memo{}; ///< State saved for the member's next process.
    std::uint32_t millicores = 0; ///< CPU capacity in millicores; 0: unknown.
};

/// Parses a member's row.
/// @return The member, or an error that names the row.
result<member_row> decode_member(const stored_row& row);

/// Writes this process's row and retries until the store has it. Rows only
/// tell the address of a member; links show whether it is alive.
class member_announcer final
{
public:
    /// Receives the memo that the previous process saved.
    using memo_handler = std::function<void(const std::string&)>;

    /// @param store Must outlive the announcer.
    /// @param later Schedules delayed work.
    /// @param self Row of this process.
    member_announcer(row_store& store, journal_chain::delay later,
                     member_row self);
    ~member_announcer();

    /// Starts writing the row.
    /// @param on_memo Called once if a previous process saved a memo.
    void begin(memo_handler on_memo = {});

    /// Saves a memo in the row for the next process of this member. Writes are
    /// delayed and combined; the latest memo wins.
    void keep(std::string memo);

private:
    struct state;
    std::shared_ptr<state> state_; ///< Shared with pending callbacks.
};

/// Table of the member rows.
inline constexpr std::string_view members_table = "members";

} // namespace glenhollow

#endif
