#ifndef GLENHOLLOW_DECISION_PLACEMENT_HPP
#define GLENHOLLOW_DECISION_PLACEMENT_HPP

#include "glenhollow/core/names.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/core/verdict.hpp"
#include "glenhollow/decision/runner_view.hpp"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace glenhollow
{

/// The ways to choose a runner.
enum class placement_kind : std::uint8_t
{
    random,            ///< Uniform; the baseline.
    two_choices,       ///< The less busy of two random ones.
    least_outstanding, ///< The one with the fewest of our own tasks.
    late_binding       ///< One with a free slot, or wait.
};

template <>
struct name_table<placement_kind>
{
    static constexpr std::array<std::string_view, 4> names{
        "random", "two_choices", "least_outstanding", "late_binding"};
};

/// What a task asks of its placement.
struct placement_request
{
    std::span<const runner_view> runners; ///< All that the shard links to.
    std::span<const runner_index> avoid;  ///< Those that refused it before.
    duration waited{};                    ///< Time it has been queued.
    bool long_task = false;               ///< Keep a share of slots free.
};

/// A chosen runner, or none: the task waits.
struct placement_choice
{
    std::optional<runner_index> runner; ///< Where it goes.
    reason why = reason::none;          ///< By which rule.
};

/// Limits of placements.
struct placement_settings
{
    /// Tasks that late binding lets wait at a runner, so that a slot that
    /// becomes free there is not idle for a message there and back.
    double overcommit = 0;

    /// Share of all slots that long tasks leave to short ones.
    double short_reserve = 0.1;
};

/// Chooses runners; a pure function of the request and the random numbers.
class placement
{
public:
    virtual ~placement() = default;

    /// @param request The task and the runners. Runners to avoid come back
    /// when no other is left.
    /// @param random Breaks ties.
    /// @return The runner, or none where the task has to wait.
    placement_choice choose(const placement_request& request,
                            random_engine& random);

    /// @param kind Which way.
    /// @param settings Limits.
    /// @return The strategy.
    static std::unique_ptr<placement>
    create(placement_kind kind, const placement_settings& settings);

private:
    /// Chooses among the runners that are not to be avoided.
    virtual placement_choice pick(const placement_request& request,
                                  random_engine& random) = 0;
};

} // namespace glenhollow

#endif
