#ifndef GLENHOLLOW_LANGUAGE_PARSER_HPP
#define GLENHOLLOW_LANGUAGE_PARSER_HPP

#include "glenhollow/core/result.hpp"
#include "glenhollow/language/statement.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace glenhollow
{

/// Who may use which statements.
enum class dialect : std::uint8_t
{
    operators, ///< What an entry takes.
    scenarios  ///< The same and what tests do to processes.
};

/// Why a text is no statement.
struct parse_error
{
    std::size_t column = 1; ///< Where, from 1.
    std::string expected;   ///< What was expected there.

    /// @return One line for a person.
    std::string text() const
    {
        return "column " + std::to_string(column) + ": expected " + expected;
    }
};

/// A statement or where and why the text is none.
using parse_result =
    outcome::result<statement, parse_error, outcome::policy::all_narrow>;

/// @param text One statement.
/// @param allowed Which statements there are.
/// @return The statement, or where and why the text is none.
parse_result parse_statement(std::string_view text, dialect allowed);

/// @return One line for each statement that operators have.
std::string_view statement_help();

} // namespace glenhollow

#endif
