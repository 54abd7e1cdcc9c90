// Metrics of durable jobs at an entry.
#include "glenhollow/durable/durable_service.hpp"

namespace glenhollow
{

void durable_service::collect_parts(metric_page& page)
{
    job_coordinator_stats jobs;
    journal_chain_stats journal;
    double open = 0;
    const auto add = [&](job_coordinator& part)
    {
        const auto& one = part.stats();
        jobs.accepted += one.accepted;
        jobs.repeated += one.repeated;
        jobs.refused += one.refused;
        jobs.succeeded += one.succeeded;
        jobs.failed += one.failed;
        jobs.cancelled += one.cancelled;
        jobs.restarted += one.restarted;
        jobs.late += one.late;
        const auto& chain = part.journal_stats();
        journal.transactions += chain.transactions;
        journal.entries += chain.entries;
        journal.refused += chain.refused;
        journal.unknown += chain.unknown;
        journal.confirmed_by_head += chain.confirmed_by_head;
        jobs.given_up += one.given_up;
        jobs.withdrawn += one.withdrawn;
        jobs.early += one.early;
        jobs.orders_lost += one.orders_lost;
        jobs.orders_settled += one.orders_settled;
        open += static_cast<double>(part.open_jobs());
    };
    ownership_.for_each(add);
    add(memory_);
    const auto count = [&page](std::string_view name, std::string_view help,
                               std::uint64_t value)
    { page.counter(name, help, static_cast<double>(value)); };
    count("jobs_accepted_total", "Durable jobs accepted", jobs.accepted);
    count("jobs_repeated_total", "Submissions of a job that was already known",
          jobs.repeated);
    count("jobs_refused_total", "Durable jobs refused", jobs.refused);
    count("jobs_succeeded_total", "Durable jobs that succeeded",
          jobs.succeeded);
    count("jobs_failed_total", "Durable jobs that failed", jobs.failed);
    count("jobs_cancelled_total", "Durable jobs cancelled", jobs.cancelled);
    count("jobs_late_total", "Jobs that ended after their objective",
          jobs.late);
    count("jobs_given_up_total",
          "Jobs in memory given up because their result came too late to be "
          "useful",
          jobs.given_up);
    count("jobs_withdrawn_total",
          "Jobs in memory withdrawn because their caller disconnected",
          jobs.withdrawn);
    count("jobs_early_total",
          "Jobs in memory accepted before a backend server was known",
          jobs.early);
    count("orders_lost_total",
          "Start orders without a result when their agent was lost",
          jobs.orders_lost);
    count("orders_settled_total",
          "Lost start orders whose run was shown not to have started",
          jobs.orders_settled);
    count("tasks_restarted_total", "Tasks queued for placement again",
          jobs.restarted);
    count("journal_transactions_total", "Journal transactions sent",
          journal.transactions);
    count("journal_entries_total", "Journal entries made durable",
          journal.entries);
    count("journal_refused_total", "Journal transactions rejected by the store",
          journal.refused);
    count("journal_unknown_total", "Journal transactions without an answer",
          journal.unknown);
    count("journal_settled_total",
          "Journal transactions without an answer that were later found "
          "committed",
          journal.confirmed_by_head);
    page.gauge("jobs_open", "Durable jobs that have not ended", open);
}

void durable_service::collect_router(metric_page& page) const
{
    const auto& routed = router_.stats();
    const auto count = [&page](std::string_view name, std::string_view help,
                               std::uint64_t value, const std::string& label)
    { page.counter(name, help, static_cast<double>(value), label); };
    count("calls_here_total", "Attempts served by this entry's own parts",
          routed.local, {});
    count("calls_forwarded_total", "Attempts forwarded to other entries",
          routed.forwarded, {});
    count("calls_ownerless_total",
          "Attempts while the job's part had no known owner", routed.ownerless,
          {});
    count("calls_retried_total", "Attempts after the first one of a call",
          routed.retried, {});
    for (std::size_t i = 0; i < routed.outcomes.size(); ++i)
    {
        const auto outcome = static_cast<job_outcome>(i);
        count("calls_total", "Calls for durable jobs", routed.outcomes[i],
              "outcome=\"" + std::string(to_name(outcome)) + "\"");
    }
}

void durable_service::collect(metric_page& page)
{
    collect_parts(page);
    collect_router(page);
    collect_cancels(page);
    const auto& owner = ownership_.stats();
    const auto count = [&page](std::string_view name, std::string_view help,
                               std::uint64_t value)
    { page.counter(name, help, static_cast<double>(value)); };
    count("part_claims_total", "Part claims written", owner.claims);
    count("part_claim_conflicts_total",
          "Part claims rejected because the part's head had changed",
          owner.conflicts);
    count("parts_lost_total", "Parts lost to another entry", owner.lost);
    count("parts_released_total", "Parts released", owner.released);
    count("part_claims_outlived_total",
          "Part claims that the store showed to be superseded by another entry",
          owner.superseded);
    count("part_claims_unborne_total",
          "Times a part claim was not confirmed in time, so that its leases "
          "expire",
          owner.unconfirmed);
    const auto& placed = dispatcher_.stats();
    count("tasks_placed_total", "Start orders sent", placed.placed);
    count("tasks_stopped_total", "Stop orders sent", placed.stopped);
    count("order_batches_total", "Order messages sent to agents",
          placed.batches);
    count("tasks_late_total",
          "Tasks queued behind those that can still meet their objective",
          placed.late);
    count("jobs_demoted_total", "Jobs queued behind others because of overload",
          placed.demoted);
    count("tasks_far_total", "Tasks placed without their preferred label",
          placed.far);
    count(
        "tasks_cold_total",
        "Tasks placed at backend servers that are still slow after their start",
        placed.cold);
    count("server_notices_total",
          "Backend servers that announced when they leave", placed.leaving);
    count("rounds_without_room_total",
          "Placement rounds that left tasks waiting",
          placed.rounds_without_room);
    count("grants_given_total", "Grants given to tasks of other entries",
          placed.granted);
    count("grants_declined_total",
          "Grants given to other entries that were not used", placed.declined);
    handover_.collect(page);
    count("peer_connects_total", "Attempts to connect to other entries",
          peers_.connect_attempts());
    page.gauge("agent_sessions", "Agents that need a session",
               static_cast<double>(scope_.size()));
    const auto placer = groups_.stats();
    count("placer_messages_total", "Messages sent to placers", placer.messages);
    count("placer_grants_total", "Grants received from placers", placer.grants);
    count("placer_grants_unused_total",
          "Grants received from placers and declined", placer.unused);
    count("placer_failures_total", "Times a placer did not answer",
          placer.failures);
    page.gauge("places_for_others",
               "1 while this entry places tasks of other entries",
               placements_.active() ? 1 : 0);
    page.gauge("placement_groups", "Groups of agents, one placer each",
               static_cast<double>(groups_.groups()));
    page.gauge("placement_group",
               "Group that this entry places for, counted from 1; 0 if none",
               groups_.own_group() ? *groups_.own_group() + 1.0 : 0.0);
    page.gauge("parts_owned", "Parts of the journal owned by this entry",
               static_cast<double>(ownership_.owned().size()));
    page.gauge("room_reports_wanted",
               "Requested rate of capacity reports per second",
               reports_.rate());
    page.gauge("tasks_waiting", "Ready tasks that wait for a backend server",
               static_cast<double>(dispatcher_.waiting()));
    configuration_tracker_.collect(page);
    stalls_.collect(page);
    page.gauge("store_reachable", "1 while the store answers this entry",
               store_.reachable() ? 1 : 0);
}

} // namespace glenhollow
