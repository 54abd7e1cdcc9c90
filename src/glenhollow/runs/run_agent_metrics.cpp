// Metrics of run_agent_service.
#include "glenhollow/runs/run_agent_service.hpp"

namespace glenhollow
{

void run_agent_service::collect(metric_page& page) const
{
    const auto& stats = manager_.stats();
    const auto count = [&page](std::string_view name, std::string_view help,
                               std::uint64_t value, std::string_view labels)
    { page.counter(name, help, static_cast<double>(value), labels); };
    count("runs_started_total", "Starts accepted by the backend server",
          stats.started, {});
    count("runs_doubtful_total", "Starts without an answer", stats.doubtful,
          {});
    count("runs_stalled_total", "Runs stopped for lack of progress",
          stats.stalled, {});
    count("runs_vanished_total",
          "Runs that the backend server no longer listed", stats.runs_missing,
          {});
    count("runs_found_total", "Runs started by an earlier process of the agent",
          stats.found, {});
    count("ended_runs_stopped_total", "Stops of runs listed after their end",
          stats.ended_runs_stopped, {});
    count("runner_looks_total", "Polls of the backend server", stats.polls, {});
    count("runner_looks_lost_total", "Polls without an answer in time",
          stats.polls_lost, {});
    count("runner_looks_cut_total",
          "Polls whose answer had no room for all ends", stats.polls_cut, {});
    count("run_ends_full_total",
          "Times that starts had to wait for confirmations of ends",
          stats.ends_full, {});
    count("runner_registrations_stale_total",
          "Registrations of incarnations that had ended",
          stats.stale_registrations, {});
    for (std::size_t i = 0; i < stats.heartbeats.size(); ++i)
        count("server_heartbeats_total",
              "Heartbeats of the backend server by use", stats.heartbeats[i],
              "use=\"" +
                  std::string(to_name(static_cast<heartbeat_outcome>(i))) +
                  "\"");
    count("server_lives_same_id_total",
          "Restarts of the backend server under the same id",
          stats.same_id_restarts, {});
    count("server_sign_offs_stale_total",
          "Sign-offs contradicted by later answers of the backend server",
          stats.unconfirmed_sign_offs, {});
    count("listed_ends_repeated_total",
          "Ends listed again after their confirmation", stats.repeated_ends,
          {});
    count("marks_misread_total",
          "Acknowledgements of ends that reached another incarnation",
          stats.misdelivered_acks, {});
    count("server_notices_total", "Incarnations that announced their shutdown",
          stats.leaving_notices, {});
    count("runs_moved_total",
          "Runs stopped in order to run at another backend server", stats.moved,
          {});
    count("runs_moved_ms_total", "Run time discarded by moving runs, ms",
          stats.moved_ms, {});
    count("runs_lost_leaving_total",
          "Runs that could finish neither before the shutdown nor elsewhere",
          stats.unfinishable, {});
    count("orders_refused_leaving_total",
          "Orders refused because of an announced shutdown",
          stats.refused_by_leaving, {});
    count("orders_refused_incarnation_total",
          "Orders refused because they were for another incarnation of the "
          "backend server",
          stats.refused_by_incarnation, {});
    count("runner_lives_remembered_total",
          "Accounts restored from an earlier process of the agent",
          stats.restored, {});
    count("runner_lives_forgotten_total",
          "Restored incarnations that had ended", stats.restored_ended, {});
    count("hold_lapses_total",
          "Times that the hold was not renewed until it lapsed", stats.lapses,
          {});
    for (std::size_t i = 0; i < stats.ends.size(); ++i)
    {
        const auto outcome = static_cast<run_outcome>(i);
        count("run_ends_total", "Ends of runs by outcome", stats.ends[i],
              "how=\"" + std::string(to_name(outcome)) + "\"");
    }
    count("reports_total", "Reports sent to entries", report_count_, {});
    count("order_batches_total", "Order batches received", batch_count_, {});
    const auto load = manager_.load();
    page.gauge("runner_used_cores",
               "Cores in use or reserved by waiting orders",
               load.used.cpu / 1000.0);
    page.gauge("runner_waiting_orders", "Orders that wait for free capacity",
               load.waiting);
    page.gauge("server_pace", "Measured over expected run time; 0: unknown",
               load.pace);
    page.gauge("server_pace_ends", "Ends used for the pace estimate",
               manager_.pace().ends());
    page.gauge("server_cold", "1 while the backend server warms up",
               load.cold.count() > 0 ? 1 : 0);
    page.gauge("server_leaving",
               "1 while a shutdown of the backend server is announced",
               load.leaves_in ? 1 : 0);
    page.gauge("hall_evacuated", "1 while the hall accepts no new work",
               manager_.evacuated() ? 1 : 0);
    page.gauge("ends_unconfirmed", "Ends that no owner has confirmed",
               static_cast<double>(manager_.unconfirmed().ends().size()));
}

} // namespace glenhollow
