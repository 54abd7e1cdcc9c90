#include "glenhollow/load/distribution.hpp"
#include "glenhollow/load/load_plan.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("the ideal time is that of longest tasks first on all slots")
{
    REQUIRE(ideal_ms({50, 100, 70}, 8) == 100);
    REQUIRE(ideal_ms({50, 100, 70}, 2) == 120);
    REQUIRE(ideal_ms({10, 10, 10, 10}, 1) == 40);
}

TEST_CASE("a plan is the same for the same seed and keeps its rate")
{
    load_plan_settings settings;
    settings.jobs = 4000;
    settings.rate = 100;
    settings.burst = 5;
    const auto tasks = distribution::parse("loguniform:1,110").value();
    const auto work = distribution::parse("kiraz").value();
    const auto plan = make_plan(settings, tasks, work);
    const auto again = make_plan(settings, tasks, work);
    REQUIRE(plan.size() == 4000);
    REQUIRE(plan.back().at == again.back().at);
    REQUIRE(plan[77].work_ms == again[77].work_ms);
    const double took = std::chrono::duration<double>(plan.back().at).count();
    REQUIRE(took == Approx(40).epsilon(0.15));
    for (const auto& job : plan)
    {
        REQUIRE(job.work_ms.size() >= 1);
        REQUIRE(job.work_ms.size() <= 110);
    }
}

TEST_CASE("texts that are no distributions are refused")
{
    for (const std::string bad : {"", "x", "uniform:5", "uniform:9,1",
                                  "choice:5", "exp:a", "loguniform:0,5"})
    {
        INFO(bad);
        REQUIRE_FALSE(distribution::parse(bad));
    }
}
