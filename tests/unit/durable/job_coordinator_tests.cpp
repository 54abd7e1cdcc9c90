#include "glenhollow/durable/job_coordinator.hpp"
#include "unit/support/fake_row_store.hpp"

#include <catch2/catch.hpp>

#include <deque>

using namespace glenhollow;

namespace
{

constexpr std::int64_t noon_ms = 1'000'000;

/// One board, its dispatcher and agents that do as they are told.
struct board_world : order_sender, task_source
{
    board_world() : placing(loop.clock, *this, *this, {})
    {
        for (const auto* name : {"agent-1", "agent-2"})
            attach(name);
    }

    void attach(const std::string& name)
    {
        placing.attached(name, report(name, runner_phase::ready));
    }

    static runner_report report(const std::string& name, runner_phase phase)
    {
        runner_report report;
        report.account.service = "service-1";
        report.account.instance = name + "-life";
        report.account.capacity = {8000, 1000, 0};
        report.account.phase = phase;
        return report;
    }

    void drain_all()
    {
        for (const auto* name : {"agent-1", "agent-2"})
            placing.reported(name, report(name, runner_phase::draining));
    }

    job_coordinator::surroundings around()
    {
        return {loop.clock,
                [this]
                {
                    return noon_ms + std::chrono::duration_cast<milliseconds>(
                                         loop.clock.now() - seconds{1000})
                                         .count();
                },
                store, placing, loop.delay()};
    }

    /// @param begin_by Share of a caller's patience; see
    /// job_coordinator_settings.
    void in_memory(double begin_by = 1.0)
    {
        auto limits = settings();
        limits.begin_by = begin_by;
        board = std::make_unique<job_coordinator>(around(), limits);
        adopt(memory_part);
    }

    void owner(std::uint32_t epoch, std::set<std::string> awaited = {},
               loaded_part loaded = {})
    {
        chain_head head;
        head.owner = "entry-1";
        head.incarnation = epoch;
        head.epoch = epoch;
        head.version = store.put(head_key(0), encode_head(head));
        board = std::make_unique<job_coordinator>(
            around(), 0, head, std::move(loaded), awaited, settings(),
            [this] { ++lost; });
        adopt(0);
    }

    void adopt(part_number part)
    {
        placing.adopted("agent-1", part);
        placing.adopted("agent-2", part);
    }

    static job_coordinator_settings settings()
    {
        job_coordinator_settings out;
        out.parts = 1;
        return out;
    }

    static job_definition job(job_id id, std::uint32_t tasks = 2)
    {
        job_definition out;
        out.id = id;
        out.queue = "queue-1";
        out.service = "service-1";
        out.steps.resize(1);
        out.steps[0].count = tasks;
        out.steps[0].needs = {1000, 10, 0};
        out.steps[0].estimate_ms = 100;
        out.max_attempts = 2;
        out.accepted_ms = noon_ms;
        out.objective_ms = noon_ms + 1000;
        return out;
    }

    static job_definition memory_job(job_id id, std::uint32_t tasks = 2)
    {
        auto out = job(id, tasks);
        out.lasts = durability::in_memory;
        out.give_up_ms = noon_ms + 3000;
        return out;
    }

    void submit(const job_definition& wanted)
    {
        board->submit(wanted, [this, id = wanted.id](const job_reply& reply)
                      { replies[id] = reply; });
        settle();
    }

    void settle()
    {
        for (int i = 0; i < 6; ++i)
        {
            loop.advance(milliseconds{10});
            board->tick();
            placing.dispatch();
        }
    }

    void end(const std::string& agent, const run_ref& run, run_outcome how)
    {
        board->ended(agent, {run, how, ++numbers, 1000, true});
        settle();
    }

    void end_all(run_outcome how)
    {
        for (const auto& [agent, run] : std::exchange(started, {}))
            end(agent, run, how);
    }

    void send(const std::string& agent, order_batch batch) override
    {
        for (const auto& start : batch.starts)
            started.emplace_back(agent, start.run);
        for (const auto& run : batch.stops)
            stopped.emplace_back(agent, run);
        for (const auto& one : batch.confirmed)
            confirmed.push_back(one);
    }

    std::optional<run_order> assign(const ready_task& task,
                                    const std::string& agent) override
    {
        return board->assign(task, agent);
    }

    /// @return What another entry would load now.
    loaded_part load()
    {
        std::optional<loaded_part> found;
        load_part(store, 0,
                  [&](std::optional<loaded_part> got)
                  { found = std::move(got); });
        loop.advance(milliseconds{50});
        return std::move(found.value());
    }

    manual_loop loop;
    fake_row_store store{loop};
    dispatcher placing;
    std::unique_ptr<job_coordinator> board;
    std::map<job_id, job_reply> replies;
    std::vector<std::pair<std::string, run_ref>> started;
    std::vector<std::pair<std::string, run_ref>> stopped;
    std::vector<run_end> confirmed;
    std::uint64_t numbers = 0;
    int lost = 0;
};

} // namespace

TEST_CASE("a journalled job is accepted once its row is there, then started")
{
    board_world world;
    world.owner(1);
    world.board->submit(board_world::job(1), [&](const job_reply& reply)
                        { world.replies[1] = reply; });
    CHECK(world.replies.empty());
    CHECK(world.started.empty());
    world.settle();
    CHECK(world.replies.at(1).outcome == job_outcome::done);
    CHECK(world.store.find({"jobs", part_name(0), to_text(1)}));
    CHECK(world.started.size() == 2);
}

TEST_CASE("an end is confirmed only after it is in the journal")
{
    board_world world;
    world.owner(1);
    world.submit(board_world::job(1));
    world.store.down = true;
    const auto [agent, run] = world.started.front();
    world.end(agent, run, run_outcome::done);
    CHECK(world.confirmed.empty());
    world.store.down = false;
    world.loop.advance(milliseconds{500});
    world.placing.dispatch();
    CHECK(world.confirmed.size() == 1);
}

TEST_CASE("a job is shown as succeeded only once that is in the journal")
{
    board_world world;
    world.owner(1);
    world.submit(board_world::job(1));
    world.store.down = true;
    world.end_all(run_outcome::done);
    std::optional<job_reply> shown;
    world.board->state(1, [&](const job_reply& reply) { shown = reply; });
    world.settle();
    CHECK_FALSE(shown);
    world.store.down = false;
    world.loop.advance(seconds{1});
    REQUIRE(shown);
    CHECK(shown->state == job_state::succeeded);
    CHECK_FALSE(world.store.find({"jobs", part_name(0), to_text(1)}));
}

TEST_CASE("a job sent again remains one job, also after its end")
{
    board_world world;
    world.owner(1);
    world.submit(board_world::job(1));
    world.submit(board_world::job(1));
    CHECK(world.started.size() == 2);
    world.end_all(run_outcome::done);
    world.submit(board_world::job(1));
    CHECK(world.started.empty());
    CHECK(world.replies.at(1).outcome == job_outcome::done);
}

TEST_CASE("without its store an owner refuses new jobs and starts none")
{
    board_world world;
    world.owner(1);
    world.store.down = true;
    world.submit(board_world::job(1));
    CHECK(world.replies.at(1).outcome == job_outcome::refused);
    world.store.down = false;
    world.settle();
    CHECK(world.started.empty());
    CHECK_FALSE(world.store.find({"jobs", part_name(0), to_text(1)}));
}

TEST_CASE("a successor starts nothing that a silent agent may still run")
{
    board_world world;
    world.owner(1);
    world.submit(board_world::job(1));
    const auto first = world.started;
    auto loaded = world.load();
    REQUIRE(loaded.jobs.size() == 1);
    world.started.clear();
    world.owner(2, {"agent-1", "agent-2"}, std::move(loaded));
    world.settle();
    CHECK(world.started.empty());
    // Agent 1 tells of the runs that it has; agent 2 stays silent.
    lease_account account;
    for (const auto& [agent, run] : first)
    {
        if (agent == "agent-1")
            account.runs.push_back({run, run_phase::running, true});
    }
    world.board->account_of("agent-1", account);
    world.settle();
    CHECK(world.started.empty());
    world.loop.advance(job_coordinator_settings{}.agent_silence);
    world.settle();
    CHECK(world.started.size() == first.size() - account.runs.size());
    for (const auto& [agent, run] : world.started)
        CHECK(run.run > first.front().second.run);
}

TEST_CASE("attempts that failed count across owners, each run once")
{
    board_world world;
    world.owner(1);
    world.submit(board_world::job(1, 1));
    const auto [agent, run] = world.started.front();
    world.end(agent, run, run_outcome::failed);
    auto loaded = world.load();
    world.owner(2, {}, std::move(loaded));
    world.settle();
    // The same end, told again: it was counted already.
    world.end(agent, run, run_outcome::failed);
    std::optional<job_reply> shown;
    world.board->state(1, [&](const job_reply& reply) { shown = reply; });
    world.settle();
    REQUIRE(shown);
    CHECK_FALSE(is_final(shown->state));
    const auto last = world.started.back();
    world.end(last.first, last.second, run_outcome::failed);
    world.board->state(1, [&](const job_reply& reply) { shown = reply; });
    CHECK(shown->state == job_state::failed);
}

TEST_CASE("a cancelled job is journalled so, and what runs is stopped")
{
    board_world world;
    world.owner(1);
    world.submit(board_world::job(1));
    std::optional<job_reply> told;
    world.board->cancel(1, [&](const job_reply& reply) { told = reply; });
    CHECK_FALSE(told);
    world.settle();
    REQUIRE(told);
    CHECK(told->state == job_state::cancelled);
    CHECK(world.stopped.size() == 2);
    world.board->cancel(9, [&](const job_reply& reply) { told = reply; });
    CHECK(told->outcome == job_outcome::missing);
}

TEST_CASE("a later step waits for all tasks of the step before it")
{
    board_world world;
    world.owner(1);
    auto two = board_world::job(1, 2);
    two.steps.push_back(two.steps[0]);
    two.steps[1].after = {0};
    world.submit(two);
    REQUIRE(world.started.size() == 2);
    const auto first = std::exchange(world.started, {});
    world.end(first[0].first, first[0].second, run_outcome::done);
    CHECK(world.started.empty());
    world.end(first[1].first, first[1].second, run_outcome::done);
    CHECK(world.started.size() == 2);
}

TEST_CASE("a job in memory needs no store and is answered with its end")
{
    board_world world;
    world.in_memory();
    world.submit(board_world::memory_job(1));
    CHECK(world.replies.empty());
    CHECK(world.store.transactions.empty());
    world.end_all(run_outcome::done);
    CHECK(world.replies.at(1).state == job_state::succeeded);
    CHECK(world.confirmed.size() == 2);
}

TEST_CASE("a job in memory that is given up is not called failed")
{
    board_world world;
    world.in_memory();
    world.submit(board_world::memory_job(1));
    world.loop.advance(seconds{4});
    world.settle();
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
    CHECK(world.stopped.size() == 2);
}

TEST_CASE("a job of which nothing was handed out was surely not run")
{
    board_world world;
    world.in_memory();
    // It fills all runners, so that the next one waits.
    world.submit(board_world::memory_job(1, 16));
    world.submit(board_world::memory_job(2));
    REQUIRE(world.started.size() == 16);
    world.loop.advance(seconds{4});
    world.settle();
    CHECK(world.replies.at(2).outcome == job_outcome::refused);
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("a job that can't end in time for its caller is refused, not begun")
{
    board_world world;
    world.in_memory();
    auto fills = board_world::memory_job(1, 16); // All runners.
    fills.give_up_ms += 3000;
    world.submit(fills);
    auto waits = board_world::memory_job(2);
    waits.steps[0].estimate_ms = 1000;
    world.submit(waits);
    world.loop.advance(milliseconds{1800});
    world.settle();
    CHECK(world.replies.empty());
    // 2.1 s of its 3 s have passed: its second does not fit any more.
    world.loop.advance(milliseconds{150});
    world.settle();
    CHECK(world.replies.at(2).outcome == job_outcome::refused);
    CHECK(world.replies.at(2).retry_after > duration{});
    CHECK_FALSE(world.replies.contains(1)); // It has begun and goes on.
    world.end_all(run_outcome::done);
    CHECK(world.replies.at(1).state == job_state::succeeded);
    CHECK(world.started.empty());
}

TEST_CASE("a job that will be late and has not begun by half time is refused")
{
    // Found on a saturated deployment: callers heard after all their time that
    // their jobs had not run.
    board_world world;
    world.in_memory(0.5);
    auto fills = board_world::memory_job(1, 16); // All runners.
    fills.give_up_ms += 3000;
    world.submit(fills);
    world.submit(board_world::memory_job(2)); // Late after 0.9 s.
    auto patient = board_world::memory_job(3);
    patient.objective_ms += 1500; // In time until 2.4 s.
    world.submit(patient);
    world.loop.advance(milliseconds{1200});
    world.settle();
    CHECK(world.replies.empty());
    world.loop.advance(milliseconds{400});
    world.settle();
    CHECK(world.replies.at(2).outcome == job_outcome::refused);
    CHECK(world.replies.at(2).retry_after > duration{});
    CHECK_FALSE(world.replies.contains(1)); // It has begun and goes on.
    CHECK_FALSE(world.replies.contains(3)); // It may still be in time.
}

TEST_CASE("orders that all came back have not run, and their caller hears so")
{
    // Found on saturated deployments: such callers were held to the end of
    // their time, and then told that their jobs may have run.
    board_world world;
    world.in_memory(0.5);
    world.submit(board_world::memory_job(1));
    REQUIRE(world.started.size() == 2);
    world.drain_all();
    world.end_all(run_outcome::not_begun);
    REQUIRE(world.started.empty());
    world.loop.advance(milliseconds{1300});
    CHECK(world.replies.empty());
    world.loop.advance(milliseconds{100}); // No tick is needed.
    REQUIRE(world.replies.contains(1));
    CHECK(world.replies.at(1).outcome == job_outcome::refused);
}

TEST_CASE("orders that come back after the latest begin are answered at once")
{
    board_world world;
    world.in_memory(0.5);
    world.submit(board_world::memory_job(1));
    REQUIRE(world.started.size() == 2);
    world.drain_all();
    world.loop.advance(milliseconds{2000});
    CHECK(world.replies.empty()); // What was ordered may run.
    const auto orders = std::exchange(world.started, {});
    world.end(orders[0].first, orders[0].second, run_outcome::not_begun);
    CHECK(world.replies.empty());
    world.end(orders[1].first, orders[1].second, run_outcome::not_begun);
    REQUIRE(world.replies.contains(1));
    CHECK(world.replies.at(1).outcome == job_outcome::refused);
}

TEST_CASE("a job with one task that has run is never said not to have run")
{
    board_world world;
    world.in_memory(0.5);
    world.submit(board_world::memory_job(1));
    REQUIRE(world.started.size() == 2);
    world.drain_all();
    const auto orders = std::exchange(world.started, {});
    world.end(orders[0].first, orders[0].second, run_outcome::lapsed);
    world.end(orders[1].first, orders[1].second, run_outcome::not_begun);
    world.loop.advance(milliseconds{2500});
    CHECK(world.replies.empty());
    world.loop.advance(milliseconds{1000});
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("an order that was lost with its agent may have run")
{
    board_world world;
    world.in_memory(0.5);
    world.submit(board_world::memory_job(1));
    REQUIRE(world.started.size() == 2);
    world.drain_all();
    world.board->agent_gone("agent-1");
    world.board->agent_gone("agent-2");
    world.loop.advance(milliseconds{2500});
    world.settle();
    CHECK(world.replies.empty());
    world.loop.advance(milliseconds{1000});
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("a caller that leaves takes its job in memory along")
{
    board_world world;
    world.in_memory();
    world.submit(board_world::memory_job(1));
    world.board->withdraw(1);
    world.settle();
    CHECK(world.stopped.size() == 2);
    CHECK(world.board->open_jobs() == 0);
    // Found on a day of resets: the caller may hear an answer all the same,
    // and a job in memory has no other ends than succeeded and failed.
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("a job sent again is given up at its own time, not the first one's")
{
    board_world world;
    world.in_memory();
    world.submit(board_world::memory_job(1));
    world.board->withdraw(1);
    world.loop.advance(seconds{2});
    world.replies.clear();
    auto again = board_world::memory_job(1);
    again.accepted_ms += 2000;
    again.objective_ms += 2000;
    again.give_up_ms += 2000;
    world.submit(again);
    // Past the first one's time, not past its own.
    world.loop.advance(milliseconds{1500});
    world.settle();
    CHECK(world.replies.empty());
    CHECK(world.board->open_jobs() == 1);
    world.loop.advance(seconds{2});
    world.settle();
    CHECK(world.replies.at(1).outcome == job_outcome::unknown);
}

TEST_CASE("runs in memory that nobody claimed are left to their own entry")
{
    board_world world;
    world.in_memory();
    lease_account account;
    const run_ref other{{77, 0, 0, 0}, first_memory_run + 1};
    account.runs.push_back({other, run_phase::running, false});
    account.ends.push_back({other, run_outcome::done, 3, 0, false});
    world.board->account_of("agent-1", account);
    world.settle();
    CHECK(world.stopped.empty());
    CHECK(world.confirmed.empty());
}

TEST_CASE("claimed ends are confirmed again after a session was lost")
{
    // Found on a bench day: the runner's numbers stood still for good.
    board_world world;
    world.in_memory();
    lease_account account;
    const run_ref old{{77, 0, 0, 0}, first_memory_run + 1};
    account.ends.push_back({old, run_outcome::done, 3, 0, true});
    world.board->account_of("agent-1", account);
    world.settle();
    CHECK(world.confirmed.size() == 1);
}

TEST_CASE("tasks of a silent agent are placed again, with higher numbers")
{
    board_world world;
    world.in_memory();
    world.submit(board_world::memory_job(1));
    const auto first = std::exchange(world.started, {});
    const auto gone = first.front().first;
    world.placing.detached(gone);
    world.board->agent_gone(gone);
    world.settle();
    REQUIRE_FALSE(world.started.empty());
    for (const auto& [agent, run] : world.started)
    {
        CHECK(agent != gone);
        CHECK(run.run > first.front().second.run);
    }
}

TEST_CASE("a task that failed goes elsewhere if it can")
{
    board_world world;
    world.in_memory();
    world.submit(board_world::memory_job(1, 1));
    const auto [agent, run] = world.started.back();
    world.end(agent, run, run_outcome::failed);
    REQUIRE(world.started.size() == 2);
    CHECK(world.started.back().first != agent);
}

TEST_CASE("without a runner, or while it stops, a board takes no job")
{
    board_world world;
    world.in_memory();
    world.board->refuse_new();
    world.submit(board_world::memory_job(1));
    CHECK(world.replies.at(1).outcome == job_outcome::refused);
    world.in_memory();
    world.placing.detached("agent-1");
    world.placing.detached("agent-2");
    world.submit(board_world::memory_job(2));
    CHECK(world.replies.at(2).outcome == job_outcome::refused);
    CHECK(world.replies.at(2).retry_after > duration{});
}
