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

TEST_CASE("each task is sent once, to its own placer")
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

TEST_CASE("a task that was not sent to its placer is not withdrawn there")
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

TEST_CASE("a task is withdrawn from its placer if another one granted it")
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

TEST_CASE(
    "remaining tasks of a begun job are marked as begun at the next placer")
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

TEST_CASE("unsent changes to a placer are dropped with its session")
{
    delegated_tasks waiting;
    waiting.add(1, task(10));
    waiting.take_all(1);
    CHECK(waiting.take_changes(1).empty());
    waiting.add(1, task(20));
    waiting.release(memory_part);
    CHECK(waiting.size() == 0);
}
