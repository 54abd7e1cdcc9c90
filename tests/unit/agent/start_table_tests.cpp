#include "glenhollow/agent/start_table.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;
using action = start_decision::action;

namespace
{

constexpr std::uint64_t entry_a = 11;
constexpr std::uint64_t entry_b = 22;
const task_key first_task{1, 0};

start_record ran(const std::string& body)
{
    start_record record;
    record.end = {verdict::ran, reason::none};
    record.body = body;
    return record;
}

/// A start table with a clock that the test advances.
struct fixture
{
    manual_clock clock;
    start_table table;

    explicit fixture(const start_table_settings& settings = {})
        : table(settings)
    {
    }

    start_decision begin(std::uint64_t incarnation, const task_key& key,
                         duration within = seconds{1})
    {
        return table.begin(incarnation, key, clock.now() + within, clock.now());
    }

    reason run(std::uint64_t incarnation, const task_key& key,
               duration within = seconds{1})
    {
        return table.check_before_run(incarnation, key, clock.now() + within,
                                      clock.now());
    }
};

} // namespace

TEST_CASE("a start is accepted once; duplicates join it or get its outcome")
{
    fixture f;
    REQUIRE(f.begin(entry_a, first_task).chosen_action == action::accept);
    REQUIRE(f.begin(entry_a, first_task).chosen_action == action::join);
    REQUIRE(f.run(entry_a, first_task) == reason::none);
    REQUIRE(f.begin(entry_a, first_task).chosen_action == action::join);
    f.table.finish(entry_a, first_task, ran("7"));
    REQUIRE(f.begin(entry_a, first_task).chosen_action == action::replay);
    REQUIRE(f.table.find(entry_a, first_task)->body == "7");
}

TEST_CASE("equal keys of two entry incarnations are separate tasks")
{
    fixture f;
    REQUIRE(f.begin(entry_a, first_task).chosen_action == action::accept);
    REQUIRE(f.begin(entry_b, first_task).chosen_action == action::accept);
}

TEST_CASE("a duplicate of a refused start does not run later")
{
    fixture f;
    f.table.set_draining(true);
    REQUIRE(f.begin(entry_a, first_task).why == reason::draining);
    f.table.set_draining(false);
    const auto copy = f.begin(entry_a, first_task);
    REQUIRE(copy.chosen_action == action::replay);
    REQUIRE(f.table.find(entry_a, first_task)->end.what == verdict::not_run);
}

TEST_CASE(
    "a start is refused after its latest start time, on arrival and before "
    "the run")
{
    fixture f;
    const auto late = f.table.begin(entry_a, first_task, f.clock.now(),
                                    f.clock.now() + milliseconds{1});
    REQUIRE(late.why == reason::start_expired);
    const task_key second{2, 0};
    const instant begin_by = f.clock.now() + seconds{1};
    REQUIRE(
        f.table.begin(entry_a, second, begin_by, f.clock.now()).chosen_action ==
        action::accept);
    // The process is paused between acceptance and the call.
    f.clock.advance(seconds{2});
    REQUIRE(f.table.check_before_run(entry_a, second, begin_by,
                                     f.clock.now()) == reason::start_expired);
}

TEST_CASE("a fenced entry incarnation starts no task and its records are kept")
{
    fixture f;
    REQUIRE(f.begin(entry_a, first_task).chosen_action == action::accept);
    const task_key done{2, 0};
    f.begin(entry_a, done);
    f.run(entry_a, done);
    f.table.finish(entry_a, done, ran("1"));
    f.table.fence(entry_a, f.clock.now());
    REQUIRE(f.begin(entry_a, {3, 0}).why == reason::fenced);
    REQUIRE(f.run(entry_a, first_task) == reason::fenced);
    REQUIRE(f.begin(entry_b, {3, 0}).chosen_action == action::accept);
    REQUIRE(f.table.keys_of(entry_a).size() == 2);
    REQUIRE(f.begin(entry_a, done).chosen_action == action::replay);
}

TEST_CASE("a full table refuses new starts and evicts no record")
{
    start_table_settings small;
    small.max_bytes = 1000;
    fixture f(small);
    std::uint32_t accepted = 0;
    while (f.begin(entry_a, {1, accepted}).chosen_action == action::accept)
        ++accepted;
    REQUIRE(accepted > 0);
    REQUIRE(f.begin(entry_a, {1, accepted}).why == reason::memory_full);
    REQUIRE(f.begin(entry_a, {1, 0}).chosen_action == action::join);
    // Acknowledging a result frees its memory.
    f.run(entry_a, {1, 0});
    f.table.finish(entry_a, {1, 0}, ran(""));
    f.table.acknowledge(entry_a, {1, 0});
    REQUIRE(f.begin(entry_a, {1, accepted}).chosen_action == action::accept);
}

TEST_CASE("an acknowledgement erases records of ended tasks only")
{
    fixture f;
    f.begin(entry_a, first_task);
    f.table.acknowledge(entry_a, first_task);
    REQUIRE(f.begin(entry_a, first_task).chosen_action == action::join);
    REQUIRE(f.table.bytes() > 0);
    f.run(entry_a, first_task);
    f.table.finish(entry_a, first_task, ran("abc"));
    f.table.acknowledge(entry_a, first_task);
    REQUIRE(f.table.size() == 0);
    REQUIRE(f.table.bytes() == 0);
}

TEST_CASE("records of ended tasks expire, those of running tasks do not")
{
    fixture f;
    f.begin(entry_a, first_task);
    f.run(entry_a, first_task);
    f.begin(entry_a, {2, 0});
    f.run(entry_a, {2, 0});
    f.table.finish(entry_a, {2, 0}, ran("x"));
    f.clock.advance(seconds{301});
    f.table.expire(f.clock.now());
    REQUIRE(f.table.find(entry_a, first_task));
    REQUIRE_FALSE(f.table.find(entry_a, {2, 0}));
}
