#ifndef GLENHOLLOW_LOAD_LOAD_REPORT_HPP
#define GLENHOLLOW_LOAD_LOAD_REPORT_HPP

#include "glenhollow/load/load_run.hpp"

#include <string>

namespace glenhollow
{

/// @param totals What a load met.
/// @return One JSON object.
std::string to_json(const load_totals& totals);

/// @param totals What a load met.
/// @return The same for a person.
std::string to_text(const load_totals& totals);

/// @param totals What a load met.
/// @return Whether a promise broke: partial, crossed or differing answers, a
/// task started twice, a refused job that ran, or a job without an answer.
bool promise_broken(const load_totals& totals);

} // namespace glenhollow

#endif
