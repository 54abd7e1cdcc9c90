// The metrics of an agent.
#include "glenhollow/runs/run_agent_service.hpp"

namespace glenhollow
{

void run_agent_service::collect(metric_page& page) const
{
    const auto& stats = manager_.stats();
    const auto count = [&page](std::string_view name, std::string_view help,
                               std::uint64_t value, std::string_view labels)
    { page.counter(name, help, static_cast<double>(value), labels); };
    count("runs_started_total", "Starts that the runner took", stats.started,
          {});
    count("runs_doubtful_total", "Starts without an answer", stats.doubtful,
          {});
    count("runs_stalled_total", "Runs stopped for want of progress",
          stats.stalled, {});
    count("runs_vanished_total", "Runs that the runner no longer showed",
          stats.runs_missing, {});
    count("runs_found_total", "Runs that another process of the agent began",
          stats.found, {});
    count("ended_runs_stopped_total", "Stops of runs shown after their end",
          stats.ended_runs_stopped, {});
    count("runner_looks_total", "Looks at the runner", stats.polls, {});
    count("runner_looks_lost_total", "Looks given up without an answer",
          stats.polls_lost, {});
    count("runner_registrations_stale_total",
          "Registrations of lives that had ended", stats.stale_registrations,
          {});
    for (std::size_t i = 0; i < stats.heartbeats.size(); ++i)
        count("server_heartbeats_total", "Accounts of backend servers",
              stats.heartbeats[i],
              "use=\"" +
                  std::string(to_name(static_cast<heartbeat_outcome>(i))) +
                  "\"");
    count("server_lives_same_id_total",
          "Lives that began under the id of the last one",
          stats.same_id_restarts, {});
    count("server_sign_offs_stale_total",
          "Words of an end that the server's answers did not bear out",
          stats.unconfirmed_sign_offs, {});
    count("listed_ends_repeated_total",
          "Listed ends with a number that was done with before",
          stats.repeated_ends, {});
    count("marks_misread_total",
          "Looks whose mark of noted ends came to another life",
          stats.misdelivered_acks, {});
    count("server_notices_total", "Lives that told when they would leave",
          stats.leaving_notices, {});
    count("runs_moved_total", "Runs stopped to be run at another server",
          stats.moved, {});
    count("runs_moved_ms_total", "Time that these had run, thrown away",
          stats.moved_ms, {});
    count("runs_lost_leaving_total",
          "Runs that can't end before the server leaves, nor elsewhere",
          stats.unfinishable, {});
    count("orders_refused_leaving_total", "Orders that came after a notice",
          stats.refused_by_leaving, {});
    count("runner_lives_remembered_total",
          "Lives known from an earlier process of this agent", stats.restored,
          {});
    count("runner_lives_forgotten_total", "Of these, those that had ended",
          stats.restored_ended, {});
    count("hold_lapses_total", "Times the hold was left to lapse", stats.lapses,
          {});
    for (std::size_t i = 0; i < stats.ends.size(); ++i)
    {
        const auto outcome = static_cast<run_outcome>(i);
        count("run_ends_total", "Ends of runs", stats.ends[i],
              "how=\"" + std::string(to_name(outcome)) + "\"");
    }
    count("reports_total", "Reports to entries", report_count_, {});
    count("order_batches_total", "Order batches taken", batch_count_, {});
    const auto load = manager_.load();
    page.gauge("runner_used_cores", "Cores taken", load.used.cpu / 1000.0);
    page.gauge("runner_waiting_orders", "Orders without room", load.waiting);
    page.gauge("server_pace", "Time of runs over what was expected; 0: unknown",
               load.pace);
    page.gauge("server_pace_ends", "Ends that the pace was learned from",
               manager_.pace().ends());
    page.gauge("server_cold", "1 while the server is slow from its start",
               load.cold.count() > 0 ? 1 : 0);
    page.gauge("server_leaving", "1 while the server has told when it leaves",
               load.leaves_in ? 1 : 0);
    page.gauge("hall_evacuated", "Whether the hall gets no new work",
               manager_.evacuated() ? 1 : 0);
    page.gauge("ends_unconfirmed", "Ends that no owner has confirmed",
               static_cast<double>(manager_.unconfirmed().ends().size()));
}

} // namespace glenhollow
