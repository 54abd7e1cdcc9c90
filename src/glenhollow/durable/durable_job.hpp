#ifndef GLENHOLLOW_DURABLE_DURABLE_JOB_HPP
#define GLENHOLLOW_DURABLE_DURABLE_JOB_HPP

#include "glenhollow/core/names.hpp"
#include "glenhollow/core/result.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace glenhollow
{

/// Identifies a durable job; chosen by its caller.
using job_id = std::uint64_t;

/// Identifies one part (partition) of the journal, counted from 0.
using part_number = std::uint16_t;

/// Marks the jobs that an entry keeps in memory only, outside the journal.
inline constexpr part_number memory_part = 0xFFFF;

/// Runs of in-memory jobs are numbered above this value, runs of journalled
/// jobs below it.
inline constexpr std::uint32_t first_memory_run = 1U << 30U;

/// Which failures a job survives.
enum class durability : std::uint8_t
{
    journalled, ///< Survives the loss of its entry; callers poll it.
    in_memory   ///< Lost with its entry; the caller waits for it.
};

template <>
struct name_table<durability>
{
    static constexpr std::array<std::string_view, 2> names{"journalled",
                                                           "in_memory"};
};

/// Formats a job id as 16 hexadecimal digits.
std::string to_text(job_id id);

/// Parses a job id.
/// @param text Must be exactly 16 hexadecimal digits.
/// @return The id, or nothing if the text is malformed.
std::optional<job_id> job_id_from(std::string_view text);

/// Maps a job to the part of the journal that stores it.
/// @param id The job.
/// @param parts Number of parts; must be the same in all processes.
part_number part_of(job_id id, std::size_t parts);

/// Resources of a backend server: its capacity, or what a task uses.
struct resources
{
    std::uint32_t cpu = 0;    ///< Millicores.
    std::uint32_t memory = 0; ///< MiB.
    std::uint32_t gpu = 0;    ///< Number of accelerators.

    /// Adds, saturating at the largest value.
    void add(const resources& other);

    /// Subtracts, saturating at 0.
    void subtract(const resources& other);

    /// Checks whether a further request fits next to these used resources.
    /// @param more Additional request.
    /// @param capacity Total capacity.
    /// @return Whether the sum stays within the capacity.
    bool can_fit(const resources& more, const resources& capacity) const;

    bool operator==(const resources&) const = default;
};

/// Identifies one task of a durable job.
struct task_ref
{
    job_id job = 0;
    std::uint32_t occurrence = 0; ///< Repetition of the job, from 0.
    std::uint32_t step = 0;       ///< Step of the job, from 0.
    std::uint32_t index = 0;      ///< Task within the step, from 0.

    bool operator==(const task_ref&) const = default;
};

/// Identifies one run (execution attempt) of a task.
struct run_ref
{
    task_ref task;
    std::uint32_t run = 0; ///< Increases with each start of the task.

    bool operator==(const run_ref&) const = default;

    /// @return Whether the run belongs to an in-memory job.
    bool in_memory() const { return run > first_memory_run; }
};

/// Hashes a run_ref.
struct run_ref_hash
{
    /// @return The hash of a run_ref.
    std::size_t operator()(const run_ref& ref) const;
};

/// One step of a job: a number of identical tasks.
struct job_step
{
    std::uint32_t count = 1;       ///< Number of tasks.
    resources needs;               ///< Resources that each task uses.
    std::uint32_t estimate_ms = 0; ///< Expected run time of a task.
    std::string label;             ///< Label that the backend server must have;
                                   ///< empty: any.
    std::string preferred_label;   ///< Label of backend servers close to the
                                   ///< task's data; empty: none.
    std::vector<std::uint32_t> after; ///< Steps that must complete first.
};

/// A durable job as submitted, with the limits that its queue had then.
struct job_definition
{
    job_id id = 0;                  ///< Chosen by the caller.
    std::string queue;              ///< Queue name.
    std::string service;            ///< Service whose backend servers run it.
    std::string spec;               ///< Passed to each task.
    std::vector<job_step> steps;    ///< At least one step.
    std::uint32_t priority = 0;     ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1; ///< Failed runs of one task that fail
                                    ///< the job.
    std::int64_t accepted_ms = 0;   ///< Acceptance time, Unix ms.
    std::int64_t objective_ms = 0;  ///< Target completion time, Unix ms.
    std::int64_t expiry_ms = 0;     ///< Unix ms after which an in-memory job
                                    ///< is abandoned; 0: never.
    durability durability_class = durability::journalled;

    /// @return Number of tasks of all steps.
    std::size_t task_count() const;

    /// @return Critical path through the steps by their estimates, ms.
    std::uint64_t critical_path_ms() const;

    /// @return Cores of the step that uses the most when all its tasks run.
    double peak_cores() const;
};

/// Lifecycle state of a job.
enum class job_state : std::uint8_t
{
    queued,    ///< No task has started.
    running,   ///< At least one task has started.
    succeeded, ///< All tasks have succeeded.
    failed,    ///< A task has used up its attempts.
    cancelled  ///< Cancelled by its caller.
};

template <>
struct name_table<job_state>
{
    static constexpr std::array<std::string_view, 5> names{
        "queued", "running", "succeeded", "failed", "cancelled"};
};

/// @return Whether a job in this state can no longer change.
inline bool is_final(job_state state)
{
    return state >= job_state::succeeded;
}

/// How a run ended.
enum class run_outcome : std::uint8_t
{
    done,            ///< Succeeded.
    failed,          ///< The task or its backend server failed.
    stopped,         ///< Stopped by an order.
    lapsed,          ///< Its lease expired.
    group_aborted,   ///< Another member of its group ended.
    group_timed_out, ///< Its group did not become complete in time.
    not_begun        ///< It has not started and will not start.
};

template <>
struct name_table<run_outcome>
{
    static constexpr std::array<std::string_view, 7> names{
        "done", "failed", "stopped", "lapsed", "broken", "alone", "not_begun"};
};

/// The end of one run as reported by its agent.
struct run_end
{
    run_ref run;
    run_outcome outcome = run_outcome::failed;
    std::uint64_t number = 0;      ///< Sequence number at its backend server;
                                   ///< 0: none.
    std::uint32_t duration_us = 0; ///< Run time in microseconds.
    /// Whether it ran under a lease of the entry that receives the report.
    bool claimed = true;
};

/// A failed run; the run number identifies repeated reports of it.
struct failed_run
{
    std::uint32_t task = 0; ///< Index of the task across all steps of its job.
    std::uint32_t run = 0;  ///< Run number.

    bool operator==(const failed_run&) const = default;
};

/// Journalled progress of a job that has not ended. Tasks are counted across
/// all steps.
struct job_progress
{
    std::vector<std::uint32_t> done; ///< Indices of completed tasks.
    std::vector<failed_run> failed;  ///< Failed attempts.
};

/// Journalled record of a job that has ended.
struct ended_job
{
    job_state state = job_state::succeeded; ///< A final state.
    std::int64_t ended_ms = 0;              ///< Unix ms.
};

/// Encodes a job as a journal row.
std::string encode_definition(const job_definition& job);

/// Decodes a journal row.
/// @return The job, or a failure that names the defect of the row.
result<job_definition> decode_definition(std::string_view row);

/// Encodes progress as a journal row.
std::string encode_progress(const job_progress& progress);

/// Decodes a journal row.
/// @return The progress, or a failure that names the defect of the row.
result<job_progress> decode_progress(std::string_view row);

/// Encodes an ended job as a journal row.
std::string encode_ended_job(const ended_job& end);

/// Decodes a journal row.
/// @return The ended job, or a failure that names the defect of the row.
result<ended_job> decode_ended_job(std::string_view row);

} // namespace glenhollow

#endif
