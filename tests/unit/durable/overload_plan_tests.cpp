#include "glenhollow/durable/overload_plan.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr instant now = seconds{10};

/// @return A task of 100 core-milliseconds.
waiting_task task(job_id job, duration slack, std::uint32_t priority = 0)
{
    return {job, priority, now + slack, 100, false};
}

using jobs = std::unordered_set<job_id>;

} // namespace

TEST_CASE("no job is demoted while all can be in time")
{
    CHECK(jobs_to_demote({task(1, milliseconds{0}), task(2, milliseconds{50}),
                          task(3, milliseconds{100})},
                         2, now)
              .empty());
    CHECK(jobs_to_demote({}, 2, now).empty());
    CHECK(jobs_to_demote({task(1, milliseconds{-1})}, 0, now).empty());
}

TEST_CASE("under overload jobs are demoted until the rest are in time")
{
    // Jobs 2 to 6 would all start late in the order of urgency.
    std::vector<waiting_task> tasks;
    for (job_id job = 1; job <= 6; ++job)
        tasks.push_back(task(job, milliseconds{40}));
    const auto back = jobs_to_demote(tasks, 2, now);
    CHECK(back.size() == 5);
}

TEST_CASE("the job of the lowest priority is demoted first")
{
    CHECK(
        jobs_to_demote({task(1, milliseconds{10}), task(2, milliseconds{20}, 2),
                        task(3, milliseconds{60})},
                       2, now) == jobs{2});
}

TEST_CASE("a job that has begun is not demoted")
{
    auto begun = task(1, milliseconds{10}, 2);
    begun.begun = true;
    CHECK(jobs_to_demote({begun, task(2, milliseconds{20})}, 2, now) ==
          jobs{2});
}

TEST_CASE("a job is demoted with all its tasks")
{
    CHECK(jobs_to_demote({task(1, milliseconds{10}, 1),
                          task(1, milliseconds{10}, 1),
                          task(2, milliseconds{60})},
                         2, now) == jobs{1});
}
