#include "glenhollow/durable/placement_groups.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace glenhollow
{

namespace
{

/// Share of the cores that always counts as free, so that full groups still get
/// a share of the jobs.
constexpr double min_free_share = 0.05;

/// Waiting time that halves the weight of a group; about a third of the slack
/// of a short task.
constexpr double half_weight_wait_ms = 30.0;

/// @return The number of a group's placer at the queue; 0 is this entry.
placer_number placer_number_of(std::size_t group)
{
    return static_cast<placer_number>(group + 1);
}

} // namespace

placement_groups::placement_groups(const clock_source& clock,
                                   entry_peers& peers, dispatcher& queue,
                                   std::function<void()> on_change,
                                   const placement_groups_settings& settings)
    : clock_(clock), peers_(peers), queue_(queue),
      on_change_(std::move(on_change)), settings_(settings),
      random_(settings.client.incarnation)
{
    queue_.set_placer_selector(this);
}

placement_groups::~placement_groups() noexcept
{
    queue_.set_placer_selector(nullptr);
}

/// Chooses the placers. With one group, an entry avoids a placer that did not
/// answer and uses the next one; with several, the other groups take the work.
std::vector<std::string>
placement_groups::select_placers(std::vector<placer_candidate> candidates) const
{
    auto placers = choose_placers(candidates, settings_.choice);
    if (placers.size() != 1 || clients_.empty() ||
        !clients_.front()->avoids(placers.front()))
        return placers;
    std::erase_if(candidates, [&placers](const placer_candidate& one)
                  { return one.name == placers.front(); });
    auto others = choose_placers(candidates, settings_.choice);
    return others.empty() ? placers : others;
}

void placement_groups::choose(const std::vector<placer_candidate>& candidates)
{
    const auto& own = settings_.client.entry;
    auto placers = select_placers(candidates);
    const auto own_position = std::find(placers.begin(), placers.end(), own);
    std::optional<std::size_t> group;
    if (own_position != placers.end())
        group = static_cast<std::size_t>(own_position - placers.begin());
    if (group != own_group_ || placers.size() != placers_.size())
        set_own_group(group, placers.size());
    placers_ = std::move(placers);
    while (clients_.size() < placers_.size())
        clients_.push_back(std::make_unique<placement_client>(
            clock_, peers_, queue_, on_change_,
            placer_number_of(clients_.size()), settings_.client));
    for (std::size_t i = 0; i < clients_.size(); ++i)
    {
        const bool other = i < placers_.size() && placers_[i] != own;
        clients_[i]->follow(other ? placers_[i] : std::string{});
    }
}

void placement_groups::set_own_group(std::optional<std::size_t> group,
                                     std::size_t groups)
{
    own_group_ = group;
    log_change(
        log_level::info, "placement_group",
        {{"groups", groups},
         {"own_group", group ? std::to_string(*group) : std::string("none")}});
    if (!group || groups < 2)
        return queue_.place_only_at(nullptr);
    queue_.place_only_at([own = *group, groups](const std::string& agent)
                         { return group_of(agent, groups) == own; });
}

bool placement_groups::in_own_group(const std::string& agent) const
{
    return !own_group_ || groups() < 2 ||
           group_of(agent, groups()) == *own_group_;
}

void placement_groups::flush()
{
    for (auto& client : clients_)
        client->flush();
}

void placement_groups::close()
{
    for (auto& client : clients_)
        client->close();
}

bool placement_groups::delegates() const
{
    return std::any_of(clients_.begin(), clients_.end(),
                       [](const auto& one) { return one->open(); });
}

std::string placement_groups::placers() const
{
    std::string all;
    for (const auto& client : clients_)
    {
        if (client->open())
            all += (all.empty() ? "" : ",") + client->placer();
    }
    return all;
}

placement_client_stats placement_groups::stats() const
{
    placement_client_stats all;
    for (const auto& client : clients_)
    {
        const auto& one = client->stats();
        all.messages += one.messages;
        all.grants += one.grants;
        all.unused += one.unused;
        all.failures += one.failures;
    }
    return all;
}

/// Returns the weight of a group: more with free cores, less with waiting work.
/// Jobs are drawn by weight, so that entries with the same view do not all use
/// the same group.
double placement_groups::weight(const placement_load& load) const
{
    if (load.ready_cores <= 0)
        return 0;
    const double wait_ms = load.waiting_work / load.ready_cores;
    return (load.free_cores + min_free_share * load.ready_cores) /
           (1 + wait_ms / half_weight_wait_ms);
}

placer_number placement_groups::select(const ready_task& task)
{
    std::vector<std::pair<placer_number, double>> choices;
    double known = 0;
    double total = 0;
    const auto add = [&](placer_number number, const placement_load* load)
    {
        const double choice_weight = load == nullptr ? -1 : weight(*load);
        known += load == nullptr ? 0 : 1;
        total += load == nullptr ? 0 : choice_weight;
        choices.emplace_back(number, choice_weight);
    };
    for (std::size_t i = 0; i < clients_.size(); ++i)
    {
        if (clients_[i]->open())
            add(placer_number_of(i), clients_[i]->load(task.service));
    }
    if (choices.empty())
        return 0;
    if (own_group_)
    {
        const auto loads = queue_.loads();
        const auto own = loads.find(task.service);
        const placement_load none;
        add(0, own == loads.end() ? &none : &own->second);
    }
    if (choices.size() == 1)
        return choices.front().first;
    // A placer without a reported load gets the mean weight of the others.
    const double mean = known > 0 && total > 0 ? total / known : 1;
    std::vector<double> weights;
    for (const auto& [number, choice_weight] : choices)
        weights.push_back(choice_weight < 0 || total <= 0 ? mean
                                                          : choice_weight);
    std::discrete_distribution<std::size_t> draw(weights.begin(),
                                                 weights.end());
    return choices[draw(random_)].first;
}

} // namespace glenhollow
