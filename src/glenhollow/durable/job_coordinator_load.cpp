// Restores the jobs of a part from the journal, and waits for the agents that
// may run their tasks.
#include "glenhollow/durable/job_coordinator.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

void job_coordinator::restore(loaded_part loaded)
{
    for (auto& job : loaded.jobs)
    {
        job_record record;
        record.tasks.resize(job.task_count());
        record.accepted = true;
        record.accepted_here = false;
        const auto known = loaded.progress.find(job.id);
        if (known != loaded.progress.end())
            record.progress = std::move(known->second);
        for (const auto task_index : record.progress.done)
        {
            if (task_index < record.tasks.size())
                record.tasks[task_index].phase = task_phase::done;
        }
        for (const auto& failure : record.progress.failed)
        {
            if (failure.task < record.tasks.size())
                ++record.tasks[failure.task].failures;
        }
        record.done = record.progress.done.size();
        record.started = known != loaded.progress.end();
        record.job = std::move(job);
        insert(std::move(record));
    }
    for (const auto& [id, end] : loaded.ended)
        remember_ended(id, end);
    std::sort(ended_order_.begin(), ended_order_.end());
    unreadable_ = std::move(loaded.unreadable);
}

/// An agent that reports may have to wait for its backend server's complete
/// lists, and has its leases renewed meanwhile: its runs need not have lapsed.
void job_coordinator::drop_silent_agents()
{
    if (unreported_agents_.empty() ||
        dependencies_.clock.now() - claimed_ <= settings_.agent_timeout)
        return;
    const auto dropped =
        std::erase_if(unreported_agents_, [this](const std::string& agent)
                      { return !dependencies_.is_agent_live(agent); });
    if (dropped == 0)
        return;
    log_change(log_level::info, "agent_reports_timed_out",
               {{"part", part_},
                {"agents", dropped},
                {"awaited", unreported_agents_.size()}});
    if (unreported_agents_.empty())
        on_all_agents_reported();
}

/// A job with an unreadable row was accepted and may have run, so that it is
/// not reported as missing.
job_outcome job_coordinator::absent_outcome(job_id id) const
{
    return unreadable_.contains(id) ? job_outcome::unknown
                                    : job_outcome::missing;
}

} // namespace glenhollow
