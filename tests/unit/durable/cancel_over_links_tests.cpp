// Cancels between two entries, an agent and its backend server over RPC links.
#include "glenhollow/core/run_after.hpp"
#include "glenhollow/durable/durable_service.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "glenhollow/runs/run_agent_service.hpp"
#include "unit/support/fake_row_store.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr duration step_time = milliseconds{2};

/// An entry with its RPC listener.
struct linked_entry
{
    linked_entry(rpc_loop& loop, const std::string& name)
        : links(std::move(
              rpc_listener::create(loop.io(), "127.0.0.1", 0).value()))
    {
        settings.entry = name;
        settings.incarnation = std::hash<std::string>{}(name);
        settings.where = {"127.0.0.1", links->port()};
    }

    void make(rpc_loop& loop, row_store& store)
    {
        service = std::make_unique<durable_service>(
            loop.io(), process_clock(), store,
            [](std::string_view) -> std::unique_ptr<catalog_reader>
            { return nullptr; },
            settings);
    }

    durable_service_settings settings;
    std::unique_ptr<rpc_listener> links;
    std::unique_ptr<durable_service> service;
};

/// Runs until a condition holds; a deadlock ends with the timeout of the test.
struct linked_entries_fixture
{
    linked_entries_fixture()
        : agent_links(std::move(
              rpc_listener::create(loop.io(), "127.0.0.1", 0).value())),
          announcer(
              store, store_loop.delay(),
              {"agent", member_role::agent, {"127.0.0.1", agent_links->port()}})
    {
        holder.make(loop, store);
        other.make(loop, store);
        server_account account;
        account.service = "service-1";
        account.instance = "life-1";
        account.capacity = {4000, 1000, 0};
        account.phase = server_phase::ready;
        manager.registered(account);
    }

    run_manager::delay delay()
    {
        return [this](duration wait, std::function<void()> work)
        { run_after(loop.io(), wait, std::move(work)); };
    }

    void submit(linked_entry& at,
                durability durability_class = durability::in_memory)
    {
        job_definition job;
        job.id = 7;
        job.queue = "queue-1";
        job.service = "service-1";
        job.durability_class = durability_class;
        job.steps.resize(1);
        job.steps[0].needs = {1000, 10, 0};
        job.steps[0].estimate_ms = 60'000;
        job.objective_ms = wall_nanoseconds() / 1'000'000 + 60'000;
        job.accepted_ms = job.objective_ms - 60'000;
        job.expiry_ms = job.accepted_ms + 120'000;
        reply.reset();
        submitted = true;
        at.service->submit(job, [this](const job_reply& got)
                           { submitted_ended(got); });
    }

    /// Submissions are refused, and repeated, until the agent is known.
    void submitted_ended(const job_reply& got)
    {
        submitted = got.outcome != job_outcome::refused;
        if (submitted)
            reply = got;
    }

    void step()
    {
        const auto now = process_clock().now();
        runner_loop.advance(now - std::exchange(last_step, now));
        // Feeds of the store are long polls.
        store_loop.advance(milliseconds{100});
        manager.tick();
        agent->tick();
        if (done_condition())
            return loop.stop();
        run_after(loop.io(), step_time, [this] { step(); });
    }

    void run_until(std::function<bool()> until)
    {
        done_condition = std::move(until);
        loop.run(
            [this]
            {
                agent = std::make_unique<run_agent_service>(
                    loop.io(), process_clock(), manager, 1,
                    report_pacing_settings{});
                agent_links->serve(agent->bootstrap());
                announcer.begin();
                manager.begin();
                for (auto* one : {&holder, &other})
                {
                    one->links->serve(one->service->bootstrap());
                    one->service->begin();
                }
                last_step = process_clock().now();
                step();
            },
            [this]
            {
                for (auto* one : {&holder, &other})
                {
                    one->service->close();
                    one->links->close();
                }
                agent.reset();
                agent_links->close();
            });
    }

    rpc_loop loop;
    manual_loop store_loop;
    manual_loop runner_loop;
    fake_row_store store{store_loop};
    fake_backend_server runner{runner_loop};
    run_manager manager{process_clock(), runner, delay(), 1,
                        run_manager_settings{}};
    std::unique_ptr<rpc_listener> agent_links;
    std::unique_ptr<run_agent_service> agent;
    member_announcer announcer;
    linked_entry holder{loop, "holder"};
    linked_entry other{loop, "other"};
    std::function<bool()> done_condition;
    std::optional<job_reply> reply; ///< Reply to the caller of the job.
    bool submitted = false;         ///< Whether the submission is not refused.
    instant last_step{};
};

} // namespace

TEST_CASE("a job of one entry is cancelled at another entry and not run again")
{
    linked_entries_fixture world;
    std::optional<job_reply> cancelled;
    bool asked = false;
    bool again = false;
    world.run_until(
        [&]
        {
            if (!world.submitted)
                world.submit(world.holder);
            if (!world.runner.running.empty() && !std::exchange(asked, true))
                world.other.service->cancel(7, [&](const job_reply& got)
                                            { cancelled = got; });
            if (!cancelled || !world.reply || !world.runner.running.empty())
                return false;
            if (!std::exchange(again, true))
            {
                CHECK(world.reply->state == job_state::cancelled);
                world.submit(
                    world.other); // Resubmitted by a caller without a reply.
                return false;
            }
            return true;
        });
    CHECK(cancelled->outcome == job_outcome::done);
    CHECK(cancelled->state == job_state::cancelled);
    CHECK(world.reply->outcome == job_outcome::done);
    CHECK(world.reply->state == job_state::cancelled);
    CHECK(world.runner.started[7] == 1);
}

// Guards against a job that runs although its cancel was answered: a suspended
// entry reads the submission only after another entry has handled the cancel.
TEST_CASE("a journalled job that arrives after its cancel is not run")
{
    linked_entries_fixture world;
    job_reply cancelled;
    std::optional<job_reply> state;
    bool cancelling = false;
    bool queried = false;
    world.run_until(
        [&]
        {
            if (cancelled.outcome != job_outcome::missing)
            {
                if (!std::exchange(cancelling, true))
                    world.other.service->cancel(7,
                                                [&](const job_reply& got)
                                                {
                                                    cancelled = got;
                                                    cancelling = false;
                                                });
                return false;
            }
            if (!world.submitted)
                world.submit(world.holder, durability::journalled);
            if (!world.reply)
                return false;
            if (!std::exchange(queried, true))
                world.holder.service->state(7, [&](const job_reply& got)
                                            { state = got; });
            return state.has_value();
        });
    CHECK(world.reply->outcome == job_outcome::done);
    CHECK(world.reply->state == job_state::cancelled);
    CHECK(state->outcome == job_outcome::done);
    CHECK(state->state == job_state::cancelled);
    CHECK(world.runner.started[7] == 0);
}
