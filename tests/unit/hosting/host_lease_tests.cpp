// A task runs at two servers at the same time if the runs of a host outlast the
// time after which the caller of an ended entry resends its job.
#include "unit/hosting/hosting_fixture.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr duration caller_resend_delay = milliseconds{1300};

/// Plays the end of an entry while its job runs.
/// @param freeze_host_after Time from then on after which the host is
/// suspended.
void play_ended_entry(duration freeze_host_after)
{
    hosting_fixture fixture(test_time::manual);
    bool submitted = false;
    std::optional<instant> started;
    std::optional<instant> ended;
    fixture.run_until(
        [&]
        {
            const auto now = fixture.clock.now();
            submitted = submitted ||
                        fixture.submit(fixture.entry, hosting_fixture::job(7));
            if (!started && !fixture.runner.running.empty())
                started = now;
            if (started && !ended && now - *started >= milliseconds{500})
            {
                ended = now;
                fixture.entry.frozen = true;
            }
            if (!ended)
                return false;
            const auto passed = now - *ended;
            if (!fixture.host_frozen && passed >= freeze_host_after)
                fixture.freeze_host();
            if (fixture.runner.running.empty())
                return true;
            INFO(passed / milliseconds{1} << " ms after the end of the entry");
            CHECK(passed + fixture.runner.held_for() < caller_resend_delay);
            return false;
        });
    CHECK(fixture.runner.started[7] == 1);
}

} // namespace

TEST_CASE("the runs of a host end before the caller of an ended entry resends, "
          "whenever the host is suspended",
          "[host_lease]")
{
    for (const auto after : {0, 200, 400, 600, 780, 900, 2000})
    {
        INFO("the host is suspended after " << after << " ms");
        play_ended_entry(milliseconds{after});
    }
}

TEST_CASE("the runs of a host continue while their entry lives", "[host_lease]")
{
    hosting_fixture fixture(test_time::manual);
    bool submitted = false;
    std::optional<instant> started;
    fixture.run_until(
        [&]
        {
            const auto now = fixture.clock.now();
            submitted = submitted ||
                        fixture.submit(fixture.entry, hosting_fixture::job(7));
            if (!started && !fixture.runner.running.empty())
                started = now;
            return started && now - *started >= seconds{4};
        });
    CHECK(fixture.runner.running.size() == 1);
    CHECK(fixture.runner.started[7] == 1);
    CHECK(fixture.runner.stops == 0);
}

TEST_CASE("the end of one entry does not end another entry's runs at the host",
          "[host_lease]")
{
    hosting_fixture fixture(test_time::manual);
    bool first = false;
    bool second = false;
    std::optional<instant> ended;
    fixture.run_until(
        [&]
        {
            const auto now = fixture.clock.now();
            first =
                first || fixture.submit(fixture.entry, hosting_fixture::job(7));
            second = second ||
                     fixture.submit(fixture.other, hosting_fixture::job(8));
            if (!ended && fixture.runner.running.size() == 2)
            {
                ended = now;
                fixture.entry.frozen = true;
            }
            return ended && now - *ended >= seconds{3};
        });
    REQUIRE(fixture.runner.running.size() == 1);
    CHECK(fixture.runner.running.front().task.job == 8);
    CHECK(fixture.runner.started[8] == 1);
}

TEST_CASE("a job that a living entry awaits as well outlives an ended entry",
          "[host_lease]")
{
    hosting_fixture fixture(test_time::manual);
    bool first = false;
    bool second = false;
    std::optional<instant> ended;
    fixture.run_until(
        [&]
        {
            const auto now = fixture.clock.now();
            if (!first)
                first = fixture.submit(fixture.entry, hosting_fixture::job(7));
            if (!second && !fixture.runner.running.empty())
                second = fixture.submit(fixture.other, hosting_fixture::job(7));
            if (second && !ended)
            {
                ended = now;
                fixture.entry.frozen = true;
            }
            CHECK(fixture.runner.running.size() <= 1);
            return ended && now - *ended >= seconds{3};
        });
    CHECK(fixture.runner.running.size() == 1);
    CHECK(fixture.other.handover->open_jobs() == 1);
}
