// Who places this entry's tasks, and how often agents report to it.
#include "glenhollow/durable/durable_service.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

/// While room is told to another entry that places, this one needs it only to
/// be ready to place by itself; so many reports a second in all.
constexpr duration min_idle_report_interval = milliseconds{150};
constexpr duration max_idle_report_interval = seconds{2};
constexpr double idle_reports_per_second = 50;

/// Timers this late on average make an entry a bad placer; much of a short
/// task's slack would go by. They must be well below it again to come back.
constexpr duration untimely_lag = milliseconds{12};
constexpr duration timely_lag = milliseconds{5};
constexpr int lag_weight = 8; // Newest tick: one eighth.

} // namespace

void durable_service::note_lag(duration lag)
{
    auto& budget = placements_.active() ? placer_reports_ : reports_;
    budget.record_tick(lag);
    lag_ += (lag - lag_) / lag_weight;
    timely_ = lag_ < (timely_ ? untimely_lag : timely_lag);
}

duration durable_service::room_report_interval(const std::string& agent,
                                               std::size_t agents) const
{
    if (places_for_others(agent))
        return placer_reports_.gap(agents /
                                   std::max<std::size_t>(1, groups_.groups()));
    const auto gap = reports_.gap(agents);
    if (!groups_.delegates() && !placements_.active() && !hands_all_over())
        return gap;
    const std::chrono::duration<double> share{static_cast<double>(agents) /
                                              idle_reports_per_second};
    return std::max(gap, std::clamp(std::chrono::duration_cast<duration>(share),
                                    min_idle_report_interval,
                                    max_idle_report_interval));
}

/// One entry places all tasks of a group of agents, so that the most urgent one
/// of all is the first to get room, wherever its caller's connection ended up.
void durable_service::choose_placer()
{
    if (!settings_.share_placement)
        return;
    std::vector<placer_candidate> candidates;
    const auto add = [&candidates](const entry_view& view)
    {
        candidates.push_back(
            {view.name, view.power, view.agents,
             view.timely && !view.stopping && view.catalog_version != 0,
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
    // Agents know this entry as one that hardly needs their room.
    const bool places =
        placements_.active() || (!groups_.delegates() && !hands_all_over());
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
