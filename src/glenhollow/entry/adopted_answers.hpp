#ifndef GLENHOLLOW_ENTRY_ADOPTED_ANSWERS_HPP
#define GLENHOLLOW_ENTRY_ADOPTED_ANSWERS_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/submission_id.hpp"
#include "glenhollow/entry/coordinator.hpp"
#include "glenhollow/entry/job.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace glenhollow
{

/// One task of a dead entry as an agent remembers it.
struct fenced_record
{
    task_key key;                ///< Which task.
    outcome_of_task end;         ///< may_have_run while it still runs.
    std::string body;            ///< The result, JSON text, when it ran.
    std::uint64_t body_hash = 0; ///< Of the job's body.
    std::uint32_t job_tasks = 0; ///< Tasks of the job.
};

/// Answers for the jobs of one entry incarnation that is no more: those it
/// handed over, and those found whole at the agents. Everything else is failed
/// as may_have_run; nothing is ever started. Pure state.
class adopted_answers final
{
public:
    /// @param hall Of the incarnation's entry.
    /// @param entry Its name.
    /// @param incarnation The incarnation.
    adopted_answers(std::string hall, std::string entry,
                    std::uint64_t incarnation)
        : hall_(std::move(hall)), entry_(std::move(entry)),
          incarnation_(incarnation)
    {
    }

    /// @param answers That the entry handed over.
    void add_kept_answers(const std::vector<coordinator::kept_answer>& answers);

    /// @param records That an agent remembers.
    void add(const std::vector<fenced_record>& records);

    /// @param sequence A submission of the incarnation.
    /// @param body_hash Of the body it was sent with again, if it was.
    /// @return The answer: whole, failed, or a conflict of bodies.
    job_answer answer(std::uint64_t sequence,
                      std::optional<std::uint64_t> body_hash) const;

    /// @return Jobs that something is known of.
    std::size_t jobs() const { return jobs_.size() + kept_.size(); }

    /// @return How many of the jobs found at agents are whole.
    std::size_t complete_jobs() const;

private:
    /// A job put together from what agents remember.
    struct partial_job
    {
        std::uint64_t body_hash = 0;                  ///< Of its body.
        std::uint32_t tasks = 0;                      ///< All of them.
        std::map<std::uint32_t, std::string> results; ///< By task.

        /// @return Whether the results of all tasks are there.
        bool is_complete() const
        {
            return tasks > 0 && results.size() == tasks;
        }
    };

    std::string id_text(std::uint64_t sequence) const;

    std::string hall_;          ///< Of the entry.
    std::string entry_;         ///< Its name.
    std::uint64_t incarnation_; ///< Its start.
    std::unordered_map<std::uint64_t, coordinator::kept_answer>
        kept_; ///< Handed over, by sequence.
    std::unordered_map<std::uint64_t, partial_job> jobs_; ///< By sequence.
};

} // namespace glenhollow

#endif
