#ifndef GLENHOLLOW_DURABLE_TABLE_FOLLOWER_HPP
#define GLENHOLLOW_DURABLE_TABLE_FOLLOWER_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/journal/journal_chain.hpp"
#include "glenhollow/journal/row_store.hpp"

#include <functional>
#include <memory>
#include <string>

namespace glenhollow
{

/// Limits of a follower.
struct table_follower_settings
{
    duration wait = seconds{20};         ///< Of one long wait.
    duration retry = milliseconds{250};  ///< After a failure.
    duration min_gap = milliseconds{20}; ///< Between two waits.
};

/// Reads a small table and follows its changes. Where the store forgot the
/// history in between, it reads the table anew.
class table_follower final
{
public:
    /// @param store Outlives it.
    /// @param later Runs delayed work.
    /// @param table Kind of row; rows without a part.
    /// @param settings Limits.
    /// @param on_row Told each row as read or changed, and as gone when it was
    /// removed, be it in history that the store forgot.
    /// @param on_current Told, after its rows, that all changes up to a version
    /// have been told; may be empty.
    table_follower(row_store& store, journal_chain::delay later,
                   std::string table, const table_follower_settings& settings,
                   std::function<void(const stored_row&)> on_row,
                   std::function<void(std::uint64_t)> on_current = {});
    ~table_follower();

    /// Begins to read.
    void begin();

    /// @param gap The least time between two waits from now on.
    void set_min_gap(duration gap);

private:
    struct state;
    std::shared_ptr<state> state_; ///< Shared with calls that are out.
};

} // namespace glenhollow

#endif
