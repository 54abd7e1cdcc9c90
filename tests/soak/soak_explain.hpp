#ifndef GLENHOLLOW_TESTS_SOAK_SOAK_EXPLAIN_HPP
#define GLENHOLLOW_TESTS_SOAK_SOAK_EXPLAIN_HPP

#include "soak/soak_checker.hpp"

#include <string>
#include <vector>

namespace glenhollow::soak
{

/// File of a soak's folder with all runs, one a line.
inline constexpr std::string_view runs_file = "runs";

/// Begins the line of soak.log that ties the soak's clock to the time of day,
/// which processes' logs show; Unix ms follow.
inline constexpr std::string_view wall_words = "wall clock ";

/// @param run A run.
/// @return It as a line, without the end of line.
std::string run_line(const seen_run& run);

/// Puts what a soak's folder tells of a task into one order of time: its runs,
/// the faults around them, and the lines of the entries and of the agents at
/// which it ran. Logs show whole seconds, so their lines are marked with ~ and
/// may be up to a second later than they stand.
/// @param folder Of a soak that is over.
/// @param task ID.0.STEP.INDEX.
/// @return Lines, earliest first; empty where nothing is known of the task.
std::vector<std::string> explain_task(const std::string& folder,
                                      const std::string& task);

} // namespace glenhollow::soak

#endif
