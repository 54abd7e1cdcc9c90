#ifndef GLENHOLLOW_TESTS_COORDINATOR_FIXTURE_HPP
#define GLENHOLLOW_TESTS_COORDINATOR_FIXTURE_HPP

#include "glenhollow/durable/job_coordinator.hpp"
#include "unit/support/fake_row_store.hpp"

#include <deque>

namespace glenhollow
{

inline constexpr std::int64_t noon_ms = 1'000'000;

/// A coordinator with its dispatcher and two agents that accept every order.
struct coordinator_fixture : order_sender, task_source
{
    coordinator_fixture() : placing(loop.clock, *this, *this, {})
    {
        for (const auto* name : {"agent-1", "agent-2"})
            attach(name);
    }

    void attach(const std::string& name)
    {
        placing.attached(name, report(name, server_phase::ready));
    }

    static server_report report(const std::string& name, server_phase phase)
    {
        server_report report;
        report.account.service = "service-1";
        report.account.instance = name + "-life";
        report.account.capacity = {8000, 1000, 0};
        report.account.phase = phase;
        return report;
    }

    void drain_all()
    {
        for (const auto* name : {"agent-1", "agent-2"})
            placing.reported(name, report(name, server_phase::draining));
    }

    job_coordinator::dependencies dependencies()
    {
        return {loop.clock,
                [this]
                {
                    return noon_ms + std::chrono::duration_cast<milliseconds>(
                                         loop.clock.now() - seconds{1000})
                                         .count();
                },
                store,
                placing,
                loop.delay(),
                [this](const std::string& agent)
                { return live_agents.contains(agent); },
                [this](job_id id) { return cancels.contains(id); },
                [this](job_id id) { cancels.insert(id); }};
    }

    /// Creates a coordinator of in-memory jobs.
    /// @param begin_by See job_coordinator_settings.
    /// @param warm_up See job_coordinator_settings.
    void in_memory(double begin_by = 1.0, duration warm_up = {})
    {
        auto limits = settings();
        limits.begin_by = begin_by;
        limits.warm_up = warm_up;
        coordinator = std::make_unique<job_coordinator>(dependencies(), limits);
        adopt(memory_part);
    }

    /// Creates the coordinator of part 0.
    /// @param epoch Epoch of its claim.
    void owner(std::uint32_t epoch,
               std::set<std::string> unreported_agents = {},
               loaded_part loaded = {})
    {
        chain_head head;
        head.owner = "entry-1";
        head.incarnation = epoch;
        head.epoch = epoch;
        head.version = store.put(head_key(0), encode_head(head));
        coordinator = std::make_unique<job_coordinator>(
            dependencies(), 0, head, std::move(loaded), unreported_agents,
            settings(), [this] { ++lost; });
        adopt(0);
    }

    void adopt(part_number part)
    {
        placing.adopted("agent-1", part);
        placing.adopted("agent-2", part);
    }

    job_coordinator_settings settings() const
    {
        job_coordinator_settings out;
        out.parts = 1;
        out.max_open_tasks = max_open_tasks;
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
        out.durability_class = durability::in_memory;
        out.expiry_ms = noon_ms + 3000;
        return out;
    }

    void submit(const job_definition& wanted)
    {
        coordinator->submit(wanted,
                            [this, id = wanted.id](const job_reply& reply)
                            { replies[id] = reply; });
        settle();
    }

    void settle()
    {
        for (int i = 0; i < 6; ++i)
        {
            loop.advance(milliseconds{10});
            coordinator->tick();
            placing.dispatch();
        }
    }

    void end(const std::string& agent, const run_ref& run, run_outcome outcome)
    {
        coordinator->ended(agent, {run, outcome, ++numbers, 1000, true});
        settle();
    }

    void end_all(run_outcome outcome)
    {
        for (const auto& [agent, run] : std::exchange(started, {}))
            end(agent, run, outcome);
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
        return coordinator->assign(task, agent);
    }

    /// @return The contents that another entry would load from the journal.
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
    std::unique_ptr<job_coordinator> coordinator;
    std::map<job_id, job_reply> replies;
    std::vector<std::pair<std::string, run_ref>> started;
    std::vector<std::pair<std::string, run_ref>> stopped;
    std::vector<run_end> confirmed;
    std::set<std::string> live_agents; ///< Agents that report.
    std::set<job_id> cancels;          ///< Remembered cancels.
    /// See job_coordinator_settings.
    std::size_t max_open_tasks = job_coordinator_settings{}.max_open_tasks;
    std::uint64_t numbers = 0;
    int lost = 0;
};

} // namespace glenhollow

#endif
