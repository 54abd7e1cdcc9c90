#ifndef GLENHOLLOW_DECISION_OCCUPANCY_HPP
#define GLENHOLLOW_DECISION_OCCUPANCY_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/decision/runner_view.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace glenhollow
{

/// Estimates how many tasks of other entries are at each runner. A report is
/// exact when it is made; as it ages, the tasks it counted end and others
/// come, so the estimate drifts from the report to the mean of what runners
/// reported lately. When all reports are old that mean goes to 0: a start sent
/// on the chance brings fresh news and waits at the runner at worst.
/// Pure state.
class occupancy_estimate final
{
public:
    /// @param count Runners known.
    void resize(std::size_t count) { runners_.resize(count); }

    /// @param runner Who reported.
    /// @param busy Tasks running and queued there.
    /// @param own Of them, ours.
    /// @param now The time.
    void report(runner_index runner, std::int32_t busy, std::int32_t own_tasks,
                instant now);

    /// @param seconds Time a task took.
    void note_length(double seconds);

    /// Writes the estimates of this time into the views.
    /// @param views One for each runner.
    /// @param now The time.
    void apply(std::vector<runner_view>& views, instant now) const;

private:
    /// The last report of a runner.
    struct report_state
    {
        double peer_tasks = 0; ///< Tasks of other entries.
        instant received_at{}; ///< When it came.
    };

    std::vector<report_state> runners_; ///< By index.
    double mean_seconds_ = 0.3;         ///< Length of a task, smoothed.
};

} // namespace glenhollow

#endif
