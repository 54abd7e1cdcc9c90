// An entry, a host at an agent's process and its backend server, over links.
#include "glenhollow/core/run_after.hpp"
#include "glenhollow/hosting/job_handover.hpp"
#include "glenhollow/hosting/job_host_server.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "glenhollow/runs/run_agent_service.hpp"
#include "unit/support/fake_row_store.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr duration step_time = milliseconds{2};
constexpr std::uint32_t small_entry = 1;

/// Hears agents and wants nothing of them.
struct idle_listener : agent_session_listener
{
    void agent_attached(const std::string&, const runner_report&) override {}
    void agent_detached(const std::string&) override {}
    void agent_ordered(const std::string&) override {}
    void agent_adopted(const std::string&, part_epoch,
                       const lease_account&) override
    {
    }
    void agent_reported(const std::string&, const runner_report&,
                        const std::vector<run_end>&,
                        const std::vector<run_ref>&) override
    {
    }
    std::vector<run_end> take_confirmed(const std::string&) override
    {
        return {};
    }
    std::vector<part_epoch> owned_parts() const override { return {}; }
    duration room_gap(const std::string&, std::size_t) const override
    {
        return seconds{1};
    }
    bool places_for_others(const std::string&) const override { return false; }
    bool places_at(const std::string&) const override { return false; }
    hall_evacuation evacuation_of(const std::string&) const override
    {
        return {};
    }
};

/// One entry that hands jobs over.
struct entry_side
{
    entry_side(rpc_loop& loop, const std::string& name,
               const job_handover_settings& settings)
    {
        agent_sessions_settings limits;
        limits.entry = name;
        limits.incarnation = std::hash<std::string>{}(name);
        agents = std::make_unique<agent_sessions>(loop.io(), process_clock(),
                                                  listener, limits);
        handover = std::make_unique<job_handover>(
            job_handover::surroundings{
                name, process_clock(),
                [] { return wall_nanoseconds() / 1'000'000; }, directory,
                *agents,
                [&loop](std::function<void()> work)
                { run_after(loop.io(), duration{0}, std::move(work)); },
                [](const std::string&, const std::string& label)
                { return label.empty() || label == "known"; }},
            settings);
    }

    void tick()
    {
        if (frozen)
            return;
        agents->tick();
        handover->tick({1, small_entry});
    }

    void close()
    {
        handover->close();
        agents->close();
    }

    void add(const std::string& agent, const host_port& where)
    {
        directory.set(agent, where);
        agents->add(agent, where);
    }

    idle_listener listener;
    agent_directory directory;
    std::unique_ptr<agent_sessions> agents;
    std::unique_ptr<job_handover> handover;
    bool frozen = false;
};

/// Plays until a condition holds; a deadlock is left to the test's timeout.
struct hosting_play
{
    hosting_play()
        : links(std::move(
              rpc_listener::create(loop.io(), "127.0.0.1", 0).value()))
    {
        runner_account account;
        account.service = "service-1";
        account.instance = "life-1";
        account.capacity = {4000, 1000, 0};
        account.phase = runner_phase::ready;
        manager.registered(account);
    }

    run_manager::delay delay()
    {
        return [this](duration wait, std::function<void()> work)
        { run_after(loop.io(), wait, std::move(work)); };
    }

    static job_definition job(job_id id)
    {
        job_definition out;
        out.id = id;
        out.queue = "queue-1";
        out.service = "service-1";
        out.lasts = durability::in_memory;
        out.steps.resize(1);
        out.steps[0].needs = {1000, 10, 0};
        out.steps[0].estimate_ms = 60'000;
        out.accepted_ms = wall_nanoseconds() / 1'000'000;
        out.objective_ms = out.accepted_ms + 60'000;
        out.give_up_ms = out.accepted_ms + 120'000;
        return out;
    }

    bool submit(entry_side& at, const job_definition& what)
    {
        return at.handover->submit(
            what, [this](const job_reply& got) { reply = got; },
            [this](const job_definition&, job_reply_handler) { ++here; });
    }

    wire::JobHost::Client open_host(const std::string& by)
    {
        if (!host)
        {
            job_host_settings limits;
            limits.name = "host";
            limits.incarnation = 5;
            host = std::make_unique<job_host>(loop.io(), process_clock(), store,
                                              limits);
            server = std::make_unique<job_host_server>(
                process_clock(), *host, job_host_server_settings{});
        }
        return server->open(by);
    }

    void step()
    {
        const auto now = process_clock().now();
        runner_loop.advance(now - std::exchange(stepped, now));
        manager.tick();
        agent->tick();
        if (host)
        {
            host->tick();
            server->tick();
        }
        entry.tick();
        other.tick();
        if (at_each_step())
            return loop.stop();
        run_after(loop.io(), step_time, [this] { step(); });
    }

    void play(std::function<bool()> until)
    {
        at_each_step = std::move(until);
        loop.run(
            [this]
            {
                agent = std::make_unique<run_agent_service>(
                    loop.io(), process_clock(), manager, 1,
                    report_pacing_settings{});
                agent->host_jobs_by([this](const std::string& by)
                                    { return open_host(by); });
                links->serve(agent->bootstrap());
                manager.begin();
                for (auto* one : {&entry, &other})
                    one->add("agent", {"127.0.0.1", links->port()});
                stepped = process_clock().now();
                step();
            },
            [this]
            {
                entry.close();
                other.close();
                if (host)
                    host->close();
                server.reset();
                agent.reset();
                links->close();
            });
    }

    rpc_loop loop;
    manual_loop store_loop;
    manual_loop runner_loop;
    fake_row_store store{store_loop};
    fake_runner_port runner{runner_loop};
    run_manager manager{process_clock(), runner, delay(), 1,
                        run_manager_settings{}};
    std::unique_ptr<rpc_listener> links;
    std::unique_ptr<job_host> host;
    std::unique_ptr<job_host_server> server;
    std::unique_ptr<run_agent_service> agent;
    entry_side entry{loop, "entry", {}};
    entry_side other{loop, "other", {}};
    std::function<bool()> at_each_step;
    std::optional<job_reply> reply; ///< To the job's caller.
    int here = 0;                   ///< Jobs that came back to their entry.
    instant stepped{};
};

} // namespace

TEST_CASE("a job that is handed over runs at the host's agents, once")
{
    hosting_play world;
    bool taken = false;
    world.play(
        [&]
        {
            if (!taken)
                taken = world.submit(world.entry, hosting_play::job(7));
            if (!world.runner.running.empty())
                world.runner.finish(world.runner.running.front(),
                                    run_outcome::done);
            return world.reply.has_value();
        });
    CHECK(world.reply->outcome == job_outcome::done);
    CHECK(world.reply->state == job_state::succeeded);
    CHECK(world.runner.started[7] == 1);
    CHECK(world.entry.handover->open_jobs() == 0);
    CHECK(world.host->open_jobs() == 0);
    CHECK(world.here == 0);
}

TEST_CASE("a job that nobody could have admitted comes back and runs nowhere")
{
    hosting_play world;
    auto bad = hosting_play::job(7);
    bad.steps[0].after = {0};
    bool taken = false;
    world.play(
        [&]
        {
            taken = taken || world.submit(world.entry, bad);
            return world.here == 1 && world.host->open_jobs() == 0;
        });
    CHECK(world.runner.started[7] == 0);
}

TEST_CASE("the same job over two entries runs once at their host")
{
    hosting_play world;
    bool first = false;
    bool second = false;
    world.play(
        [&]
        {
            if (!first)
                first = world.submit(world.entry, hosting_play::job(7));
            if (first && !second && !world.runner.running.empty())
                second = world.submit(world.other, hosting_play::job(7));
            if (second && world.other.handover->open_jobs() == 1 &&
                !world.runner.running.empty())
                world.runner.finish(world.runner.running.front(),
                                    run_outcome::done);
            return second && world.entry.handover->open_jobs() == 0 &&
                   world.other.handover->open_jobs() == 0;
        });
    CHECK(world.reply->state == job_state::succeeded);
    CHECK(world.runner.started[7] == 1);
}

TEST_CASE("a job whose caller leaves is stopped at the host's agents")
{
    hosting_play world;
    bool taken = false;
    bool left = false;
    world.play(
        [&]
        {
            if (!taken)
                taken = world.submit(world.entry, hosting_play::job(7));
            if (!world.runner.running.empty() && !std::exchange(left, true))
                CHECK(world.entry.handover->withdraw(7));
            return left && world.runner.running.empty();
        });
    CHECK(world.entry.handover->open_jobs() == 0);
    CHECK(world.host->open_jobs() == 0);
}

TEST_CASE("a cancelled job is stopped, and its caller is told so")
{
    hosting_play world;
    bool taken = false;
    bool asked = false;
    std::optional<job_reply> cancelled;
    world.play(
        [&]
        {
            if (!taken)
                taken = world.submit(world.entry, hosting_play::job(7));
            if (!world.runner.running.empty() && !std::exchange(asked, true))
                CHECK(world.entry.handover->cancel(7, [&](const job_reply& got)
                                                   { cancelled = got; }));
            return cancelled && world.reply && world.runner.running.empty();
        });
    CHECK(cancelled->state == job_state::cancelled);
    CHECK(world.reply->outcome == job_outcome::done);
    CHECK(world.reply->state == job_state::cancelled);
    CHECK(!world.entry.handover->cancel(8, [](const job_reply&) {}));
}

TEST_CASE("a job that comes again after its end is answered, not run anew")
{
    hosting_play world;
    bool taken = false;
    bool again = false;
    std::optional<job_reply> cancelled;
    world.play(
        [&]
        {
            if (!taken)
                taken = world.submit(world.entry, hosting_play::job(7));
            if (!world.runner.running.empty())
                world.runner.finish(world.runner.running.front(),
                                    run_outcome::done);
            if (!world.reply || again)
                return again;
            world.reply.reset(); // It was lost on its way to the caller.
            again = world.submit(world.entry, hosting_play::job(7));
            CHECK(world.entry.handover->cancel(7, [&](const job_reply& got)
                                               { cancelled = got; }));
            return false;
        });
    REQUIRE(world.reply);
    CHECK(world.reply->outcome == job_outcome::done);
    CHECK(world.reply->state == job_state::succeeded);
    REQUIRE(cancelled);
    CHECK(cancelled->state == job_state::succeeded);
    CHECK(world.runner.started[7] == 1);
}

TEST_CASE("ends are remembered for a while, and not too many")
{
    recent_ends_settings settings;
    settings.most = 2;
    recent_ends ends(settings);
    ends.note(1, job_state::succeeded, seconds{1});
    ends.note(2, job_state::failed, seconds{2});
    ends.note(2, job_state::succeeded, seconds{3}); // The first word counts.
    CHECK(ends.find(1) == job_state::succeeded);
    CHECK(ends.find(2) == job_state::failed);
    ends.note(3, job_state::cancelled, seconds{4});
    CHECK(ends.size() == 2);
    CHECK(!ends.find(1));
    ends.forget_old(seconds{2} + settings.keep);
    CHECK(ends.find(2));
    ends.forget_old(seconds{3} + settings.keep);
    CHECK(!ends.find(2));
    CHECK(ends.find(3));
}

TEST_CASE("a host without room gives a job back that another has room for")
{
    hosting_play world;
    entry_side asking{world.loop, "asking", {}};
    const agent_address agent{"agent", {"127.0.0.1", world.links->port()}};
    host_link link(process_clock(), *asking.agents,
                   [&world](std::function<void()> work) {
                       run_after(world.loop.io(), duration{0}, std::move(work));
                   },
                   "agent", {});
    auto large = hosting_play::job(7);
    large.steps[0].needs.cpu = 3000;
    auto next = hosting_play::job(8);
    next.steps[0].needs.cpu = 2000;
    bool filled = false;
    bool asked = false;
    std::optional<job_reply> given_back;
    world.play(
        [&]
        {
            asking.agents->add(agent.name, agent.where);
            asking.agents->tick();
            link.tick({agent}, milliseconds{50});
            const auto now_ms = wall_nanoseconds() / 1'000'000;
            if (link.load("service-1") != nullptr &&
                !std::exchange(filled, true))
                link.submit(large, true, now_ms,
                            [](const std::optional<job_reply>&) {});
            if (world.runner.started[7] == 1 && !std::exchange(asked, true))
                link.submit(next, true, now_ms,
                            [&](const std::optional<job_reply>& reply)
                            { given_back = reply; });
            if (given_back)
            {
                link.close();
                asking.close();
            }
            return given_back.has_value();
        });
    CHECK(given_back->outcome == job_outcome::not_owner);
    CHECK(world.runner.started[8] == 0);
}

TEST_CASE("an agent that stopped hosts again once it is back")
{
    hosting_play world;
    bool taken = false;
    bool stopped = false;
    bool ended = false;
    world.play(
        [&]
        {
            auto& hands = *world.entry.handover;
            if (!taken)
                taken = world.submit(world.entry, hosting_play::job(7));
            if (!world.runner.running.empty() && !std::exchange(stopped, true))
                world.host->refuse_new();
            if (stopped && !ended && !hands.active() &&
                !world.runner.running.empty())
                world.runner.finish(world.runner.running.front(),
                                    run_outcome::done);
            if (world.reply && !std::exchange(ended, true))
            {
                // Its process ends, and the next one hosts.
                world.host->close();
                world.server.reset();
                world.host.reset();
                world.entry.agents->remove("agent");
                world.entry.agents->add("agent",
                                        {"127.0.0.1", world.links->port()});
            }
            return ended && hands.active();
        });
    CHECK(world.reply->state == job_state::succeeded);
}

TEST_CASE("a cancel is answered although its host is lost")
{
    hosting_play world;
    bool taken = false;
    bool asked = false;
    std::optional<job_reply> cancelled;
    world.play(
        [&]
        {
            if (!taken)
                taken = world.submit(world.entry, hosting_play::job(7));
            if (!world.runner.running.empty() && !std::exchange(asked, true))
            {
                CHECK(world.entry.handover->cancel(7, [&](const job_reply& got)
                                                   { cancelled = got; }));
                world.entry.agents->remove("agent");
            }
            return cancelled && world.reply;
        });
    CHECK(cancelled->outcome == job_outcome::unknown);
    CHECK(world.reply->outcome == job_outcome::unknown);
}

TEST_CASE("a host tells that it stood still until its next tick")
{
    manual_loop loop;
    rpc_loop links;
    fake_row_store store{loop};
    job_host_settings limits;
    limits.name = "host";
    job_host host(links.io(), loop.clock, store, limits);
    host.tick();
    loop.advance(milliseconds{50});
    host.tick();
    CHECK_FALSE(host.paused());
    loop.advance(milliseconds{500});
    CHECK(host.paused());
    host.tick(); // Before what came meanwhile is read.
    CHECK(host.paused());
    loop.advance(milliseconds{50});
    host.tick();
    CHECK_FALSE(host.paused());
}

TEST_CASE("an entry that keeps its jobs knows those that hosts have")
{
    hosting_play world;
    bool taken = false;
    world.play(
        [&]
        {
            if (!taken)
                taken = world.submit(world.entry, hosting_play::job(7));
            return !world.runner.running.empty();
        });
    CHECK(world.entry.handover->knows(7));
    CHECK(!world.entry.handover->knows(8));
}

TEST_CASE("what a silent entry handed over is stopped")
{
    hosting_play world;
    bool taken = false;
    world.play(
        [&]
        {
            if (!taken)
                taken = world.submit(world.entry, hosting_play::job(7));
            if (!world.runner.running.empty())
                world.entry.frozen = true;
            return world.entry.frozen && world.runner.running.empty();
        });
    CHECK(world.host->open_jobs() == 0);
    // It has begun: it is not said that it has not run.
    CHECK((!world.reply || world.reply->outcome == job_outcome::unknown));
}

TEST_CASE("a host that takes no more jobs gives them back, with nothing done")
{
    hosting_play world;
    bool taken = false;
    world.play(
        [&]
        {
            if (world.host && world.host->attached() == 1)
                world.host->refuse_new();
            if (!taken && world.host && world.host->refusing())
                taken = world.submit(world.entry, hosting_play::job(7));
            return world.here == 1 || (world.host && world.host->refusing() &&
                                       !world.entry.handover->active());
        });
    CHECK(world.runner.started[7] == 0);
    CHECK(world.entry.handover->open_jobs() == 0);
}

TEST_CASE("of a job that is lost with its host nothing is said to have not run")
{
    hosting_play world;
    bool taken = false;
    bool cut = false;
    world.play(
        [&]
        {
            if (!taken)
                taken = world.submit(world.entry, hosting_play::job(7));
            if (!world.runner.running.empty() && !std::exchange(cut, true))
                world.entry.agents->remove("agent");
            return world.reply.has_value();
        });
    CHECK(world.reply->outcome == job_outcome::unknown);
    CHECK(world.entry.handover->open_jobs() == 0);
}

TEST_CASE("a job that no group's labels suit is not handed over")
{
    hosting_play world;
    auto wrong = hosting_play::job(7);
    wrong.steps[0].label = "missing";
    auto far = hosting_play::job(8);
    far.steps[0].preferred_label = "missing";
    bool taken = false;
    world.play(
        [&]
        {
            if (!taken)
                taken = world.submit(world.entry, far);
            return taken;
        });
    CHECK(!world.submit(world.entry, wrong));
}

TEST_CASE("a strong entry, and one that is told so, keeps its jobs")
{
    hosting_play world;
    job_handover_settings never;
    never.mode = hosting_mode::never;
    entry_side keeping{world.loop, "keeping", never};
    bool hosted = false;
    world.play(
        [&]
        {
            keeping.tick();
            hosted = world.entry.handover->active();
            return hosted;
        });
    CHECK(!keeping.handover->active());
    // One agent: 12 thousandths of a core are enough.
    world.entry.handover->tick({1, 12});
    CHECK(!world.entry.handover->active());
    world.entry.handover->tick({1, 11});
    CHECK(world.entry.handover->hosts() <= 1);
}

TEST_CASE("only a job whose label no sampled group has needs other agents")
{
    hosting_play world;
    auto unlabelled = hosting_play::job(7);
    auto labelled = hosting_play::job(8);
    labelled.steps[0].label = "missing";
    // Nobody is attached yet: it is not known who has the label.
    CHECK(!world.submit(world.entry, labelled));
    CHECK(!world.entry.handover->lacks_label());
    bool unneeded = false;
    world.play(
        [&]
        {
            if (!world.entry.handover->active())
                return false;
            if (!std::exchange(unneeded, true))
            {
                world.submit(world.entry, unlabelled);
                CHECK(!world.entry.handover->lacks_label());
            }
            CHECK(!world.submit(world.entry, labelled));
            return world.entry.handover->lacks_label();
        });
    CHECK(world.entry.handover->lacks_label());
}
