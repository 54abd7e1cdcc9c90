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

/// What the journal holds of a part.
struct loaded_part
{
    std::vector<job_definition> jobs;                  ///< Not ended.
    std::unordered_map<job_id, job_progress> progress; ///< Of these.
    std::vector<std::pair<job_id, job_epitaph>> ended; ///< Ended.
    std::set<job_id> unreadable; ///< With a row that can't be read, and in none
                                 ///< of the others: not known to be undone,
                                 ///< so that nobody may run or end them.
};

/// Reads a part after it was claimed, page by page.
/// @param store Outlives the reads.
/// @param part Which part.
/// @param done Told what it holds, or nothing where the store did not answer.
void load_part(row_store& store, part_number part,
               std::function<void(std::optional<loaded_part>)> done);

} // namespace glenhollow

#endif
