#ifndef GLENHOLLOW_JOURNAL_ROW_STORE_HPP
#define GLENHOLLOW_JOURNAL_ROW_STORE_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Key of a row. All rows of a transaction belong to one part.
struct row_key
{
    std::string table; ///< Table name.
    std::string part;  ///< Transaction scope; may be empty.
    std::string key;   ///< Unique within table and part.

    bool operator==(const row_key&) const = default;
};

/// A stored row with its version.
struct stored_row
{
    row_key key;
    std::string value;         ///< Arbitrary bytes.
    std::uint64_t version = 0; ///< Version of the last change; 0 if absent.
    bool gone = false; ///< Whether the row was removed; change feeds only.
};

/// A new value of a row.
struct row_write
{
    row_key key;
    std::string value; ///< Arbitrary bytes.
};

/// A required version of a row.
struct row_condition
{
    row_key key;
    std::uint64_t version = 0; ///< 0 if the row must not exist.
};

/// An atomic change of rows.
struct row_transaction
{
    std::vector<row_condition> expected; ///< Conditions; all must hold.
    std::vector<row_write> puts;         ///< Rows to write.
    std::vector<row_key> removes;        ///< Rows to remove.
};

/// Result of a call to the store.
enum class store_outcome : std::uint8_t
{
    done,     ///< The transaction was committed.
    conflict, ///< A condition did not hold; nothing was changed.
    refused,  ///< The store refused the call; nothing was changed.
    unknown   ///< No response; the change may be applied now or later.
};

template <>
struct name_table<store_outcome>
{
    static constexpr std::array<std::string_view, 4> names{
        "done", "conflict", "refused", "unknown"};
};

/// Result of a transaction.
struct commit_result
{
    store_outcome outcome = store_outcome::unknown;
    std::uint64_t version = 0;       ///< Version of the written rows if done.
    std::vector<stored_row> current; ///< Conflict: rows of the conditions.
};

/// A key range within one table and part.
struct row_range
{
    std::string table;     ///< Table name.
    std::string part;      ///< Transaction scope.
    std::string from;      ///< First key, inclusive.
    std::string until;     ///< End key, exclusive; empty for no bound.
    std::size_t limit = 0; ///< Maximum row count; 0 for the store's default.
};

/// Result of a read.
struct read_result
{
    bool answered = false;        ///< Whether the store responded.
    std::vector<stored_row> rows; ///< Rows ordered by key.
    bool more = false;            ///< Whether more rows follow in the range.
    std::uint64_t version = 0;    ///< Latest version in the store.
};

/// Status of a change feed request.
enum class feed_outcome : std::uint8_t
{
    answered,        ///< The store responded, possibly without changes.
    history_expired, ///< Changes were discarded; reread the table.
    failed           ///< The store did not respond.
};

/// Result of a change feed request.
struct feed_result
{
    feed_outcome outcome = feed_outcome::failed;
    std::vector<stored_row> rows; ///< Changed rows in order of their versions.
    std::uint64_t version = 0;    ///< Version to continue from.
};

/// Interface of a transactional row store. Each callback runs on the calling
/// thread after the call has returned.
class row_store
{
public:
    using commit_handler = std::function<void(commit_result)>;
    using read_handler = std::function<void(read_result)>;
    using feed_handler = std::function<void(feed_result)>;

    virtual ~row_store() = default;

    /// Commits a transaction of at most `max_transaction_rows` rows.
    virtual void commit(const row_transaction& change, commit_handler done) = 0;

    /// Reads the rows of a range.
    virtual void read(const row_range& range, read_handler done) = 0;

    /// Waits for changes of a table.
    /// @param after Latest version that the caller has seen.
    /// @param wait Maximum time to wait for a change.
    virtual void follow(const std::string& table, std::uint64_t after,
                        duration wait, feed_handler done) = 0;
};

/// Maximum number of rows in a transaction, conditions included.
inline constexpr std::size_t max_transaction_rows = 100;

/// Maximum total size of a transaction's values in bytes; leaves room for keys
/// and encoding.
inline constexpr std::size_t max_transaction_bytes = 600UL << 10;

} // namespace glenhollow

#endif
