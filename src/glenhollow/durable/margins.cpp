#include "glenhollow/durable/margins.hpp"

#include "glenhollow/durable/agent_sessions.hpp"
#include "glenhollow/durable/claim_evidence.hpp"
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

/// The users' callers wait so long after a lost connection or a 504.
constexpr duration callers_wait = milliseconds{1300};

/// An agent counts a hold as over past this; another clock may need longer.
static_assert(manager_timing::with_drift(longest_hold) +
                  manager_timing::lapse_slack >
              longest_elsewhere(longest_hold));

/// A bound and what must have ended by then.
struct margin
{
    std::string_view covered; ///< Settings of what goes on.
    duration goes_on{};       ///< At the longest.
    std::string_view by;      ///< Setting of the bound.
    duration bound{};         ///< By its own clock.
};

std::string milliseconds_of(duration length)
{
    return std::to_string(length / milliseconds{1}) + " ms";
}

result<void> check(const margin& one)
{
    if (one.goes_on < shortest_elsewhere(one.bound))
        return outcome::success();
    return failure{
        std::string(one.covered) + " (" + milliseconds_of(one.goes_on) +
        " with the drift of clocks) must end before " + std::string(one.by) +
        " (" + milliseconds_of(one.bound) + ")"};
}

} // namespace

margin_settings default_margins()
{
    const run_manager_settings agent;
    margin_settings out;
    out.hold = agent.hold;
    out.memory_lease = agent.memory_lease;
    out.part_lease = agent.part_lease;
    out.stop_time = agent.stop_time;
    out.session_silence = agent_sessions_settings{}.silence;
    out.memory_silence = memory_agent_timeout;
    out.part_silence = job_coordinator_settings{}.agent_timeout;
    out.cancel_lapse = memory_cancellation_settings{}.silence_timeout;
    out.claim_word = claim_evidence_settings{}.good_for;
    out.callers_wait = callers_wait;
    return out;
}

result<void> check_margins(const margin_settings& of)
{
    const auto memory = longest_run_past(of.memory_lease, of);
    const auto part = longest_run_past(of.part_lease, of);
    const margin all[] = {
        {"memory_lease and stop_time", memory, "callers_wait", of.callers_wait},
        {"memory_lease and stop_time", memory, "memory_silence",
         of.memory_silence},
        {"memory_lease and stop_time", memory, "cancel_lapse", of.cancel_lapse},
        {"part_lease and stop_time", part, "part_silence", of.part_silence},
        {"claim_word, part_lease and stop_time",
         longest_elsewhere(of.claim_word) + part, "part_silence",
         of.part_silence},
        {"hold", longest_elsewhere(of.hold), "callers_wait", of.callers_wait},
        {"session_silence", longest_elsewhere(of.session_silence),
         "memory_silence", of.memory_silence},
    };
    for (const auto& one : all)
    {
        BOOST_OUTCOME_TRYV(check(one));
    }
    return outcome::success();
}

} // namespace glenhollow
