#include "glenhollow/decision/health.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

const outcome_of_task success{verdict::ran, reason::none};
const outcome_of_task failure{verdict::may_have_run, reason::runner_broken};

runner_view view_of(const health_monitor& health, runner_index runner)
{
    runner_view view;
    health.apply(runner, view);
    return view;
}

} // namespace

TEST_CASE("consecutive failures eject a runner, which then returns on trial")
{
    health_monitor health({});
    health.resize(10);
    const instant now = seconds{10};
    REQUIRE(health.record_outcome(0, failure, 0, 0, now) ==
            health_change::none);
    REQUIRE(health.record_outcome(0, success, 0, 0, now) ==
            health_change::none);
    health.record_outcome(0, failure, 0, 0, now);
    health.record_outcome(0, failure, 0, 0, now);
    REQUIRE(health.record_outcome(0, failure, 0, 0, now) ==
            health_change::ejected);
    REQUIRE(view_of(health, 0).ejected);
    REQUIRE(health.end_ejection_if_due(0, now + seconds{1}) ==
            health_change::none);
    REQUIRE(health.end_ejection_if_due(0, now + seconds{2}) ==
            health_change::on_trial);
    REQUIRE(view_of(health, 0).on_trial);
    // One failure on trial ejects again, for twice as long.
    REQUIRE(health.record_outcome(0, failure, 0, 0, now + seconds{2}) ==
            health_change::ejected);
    REQUIRE(health.end_ejection_if_due(0, now + seconds{5}) ==
            health_change::none);
    REQUIRE(health.end_ejection_if_due(0, now + seconds{6}) ==
            health_change::on_trial);
    REQUIRE(health.record_outcome(0, success, 0, 0, now + seconds{6}) ==
            health_change::recovered);
    REQUIRE_FALSE(view_of(health, 0).on_trial);
}

TEST_CASE("failures of all runners eject no more than the allowed fraction")
{
    health_monitor health({});
    health.resize(10);
    for (int round = 0; round < 5; ++round)
    {
        for (runner_index i = 0; i < 10; ++i)
            health.record_outcome(i, failure, 0, 0, seconds{10});
    }
    int ejected = 0;
    for (runner_index i = 0; i < 10; ++i)
        ejected += view_of(health, i).ejected ? 1 : 0;
    REQUIRE(ejected == 3);
}

TEST_CASE("refusals not caused by the runner do not eject it")
{
    health_monitor health({});
    health.resize(10);
    for (const auto why : {reason::draining, reason::agent_queue_full,
                           reason::start_expired, reason::fenced})
    {
        for (int i = 0; i < 10; ++i)
            REQUIRE(health.record_outcome(0, {verdict::not_run, why}, 0, 0,
                                          seconds{1}) == health_change::none);
    }
}

TEST_CASE("a slow runner gets fewer slots and is not ejected")
{
    health_monitor health({});
    health.resize(10);
    for (int i = 0; i < 100; ++i)
    {
        health.record_outcome(0, success, 0.4, 0.1, seconds{1});
        health.record_outcome(1, success, 0.1, 0.1, seconds{1});
    }
    REQUIRE(view_of(health, 0).speed == Approx(0.25).margin(0.01));
    REQUIRE(view_of(health, 1).speed == 1.0);
    REQUIRE_FALSE(view_of(health, 0).ejected);
}
