#ifndef GLENHOLLOW_CONFIGURATION_CONFIGURATION_HPP
#define GLENHOLLOW_CONFIGURATION_CONFIGURATION_HPP

#include "glenhollow/configuration/tuning.hpp"
#include "glenhollow/core/result.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Kind of a configuration row.
enum class row_kind : std::uint8_t
{
    setting, ///< Value of a setting in setting_table().
    quota,   ///< Quota of a client account, in tasks per second.
    weight,  ///< Queue weight of a client account.
    token,   ///< Bearer token of a client account.
    drain    ///< Drained backend server; the value names the operator.
};

template <>
struct name_table<row_kind>
{
    static constexpr std::array<std::string_view, 5> names{
        "setting", "quota", "weight", "token", "drain"};
};

/// @param name Name of the setting, client account or backend server.
/// @return Key of the row.
std::string row_key(row_kind kind, std::string_view name);

/// A configuration row and its last change.
struct configuration_row
{
    std::string value;         ///< Value; empty if the row was removed.
    std::uint64_t version = 0; ///< Configuration version of the change.
    std::string by;            ///< Name of the operator.
    std::int64_t when = 0;     ///< Unix time in seconds.

    bool operator==(const configuration_row&) const = default;
};

/// A change of one or more rows.
struct configuration_change
{
    std::string id;                          ///< Unique id of the change.
    std::map<std::string, std::string> rows; ///< New values; empty removes.
    std::string by;                          ///< Name of the operator.
    std::int64_t when = 0;                   ///< Unix time in seconds.
    std::string statement;                   ///< Statement of the operator.
};

/// A versioned snapshot of the configuration.
class configuration final
{
public:
    /// @return Number of accepted changes; 0 if nothing was ever set.
    std::uint64_t version() const { return version_; }

    /// @return All rows, including removed ones.
    const std::map<std::string, configuration_row>& rows() const
    {
        return rows_;
    }

    /// @return The next version, with the change applied.
    configuration with(const configuration_change& change) const;

    /// @return The row, or null if it is absent or removed.
    const configuration_row* find(const std::string& key) const;

    /// @return Names and rows of one kind, without removed ones.
    std::vector<std::pair<std::string, configuration_row>>
    rows_of(row_kind kind) const;

    /// @param defaults Values of settings without a row.
    /// @return The effective settings.
    tuning settings(const tuning& defaults = {}) const;

    /// @return Keys of the rows changed after a version.
    std::vector<std::string> changed_since(std::uint64_t version) const;

    /// Serializes the configuration as JSON.
    std::string to_json() const;

    /// Parses the output of to_json().
    /// @return The configuration, or a description of the parse error.
    static result<configuration> from_json(const std::string& text);

    /// Merges a row received from another process; an older row is ignored.
    void merge_row(const std::string& key, configuration_row row);

    /// Sets the version after rows were merged.
    void set_version(std::uint64_t version) { version_ = version; }

private:
    std::uint64_t version_ = 0;
    std::map<std::string, configuration_row> rows_; ///< Rows by key.
};

} // namespace glenhollow

#endif
