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
    std::vector<std::pair<job_id, ended_job>> ended;   ///< Ended.
    std::set<job_id> unreadable; ///< With a row that can't be read, and in none
                                 ///< of the others: not known to be undone,
                                 ///< so that nobody may run or end them.
    std::set<std::string> agents; ///< With a row since before the claim: any of
                                  ///< them may run something of it, also those
                                  ///< that this entry has not heard of yet.
};

/// Reads a part after it was claimed, page by page, and who may run something
/// of it.
/// @param store Outlives the reads.
/// @param part Which part.
/// @param done Told what it holds, or nothing where the store did not answer.
void load_part(row_store& store, part_number part,
               std::function<void(std::optional<loaded_part>)> done);

} // namespace glenhollow

#endif
