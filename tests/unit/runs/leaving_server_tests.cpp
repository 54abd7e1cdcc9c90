#include "glenhollow/runs/leaving_server.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr duration notice = seconds{2};

/// @return A run that has just started, with a deadline in 10 s.
run_on_leaving_server run(std::uint32_t expected_ms, job_id job = 1,
                          std::uint32_t index = 0)
{
    run_on_leaving_server out;
    out.run = {{job, 0, 0, index}, 1};
    out.expected_ms = expected_ms;
    out.useful_for = seconds{10};
    return out;
}

leaving_plan plan(const std::vector<run_on_leaving_server>& runs,
                  double pace = 1.0, duration left = notice)
{
    return plan_leaving(runs, left, pace, {});
}

} // namespace

TEST_CASE("a run that may finish before the shutdown is not moved")
{
    const auto found = plan({run(3000)}); // Estimates are off by up to 40%.
    CHECK(found.moved.empty());
    CHECK(found.unfinishable.empty());
}

TEST_CASE("a run that cannot finish before the shutdown is moved")
{
    CHECK(plan({run(3600)}).moved.size() == 1);
}

TEST_CASE("the estimate accounts for the pace of the server")
{
    CHECK(plan({run(2400)}).moved.empty());
    CHECK(plan({run(2400)}, 1.67).moved.size() == 1);
}

TEST_CASE("progress takes precedence over the estimate")
{
    auto quick = run(9000);
    quick.elapsed = quick.last_progress = milliseconds{500};
    quick.percent = 40;
    CHECK(plan({quick}).moved.empty());
    auto slow = run(100);
    slow.elapsed = slow.last_progress = seconds{1};
    slow.percent = 20;
    CHECK(plan({slow}).moved.size() == 1);
}

TEST_CASE("a run that cannot finish elsewhere in time is not moved")
{
    auto late = run(3600);
    late.useful_for =
        milliseconds{3700}; // Too short for the stop and the start.
    const auto found = plan({late});
    CHECK(found.moved.empty());
    CHECK(found.unfinishable.size() == 1);
}

TEST_CASE("a run without a deadline is moved")
{
    auto durable_run = run(3600);
    durable_run.useful_for.reset();
    CHECK(plan({durable_run}).moved.size() == 1);
}

TEST_CASE("a run without an estimate is not moved")
{
    const auto found = plan({run(0)}, 1.0, duration{0});
    CHECK(found.moved.empty());
    CHECK(found.unfinishable.empty());
}

TEST_CASE("no task of a job is moved if one of them cannot finish in time")
{
    auto unfinishable = run(3600, 1, 0);
    unfinishable.useful_for = seconds{1};
    const auto found =
        plan({unfinishable, run(3600, 1, 1), run(3600, 2, 0), run(100, 1, 2)});
    REQUIRE(found.moved.size() == 1);
    CHECK(found.moved[0].task.job == 2);
    CHECK(found.unfinishable.size() == 2);
}

TEST_CASE("runs are moved if the shutdown time has passed")
{
    // A suspended agent receives the announcement late.
    const auto found = plan({run(100, 1), run(200, 2)}, 1.0, -seconds{1});
    CHECK(found.moved.size() == 2);
}
