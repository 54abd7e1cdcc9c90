#include "glenhollow/decision/health.hpp"

#include <algorithm>

namespace glenhollow
{

namespace
{

/// Weight of a new sample in the moving average of the slowdown.
constexpr double slowdown_weight = 0.1;

} // namespace

bool health_monitor::is_runner_failure(const outcome_of_task& end)
{
    switch (end.why)
    {
    case reason::runner_broken:
    case reason::runner_error:
    case reason::runner_timeout:
    case reason::runner_unreachable:
    case reason::link_broken:
        return true;
    default:
        return false;
    }
}

bool health_monitor::can_eject_another() const
{
    const auto ejected =
        std::count_if(runners_.begin(), runners_.end(),
                      [](const auto& state) { return state.ejected; });
    const double limit =
        settings_.most_ejected * static_cast<double>(runners_.size());
    return static_cast<double>(ejected) + 1 <= limit;
}

health_change health_monitor::record_outcome(runner_index runner,
                                             const outcome_of_task& end,
                                             double seconds, double expected,
                                             instant now)
{
    auto& state = runners_[runner];
    if (end.what == verdict::ran)
    {
        if (expected > 0)
        {
            state.slowdown +=
                slowdown_weight * (seconds / expected - state.slowdown);
            ++state.samples;
        }
        state.failure_count = 0;
        if (!state.on_trial)
            return health_change::none;
        state.on_trial = false;
        state.next_ejection_length = settings_.initial_ejection;
        return health_change::recovered;
    }
    if (!is_runner_failure(end))
        return health_change::none;
    ++state.failure_count;
    const bool should_eject =
        state.on_trial || state.failure_count >= settings_.consecutive_failures;
    if (!should_eject || state.ejected || !can_eject_another())
        return health_change::none;
    state.ejected = true;
    state.on_trial = false;
    const auto ejection_length =
        std::max(state.next_ejection_length, settings_.initial_ejection);
    state.ejected_until = now + ejection_length;
    state.next_ejection_length =
        std::min(ejection_length * 2, settings_.max_ejection);
    return health_change::ejected;
}

health_change health_monitor::end_ejection_if_due(runner_index runner,
                                                  instant now)
{
    auto& state = runners_[runner];
    if (!state.ejected || now < state.ejected_until)
        return health_change::none;
    state.ejected = false;
    state.on_trial = true;
    return health_change::on_trial;
}

void health_monitor::apply(runner_index runner, runner_view& view) const
{
    const auto& state = runners_[runner];
    view.ejected = state.ejected;
    view.on_trial = state.on_trial;
    view.speed = 1.0;
    if (state.samples >= settings_.min_samples &&
        state.slowdown > settings_.slow_at)
        view.speed = std::max(settings_.min_speed, 1.0 / state.slowdown);
}

} // namespace glenhollow
