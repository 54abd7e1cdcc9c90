#ifndef GLENHOLLOW_CLIENT_INTERACTIVE_HPP
#define GLENHOLLOW_CLIENT_INTERACTIVE_HPP

#include <functional>
#include <string>

namespace glenhollow
{

/// Reads statements from a person, with history and completion.
/// @param run Called with each statement.
void run_interactive(const std::function<void(const std::string&)>& run);

} // namespace glenhollow

#endif
