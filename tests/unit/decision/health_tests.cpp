#include "glenhollow/decision/health.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

const outcome_of_task good{verdict::ran, reason::none};
const outcome_of_task bad{verdict::may_have_run, reason::runner_broken};

runner_view applied(const health_monitor& health, runner_index runner)
{
    runner_view view;
    health.apply(runner, view);
    return view;
}

} // namespace

TEST_CASE("failures in a row eject a runner, which returns on trial")
{
    health_monitor health({});
    health.resize(10);
    const instant now = seconds{10};
    REQUIRE(health.note(0, bad, 0, 0, now) == health_change::none);
    REQUIRE(health.note(0, good, 0, 0, now) == health_change::none);
    health.note(0, bad, 0, 0, now);
    health.note(0, bad, 0, 0, now);
    REQUIRE(health.note(0, bad, 0, 0, now) == health_change::ejected);
    REQUIRE(applied(health, 0).ejected);
    REQUIRE(health.revisit(0, now + seconds{1}) == health_change::none);
    REQUIRE(health.revisit(0, now + seconds{2}) == health_change::on_trial);
    REQUIRE(applied(health, 0).on_trial);
    // One failure on trial is enough, and the next ejection is longer.
    REQUIRE(health.note(0, bad, 0, 0, now + seconds{2}) ==
            health_change::ejected);
    REQUIRE(health.revisit(0, now + seconds{5}) == health_change::none);
    REQUIRE(health.revisit(0, now + seconds{6}) == health_change::on_trial);
    REQUIRE(health.note(0, good, 0, 0, now + seconds{6}) ==
            health_change::recovered);
    REQUIRE_FALSE(applied(health, 0).on_trial);
}

TEST_CASE("a common fault ejects no more than the allowed share")
{
    health_monitor health({});
    health.resize(10);
    for (int round = 0; round < 5; ++round)
    {
        for (runner_index i = 0; i < 10; ++i)
            health.note(i, bad, 0, 0, seconds{10});
    }
    int ejected = 0;
    for (runner_index i = 0; i < 10; ++i)
        ejected += applied(health, i).ejected ? 1 : 0;
    REQUIRE(ejected == 3);
}

TEST_CASE("refusals that are no fault of the runner eject nothing")
{
    health_monitor health({});
    health.resize(10);
    for (const auto why : {reason::draining, reason::agent_queue_full,
                           reason::start_expired, reason::fenced})
    {
        for (int i = 0; i < 10; ++i)
            REQUIRE(health.note(0, {verdict::not_run, why}, 0, 0, seconds{1}) ==
                    health_change::none);
    }
}

TEST_CASE("a slow runner gets fewer slots before it is called dead")
{
    health_monitor health({});
    health.resize(10);
    for (int i = 0; i < 100; ++i)
    {
        health.note(0, good, 0.4, 0.1, seconds{1});
        health.note(1, good, 0.1, 0.1, seconds{1});
    }
    REQUIRE(applied(health, 0).speed == Approx(0.25).margin(0.01));
    REQUIRE(applied(health, 1).speed == 1.0);
    REQUIRE_FALSE(applied(health, 0).ejected);
}
