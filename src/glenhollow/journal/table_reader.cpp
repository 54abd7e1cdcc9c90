#include "glenhollow/journal/table_reader.hpp"

#include <memory>
#include <utility>

namespace glenhollow
{

namespace
{

/// One read of a table in progress.
struct table_read : std::enable_shared_from_this<table_read>
{
    table_read(row_store& rows, row_handler row_function,
               table_handler done_function)
        : store(rows), on_row(std::move(row_function)),
          done(std::move(done_function))
    {
    }

    void read(const row_range& range)
    {
        store.read(range,
                   [self = shared_from_this(), range](const read_result& got)
                   { self->page(range, got); });
    }

    void page(row_range range, const read_result& got)
    {
        if (!got.answered)
            return done(std::nullopt);
        version = version.value_or(got.version);
        bool has_new_rows = false;
        for (const auto& row : got.rows)
        {
            if (last_key && row.key.key <= *last_key)
                continue;
            has_new_rows = true;
            last_key = row.key.key;
            on_row(row);
        }
        if (!got.more)
            return done(version);
        read_on(std::move(range), has_new_rows);
    }

    /// Reads on from the last row, as the store may not take a key that is
    /// longer than its longest one. Pages with room for one row only are
    /// continued behind it. Without further rows the table is not read.
    void read_on(row_range range, bool has_new_rows)
    {
        if (!last_key || (!has_new_rows && range.from > *last_key))
            return done(std::nullopt);
        range.from = *last_key;
        if (!has_new_rows)
            range.from += '\0';
        read(range);
    }

    row_store& store;
    row_handler on_row;
    table_handler done;
    std::optional<std::string> last_key;  ///< Key of the last row read.
    std::optional<std::uint64_t> version; ///< Version of the first page.
};

} // namespace

void read_table(row_store& store, const std::string& table,
                const std::string& part, row_handler on_row, table_handler done)
{
    const auto work =
        std::make_shared<table_read>(store, std::move(on_row), std::move(done));
    work->read({table, part, {}, {}, 0});
}

} // namespace glenhollow
