// Selection of the placers of this entry's tasks, and the pacing of agents'
// reports.
#include "glenhollow/durable/durable_service.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

/// Limits of capacity reports that serve only as a fallback, while another
/// entry places this entry's tasks.
constexpr duration min_idle_report_interval = milliseconds{150};
constexpr duration max_idle_report_interval = seconds{2};
constexpr double idle_reports_per_second = 50;

/// An entry whose timers are this late on average must not be a placer, since
/// short tasks would lose much of their slack. The lower value lets it be one
/// again.
constexpr duration untimely_lag = milliseconds{12};
constexpr duration timely_lag = milliseconds{5};
constexpr int lag_weight = 8; // The newest tick counts one eighth.

} // namespace

void durable_service::record_timer_lag(duration lag)
{
    auto& budget = placements_.active() ? placer_reports_ : reports_;
    budget.record_tick(lag);
    timer_lag_ += (lag - timer_lag_) / lag_weight;
    timers_on_time_ =
        timer_lag_ < (timers_on_time_ ? untimely_lag : timely_lag);
}

duration durable_service::room_report_interval(const std::string& agent,
                                               std::size_t agents) const
{
    if (places_for_others(agent))
        return placer_reports_.gap(agents /
                                   std::max<std::size_t>(1, groups_.groups()));
    const auto gap = reports_.gap(agents);
    if (!groups_.delegates() && !placements_.active() && !delegates_all_jobs())
        return gap;
    const std::chrono::duration<double> share{static_cast<double>(agents) /
                                              idle_reports_per_second};
    return std::max(gap, std::clamp(std::chrono::duration_cast<duration>(share),
                                    min_idle_report_interval,
                                    max_idle_report_interval));
}

/// Selects the placer of each group of agents. It places the tasks of all
/// entries there, so that the most urgent one gets room first, whichever entry
/// its caller is connected to.
void durable_service::choose_placer()
{
    if (!settings_.share_placement)
        return;
    std::vector<placer_candidate> candidates;
    const auto add = [&candidates](const entry_view& view)
    {
        candidates.push_back(
            {view.name, view.millicores, view.agents,
             view.timers_on_time && !view.stopping && view.catalog_version != 0,
             view.started});
    };
    if (!handover_.active())
    {
        add(own_view());
        for (const auto* view : peers_.live())
            add(*view);
    }
    groups_.choose(candidates);
    groups_.flush();
    // Agents still report at the slow rate for an entry that does not place.
    const bool places =
        placements_.active() || (!groups_.delegates() && !delegates_all_jobs());
    if (places && !std::exchange(placing_, places))
        agents_.send_report_pacing();
    placing_ = places;
}

wire::PlacementSession::Client
durable_service::open_placement(const std::string& entry,
                                wire::PlacementGrants::Client grants)
{
    return placements_.open(entry, kj::mv(grants));
}

} // namespace glenhollow
