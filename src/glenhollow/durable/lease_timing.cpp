#include "glenhollow/durable/lease_timing.hpp"

#include "glenhollow/durable/agent_sessions.hpp"
#include "glenhollow/durable/claim_validity.hpp"
#include "glenhollow/durable/job_coordinator.hpp"
#include "glenhollow/durable/memory_cancellation.hpp"
#include "glenhollow/runs/run_manager.hpp"
#include "glenhollow/runs/run_manager_timing.hpp"

#include <string>
#include <string_view>

namespace glenhollow
{

namespace
{

/// Time that callers wait after a lost connection or a 504.
constexpr duration callers_wait = milliseconds{1300};

/// An agent waits this long before it treats a hold as expired; a slower clock
/// must not need longer.
static_assert(manager_timing::with_drift(max_hold) +
                  manager_timing::lapse_margin >
              max_on_other_clock(max_hold));

/// A duration that must end before a bound.
struct timing_bound
{
    std::string_view bounded_settings; ///< Names of the settings that make up
                                       ///< the duration.
    duration max_length{};             ///< Maximum duration.
    std::string_view bound_setting; ///< Name of the setting that is the bound.
    duration bound{};               ///< Bound on its own clock.
};

std::string milliseconds_of(duration length)
{
    return std::to_string(length / milliseconds{1}) + " ms";
}

result<void> check(const timing_bound& one)
{
    if (one.max_length < min_on_other_clock(one.bound))
        return outcome::success();
    return failure{std::string(one.bounded_settings) + " (" +
                   milliseconds_of(one.max_length) +
                   " with clock drift) must end before " +
                   std::string(one.bound_setting) + " (" +
                   milliseconds_of(one.bound) + ")"};
}

} // namespace

lease_timing default_lease_timing()
{
    const run_manager_settings agent;
    lease_timing out;
    out.hold = agent.hold;
    out.memory_lease = agent.memory_lease;
    out.part_lease = agent.part_lease;
    out.stop_time = agent.stop_time;
    out.held_past_lease = agent.held_past_lease;
    out.session_silence = agent_sessions_settings{}.silence;
    out.memory_silence = memory_agent_timeout;
    out.part_silence = job_coordinator_settings{}.agent_timeout;
    out.cancel_lapse = memory_cancellation_settings{}.silence_timeout;
    out.claim_evidence_age = claim_validity_settings{}.max_age;
    out.callers_wait = callers_wait;
    return out;
}

result<void> check_lease_timing(const lease_timing& timing)
{
    const auto memory =
        max_run_past_lease(timing.memory_lease, timing, timing.stop_time);
    const auto late_start =
        max_run_past_lease(timing.memory_lease, timing, timing.held_past_lease);
    const auto part =
        max_run_past_lease(timing.part_lease, timing, timing.stop_time);
    const timing_bound all[] = {
        {"memory_lease and stop_time", memory, "callers_wait",
         timing.callers_wait},
        {"memory_lease and stop_time", memory, "memory_silence",
         timing.memory_silence},
        {"memory_lease and stop_time", memory, "cancel_lapse",
         timing.cancel_lapse},
        {"memory_lease and held_past_lease", late_start, "callers_wait",
         timing.callers_wait},
        {"part_lease and stop_time", part, "part_silence", timing.part_silence},
        {"claim_evidence_age, part_lease and stop_time",
         max_on_other_clock(timing.claim_evidence_age) + part, "part_silence",
         timing.part_silence},
        {"hold", max_on_other_clock(timing.hold), "callers_wait",
         timing.callers_wait},
        {"session_silence", max_on_other_clock(timing.session_silence),
         "memory_silence", timing.memory_silence},
    };
    for (const auto& one : all)
    {
        BOOST_OUTCOME_TRYV(check(one));
    }
    return outcome::success();
}

} // namespace glenhollow
