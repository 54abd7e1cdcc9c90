#ifndef GLENHOLLOW_TESTS_PLACEMENT_WORLD_HPP
#define GLENHOLLOW_TESTS_PLACEMENT_WORLD_HPP

#include "glenhollow/durable/dispatcher.hpp"
#include "unit/support/manual_loop.hpp"

#include <map>

namespace glenhollow
{

/// A dispatcher with scripted backend servers in two racks.
struct placement_world : order_sender, task_source, grant_sender
{
    explicit placement_world(double far_factor = 3, std::uint64_t seed = 1,
                             double late_reserve = 0)
        : placing(loop.clock, *this, *this,
                  settings(far_factor, seed, late_reserve))
    {
    }

    static dispatcher_settings settings(double far_factor, std::uint64_t seed,
                                        double late_reserve)
    {
        dispatcher_settings out;
        out.late_reserve = late_reserve;
        out.seed = seed;
        out.far_factor = far_factor;
        return out;
    }

    /// @param taken The used CPU that its agent reports, in thousandths of a
    /// core.
    void runner(const std::string& name, const std::string& rack,
                std::uint32_t taken = 0)
    {
        placing.attached(name, report(rack, taken));
        placing.adopted(name, memory_part);
    }

    static server_report report(const std::string& rack, std::uint32_t taken)
    {
        server_report out;
        out.account.service = "service-1";
        out.account.capacity = {16000, 64000, 0};
        out.account.phase = server_phase::ready;
        out.account.labels = {"kind-a", rack};
        out.load.used = {taken, 0, 0};
        out.received = 1000; // Acknowledges all batches.
        return out;
    }

    /// @param slack The time until its latest start with the preferred label.
    ready_task task(const std::string& rack, duration slack)
    {
        ready_task out;
        out.task.job = ++jobs;
        out.part = memory_part;
        out.service = "service-1";
        out.preferred_label = rack;
        out.needs = {1600, 64, 0};
        out.estimate_ms = 60;
        out.start_by = loop.clock.now() + slack;
        return out;
    }

    /// @return The agent of the task that was placed last; empty: none was
    /// placed.
    std::string place(const ready_task& wanted)
    {
        starts.clear();
        placing.enqueue(wanted);
        placing.dispatch();
        return starts.empty() ? "" : starts.back();
    }

    std::string place_again()
    {
        starts.clear();
        placing.dispatch();
        return starts.empty() ? "" : starts.back();
    }

    void send(const std::string& agent, order_batch batch) override
    {
        starts.insert(starts.end(), batch.starts.size(), agent);
        orders.insert(orders.end(), batch.starts.begin(), batch.starts.end());
        batches.push_back(std::move(batch));
    }

    void grant(entry_number entry, std::vector<task_grant> grants) override
    {
        for (auto& one : grants)
            granted.emplace_back(entry, std::move(one));
    }

    /// A task that waits at another entry.
    ready_task task_of(entry_number entry, duration slack)
    {
        auto out = task("", slack);
        out.entry = entry;
        return out;
    }

    std::optional<run_order> assign(const ready_task& wanted,
                                    const std::string&) override
    {
        placed.push_back(wanted.task.job);
        run_order order;
        order.run.task = wanted.task;
        order.needs = wanted.needs;
        return order;
    }

    manual_loop loop;
    dispatcher placing;
    std::vector<std::string> starts;
    std::vector<run_order> orders;
    std::vector<order_batch> batches;
    std::vector<std::pair<entry_number, task_grant>> granted;
    std::vector<job_id> placed;
    job_id jobs = 0;
};

/// Slack of a short task.
inline constexpr duration slack = milliseconds{96};

} // namespace glenhollow

#endif
