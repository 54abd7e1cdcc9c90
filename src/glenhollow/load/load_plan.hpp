#ifndef GLENHOLLOW_LOAD_LOAD_PLAN_HPP
#define GLENHOLLOW_LOAD_LOAD_PLAN_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/load/distribution.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace glenhollow
{

/// What load to make.
struct load_plan_settings
{
    std::size_t jobs = 100;          ///< How many.
    double rate = 10;                ///< Jobs a second.
    double burst = 1;                ///< Jobs that arrive together, on average.
    std::string team = "load";       ///< Whose.
    std::size_t teams = 1;           ///< Above 1: load-1, load-2, ... in turn.
    duration deadline = seconds{30}; ///< Of each job.
    double resubmit = 0;             ///< Share sent again by another entry.
    double straggle = 0;             ///< Share of tasks ten times as long.
    std::uint64_t seed = 1;          ///< Of everything random.
};

/// One job to come.
struct planned_job
{
    duration at{};               ///< Planned arrival, from the start.
    std::vector<double> work_ms; ///< Length of each task.
    bool resubmit = false;       ///< To be sent again.
    duration resubmit_after{};   ///< From the arrival.
    std::size_t entry = 0;       ///< Draw for the entry.
};

/// @param settings What load.
/// @param tasks Tasks of a job.
/// @param work_ms Length of a task, ms.
/// @return The jobs in order of arrival; the same for the same seed.
std::vector<planned_job> make_plan(const load_plan_settings& settings,
                                   const distribution& tasks,
                                   const distribution& work_ms);

/// @param work_ms Length of each task, ms.
/// @param slots Slots of the whole system.
/// @return Time of the job on an idle, perfect system, ms: longest tasks
/// first, each on the slot that is free first.
double ideal_ms(std::vector<double> work_ms, std::size_t slots);

} // namespace glenhollow

#endif
