// Submission and cancellation of jobs at an entry, and the cancel metrics.
#include "glenhollow/durable/durable_service.hpp"

namespace glenhollow
{

std::function<void()> durable_service::submit(const job_definition& job,
                                              job_reply_handler done)
{
    if (job.durability_class == durability::in_memory)
    {
        if (const auto ended = end_of_cancelled(job.id))
        {
            done({job_outcome::done, *ended, {}});
            return {};
        }
        const auto run_locally =
            [this](const job_definition& submitted, job_reply_handler on_reply)
        { submit_here(submitted, std::move(on_reply)); };
        const bool must_run_locally =
            memory_.knows(job.id) || (refusing_ && !handover_.knows(job.id));
        if (must_run_locally || !handover_.submit(job, done, run_locally))
            submit_here(job, std::move(done));
        return [this, alive = alive_, id = job.id]
        {
            if (!*alive)
                return;
            handover_.withdraw(id);
            memory_.withdraw(id);
            schedule_dispatch();
        };
    }
    router_.route({job_verb::submit, job.id, job}, std::move(done));
    schedule_dispatch();
    return {};
}

void durable_service::submit_here(const job_definition& job,
                                  job_reply_handler done)
{
    memory_.submit(job, std::move(done));
    schedule_dispatch();
}

void durable_service::cancel(job_id id, job_reply_handler done)
{
    cancellation_.cancel(id, std::move(done));
    schedule_dispatch();
}

bool durable_service::cancel_local(job_id id, job_reply_handler done)
{
    if (!memory_.knows(id))
        return handover_.cancel(id, std::move(done));
    memory_.cancel(id, std::move(done));
    schedule_dispatch();
    return true;
}

bool durable_service::cancel_owned(job_id id, job_reply_handler done)
{
    auto* jobs = ownership_.find(part_of(id, settings_.parts));
    if (jobs == nullptr || !jobs->knows(id))
        return false;
    jobs->cancel(id, std::move(done));
    schedule_dispatch();
    return true;
}

/// Cancels the jobs of a part whose cancel reached this entry before the part
/// did: the former owner accepted them without knowing of it.
void durable_service::cancel_remembered(part_number part)
{
    for (const auto& record : cancellation_.cancel_records())
    {
        if (part_of(record.id, settings_.parts) == part)
            cancel_owned(record.id, [](const job_reply&) {});
    }
}

void durable_service::cancel(const std::string& name, job_id id,
                             answer_handler done)
{
    peers_.call(name, {job_verb::cancel_in_memory, id, {}}, std::move(done));
}

void durable_service::relay_cancel(const std::string& by,
                                   const std::string& name, job_id id,
                                   answer_handler done)
{
    peers_.call(by, {job_verb::cancel_in_memory, id, {}, name},
                std::move(done));
}

void durable_service::fetch_cancels(const std::string& name,
                                    cancel_records_handler done)
{
    peers_.fetch_cancelled(name, std::move(done));
}

std::vector<cancel_record> durable_service::cancelled_jobs()
{
    return cancellation_.cancel_records();
}

/// A job that is still known here replies with its own state, which is more
/// precise than a cached cancel.
std::optional<job_state> durable_service::end_of_cancelled(job_id id)
{
    if (memory_.knows(id))
        return std::nullopt;
    return cancellation_.reject_if_cancelled(id);
}

memory_cancellation::journal_cancel durable_service::cancel_journalled()
{
    return [this](job_id id, job_reply_handler done) {
        router_.route({job_verb::cancel, id, {}}, std::move(done));
    };
}

void durable_service::collect_cancels(metric_page& page) const
{
    const auto& stats = cancellation_.stats();
    const auto count = [&page](std::string_view name, std::string_view help,
                               std::uint64_t value,
                               const std::string& label = {})
    { page.counter(name, help, static_cast<double>(value), label); };
    for (std::size_t i = 0; i < stats.outcomes.size(); ++i)
    {
        const auto outcome = static_cast<cancel_outcome>(i);
        count("cancels_total", "Cancels answered, by outcome",
              stats.outcomes[i],
              "outcome=\"" + std::string(to_name(outcome)) + "\"");
    }
    const auto& bounds = memory_cancellation_stats::reply_time_bounds_ms;
    for (std::size_t i = 0; i < stats.reply_times.size(); ++i)
    {
        const auto up_to =
            i < bounds.size() ? std::to_string(bounds[i]) : "more";
        count("cancels_by_age_total", "Cancels answered, by reply time in ms",
              stats.reply_times[i], "up_to_ms=\"" + up_to + "\"");
    }
    count("cancels_told_total", "Cancels sent to other entries", stats.sent);
    count("cancels_untold_total",
          "Cancels to other entries that were lost and sent again",
          stats.unacknowledged);
    count("cancels_passed_on_total", "Cancels relayed through another entry",
          stats.relayed);
    count("cancels_heard_total", "Cancels received from other entries",
          stats.received);
    count("cancels_learned_total",
          "Cancels fetched from other entries after the start", stats.fetched);
    count("cancels_silent_entries_total",
          "Entries that did not answer a cancel in time", stats.timed_out);
    count("cancelled_jobs_ran_on_total",
          "Jobs found after their cancel was answered", stats.ran_after_reply);
    count("cancelled_jobs_not_run_total",
          "Submissions of cancelled jobs that were rejected", stats.rejected);
    count("cancels_crowded_out_total",
          "Cached cancels evicted before their retention expired",
          cancellation_.cache().evictions());
    page.gauge("cancels_remembered", "Cancelled jobs in the cache",
               static_cast<double>(cancellation_.cache().size()));
}

} // namespace glenhollow
