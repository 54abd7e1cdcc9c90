#include "glenhollow/durable/delegated_tasks.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

ready_task task(job_id job, std::uint32_t index = 0)
{
    ready_task out;
    out.task.job = job;
    out.task.index = index;
    out.part = memory_part;
    out.service = "service-1";
    out.needs = {2000, 10, 0};
    out.estimate_ms = 60;
    return out;
}

} // namespace

TEST_CASE("a placer is told of its own tasks, once")
{
    delegated_tasks waiting;
    waiting.add(1, task(10));
    waiting.add(2, task(20));
    REQUIRE(waiting.take_changes(1).added.size() == 1);
    CHECK(waiting.take_changes(1).empty());
    CHECK(waiting.take_changes(2).added.size() == 1);
    CHECK(waiting.size() == 2);
    CHECK(waiting.work("service-1") == Approx(240));
}

TEST_CASE("a task that nobody was told of is not withdrawn either")
{
    delegated_tasks waiting;
    waiting.add(1, task(10));
    waiting.withdraw(task(10).task);
    CHECK(waiting.take_changes(1).empty());
    waiting.add(1, task(10));
    waiting.take_changes(1);
    waiting.withdraw(task(10).task);
    CHECK(waiting.take_changes(1).withdrawn.size() == 1);
    CHECK(waiting.find(task(10).task) == nullptr);
    CHECK(waiting.work("service-1") == 0);
}

TEST_CASE("the placer that granted knows; the one where it waits is told")
{
    delegated_tasks waiting;
    waiting.add(2, task(10));
    waiting.add(2, task(10, 1));
    waiting.take_changes(2);
    waiting.take(task(10).task, 2);
    CHECK(waiting.take_changes(2).empty());
    waiting.take(task(10, 1).task, 1);
    CHECK(waiting.take_changes(2).withdrawn.size() == 1);
    CHECK(waiting.size() == 0);
}

TEST_CASE("the rest of a job that has begun says so at its next placer")
{
    delegated_tasks waiting;
    waiting.add(1, task(10));
    waiting.add(1, task(10, 1));
    waiting.take(task(10).task, 1);
    waiting.mark_begun(10);
    const auto left = waiting.take_all(1);
    REQUIRE(left.size() == 1);
    CHECK(left[0].begun);
    CHECK_FALSE(waiting.placer_of(10).has_value());
    waiting.add(2, left[0]);
    CHECK(waiting.placer_of(10) == placer_number{2});
    CHECK(waiting.take_changes(2).added[0].begun);
}

TEST_CASE("what was to be told to a placer goes with its session")
{
    delegated_tasks waiting;
    waiting.add(1, task(10));
    waiting.take_all(1);
    CHECK(waiting.take_changes(1).empty());
    waiting.add(1, task(20));
    waiting.release(memory_part);
    CHECK(waiting.size() == 0);
}
