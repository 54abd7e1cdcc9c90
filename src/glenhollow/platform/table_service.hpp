#ifndef GLENHOLLOW_PLATFORM_TABLE_SERVICE_HPP
#define GLENHOLLOW_PLATFORM_TABLE_SERVICE_HPP

#include "glenhollow/core/names.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace glenhollow
{

/// How a call to the platform ended.
enum class platform_outcome : std::uint8_t
{
    done,     ///< It took effect.
    conflict, ///< A condition did not hold; nothing took effect.
    missing,  ///< There is no such row or object.
    not_sent, ///< Nothing left this process; nothing took effect.
    unknown   ///< No answer, or a failure after it was sent.
};

template <>
struct name_table<platform_outcome>
{
    static constexpr std::array<std::string_view, 5> names{
        "done", "conflict", "missing", "not_sent", "unknown"};
};

/// One row of the table service.
struct table_row
{
    std::string key;           ///< Its name.
    std::string value;         ///< Text.
    std::uint64_t version = 0; ///< Counts its changes; 0: no such row.
};

/// A change of rows in one transaction.
struct table_transaction
{
    /// A row that must be at a version.
    struct condition
    {
        std::string key;           ///< Its name.
        std::uint64_t version = 0; ///< 0: it must not exist.
    };

    /// A row's new value.
    struct write
    {
        std::string key;   ///< Its name.
        std::string value; ///< Text.
    };

    std::vector<condition> conditions; ///< All must hold.
    std::vector<write> writes;         ///< All take effect, or none.
};

/// The platform's transactional table; faked in tests.
class table_service
{
public:
    /// Told the end of a read.
    template <class T>
    using reader = std::function<void(platform_outcome, T)>;

    /// Told the end of a write.
    using writer = std::function<void(platform_outcome)>;

    virtual ~table_service() = default;

    /// @param key A row.
    /// @param done Told the row.
    virtual void read_row(const std::string& key, reader<table_row> done) = 0;

    /// @param change What to change.
    /// @param done Told whether it took effect.
    virtual void transact(const table_transaction& change, writer done) = 0;
};

} // namespace glenhollow

#endif
