#include "glenhollow/agent/task_executor.hpp"

#include "fake_runner.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr std::uint64_t entry_a = 11;

/// An executor with a fake backend server.
struct fixture
{
    manual_clock clock;
    fake_runner runner;
    task_executor executor;
    std::map<std::string, std::vector<start_record>> records;

    explicit fixture(std::size_t slots = 2, std::size_t max_queued = 2)
        : executor(clock, runner, settings(slots, max_queued))
    {
    }

    static task_executor_settings settings(std::size_t slots,
                                           std::size_t max_queued)
    {
        task_executor_settings limits;
        limits.slots = slots;
        limits.max_queued = max_queued;
        return limits;
    }

    void start(std::uint32_t number, std::uint64_t incarnation = entry_a,
               duration within = seconds{5})
    {
        task_start start;
        start.incarnation = incarnation;
        start.key = {1, number};
        start.name = name(number);
        start.begin_by = clock.now() + within;
        executor.start(std::move(start), [this, number](const auto& record)
                       { records[name(number)].push_back(record); });
    }

    static std::string name(std::uint32_t number)
    {
        return "s/" + std::to_string(number);
    }
};

} // namespace

TEST_CASE(
    "tasks wait while all slots are busy and are refused if the queue is full")
{
    fixture f;
    for (std::uint32_t i = 0; i < 5; ++i)
        f.start(i);
    REQUIRE(f.runner.running.size() == 2);
    REQUIRE(f.executor.load().queued == 2);
    REQUIRE(f.records["s/4"].front().end.why == reason::agent_queue_full);
    REQUIRE(f.records["s/4"].front().end.what == verdict::not_run);
    f.runner.finish_call("s/0", verdict::ran);
    REQUIRE(f.records["s/0"].front().end.what == verdict::ran);
    REQUIRE(f.runner.running.contains("s/2"));
}

TEST_CASE("duplicate starts run once and all get the outcome")
{
    fixture f;
    f.start(0);
    f.start(0);
    f.runner.finish_call("s/0", verdict::ran, reason::none, "42");
    f.start(0);
    REQUIRE(f.runner.call_counts["s/0"] == 1);
    REQUIRE(f.records["s/0"].size() == 3);
    REQUIRE(f.records["s/0"].back().body == "42");
}

TEST_CASE("a drain refuses queued and new tasks and lets running ones finish")
{
    fixture f;
    for (std::uint32_t i = 0; i < 3; ++i)
        f.start(i);
    f.executor.drain(drain_cause::operator_request, true);
    REQUIRE(f.records["s/2"].front().end.why == reason::draining);
    f.start(3);
    REQUIRE(f.records["s/3"].front().end.why == reason::draining);
    f.runner.finish_call("s/0", verdict::ran);
    f.runner.finish_call("s/1", verdict::ran);
    REQUIRE(f.executor.idle());
    REQUIRE(f.runner.call_counts.size() == 2);
}

TEST_CASE("a drain lasts until every cause is cleared")
{
    fixture f;
    f.executor.drain(drain_cause::operator_request, true);
    f.executor.drain(drain_cause::vm_leaving, true);
    f.executor.drain(drain_cause::operator_request, false);
    REQUIRE(f.executor.load().draining);
    f.executor.drain(drain_cause::vm_leaving, false);
    REQUIRE_FALSE(f.executor.load().draining);
}

TEST_CASE("a queued task does not run after its latest start time")
{
    fixture f(1);
    f.start(0);
    f.start(1, entry_a, seconds{1});
    f.clock.advance(seconds{2});
    f.runner.finish_call("s/0", verdict::ran);
    REQUIRE(f.records["s/1"].front().end.why == reason::start_expired);
    REQUIRE_FALSE(f.runner.call_counts.contains("s/1"));
}

TEST_CASE("a fence refuses queued tasks of the fenced incarnation only")
{
    fixture f(1, 4);
    f.start(0);
    f.start(1);
    f.start(2, 22);
    f.executor.fence(entry_a);
    REQUIRE(f.records["s/1"].front().end.why == reason::fenced);
    f.runner.finish_call("s/0", verdict::ran);
    REQUIRE(f.runner.running.contains("s/2"));
}

TEST_CASE("a backend server that accepts no connections counts as unreachable "
          "until a probe succeeds")
{
    fixture f;
    f.runner.reachable = false;
    for (std::uint32_t i = 0; i < 2; ++i)
    {
        f.start(i);
        f.runner.finish_call(fixture::name(i), verdict::not_run,
                             reason::runner_unreachable);
    }
    REQUIRE(f.executor.load().unreachable);
    f.executor.tick();
    REQUIRE(f.executor.load().unreachable);
    f.runner.reachable = true;
    f.executor.tick();
    REQUIRE_FALSE(f.executor.load().unreachable);
    REQUIRE(f.runner.probes == 2);
}
