#ifndef GLENHOLLOW_ENTRY_ROW_TABLE_HPP
#define GLENHOLLOW_ENTRY_ROW_TABLE_HPP

#include "glenhollow/entry/job.hpp"
#include "glenhollow/language/statement.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <string>
#include <vector>

namespace glenhollow
{

/// How rows of several entries that name the same thing become one.
struct row_merge_rules
{
    std::string key; ///< Field that names the thing; empty:
                     ///< rows are only joined.
    std::vector<std::string> summed_fields; ///< Fields that are added up.
    bool known_rows_only = false; ///< Rows that are new here are left out.
};

/// @param number A number.
/// @param digits Kept after the point.
/// @return The number, as a whole one where it is whole.
boost::json::value rounded(double number, int digits);

/// Rows of an operator's answer.
class row_table final
{
public:
    /// @param row One more row.
    void add(boost::json::object row) { rows_.push_back(std::move(row)); }

    /// Adds the rows of another entry's answer.
    /// @param answer The answer; a problem adds nothing.
    /// @param how How rows are joined.
    void merge(const job_answer& answer, const row_merge_rules& rules);

    /// Keeps the rows for which all conditions hold.
    /// @param where The conditions.
    /// @return Nothing, or the field that no row has.
    api_result<void> filter(const std::vector<condition>& where);

    /// Orders the rows.
    /// @param key The field to order by.
    void sort_by(const std::string& key);

    /// @return The rows as the answer to the operator.
    job_answer to_answer() const;

    /// @return How many rows there are.
    std::size_t size() const { return rows_.size(); }

private:
    boost::json::array rows_; ///< Objects.
};

/// @param field A field's value.
/// @param op How it compares.
/// @param value With what; as numbers where both are numbers.
/// @return Whether the condition holds.
bool matches(const boost::json::value& field, comparison op,
             const std::string& value);

} // namespace glenhollow

#endif
