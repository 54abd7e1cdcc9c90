#ifndef GLENHOLLOW_ENTRY_OPERATOR_SERVICE_CONTEXT_HPP
#define GLENHOLLOW_ENTRY_OPERATOR_SERVICE_CONTEXT_HPP

#include "glenhollow/entry/operator_service.hpp"

#include <cstdint>
#include <string>

/// Private to the source files of operator_service.
namespace glenhollow
{

/// One statement in execution.
struct operator_service::context
{
    std::string text;      ///< Text of the statement.
    std::string by;        ///< Name of the operator.
    statement_scope scope; ///< Entries that take part in the answer.
    answer_callback done;  ///< Called with the answer.

    void refuse(const api_problem& problem) const { done(problem.to_answer()); }
};

/// Formats a time as ISO 8601 in UTC with milliseconds.
/// @param nanoseconds Time since the Unix epoch.
std::string format_utc(std::int64_t nanoseconds);

} // namespace glenhollow

#endif
