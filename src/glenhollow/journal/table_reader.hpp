#ifndef GLENHOLLOW_JOURNAL_TABLE_READER_HPP
#define GLENHOLLOW_JOURNAL_TABLE_READER_HPP

#include "glenhollow/journal/row_store.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace glenhollow
{

/// Receives one row.
using row_handler = std::function<void(const stored_row&)>;

/// Receives the store's version at the time of the first page, or nothing if a
/// page could not be read.
using table_handler = std::function<void(std::optional<std::uint64_t>)>;

/// Reads all rows of a part of a table, page by page. A row that is changed
/// meanwhile may be passed in either state.
/// @param store Outlives the read.
/// @param table Name of the table.
/// @param part Part of the table; may be empty.
/// @param on_row Receives each row once, in the order of the keys.
/// @param done Called once all rows were read, or a read has failed.
void read_table(row_store& store, const std::string& table,
                const std::string& part, row_handler on_row,
                table_handler done);

} // namespace glenhollow

#endif
