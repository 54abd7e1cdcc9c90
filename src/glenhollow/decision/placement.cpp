#include "glenhollow/decision/placement.hpp"

#include <algorithm>
#include <limits>

namespace glenhollow
{

namespace
{

bool is_avoided(std::span<const runner_index> avoid, runner_index index)
{
    return std::find(avoid.begin(), avoid.end(), index) != avoid.end();
}

/// Replaces the contents of usable with the backend servers that can get the
/// task.
void collect_usable(const placement_request& request,
                    std::vector<runner_index>& usable)
{
    usable.clear();
    for (runner_index i = 0; i < request.runners.size(); ++i)
    {
        if (request.runners[i].usable() && !is_avoided(request.avoid, i))
            usable.push_back(i);
    }
}

runner_index pick_uniform(const std::vector<runner_index>& from,
                          random_engine& random)
{
    return from[std::uniform_int_distribution<std::size_t>(0, from.size() -
                                                                  1)(random)];
}

/// Chooses uniformly among the usable backend servers.
class random_placement final : public placement
{
private:
    placement_choice pick(const placement_request& request,
                          random_engine& random) override
    {
        collect_usable(request, usable_);
        if (usable_.empty())
            return {std::nullopt, reason::no_runner};
        return {pick_uniform(usable_, random), reason::random_choice};
    }

    std::vector<runner_index> usable_; ///< Reused between calls.
};

/// Chooses the less loaded of two random backend servers, by tasks per slot.
class two_choices_placement final : public placement
{
private:
    placement_choice pick(const placement_request& request,
                          random_engine& random) override
    {
        collect_usable(request, usable_);
        if (usable_.empty())
            return {std::nullopt, reason::no_runner};
        const auto first = pick_uniform(usable_, random);
        const auto second = pick_uniform(usable_, random);
        const bool take_second = load_ratio(request.runners[second]) <
                                 load_ratio(request.runners[first]);
        return {take_second ? second : first, reason::two_choices};
    }

    static double load_ratio(const runner_view& view)
    {
        return view.occupancy() / view.effective_slots();
    }

    std::vector<runner_index> usable_; ///< Reused between calls.
};

/// Chooses the backend server with the fewest tasks of this shard.
class least_outstanding_placement final : public placement
{
private:
    placement_choice pick(const placement_request& request,
                          random_engine& random) override
    {
        collect_usable(request, usable_);
        if (usable_.empty())
            return {std::nullopt, reason::no_runner};
        // A random first candidate spreads the tasks over equally loaded
        // servers.
        auto best = pick_uniform(usable_, random);
        for (const auto index : usable_)
        {
            if (request.runners[index].outstanding <
                request.runners[best].outstanding)
                best = index;
        }
        return {best, reason::least_outstanding};
    }

    std::vector<runner_index> usable_; ///< Reused between calls.
};

/// Chooses a backend server with a free slot, in the entry's own hall first.
/// Without a free slot the task waits at the entry, so that the first slot to
/// become free on any server can take it.
class late_binding_placement final : public placement
{
public:
    explicit late_binding_placement(const placement_settings& settings)
        : settings_(settings)
    {
    }

private:
    placement_choice pick(const placement_request& request,
                          random_engine& random) override
    {
        const auto totals = sum_usable(request);
        if (totals.usable == 0)
            return {std::nullopt, reason::no_runner};
        // Long tasks leave the reserved slots to short tasks.
        const double reserve = settings_.short_reserve * totals.slots;
        if (request.long_task && totals.free <= reserve &&
            totals.outstanding > 0)
            return {std::nullopt, reason::none};
        if (const auto own_hall_runner = most_free(request, true, random))
            return {own_hall_runner, reason::free_slot};
        if (const auto other_hall_runner = most_free(request, false, random))
            return {other_hall_runner, reason::free_slot};
        // If this shard has outstanding tasks, the next reply reports the load
        // and the task waits for it. Otherwise it is queued at the least loaded
        // server.
        if (totals.outstanding > 0)
            return {std::nullopt, reason::none};
        return {least_loaded(request), reason::least_outstanding};
    }

    /// Totals over the usable backend servers.
    struct usable_totals
    {
        std::int32_t usable = 0;      ///< Number of usable servers.
        double slots = 0;             ///< Effective slots.
        double free = 0;              ///< Estimated free slots.
        std::int32_t outstanding = 0; ///< Tasks of this shard.
    };

    static usable_totals sum_usable(const placement_request& request)
    {
        usable_totals totals;
        for (runner_index i = 0; i < request.runners.size(); ++i)
        {
            const auto& view = request.runners[i];
            if (!view.usable() || is_avoided(request.avoid, i))
                continue;
            ++totals.usable;
            totals.slots += view.effective_slots();
            totals.free += std::max(view.free_slots(), 0.0);
            totals.outstanding += view.outstanding;
        }
        return totals;
    }

    /// Returns the usable server with the largest fraction of free slots, in
    /// the own hall or outside it. Ties are broken at random.
    std::optional<runner_index> most_free(const placement_request& request,
                                          bool own_hall,
                                          random_engine& random) const
    {
        std::optional<runner_index> best;
        double best_score = std::numeric_limits<double>::lowest();
        std::size_t ties = 0;
        for (runner_index i = 0; i < request.runners.size(); ++i)
        {
            const auto& view = request.runners[i];
            if (view.own_hall != own_hall || !view.usable() ||
                view.free_slots() < min_free_slots - settings_.overcommit ||
                is_avoided(request.avoid, i))
                continue;
            // A task goes to another hall only after it has waited for at least
            // the round-trip time to that hall.
            if (!own_hall && request.waited < view.delay)
                continue;
            const double score = view.free_slots() / view.slots;
            ties = score == best_score ? ties + 1 : 1;
            const bool wins_tie =
                ties > 1 && random() % ties == 0 && score == best_score;
            if (score > best_score || wins_tie)
            {
                best = i;
                best_score = score;
            }
        }
        return best;
    }

    static std::optional<runner_index>
    least_loaded(const placement_request& request)
    {
        std::optional<runner_index> best;
        double best_free = std::numeric_limits<double>::lowest();
        for (runner_index i = 0; i < request.runners.size(); ++i)
        {
            const auto& view = request.runners[i];
            if (!view.usable() || is_avoided(request.avoid, i) ||
                view.free_slots() <= best_free)
                continue;
            best = i;
            best_free = view.free_slots();
        }
        return best;
    }

    /// Minimum estimate of free slots, which is fractional, that counts as one
    /// free slot.
    static constexpr double min_free_slots = 0.5;

    placement_settings settings_;
};

} // namespace

placement_choice placement::choose(const placement_request& request,
                                   random_engine& random)
{
    const auto choice = pick(request, random);
    if (choice.runner || choice.why != reason::no_runner ||
        request.avoid.empty())
        return choice;
    auto without_avoid = request;
    without_avoid.avoid = {};
    return pick(without_avoid, random);
}

std::unique_ptr<placement> placement::create(placement_kind kind,
                                             const placement_settings& settings)
{
    switch (kind)
    {
    case placement_kind::random:
        return std::make_unique<random_placement>();
    case placement_kind::two_choices:
        return std::make_unique<two_choices_placement>();
    case placement_kind::least_outstanding:
        return std::make_unique<least_outstanding_placement>();
    case placement_kind::late_binding:
        break;
    }
    return std::make_unique<late_binding_placement>(settings);
}

} // namespace glenhollow
