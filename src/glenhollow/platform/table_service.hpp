#ifndef GLENHOLLOW_PLATFORM_TABLE_SERVICE_HPP
#define GLENHOLLOW_PLATFORM_TABLE_SERVICE_HPP

#include "glenhollow/core/names.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Result of a call to the platform.
enum class platform_outcome : std::uint8_t
{
    done,     ///< The call succeeded.
    conflict, ///< A condition did not hold; nothing was changed.
    missing,  ///< The row or object does not exist.
    not_sent, ///< The call was not sent; nothing was changed.
    unknown   ///< No response, or a failure after sending.
};

template <>
struct name_table<platform_outcome>
{
    static constexpr std::array<std::string_view, 5> names{
        "done", "conflict", "missing", "not_sent", "unknown"};
};

/// A row of the table service.
struct table_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Number of changes; 0 if absent.
};

/// An atomic change of rows.
struct table_transaction
{
    /// A required version of a row.
    struct condition
    {
        std::string key;
        std::uint64_t version = 0; ///< 0 if the row must not exist.
    };

    /// A new value of a row.
    struct write
    {
        std::string key;
        std::string value;
    };

    std::vector<condition> conditions; ///< Conditions; all must hold.
    std::vector<write> writes;         ///< Values to write.
};

/// Interface of the platform's transactional table.
class table_service
{
public:
    /// Called with the result of a read.
    template <class T>
    using reader = std::function<void(platform_outcome, T)>;

    /// Called with the result of a write.
    using writer = std::function<void(platform_outcome)>;

    virtual ~table_service() = default;

    /// Reads a row.
    virtual void read_row(const std::string& key, reader<table_row> done) = 0;

    /// Commits a transaction.
    virtual void transact(const table_transaction& change, writer done) = 0;
};

} // namespace glenhollow

#endif
