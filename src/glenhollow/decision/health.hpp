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

/// Limits of the judgement on runners.
struct health_settings
{
    std::size_t consecutive_failures = 3;   ///< Ejects a runner.
    double most_ejected = 0.3;              ///< Share of the runners.
    duration initial_ejection = seconds{2}; ///< Doubles each time.
    duration max_ejection = seconds{60};    ///< The doubling ends here.
    double slow_at = 2.0;         ///< Times its siblings' length: less work.
    double min_speed = 0.25;      ///< A slow runner keeps this share of slots.
    std::size_t min_samples = 20; ///< Before a runner is called slow.
};

/// A change in the state of a runner.
enum class health_change : std::uint8_t
{
    none,     ///< As before.
    ejected,  ///< It gets no work for a while.
    on_trial, ///< It gets one task at a time.
    recovered ///< It gets work as before.
};

template <>
struct name_table<health_change>
{
    static constexpr std::array<std::string_view, 4> names{
        "none", "ejected", "on_trial", "recovered"};
};

/// Judges runners from the ends of the tasks they got. Pure state.
class health_monitor final
{
public:
    /// @param settings Limits.
    explicit health_monitor(const health_settings& settings)
        : settings_(settings)
    {
    }

    /// @param settings New limits.
    void apply(const health_settings& settings) { settings_ = settings; }

    /// @param count Runners known; new ones begin healthy.
    void resize(std::size_t count) { runners_.resize(count); }

    /// @param runner Forgets all about a runner, whose place is used again.
    void reset(runner_index runner) { runners_[runner] = {}; }

    /// Notes the end of a task.
    /// @param runner Where it was.
    /// @param end How it ended.
    /// @param seconds Time at the runner.
    /// @param expected Expected time, s; 0 where unknown.
    /// @param now The time.
    /// @return What changed.
    health_change record_outcome(runner_index runner,
                                 const outcome_of_task& end, double seconds,
                                 double expected, instant now);

    /// Lets ejected runners return on trial when their time is over.
    /// @param runner Which.
    /// @param now The time.
    /// @return What changed.
    health_change end_ejection_if_due(runner_index runner, instant now);

    /// Writes the judgement into a view.
    /// @param runner Which.
    /// @param view Gets ejected, on_trial and speed.
    void apply(runner_index runner, runner_view& view) const;

private:
    /// What is known of a runner.
    struct runner_state
    {
        std::size_t failure_count = 0;   ///< In a row.
        bool ejected = false;            ///< It gets no work.
        bool on_trial = false;           ///< One task at a time.
        instant ejected_until{};         ///< End of the ejection.
        duration next_ejection_length{}; ///< Its length if it comes again.
        double slowdown = 1;             ///< Smoothed actual / expected length.
        std::size_t samples = 0;         ///< Behind stretch.
    };

    static bool is_runner_failure(const outcome_of_task& end);
    bool can_eject_another() const;

    health_settings settings_;          ///< Limits.
    std::vector<runner_state> runners_; ///< By index.
};

} // namespace glenhollow

#endif
