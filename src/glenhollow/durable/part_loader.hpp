#ifndef GLENHOLLOW_DURABLE_PART_LOADER_HPP
#define GLENHOLLOW_DURABLE_PART_LOADER_HPP

#include "glenhollow/durable/durable_job.hpp"
#include "glenhollow/journal/row_store.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace glenhollow
{

/// Tables of the journal.
inline constexpr std::string_view jobs_table = "jobs";
inline constexpr std::string_view progress_table = "progress";
inline constexpr std::string_view ended_table = "ended";

/// Journal contents of one part.
struct loaded_part
{
    std::vector<job_definition> jobs; ///< Jobs that have not ended.
    std::unordered_map<job_id, job_progress> progress; ///< Progress of these.
    std::vector<std::pair<job_id, ended_job>> ended;   ///< Ended jobs.
    /// Jobs with an invalid row, left out of the other members. Their state is
    /// unknown, so they are neither run nor ended.
    std::set<job_id> unreadable;
    /// Agents that have a member row. Each of them may run tasks of the part,
    /// even if this entry has not connected to it yet.
    std::set<std::string> agents;
};

/// Reads a part's journal and the agents' member rows, page by page. Called
/// after the part was claimed.
/// @param store Must outlive the reads.
/// @param done Receives the contents, or nothing if the store did not answer.
void load_part(row_store& store, part_number part,
               std::function<void(std::optional<loaded_part>)> done);

} // namespace glenhollow

#endif
