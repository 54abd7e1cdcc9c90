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

/// Rules for merging the rows of several entries.
struct row_merge_rules
{
    std::string key; ///< Field that identifies a row; if empty, rows
                     ///< are only appended.
    std::vector<std::string> summed_fields; ///< Fields whose values are added.
    bool known_rows_only = false; ///< Whether rows with a new key are dropped.
};

/// Rounds a number for an answer.
/// @param digits Digits kept after the decimal point.
/// @return An integer if the result is whole, otherwise a floating-point
/// number.
boost::json::value rounded(double number, int digits);

/// Rows of the answer to an operator.
class row_table final
{
public:
    /// Appends a row.
    void add(boost::json::object row) { rows_.push_back(std::move(row)); }

    /// Merges the rows of another entry's answer.
    /// @param answer The answer; an error or an invalid body is ignored.
    /// @param rules How rows are merged.
    void merge(const job_answer& answer, const row_merge_rules& rules);

    /// Removes the rows that do not match all conditions.
    /// @return An error that names the field if no row has a field.
    api_result<void> filter(const std::vector<condition>& where);

    /// Sorts the rows by the text of a field. The sort is stable.
    void sort_by(const std::string& key);

    /// @return The rows as an answer with status 200.
    job_answer to_answer() const;

    /// @return The number of rows.
    std::size_t size() const { return rows_.size(); }

private:
    boost::json::array rows_; ///< Rows as JSON objects.
};

/// Evaluates a condition on a field. Compares as numbers if both sides are
/// numbers, otherwise as text.
/// @param field Value of the field.
/// @param op Comparison operator.
/// @param value Right-hand side.
/// @return Whether the condition is true.
bool matches(const boost::json::value& field, comparison op,
             const std::string& value);

} // namespace glenhollow

#endif
