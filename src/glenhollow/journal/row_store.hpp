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

/// Names a row. Rows of one transaction share the part.
struct row_key
{
    std::string table; ///< Kind of row.
    std::string part;  ///< Unit of transactions; may be empty.
    std::string key;   ///< Within table and part.

    bool operator==(const row_key&) const = default;
};

/// A row as the store holds it.
struct stored_row
{
    row_key key;               ///< Its name.
    std::string value;         ///< Any bytes.
    std::uint64_t version = 0; ///< Of its last change; 0: no such row.
    bool gone = false;         ///< It was removed (in a feed only).
};

/// A row's new value.
struct row_write
{
    row_key key;       ///< Its name.
    std::string value; ///< Any bytes.
};

/// A row that must be at a version.
struct row_condition
{
    row_key key;               ///< Its name.
    std::uint64_t version = 0; ///< 0: it must not exist.
};

/// A change that happens whole or not at all.
struct row_transaction
{
    std::vector<row_condition> expected; ///< All must hold.
    std::vector<row_write> puts;         ///< Rows to write.
    std::vector<row_key> removes;        ///< Rows to remove.
};

/// How a call to the store ended.
enum class store_outcome : std::uint8_t
{
    done,     ///< It took effect.
    conflict, ///< A condition did not hold; nothing took effect.
    refused,  ///< The store turned the call away; nothing took effect.
    unknown   ///< No answer: it may take effect, now or later.
};

template <>
struct name_table<store_outcome>
{
    static constexpr std::array<std::string_view, 4> names{
        "done", "conflict", "refused", "unknown"};
};

/// The end of a transaction.
struct commit_result
{
    store_outcome outcome = store_outcome::unknown; ///< What happened.
    std::uint64_t version = 0;       ///< Of the written rows, when done.
    std::vector<stored_row> current; ///< After a conflict: the expected rows.
};

/// A range of rows of one table and part.
struct row_range
{
    std::string table;     ///< Kind of row.
    std::string part;      ///< Unit of transactions.
    std::string from;      ///< First key.
    std::string until;     ///< First key past the range; empty: none.
    std::size_t limit = 0; ///< Rows at most; 0: as many as the store gives.
};

/// The end of a read.
struct read_result
{
    bool answered = false;        ///< Whether the rows are those of now.
    std::vector<stored_row> rows; ///< In the order of their keys.
    bool more = false;            ///< The range goes on after the last row.
    std::uint64_t version = 0;    ///< The store's newest.
};

/// How a wait for changes ended.
enum class feed_outcome : std::uint8_t
{
    answered,        ///< Rows that changed, perhaps none.
    history_expired, ///< The store forgot; read the table anew.
    failed           ///< No answer.
};

/// The end of a wait for changes.
struct feed_result
{
    feed_outcome outcome = feed_outcome::failed; ///< What happened.
    std::vector<stored_row> rows;                ///< Changed, in order.
    std::uint64_t version = 0;                   ///< Go on from here.
};

/// The platform's store of rows; a stand-in of it in tests. Calls end on the
/// thread that made them.
class row_store
{
public:
    using commit_handler = std::function<void(commit_result)>;
    using read_handler = std::function<void(read_result)>;
    using feed_handler = std::function<void(feed_result)>;

    virtual ~row_store() = default;

    /// @param change At most `max_transaction_rows` rows.
    /// @param done Told the end, not from inside this call.
    virtual void commit(const row_transaction& change, commit_handler done) = 0;

    /// @param range What to read.
    /// @param done Told the end, not from inside this call.
    virtual void read(const row_range& range, read_handler done) = 0;

    /// Waits for changes of a table.
    /// @param table Kind of row.
    /// @param after The version up to which changes are known.
    /// @param wait How long at most.
    /// @param done Told the end, not from inside this call.
    virtual void follow(const std::string& table, std::uint64_t after,
                        duration wait, feed_handler done) = 0;
};

/// Rows in one transaction, conditions included.
inline constexpr std::size_t max_transaction_rows = 100;

/// Bytes of values in one transaction, with room for names and encoding.
inline constexpr std::size_t max_transaction_bytes = 600UL << 10;

} // namespace glenhollow

#endif
