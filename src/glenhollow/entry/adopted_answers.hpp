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

/// The record that an agent keeps of a task of a fenced entry incarnation.
struct fenced_record
{
    task_key key;
    outcome_of_task end; ///< The verdict; may_have_run while it still runs.
    std::string body;    ///< JSON text of the result, if the task ran.
    std::uint64_t body_hash = 0; ///< Hash of the job's body.
    std::uint32_t job_tasks = 0; ///< Number of tasks in the job.
};

/// Answers for the jobs of one entry incarnation that has ended: the answers
/// that the entry handed over, and jobs whose results are all held by agents.
/// All other jobs are failed as may_have_run; no task is started. Pure state.
class adopted_answers final
{
public:
    /// @param hall Hall of the entry.
    /// @param entry Name of the entry.
    /// @param incarnation Incarnation of the entry.
    adopted_answers(std::string hall, std::string entry,
                    std::uint64_t incarnation)
        : hall_(std::move(hall)), entry_(std::move(entry)),
          incarnation_(incarnation)
    {
    }

    /// Adds answers that the entry handed over before it stopped.
    void add_kept_answers(const std::vector<coordinator::kept_answer>& answers);

    /// Adds the records of one agent.
    void add(const std::vector<fenced_record>& records);

    /// @param sequence Sequence number of a submission of the incarnation.
    /// @param body_hash Hash of the resubmitted body, if a body was sent.
    /// @return The answer: complete, failed, or a conflict of bodies.
    job_answer answer(std::uint64_t sequence,
                      std::optional<std::uint64_t> body_hash) const;

    /// @return Number of jobs with a handed over answer or an agent's record.
    std::size_t jobs() const { return jobs_.size() + kept_.size(); }

    /// @return Number of jobs whose results are all held by agents.
    std::size_t complete_jobs() const;

private:
    /// A job assembled from the records of agents.
    struct partial_job
    {
        std::uint64_t body_hash = 0; ///< Hash of the job's body.
        std::uint32_t tasks = 0;     ///< Number of tasks in the job.
        /// Results by task number.
        std::map<std::uint32_t, std::string> results;

        bool is_complete() const
        {
            return tasks > 0 && results.size() == tasks;
        }
    };

    std::string id_text(std::uint64_t sequence) const;

    std::string hall_;          ///< Hall of the entry that failed.
    std::string entry_;         ///< Name of that entry.
    std::uint64_t incarnation_; ///< Incarnation of that entry.
    /// Answers handed over, by sequence.
    std::unordered_map<std::uint64_t, coordinator::kept_answer> kept_;
    /// Jobs known from agents, by sequence.
    std::unordered_map<std::uint64_t, partial_job> jobs_;
};

} // namespace glenhollow

#endif
