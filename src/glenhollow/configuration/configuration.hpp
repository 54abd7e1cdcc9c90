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

/// What a row of the configuration is about.
enum class row_kind : std::uint8_t
{
    setting, ///< A setting of the table.
    quota,   ///< A team's quota, tasks a second.
    weight,  ///< A team's weight in the queue.
    token,   ///< A team's bearer token.
    drain    ///< A runner that gets no work; the value says who wants it.
};

template <>
struct name_table<row_kind>
{
    static constexpr std::array<std::string_view, 5> names{
        "setting", "quota", "weight", "token", "drain"};
};

/// @param kind What it is about.
/// @param name Which setting, team or runner.
/// @return The key of the row.
std::string row_key(row_kind kind, std::string_view name);

/// One row with its last change.
struct configuration_row
{
    std::string value;         ///< Text; empty: the row is gone.
    std::uint64_t version = 0; ///< Of the configuration that set it.
    std::string by;            ///< Which operator.
    std::int64_t when = 0;     ///< Wall time, s since 1970.

    bool operator==(const configuration_row&) const = default;
};

/// A change of some rows.
struct configuration_change
{
    std::string id;                          ///< Names the change.
    std::map<std::string, std::string> rows; ///< New values; empty: gone.
    std::string by;                          ///< Which operator.
    std::int64_t when = 0;                   ///< Wall time, s since 1970.
    std::string statement;                   ///< As the operator wrote it.
};

/// The whole configuration at one version. A plain value.
class configuration final
{
public:
    /// @return Counts accepted changes from 1; 0: nothing was ever set.
    std::uint64_t version() const { return version_; }

    /// @return All rows, those that are gone among them.
    const std::map<std::string, configuration_row>& rows() const
    {
        return rows_;
    }

    /// @param change A change.
    /// @return The next version with it.
    configuration with(const configuration_change& change) const;

    /// @param key A row.
    /// @return The row, or null when it is not there.
    const configuration_row* find(const std::string& key) const;

    /// @param kind What rows are about.
    /// @return Name and row of each that is there.
    std::vector<std::pair<std::string, configuration_row>>
    rows_of(row_kind kind) const;

    /// @param defaults Of settings without a row.
    /// @return The settings in force.
    tuning settings(const tuning& defaults = {}) const;

    /// @param version An older version.
    /// @return Keys changed since then.
    std::vector<std::string> changed_since(std::uint64_t version) const;

    /// @return The configuration as JSON text.
    std::string to_json() const;

    /// @param text What to_json() gave.
    /// @return The configuration, or why the text is none.
    static result<configuration> from_json(const std::string& text);

    /// Sets a row as another process told it.
    /// @param key Which.
    /// @param row Its new state.
    void merge_row(const std::string& key, configuration_row row);

    /// @param version Of the rows merged.
    void set_version(std::uint64_t version) { version_ = version; }

private:
    std::uint64_t version_ = 0;                     ///< Counts changes.
    std::map<std::string, configuration_row> rows_; ///< By key.
};

} // namespace glenhollow

#endif
