#ifndef GLENHOLLOW_ENTRY_OPERATOR_SERVICE_CONTEXT_HPP
#define GLENHOLLOW_ENTRY_OPERATOR_SERVICE_CONTEXT_HPP

#include "glenhollow/entry/operator_service.hpp"

#include <cstdint>
#include <string>

/// What the parts of operator_service share; nothing else includes it.
namespace glenhollow
{

/// One statement on its way.
struct operator_service::context
{
    std::string text;      ///< As written.
    std::string by;        ///< Which operator.
    statement_scope scope; ///< Whom it asks.
    answer_callback done;  ///< Told the answer.

    void refuse(const api_problem& problem) const { done(problem.to_answer()); }
};

/// @param nanoseconds Since 1970.
/// @return The time of day, in UTC, with milliseconds.
std::string format_utc(std::int64_t nanoseconds);

} // namespace glenhollow

#endif
