#ifndef GLENHOLLOW_TESTS_UNIT_HOSTING_HOSTING_FIXTURE_HPP
#define GLENHOLLOW_TESTS_UNIT_HOSTING_HOSTING_FIXTURE_HPP

#include "glenhollow/core/run_after.hpp"
#include "glenhollow/hosting/job_handover.hpp"
#include "glenhollow/hosting/job_host_server.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "glenhollow/runs/run_agent_service.hpp"
#include "unit/support/fake_row_store.hpp"
#include "unit/support/fake_runner_port.hpp"

namespace glenhollow
{

inline constexpr duration step_time = milliseconds{2};
/// Real time of a step of manual time, for messages to arrive.
inline constexpr duration manual_pause = microseconds{200};
inline constexpr std::uint32_t small_entry = 1;

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
    test_entry(rpc_loop& loop, const clock_source& clock,
               const std::string& name, const job_handover_settings& settings)
    {
        agent_sessions_settings limits;
        limits.entry = name;
        limits.incarnation = std::hash<std::string>{}(name);
        agents = std::make_unique<agent_sessions>(loop.io(), clock, listener,
                                                  limits);
        handover = std::make_unique<job_handover>(
            job_handover::dependencies{
                name, clock, [] { return wall_nanoseconds() / 1'000'000; },
                directory, *agents,
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

/// Whose time passes in a test.
enum class test_time
{
    real,  ///< The time of the machine.
    manual ///< One step of the test is one step of time.
};

/// Two entries, a job host and one agent. Runs until a condition holds; a
/// deadlock runs into the test's timeout.
struct hosting_fixture
{
    explicit hosting_fixture(test_time time = test_time::real)
        : clock(time == test_time::manual
                    ? static_cast<const clock_source&>(runner_loop.clock)
                    : process_clock()),
          links(std::move(
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
        if (is_manual())
            return runner_loop.delay();
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
            host = std::make_unique<job_host>(loop.io(), clock, store, limits);
            server = std::make_unique<job_host_server>(
                clock, *host, job_host_server_settings{});
        }
        return server->open(by);
    }

    void step()
    {
        const auto now = process_clock().now();
        const auto passed = now - std::exchange(stepped, now);
        runner_loop.advance(is_manual() ? step_time : passed);
        manager.tick();
        agent->tick();
        if (host && !host_frozen)
        {
            host->tick();
            server->tick();
        }
        entry.tick();
        other.tick();
        if (done_condition())
            return loop.stop();
        run_after(loop.io(), is_manual() ? manual_pause : step_time,
                  [this] { step(); });
    }

    bool is_manual() const { return &clock != &process_clock(); }

    /// Suspends the host: it answers no reports any more.
    void freeze_host()
    {
        host_frozen = true;
        host->close();
    }

    void run_until(std::function<bool()> until)
    {
        done_condition = std::move(until);
        loop.run(
            [this]
            {
                agent = std::make_unique<run_agent_service>(
                    loop.io(), clock, manager, 1, report_pacing_settings{});
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
    const clock_source& clock; ///< Clock of all processes.
    run_manager manager{clock, runner, delay(), 1, run_manager_settings{}};
    std::unique_ptr<rpc_listener> links;
    std::unique_ptr<job_host> host;
    std::unique_ptr<job_host_server> server;
    std::unique_ptr<run_agent_service> agent;
    test_entry entry{loop, clock, "entry", {}};
    test_entry other{loop, clock, "other", {}};
    std::function<bool()> done_condition;
    std::optional<job_reply> reply; ///< Reply to the job's caller.
    int local_runs = 0;             ///< Jobs that were returned to their entry.
    instant stepped{};
    bool host_frozen = false;
};

} // namespace glenhollow

#endif
