// Decides whether a job is accepted, and until when it may start.
#include "glenhollow/durable/job_coordinator.hpp"

#include <algorithm>

namespace glenhollow
{

namespace
{

/// Retry-after time without a better estimate.
constexpr duration default_retry_after = seconds{1};

} // namespace

std::optional<job_coordinator::refusal>
job_coordinator::check_admission(const job_definition& job) const
{
    if (refusing_)
        return refusal{reason::stopping, default_retry_after};
    if (!has_room_for(job))
        return refusal{reason::queue_full, default_retry_after};
    const double cores = dependencies_.task_dispatcher.ready_cores(job.service);
    if (cores <= 0 && warming_up())
        return std::nullopt;
    if (cores <= 0)
        return refusal{reason::no_runner, default_retry_after};
    const double objective =
        static_cast<double>(job.objective_ms - dependencies_.wall_ms());
    if (dependencies_.task_dispatcher.free_cores(job.service) >=
        job.peak_cores())
        return std::nullopt;
    const double wait =
        dependencies_.task_dispatcher.waiting_work(job.service) / cores;
    if (wait <= settings_.max_wait_share * std::max(1.0, objective))
        return std::nullopt;
    return refusal{reason::deadline_unreachable,
                   milliseconds{static_cast<std::int64_t>(wait)}};
}

/// Each task takes memory until its job ends, however short its job's text is.
bool job_coordinator::has_room_for(const job_definition& job) const
{
    const auto open =
        dependencies_.open_tasks ? dependencies_.open_tasks() : open_tasks_;
    return open == 0 || open + job.task_count() <= settings_.max_open_tasks;
}

/// Agents attach shortly after the start of the entry. Until then jobs wait
/// instead of being refused.
bool job_coordinator::warming_up() const
{
    return !chain_ && dependencies_.clock.now() - claimed_ < settings_.warm_up;
}

/// A job that starts after this time can't end before its expiry. A job that
/// will miss its objective anyway is abandoned earlier, after `begin_by` of its
/// time, so that its caller can retry elsewhere. One that was accepted during
/// warm-up is abandoned as soon as it is late, to leave room for jobs that can
/// still be on time.
instant job_coordinator::latest_start(const job_record& record) const
{
    const auto& job = record.job;
    const auto critical_path = milliseconds{job.critical_path_ms()};
    const auto time_to_expiry = milliseconds{job.expiry_ms - job.accepted_ms};
    const auto time_to_objective =
        milliseconds{job.objective_ms - job.accepted_ms};
    const auto share = record.early ? duration{0}
                                    : std::chrono::duration_cast<duration>(
                                          time_to_expiry * settings_.begin_by);
    const auto latest = std::min<duration>(
        time_to_expiry - critical_path,
        std::max<duration>(share, time_to_objective - critical_path));
    return dependencies_.clock.now() + latest;
}

} // namespace glenhollow
