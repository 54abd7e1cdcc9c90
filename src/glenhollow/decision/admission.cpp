#include "glenhollow/decision/admission.hpp"

#include <algorithm>

namespace glenhollow
{

namespace
{

duration to_duration(double length)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(length));
}

} // namespace

duration jittered_retry_after(duration wait, const admission_settings& settings,
                              random_engine& random)
{
    const auto base =
        std::clamp(wait, settings.min_retry_after, settings.max_retry_after);
    return base + std::chrono::duration_cast<duration>(base * uniform(random));
}

admission_decision admit(const admission_request& request,
                         const admission_settings& settings,
                         random_engine& random)
{
    const auto refuse = [&](reason why, duration wait) -> admission_decision {
        return {why, jittered_retry_after(wait, settings, random)};
    };

    const double rate = std::max(request.available_slots, 1.0);
    const double queue_seconds = request.queued_seconds / rate;
    if (request.kept_bytes >= settings.max_kept_bytes)
        return refuse(reason::kept_answers_full, seconds{5});
    if (request.usable_runners == 0)
        return refuse(reason::no_runner, seconds{1});
    if (request.jobs >= settings.max_jobs ||
        request.queued_tasks + request.tasks > settings.max_queued_tasks)
        return refuse(reason::queue_full, to_duration(queue_seconds));

    // The job completes after the queue ahead of it and its own tasks have run
    // on the available slots, which takes at least the duration of one task.
    const double job_seconds =
        static_cast<double>(request.tasks) * request.seconds_per_task / rate;
    const double expected_seconds =
        queue_seconds + std::max(job_seconds, request.seconds_per_task);
    const double limit_seconds =
        std::chrono::duration<double>(request.deadline).count() *
        settings.deadline_share;
    if (expected_seconds > limit_seconds)
        return refuse(reason::deadline_unreachable,
                      to_duration(expected_seconds - limit_seconds));
    return {};
}

} // namespace glenhollow
