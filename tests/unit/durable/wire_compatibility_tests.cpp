// Messages and rows written by processes of another version: unknown enum
// values and out-of-range numbers.
#include "glenhollow/durable/job_wire.hpp"
#include "glenhollow/durable/placement_wire.hpp"
#include "glenhollow/durable/queue_catalog.hpp"
#include "glenhollow/runs/run_wire.hpp"
#include "unit/durable/coordinator_fixture.hpp"

#include <capnp/message.h>
#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

using namespace glenhollow;

namespace
{

constexpr std::uint8_t unknown_value = 99;
constexpr auto far_past = std::numeric_limits<std::int64_t>::min();
constexpr auto far_future = std::numeric_limits<std::int64_t>::max();

job_definition chain_of_two()
{
    auto job = coordinator_fixture::job(1, 2);
    job.steps.push_back(job.steps[0]);
    job.steps[1].count = 1;
    job.steps[1].after = {0};
    return job;
}

} // namespace

TEST_CASE("a run end with an unknown outcome is decoded as lapsed")
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::RunEnd>();
    fill(out, run_end{{{1, 0, 0, 0}, 5}, run_outcome::done, 3, 10, true});
    out.setHow(unknown_value);
    CHECK(from_wire(out.asReader()).outcome == run_outcome::lapsed);
}

TEST_CASE("a reply with an unknown state or outcome is decoded as unknown")
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::JobAnswer>();
    fill(out, {job_outcome::done, job_state::succeeded, {}});
    CHECK(from_wire(out.asReader()).outcome == job_outcome::done);
    out.setState(unknown_value);
    CHECK(from_wire(out.asReader()).outcome == job_outcome::unknown);
    out.setState(0);
    out.setOutcome(unknown_value);
    CHECK(from_wire(out.asReader()).outcome == job_outcome::unknown);
}

TEST_CASE("out-of-range times are clamped")
{
    for (const auto told : {far_past, far_future})
    {
        capnp::MallocMessageBuilder message;
        auto out = message.initRoot<wire::HandedJob>();
        fill(out, coordinator_fixture::memory_job(1), noon_ms);
        out.setObjectiveInMs(told);
        out.setGiveUpInMs(told);
        const auto job = from_wire(out.asReader(), noon_ms);
        constexpr std::int64_t year_ms = 365LL * 24 * 3600 * 1000;
        CHECK(std::abs(job.objective_ms - noon_ms) <= year_ms);
        CHECK(std::abs(job.expiry_ms - noon_ms) <= year_ms);

        capnp::MallocMessageBuilder other;
        auto want = other.initRoot<wire::PlacementSession::WantParams>();
        auto tasks = want.initTasks(1);
        tasks[0].initIndices(1);
        tasks[0].setSlackMicros(told);
        const auto read = from_wire(want.asReader(), seconds{1000});
        REQUIRE(read.changes.added.size() == 1);
        const auto slack = read.changes.added[0].start_by - seconds{1000};
        CHECK(std::abs(slack.count() / 1'000'000) <= year_ms);
    }
}

TEST_CASE("a placement request with too many tasks in a step is ignored")
{
    capnp::MallocMessageBuilder message;
    auto want = message.initRoot<wire::PlacementSession::WantParams>();
    auto tasks = want.initTasks(2);
    tasks[0].initIndices(max_job_tasks + 1);
    tasks[1].initIndices(3);
    const auto read = from_wire(want.asReader(), seconds{1000});
    CHECK(read.changes.added.size() == 3);
}

TEST_CASE("invalid load values are decoded as 0")
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::PlacementSession::WantResults>();
    auto loads = out.initLoads(1);
    loads[0].setService("s");
    loads[0].setReadyCores(std::numeric_limits<double>::quiet_NaN());
    loads[0].setFreeCores(std::numeric_limits<double>::infinity());
    loads[0].setWaitingWork(-1);
    const auto read = from_wire(out.asReader());
    CHECK(read.at("s").ready_cores == 0);
    CHECK(read.at("s").free_cores == 0);
    CHECK(read.at("s").waiting_work == 0);
}

// Guards against a job that succeeds although its last step never ran, because
// a task index past the end of a step counts as a task of the next step.
TEST_CASE("a run end with an invalid task index ends no other task")
{
    for (const task_ref& none :
         {task_ref{1, 0, 0, 2}, task_ref{1, 0, 2, 0}, task_ref{1, 1, 1, 0},
          task_ref{1, 0, 2, 0xFFFF'FFFF}})
    {
        coordinator_fixture fixture;
        fixture.owner(1);
        fixture.submit(chain_of_two());
        REQUIRE(fixture.started.size() == 2);
        fixture.end("agent-1", {none, 1}, run_outcome::done);
        CHECK(fixture.confirmed.size() == 1);
        fixture.end_all(run_outcome::done);
        REQUIRE(fixture.started.size() == 1);
        CHECK(fixture.started[0].second.task == task_ref{1, 0, 1, 0});
        CHECK(fixture.store.find({"jobs", part_name(0), to_text(1)}));
        fixture.end_all(run_outcome::done);
        CHECK_FALSE(fixture.store.find({"jobs", part_name(0), to_text(1)}));
    }
}

TEST_CASE("a grant with an invalid task index is not used")
{
    coordinator_fixture fixture;
    fixture.drain_all(); // Tasks stay queued.
    fixture.owner(1);
    fixture.submit(coordinator_fixture::job(1, 2));
    for (const task_ref& none :
         {task_ref{1, 0, 0, 2}, task_ref{1, 0, 9, 0},
          task_ref{1, 0, 0, 0xFFFF'FFFF}, task_ref{2, 0, 0, 0}})
    {
        ready_task granted;
        granted.task = none;
        CHECK_FALSE(fixture.coordinator->assign(granted, "agent-1"));
    }
}

TEST_CASE("a job row that admission would have refused is rejected")
{
    const auto good = chain_of_two();
    REQUIRE(decode_definition(encode_definition(good)));
    auto none = good;
    none.steps.clear();
    CHECK_FALSE(decode_definition(encode_definition(none)));
    auto forward = good;
    forward.steps[0].after = {1};
    CHECK_FALSE(decode_definition(encode_definition(forward)));
    auto itself = good;
    itself.steps[1].after = {1};
    CHECK_FALSE(decode_definition(encode_definition(itself)));
    auto beyond = good;
    beyond.steps[1].after = {7};
    CHECK_FALSE(decode_definition(encode_definition(beyond)));
    auto empty = good;
    empty.steps[1].count = 0;
    CHECK_FALSE(decode_definition(encode_definition(empty)));
    auto large = good;
    large.steps[1].count = 4'000'000'000;
    CHECK_FALSE(decode_definition(encode_definition(large)));
    auto sum = good;
    sum.steps[0].count = sum.steps[1].count = 6000;
    CHECK_FALSE(decode_definition(encode_definition(sum)));
}

TEST_CASE("an ended job row with a non-final state is rejected")
{
    CHECK(decode_ended_job(encode_ended_job({job_state::failed, 7})));
    CHECK_FALSE(decode_ended_job(encode_ended_job({job_state::queued, 7})));
    CHECK_FALSE(decode_ended_job(encode_ended_job({job_state::running, 7})));
}

TEST_CASE("adding resource amounts does not overflow")
{
    const resources most{0xFFFF'FFFF, 0xFFFF'FFFF, 0xFFFF'FFFF};
    const resources room{8000, 1000, 1};
    CHECK_FALSE(resources{1000, 10, 1}.can_fit(most, room));
    resources sum{1000, 10, 1};
    sum.add(most);
    CHECK(sum.cpu == 0xFFFF'FFFF);
    CHECK_FALSE(sum.can_fit({1, 0, 0}, room));
}
