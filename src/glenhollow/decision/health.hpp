#ifndef GLENHOLLOW_DECISION_HEALTH_HPP
#define GLENHOLLOW_DECISION_HEALTH_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/verdict.hpp"
#include "glenhollow/decision/runner_view.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace glenhollow
{

/// Settings of the health checks on backend servers.
struct health_settings
{
    std::size_t consecutive_failures = 3; ///< Failures before an ejection.
    double most_ejected = 0.3;            ///< Maximum fraction ejected at once.
    duration initial_ejection = seconds{2}; ///< Doubled on each repeat.
    duration max_ejection = seconds{60};    ///< Upper bound of the doubling.

    /// Ratio of actual to expected task duration above which a backend server
    /// is slow and gets less work.
    double slow_at = 2.0;

    double min_speed = 0.25;      ///< Minimum fraction of slots for a slow one.
    std::size_t min_samples = 20; ///< Samples before one counts as slow.
};

/// A change in the health state of a backend server.
enum class health_change : std::uint8_t
{
    none,     ///< The state is unchanged.
    ejected,  ///< It gets no tasks until the ejection ends.
    on_trial, ///< It gets one task at a time until one succeeds.
    recovered ///< A task succeeded on trial; full load again.
};

template <>
struct name_table<health_change>
{
    static constexpr std::array<std::string_view, 4> names{
        "none", "ejected", "on_trial", "recovered"};
};

/// Detects failing and slow backend servers from the outcomes of their tasks.
/// A server that fails several times in a row is ejected, then put on trial
/// with one task at a time; the first success on trial makes it healthy again.
/// The class does no I/O and takes the time as a parameter.
class health_monitor final
{
public:
    /// Creates a monitor without backend servers.
    explicit health_monitor(const health_settings& settings)
        : settings_(settings)
    {
    }

    /// Replaces the settings; the recorded state is kept.
    void apply(const health_settings& settings) { settings_ = settings; }

    /// Sets the number of backend servers; added ones start healthy.
    void resize(std::size_t count) { runners_.resize(count); }

    /// Clears the state of an index that is reused for another backend server.
    void reset(runner_index runner) { runners_[runner] = {}; }

    /// Records the outcome of a task.
    /// @param runner The backend server that had the task.
    /// @param end The outcome.
    /// @param seconds Actual duration at the backend server, s.
    /// @param expected Expected duration, s; 0 if unknown.
    /// @param now The current time.
    /// @return The resulting change of state.
    health_change record_outcome(runner_index runner,
                                 const outcome_of_task& end, double seconds,
                                 double expected, instant now);

    /// Puts an ejected backend server on trial if its ejection has expired.
    /// @return health_change::on_trial if it has, otherwise none.
    health_change end_ejection_if_due(runner_index runner, instant now);

    /// Writes the health state of a backend server into its view.
    /// @param runner The backend server.
    /// @param view The view; its ejected, on_trial and speed are set.
    void apply(runner_index runner, runner_view& view) const;

private:
    /// The health state of one backend server.
    struct runner_state
    {
        std::size_t failure_count = 0;   ///< Consecutive failures.
        bool ejected = false;            ///< It gets no tasks.
        bool on_trial = false;           ///< It gets one task at a time.
        instant ejected_until{};         ///< End of the ejection.
        duration next_ejection_length{}; ///< Duration of the next ejection.
        double slowdown = 1;     ///< Smoothed ratio of actual to expected time.
        std::size_t samples = 0; ///< Number of samples in slowdown.
    };

    static bool is_runner_failure(const outcome_of_task& end);
    bool can_eject_another() const;

    health_settings settings_;
    std::vector<runner_state> runners_; ///< Indexed by runner_index.
};

} // namespace glenhollow

#endif
