#ifndef GLENHOLLOW_DECISION_OCCUPANCY_HPP
#define GLENHOLLOW_DECISION_OCCUPANCY_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/decision/runner_view.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace glenhollow
{

/// Estimates how many tasks of other entries each backend server has. With the
/// age of a server's last report, the estimate moves from the reported value to
/// the mean of the recent reports of all servers. That mean decays to 0 when
/// all reports are old, so that a task is sent and its reply brings a new
/// report; in the worst case the task queues at the server.
/// The class does no I/O and takes the time as a parameter.
class occupancy_estimate final
{
public:
    /// Sets the number of backend servers.
    void resize(std::size_t count) { runners_.resize(count); }

    /// Records a load report of a backend server.
    /// @param runner The backend server.
    /// @param busy Tasks running or queued there.
    /// @param own_tasks Number of those tasks that this shard sent.
    /// @param now The current time.
    void report(runner_index runner, std::int32_t busy, std::int32_t own_tasks,
                instant now);

    /// Adds the duration of a finished task to the mean, which sets how fast
    /// reports lose their weight.
    /// @param seconds Duration of the task, s.
    void note_length(double seconds);

    /// Writes the current estimates into the views.
    /// @param views One view per backend server; peer_tasks is set.
    /// @param now The current time.
    void apply(std::vector<runner_view>& views, instant now) const;

private:
    /// The last report of one backend server.
    struct report_state
    {
        double peer_tasks = 0; ///< Tasks of other entries.
        instant received_at{}; ///< Time of the report.
    };

    std::vector<report_state> runners_; ///< Indexed by runner_index.
    double mean_seconds_ = 0.3;         ///< Smoothed task duration.
};

} // namespace glenhollow

#endif
