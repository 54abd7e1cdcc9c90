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

/// Id of a durable job, chosen by its caller.
using job_id = std::uint64_t;

/// Number of a part of the journal, from 0.
using part_number = std::uint16_t;

/// Stands for the jobs that an entry keeps in memory alone.
inline constexpr part_number memory_part = 0xFFFF;

/// Runs of jobs in memory have numbers above this one, runs of jobs in the
/// journal below it.
inline constexpr std::uint32_t first_memory_run = 1U << 30U;

/// How long a job must last.
enum class durability : std::uint8_t
{
    journalled, ///< Kept, whatever fails; its caller asks for its state.
    in_memory   ///< As long as its entry; its caller waits for its end.
};

template <>
struct name_table<durability>
{
    static constexpr std::array<std::string_view, 2> names{"journalled",
                                                           "in_memory"};
};

/// @param id A job.
/// @return Its 16 hexadecimal digits.
std::string to_text(job_id id);

/// @param text 16 hexadecimal digits.
/// @return The id, or nothing.
std::optional<job_id> job_id_from(std::string_view text);

/// @param id A job.
/// @param parts Parts of the journal; the same in all processes.
/// @return The part that keeps the job.
part_number part_of(job_id id, std::size_t parts);

/// What a task takes of its runner while it runs.
struct resources
{
    std::uint32_t cpu = 0;    ///< Thousandths of a core.
    std::uint32_t memory = 0; ///< MiB.
    std::uint32_t gpu = 0;    ///< Whole accelerators.

    /// @param other Added to this.
    void add(const resources& other);

    /// @param other Taken off this, never below 0.
    void subtract(const resources& other);

    /// @param more What would come on top of this.
    /// @param capacity What there is.
    /// @return Whether both together stay within the capacity.
    bool can_fit(const resources& more, const resources& capacity) const;
};

/// Names one task of a durable job.
struct task_ref
{
    job_id job = 0;               ///< The job.
    std::uint32_t occurrence = 0; ///< Of a repeated job, from 0.
    std::uint32_t step = 0;       ///< Of the job, from 0.
    std::uint32_t index = 0;      ///< Within the step, from 0.

    bool operator==(const task_ref&) const = default;
};

/// Names one run of a task.
struct run_ref
{
    task_ref task;         ///< The task.
    std::uint32_t run = 0; ///< Its start's number, rising.

    bool operator==(const run_ref&) const = default;

    /// @return Whether its job is kept in memory alone.
    bool in_memory() const { return run > first_memory_run; }
};

/// Hashes run names.
struct run_ref_hash
{
    /// @param ref A run.
    /// @return Its hash.
    std::size_t operator()(const run_ref& ref) const;
};

/// One step of a job: tasks that are alike.
struct job_step
{
    std::uint32_t count = 1;          ///< Tasks.
    resources needs;                  ///< Of each task.
    std::uint32_t estimate_ms = 0;    ///< A rough guess of a task's time.
    std::string label;                ///< The runner must have it, if given.
    std::string preferred_label;      ///< Other runners are slower at it,
                                      ///< for its data lies here.
    std::vector<std::uint32_t> after; ///< Steps that must be done first.
};

/// A durable job as its caller gave it, with what its queue said then.
struct job_definition
{
    job_id id = 0;                  ///< Chosen by the caller.
    std::string queue;              ///< Name of its queue.
    std::string service;            ///< Whose runners run it.
    std::string spec;               ///< Handed to each task.
    std::vector<job_step> steps;    ///< At least one.
    std::uint32_t priority = 0;     ///< 0 goes first.
    std::uint32_t max_attempts = 1; ///< Runs of a task that may fail.
    std::int64_t accepted_ms = 0;   ///< Wall time, ms since 1970.
    std::int64_t objective_ms = 0;  ///< Wall time by which it should end.
    std::int64_t expiry_ms = 0;     ///< Wall time after which an answer is
                                    ///< worth nothing; 0: never.
    durability durability_class =
        durability::journalled; ///< How long it must last.

    /// @return All tasks of all steps.
    std::size_t task_count() const;

    /// @return The longest chain of its steps by their estimates, ms.
    std::uint64_t critical_path_ms() const;

    /// @return Cores that its widest step takes at once.
    double peak_cores() const;
};

/// Where a job stands.
enum class job_state : std::uint8_t
{
    queued,    ///< No task has begun.
    running,   ///< A task has begun.
    succeeded, ///< Every task has ended well.
    failed,    ///< A task used up its attempts.
    cancelled  ///< By its caller.
};

template <>
struct name_table<job_state>
{
    static constexpr std::array<std::string_view, 5> names{
        "queued", "running", "succeeded", "failed", "cancelled"};
};

/// @param state A state.
/// @return Whether the job will not change any more.
inline bool is_final(job_state state)
{
    return state >= job_state::succeeded;
}

/// How a run ended.
enum class run_outcome : std::uint8_t
{
    done,     ///< Well.
    failed,   ///< Through its own fault or the runner's.
    stopped,  ///< By an order.
    lapsed,   ///< Its lease ran out.
    broken,   ///< Another member of its group ended.
    alone,    ///< It waited for its group in vain.
    not_begun ///< It never began and will not.
};

template <>
struct name_table<run_outcome>
{
    static constexpr std::array<std::string_view, 7> names{
        "done", "failed", "stopped", "lapsed", "broken", "alone", "not_begun"};
};

/// One run's end as its agent tells it.
struct run_end
{
    run_ref run;                               ///< Which run.
    run_outcome outcome = run_outcome::failed; ///< How it ended.
    std::uint64_t number = 0;                  ///< At its runner; 0: none.
    std::uint32_t duration_us = 0;             ///< From start to end.
    bool claimed = true; ///< It ran under a lease of the entry that is told.
};

/// A run that failed. Its number tells it from a repeated report of it.
struct failed_run
{
    std::uint32_t task = 0; ///< Flat index of the task in its job.
    std::uint32_t run = 0;  ///< The run's number.

    bool operator==(const failed_run&) const = default;
};

/// What has been journalled of a job that has not ended.
struct job_progress
{
    std::vector<std::uint32_t> done; ///< Flat indices of tasks that are done.
    std::vector<failed_run> failed;  ///< Attempts that are used up.
};

/// What is kept of a job that has ended.
struct ended_job
{
    job_state state = job_state::succeeded; ///< Final.
    std::int64_t ended_ms = 0;              ///< Wall time, ms since 1970.
};

/// @param job A job.
/// @return Its journal row.
std::string encode_definition(const job_definition& job);

/// @param row A journal row.
/// @return The job, or what is wrong with the row.
result<job_definition> decode_definition(std::string_view row);

/// @param progress What is known.
/// @return Its journal row.
std::string encode_progress(const job_progress& progress);

/// @param row A journal row.
/// @return What was known, or what is wrong with the row.
result<job_progress> decode_progress(std::string_view row);

/// @param end How a job ended.
/// @return Its journal row.
std::string encode_ended_job(const ended_job& end);

/// @param row A journal row.
/// @return How it ended, or what is wrong with the row.
result<ended_job> decode_ended_job(std::string_view row);

} // namespace glenhollow

#endif
