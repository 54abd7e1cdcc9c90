#include "glenhollow/decision/health.hpp"

#include <algorithm>

namespace glenhollow
{

namespace
{

/// Weight of a new sample in the smoothed stretch.
constexpr double stretch_weight = 0.1;

} // namespace

bool health_monitor::is_runners_fault(const outcome_of_task& end)
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

bool health_monitor::may_eject_one_more() const
{
    const auto ejected =
        std::count_if(runners_.begin(), runners_.end(),
                      [](const auto& one) { return one.ejected; });
    const double limit =
        settings_.most_ejected * static_cast<double>(runners_.size());
    return static_cast<double>(ejected) + 1 <= limit;
}

health_change health_monitor::note(runner_index runner,
                                   const outcome_of_task& end, double seconds,
                                   double expected, instant now)
{
    auto& state = runners_[runner];
    if (end.what == verdict::ran)
    {
        if (expected > 0)
        {
            state.stretch +=
                stretch_weight * (seconds / expected - state.stretch);
            ++state.samples;
        }
        state.failures = 0;
        if (!state.on_trial)
            return health_change::none;
        state.on_trial = false;
        state.next_ejection = settings_.first_ejection;
        return health_change::recovered;
    }
    if (!is_runners_fault(end))
        return health_change::none;
    ++state.failures;
    const bool enough =
        state.on_trial || state.failures >= settings_.failures_in_a_row;
    if (!enough || state.ejected || !may_eject_one_more())
        return health_change::none;
    state.ejected = true;
    state.on_trial = false;
    const auto length = std::max(state.next_ejection, settings_.first_ejection);
    state.until = now + length;
    state.next_ejection = std::min(length * 2, settings_.longest_ejection);
    return health_change::ejected;
}

health_change health_monitor::revisit(runner_index runner, instant now)
{
    auto& state = runners_[runner];
    if (!state.ejected || now < state.until)
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
    if (state.samples >= settings_.least_samples &&
        state.stretch > settings_.slow_at)
        view.speed = std::max(settings_.least_speed, 1.0 / state.stretch);
}

} // namespace glenhollow
