// Tests of the job handover between an entry, a job host and its backend server
// over real connections.
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

/// Ignores all agent events.
struct idle_listener : agent_session_listener
{
    void agent_attached(const std::string&, const server_report&) override {}
    void agent_detached(const std::string&) override {}
    void agent_ordered(const std::string&) override {}
    void agent_adopted(const std::string&, part_epoch,
                       const lease_account&) override
    {
    }
    void agent_reported(const std::string&, const server_report&,
                        const std::vector<run_end>&,
                        const std::vector<run_ref>&) override
    {
    }
    std::vector<run_end> take_confirmed(const std::string&) override
    {
        return {};
    }
    std::vector<part_epoch> owned_parts() const override { return {}; }
    duration room_report_interval(const std::string&,
                                  std::size_t) const override
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

/// An entry that hands jobs over.
struct test_entry
{
    test_entry(rpc_loop& loop, const std::string& name,
               const job_handover_settings& settings)
    {
        agent_sessions_settings limits;
        limits.entry = name;
        limits.incarnation = std::hash<std::string>{}(name);
        agents = std::make_unique<agent_sessions>(loop.io(), process_clock(),
                                                  listener, limits);
        handover = std::make_unique<job_handover>(
            job_handover::dependencies{
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

/// Two entries, a job host and one agent. Runs until a condition holds; a
/// deadlock runs into the test's timeout.
struct hosting_fixture
{
    hosting_fixture()
        : links(std::move(
              rpc_listener::create(loop.io(), "127.0.0.1", 0).value()))
    {
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

    static job_definition job(job_id id)
    {
        job_definition out;
        out.id = id;
        out.queue = "queue-1";
        out.service = "service-1";
        out.durability_class = durability::in_memory;
        out.steps.resize(1);
        out.steps[0].needs = {1000, 10, 0};
        out.steps[0].estimate_ms = 60'000;
        out.accepted_ms = wall_nanoseconds() / 1'000'000;
        out.objective_ms = out.accepted_ms + 60'000;
        out.expiry_ms = out.accepted_ms + 120'000;
        return out;
    }

    bool submit(test_entry& at, const job_definition& what)
    {
        return at.handover->submit(
            what, [this](const job_reply& got) { reply = got; },
            [this](const job_definition&, job_reply_handler) { ++local_runs; });
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
                agent->set_job_host_factory([this](const std::string& by)
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
    fake_backend_server runner{runner_loop};
    run_manager manager{process_clock(), runner, delay(), 1,
                        run_manager_settings{}};
    std::unique_ptr<rpc_listener> links;
    std::unique_ptr<job_host> host;
    std::unique_ptr<job_host_server> server;
    std::unique_ptr<run_agent_service> agent;
    test_entry entry{loop, "entry", {}};
    test_entry other{loop, "other", {}};
    std::function<bool()> done_condition;
    std::optional<job_reply> reply; ///< Reply to the job's caller.
    int local_runs = 0;             ///< Jobs that were returned to their entry.
    instant stepped{};
};

} // namespace

TEST_CASE("a job that is handed over runs once at the host's agents")
{
    hosting_fixture fixture;
    bool submitted = false;
    fixture.run_until(
        [&]
        {
            if (!submitted)
                submitted =
                    fixture.submit(fixture.entry, hosting_fixture::job(7));
            if (!fixture.runner.running.empty())
                fixture.runner.finish(fixture.runner.running.front(),
                                      run_outcome::done);
            return fixture.reply.has_value();
        });
    CHECK(fixture.reply->outcome == job_outcome::done);
    CHECK(fixture.reply->state == job_state::succeeded);
    CHECK(fixture.runner.started[7] == 1);
    CHECK(fixture.entry.handover->open_jobs() == 0);
    CHECK(fixture.host->open_jobs() == 0);
    CHECK(fixture.local_runs == 0);
}

TEST_CASE("an invalid job is returned by the host and does not run")
{
    hosting_fixture fixture;
    auto invalid = hosting_fixture::job(7);
    invalid.steps[0].after = {0};
    bool submitted = false;
    fixture.run_until(
        [&]
        {
            submitted = submitted || fixture.submit(fixture.entry, invalid);
            return fixture.local_runs == 1 && fixture.host->open_jobs() == 0;
        });
    CHECK(fixture.runner.started[7] == 0);
}

TEST_CASE("a job that two entries submit runs once at their host")
{
    hosting_fixture fixture;
    bool first = false;
    bool second = false;
    fixture.run_until(
        [&]
        {
            if (!first)
                first = fixture.submit(fixture.entry, hosting_fixture::job(7));
            if (first && !second && !fixture.runner.running.empty())
                second = fixture.submit(fixture.other, hosting_fixture::job(7));
            if (second && fixture.other.handover->open_jobs() == 1 &&
                !fixture.runner.running.empty())
                fixture.runner.finish(fixture.runner.running.front(),
                                      run_outcome::done);
            return second && fixture.entry.handover->open_jobs() == 0 &&
                   fixture.other.handover->open_jobs() == 0;
        });
    CHECK(fixture.reply->state == job_state::succeeded);
    CHECK(fixture.runner.started[7] == 1);
}

TEST_CASE("a job whose caller leaves is stopped at the host's agents")
{
    hosting_fixture fixture;
    bool submitted = false;
    bool withdrawn = false;
    fixture.run_until(
        [&]
        {
            if (!submitted)
                submitted =
                    fixture.submit(fixture.entry, hosting_fixture::job(7));
            if (!fixture.runner.running.empty() &&
                !std::exchange(withdrawn, true))
                CHECK(fixture.entry.handover->withdraw(7));
            return withdrawn && fixture.runner.running.empty();
        });
    CHECK(fixture.entry.handover->open_jobs() == 0);
    CHECK(fixture.host->open_jobs() == 0);
}

TEST_CASE("a cancelled job is stopped and reported as cancelled")
{
    hosting_fixture fixture;
    bool submitted = false;
    bool requested = false;
    std::optional<job_reply> cancelled;
    fixture.run_until(
        [&]
        {
            if (!submitted)
                submitted =
                    fixture.submit(fixture.entry, hosting_fixture::job(7));
            if (!fixture.runner.running.empty() &&
                !std::exchange(requested, true))
                CHECK(fixture.entry.handover->cancel(
                    7, [&](const job_reply& got) { cancelled = got; }));
            return cancelled && fixture.reply && fixture.runner.running.empty();
        });
    CHECK(cancelled->state == job_state::cancelled);
    CHECK(fixture.reply->outcome == job_outcome::done);
    CHECK(fixture.reply->state == job_state::cancelled);
    CHECK(!fixture.entry.handover->cancel(8, [](const job_reply&) {}));
}

TEST_CASE("a job that is resubmitted after its end is answered and not rerun")
{
    hosting_fixture fixture;
    bool submitted = false;
    bool resubmitted = false;
    std::optional<job_reply> cancelled;
    fixture.run_until(
        [&]
        {
            if (!submitted)
                submitted =
                    fixture.submit(fixture.entry, hosting_fixture::job(7));
            if (!fixture.runner.running.empty())
                fixture.runner.finish(fixture.runner.running.front(),
                                      run_outcome::done);
            if (!fixture.reply || resubmitted)
                return resubmitted;
            fixture.reply
                .reset(); // The reply was lost on its way to the caller.
            resubmitted =
                fixture.submit(fixture.entry, hosting_fixture::job(7));
            CHECK(fixture.entry.handover->cancel(7, [&](const job_reply& got)
                                                 { cancelled = got; }));
            return false;
        });
    REQUIRE(fixture.reply);
    CHECK(fixture.reply->outcome == job_outcome::done);
    CHECK(fixture.reply->state == job_state::succeeded);
    REQUIRE(cancelled);
    CHECK(cancelled->state == job_state::succeeded);
    CHECK(fixture.runner.started[7] == 1);
}

TEST_CASE("recorded ends are limited in age and number")
{
    recent_ends_settings settings;
    settings.max_jobs = 2;
    recent_ends ends(settings);
    ends.record(1, job_state::succeeded, seconds{1});
    ends.record(2, job_state::failed, seconds{2});
    ends.record(2, job_state::succeeded, seconds{3}); // The first end counts.
    CHECK(ends.find(1) == job_state::succeeded);
    CHECK(ends.find(2) == job_state::failed);
    ends.record(3, job_state::cancelled, seconds{4});
    CHECK(ends.size() == 2);
    CHECK(!ends.find(1));
    ends.expire(seconds{2} + settings.retention);
    CHECK(ends.find(2));
    ends.expire(seconds{3} + settings.retention);
    CHECK(!ends.find(2));
    CHECK(ends.find(3));
}

TEST_CASE("a host without room returns a job if asked to")
{
    hosting_fixture fixture;
    test_entry asking{fixture.loop, "asking", {}};
    const agent_address agent{"agent", {"127.0.0.1", fixture.links->port()}};
    host_link link(
        process_clock(), *asking.agents,
        [&fixture](std::function<void()> work)
        { run_after(fixture.loop.io(), duration{0}, std::move(work)); },
        "agent", {});
    auto large = hosting_fixture::job(7);
    large.steps[0].needs.cpu = 3000;
    auto next = hosting_fixture::job(8);
    next.steps[0].needs.cpu = 2000;
    bool filled = false;
    bool requested = false;
    std::optional<job_reply> given_back;
    fixture.run_until(
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
            if (fixture.runner.started[7] == 1 &&
                !std::exchange(requested, true))
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
    CHECK(fixture.runner.started[8] == 0);
}

TEST_CASE("an agent that stopped and restarted becomes a host again")
{
    hosting_fixture fixture;
    bool submitted = false;
    bool stopped = false;
    bool ended = false;
    fixture.run_until(
        [&]
        {
            auto& handover = *fixture.entry.handover;
            if (!submitted)
                submitted =
                    fixture.submit(fixture.entry, hosting_fixture::job(7));
            if (!fixture.runner.running.empty() &&
                !std::exchange(stopped, true))
                fixture.host->refuse_new();
            if (stopped && !ended && !handover.active() &&
                !fixture.runner.running.empty())
                fixture.runner.finish(fixture.runner.running.front(),
                                      run_outcome::done);
            if (fixture.reply && !std::exchange(ended, true))
            {
                // The process ends and its successor becomes the host.
                fixture.host->close();
                fixture.server.reset();
                fixture.host.reset();
                fixture.entry.agents->remove("agent");
                fixture.entry.agents->add("agent",
                                          {"127.0.0.1", fixture.links->port()});
            }
            return ended && handover.active();
        });
    CHECK(fixture.reply->state == job_state::succeeded);
}

TEST_CASE("a cancel is answered when its host is lost")
{
    hosting_fixture fixture;
    bool submitted = false;
    bool requested = false;
    std::optional<job_reply> cancelled;
    fixture.run_until(
        [&]
        {
            if (!submitted)
                submitted =
                    fixture.submit(fixture.entry, hosting_fixture::job(7));
            if (!fixture.runner.running.empty() &&
                !std::exchange(requested, true))
            {
                CHECK(fixture.entry.handover->cancel(
                    7, [&](const job_reply& got) { cancelled = got; }));
                fixture.entry.agents->remove("agent");
            }
            return cancelled && fixture.reply;
        });
    CHECK(cancelled->outcome == job_outcome::unknown);
    CHECK(fixture.reply->outcome == job_outcome::unknown);
}

TEST_CASE("a host reports its suspension until its next tick")
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
    host.tick(); // Runs before calls that arrived meanwhile are handled.
    CHECK(host.paused());
    loop.advance(milliseconds{50});
    host.tick();
    CHECK_FALSE(host.paused());
}

TEST_CASE("an entry knows the jobs that it handed over")
{
    hosting_fixture fixture;
    bool submitted = false;
    fixture.run_until(
        [&]
        {
            if (!submitted)
                submitted =
                    fixture.submit(fixture.entry, hosting_fixture::job(7));
            return !fixture.runner.running.empty();
        });
    CHECK(fixture.entry.handover->knows(7));
    CHECK(!fixture.entry.handover->knows(8));
}

TEST_CASE("the jobs of a silent entry are stopped")
{
    hosting_fixture fixture;
    bool submitted = false;
    fixture.run_until(
        [&]
        {
            if (!submitted)
                submitted =
                    fixture.submit(fixture.entry, hosting_fixture::job(7));
            if (!fixture.runner.running.empty())
                fixture.entry.frozen = true;
            return fixture.entry.frozen && fixture.runner.running.empty();
        });
    CHECK(fixture.host->open_jobs() == 0);
    // The job has started, so it must not be reported as not run.
    CHECK((!fixture.reply || fixture.reply->outcome == job_outcome::unknown));
}

TEST_CASE("a stopping host returns jobs without running them")
{
    hosting_fixture fixture;
    bool submitted = false;
    fixture.run_until(
        [&]
        {
            if (fixture.host && fixture.host->attached() == 1)
                fixture.host->refuse_new();
            if (!submitted && fixture.host && fixture.host->refusing())
                submitted =
                    fixture.submit(fixture.entry, hosting_fixture::job(7));
            return fixture.local_runs == 1 ||
                   (fixture.host && fixture.host->refusing() &&
                    !fixture.entry.handover->active());
        });
    CHECK(fixture.runner.started[7] == 0);
    CHECK(fixture.entry.handover->open_jobs() == 0);
}

TEST_CASE("a job that is lost with its host has an unknown outcome")
{
    hosting_fixture fixture;
    bool submitted = false;
    bool disconnected = false;
    fixture.run_until(
        [&]
        {
            if (!submitted)
                submitted =
                    fixture.submit(fixture.entry, hosting_fixture::job(7));
            if (!fixture.runner.running.empty() &&
                !std::exchange(disconnected, true))
                fixture.entry.agents->remove("agent");
            return fixture.reply.has_value();
        });
    CHECK(fixture.reply->outcome == job_outcome::unknown);
    CHECK(fixture.entry.handover->open_jobs() == 0);
}

TEST_CASE("a job whose required label no group has is not handed over")
{
    hosting_fixture fixture;
    auto requiring = hosting_fixture::job(7);
    requiring.steps[0].label = "missing";
    auto preferring = hosting_fixture::job(8);
    preferring.steps[0].preferred_label = "missing";
    bool submitted = false;
    fixture.run_until(
        [&]
        {
            if (!submitted)
                submitted = fixture.submit(fixture.entry, preferring);
            return submitted;
        });
    CHECK(!fixture.submit(fixture.entry, requiring));
}

TEST_CASE("a strong entry and an entry in mode never keep their jobs")
{
    hosting_fixture fixture;
    job_handover_settings never;
    never.mode = hosting_mode::never;
    test_entry never_entry{fixture.loop, "keeping", never};
    bool hosted = false;
    fixture.run_until(
        [&]
        {
            never_entry.tick();
            hosted = fixture.entry.handover->active();
            return hosted;
        });
    CHECK(!never_entry.handover->active());
    // An entry with 12 millicores per agent keeps its jobs.
    fixture.entry.handover->tick({1, 12});
    CHECK(!fixture.entry.handover->active());
    fixture.entry.handover->tick({1, 11});
    CHECK(fixture.entry.handover->hosts() <= 1);
}

TEST_CASE("only a label that no sampled group has counts as missing")
{
    hosting_fixture fixture;
    auto unlabelled = hosting_fixture::job(7);
    auto labelled = hosting_fixture::job(8);
    labelled.steps[0].label = "missing";
    // No host is linked yet, so the labels are unknown.
    CHECK(!fixture.submit(fixture.entry, labelled));
    CHECK(!fixture.entry.handover->lacks_label());
    bool unlabelled_checked = false;
    fixture.run_until(
        [&]
        {
            if (!fixture.entry.handover->active())
                return false;
            if (!std::exchange(unlabelled_checked, true))
            {
                fixture.submit(fixture.entry, unlabelled);
                CHECK(!fixture.entry.handover->lacks_label());
            }
            CHECK(!fixture.submit(fixture.entry, labelled));
            return fixture.entry.handover->lacks_label();
        });
    CHECK(fixture.entry.handover->lacks_label());
}
