// The metrics of durable jobs at an entry.
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
        journal.settled += chain.settled;
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
    count("jobs_accepted_total", "Durable jobs taken", jobs.accepted);
    count("jobs_repeated_total", "Submissions of a known job", jobs.repeated);
    count("jobs_refused_total", "Durable jobs not taken", jobs.refused);
    count("jobs_succeeded_total", "Durable jobs ended well", jobs.succeeded);
    count("jobs_failed_total", "Durable jobs failed", jobs.failed);
    count("jobs_cancelled_total", "Durable jobs cancelled", jobs.cancelled);
    count("jobs_late_total", "Jobs ended after their objective", jobs.late);
    count("jobs_given_up_total", "Jobs in memory past any worth",
          jobs.given_up);
    count("jobs_withdrawn_total", "Jobs in memory whose caller left",
          jobs.withdrawn);
    count("jobs_early_total",
          "Jobs in memory taken before a backend server was known", jobs.early);
    count("orders_lost_total", "Orders that were out when an agent was lost",
          jobs.orders_lost);
    count("orders_settled_total", "Lost orders that had surely not begun",
          jobs.orders_settled);
    count("tasks_restarted_total", "Tasks placed again", jobs.restarted);
    count("journal_transactions_total", "Transactions sent",
          journal.transactions);
    count("journal_entries_total", "Entries made durable", journal.entries);
    count("journal_refused_total", "Transactions turned away", journal.refused);
    count("journal_unknown_total", "Transactions without an answer",
          journal.unknown);
    count("journal_settled_total", "Of these, found done", journal.settled);
    page.gauge("jobs_open", "Durable jobs not ended", open);
}

void durable_service::collect_router(metric_page& page) const
{
    const auto& routed = router_.stats();
    const auto count = [&page](std::string_view name, std::string_view help,
                               std::uint64_t value, const std::string& label)
    { page.counter(name, help, static_cast<double>(value), label); };
    count("calls_here_total", "Tries at own parts", routed.local, {});
    count("calls_forwarded_total", "Tries at peers", routed.forwarded, {});
    count("calls_ownerless_total", "Tries without an owner", routed.ownerless,
          {});
    count("calls_retried_total", "Tries after the first", routed.retried, {});
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
    count("part_claims_total", "Claims written", owner.claims);
    count("part_claim_conflicts_total", "Claims that met another head",
          owner.conflicts);
    count("parts_lost_total", "Parts taken by another entry", owner.lost);
    count("parts_released_total", "Parts given away", owner.released);
    count("part_claims_outlived_total",
          "Claims of which the store told that another one had followed",
          owner.superseded);
    count("part_claims_unborne_total",
          "Times that nobody bore a claim out: its leases were left to end",
          owner.unconfirmed);
    const auto& placed = dispatcher_.stats();
    count("tasks_placed_total", "Orders to start", placed.placed);
    count("tasks_stopped_total", "Orders to stop", placed.stopped);
    count("order_batches_total", "Messages to agents", placed.batches);
    count("tasks_late_total", "Tasks put behind those in time", placed.late);
    count("jobs_demoted_total", "Jobs put behind others under overload",
          placed.demoted);
    count("tasks_far_total", "Placed without the preferred label", placed.far);
    count("tasks_cold_total", "Placed at servers slow from their start",
          placed.cold);
    count("server_notices_total", "Servers that told when they leave",
          placed.leaving);
    count("rounds_without_room_total", "Rounds that left tasks waiting",
          placed.rounds_without_room);
    count("grants_given_total", "Places for tasks of other entries",
          placed.granted);
    count("grants_declined_total", "Of these, not used", placed.declined);
    handover_.collect(page);
    count("peer_connects_total", "Attempts to connect to other entries",
          peers_.connect_attempts());
    page.gauge("agent_sessions", "Agents with which sessions are kept",
               static_cast<double>(scope_.size()));
    const auto placer = groups_.stats();
    count("placer_messages_total", "Messages to placers", placer.messages);
    count("placer_grants_total", "Places found by placers", placer.grants);
    count("placer_grants_unused_total", "Of these, declined", placer.unused);
    count("placer_failures_total", "Times a placer was silent",
          placer.failures);
    page.gauge("places_for_others", "1 while other entries' tasks wait here",
               placements_.active() ? 1 : 0);
    page.gauge("placement_groups", "Groups of agents, one placer each",
               static_cast<double>(groups_.groups()));
    page.gauge("placement_group", "That this entry places for, from 1; 0: none",
               groups_.own_group() ? *groups_.own_group() + 1.0 : 0.0);
    page.gauge("parts_owned", "Parts of the journal owned here",
               static_cast<double>(ownership_.owned().size()));
    page.gauge("room_reports_wanted", "Reports of room a second",
               reports_.rate());
    page.gauge("tasks_waiting", "Ready tasks without a place",
               static_cast<double>(dispatcher_.waiting()));
    configuration_tracker_.collect(page);
    stalls_.collect(page);
    page.gauge("store_reachable", "1 while the store answers",
               store_.reachable() ? 1 : 0);
}

} // namespace glenhollow
