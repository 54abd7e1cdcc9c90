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

/// Strategies for choosing the backend server of a task.
enum class placement_kind : std::uint8_t
{
    random,            ///< A uniformly random server; the baseline.
    two_choices,       ///< The less loaded of two random servers.
    least_outstanding, ///< The server with the fewest tasks of this shard.
    late_binding       ///< A server with a free slot, else the task waits.
};

template <>
struct name_table<placement_kind>
{
    static constexpr std::array<std::string_view, 4> names{
        "random", "two_choices", "least_outstanding", "late_binding"};
};

/// A task to place and the backend servers it can be placed on.
struct placement_request
{
    std::span<const runner_view> runners; ///< All linked backend servers.
    std::span<const runner_index> avoid;  ///< Servers that refused the task.
    duration waited{};                    ///< Time since the job was admitted.
    bool long_task = false; ///< The task must leave the reserved slots free.
};

/// The result of a placement. Without a runner, the task stays queued.
struct placement_choice
{
    std::optional<runner_index> runner; ///< The chosen backend server, if any.
    reason why = reason::none; ///< Rule that chose it, or why none was chosen.
};

/// Settings of the placement strategies.
struct placement_settings
{
    /// Number of tasks that late binding queues at a busy backend server, so
    /// that a slot that becomes free is not idle for a round trip.
    double overcommit = 0;

    /// Fraction of all slots reserved for short tasks, 0..1.
    double short_reserve = 0.1;
};

/// Chooses the backend server of a task. The choice depends only on the
/// request, the settings and the random numbers.
class placement
{
public:
    virtual ~placement() = default;

    /// Chooses a backend server. Servers to avoid are chosen only if no other
    /// server is usable.
    /// @param request The task and the backend servers.
    /// @param random Generator for random choices and tie-breaking.
    placement_choice choose(const placement_request& request,
                            random_engine& random);

    /// Creates a placement strategy.
    static std::unique_ptr<placement>
    create(placement_kind kind, const placement_settings& settings);

private:
    /// Chooses among the backend servers that are not in request.avoid.
    virtual placement_choice pick(const placement_request& request,
                                  random_engine& random) = 0;
};

} // namespace glenhollow

#endif
