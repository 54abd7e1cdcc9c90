#ifndef GLENHOLLOW_TESTS_RUN_CHECKS_HPP
#define GLENHOLLOW_TESTS_RUN_CHECKS_HPP

#include "glenhollow/durable/durable_job.hpp"
#include "simulated_node.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace glenhollow
{

/// Checks that no task runs twice at once or again after a confirmed end, by
/// what backend servers observe.
class run_checks final
{
public:
    /// @param time Must outlive the checks.
    explicit run_checks(simulated_time& time) : time_(time) {}

    /// Records the start of a run.
    void began(std::size_t server, const run_ref& run)
    {
        auto& task = tasks_[key(run.task)];
        for (const auto& other : task.running)
        {
            if (other.server != server || other.run != run.run)
                report_violation("TWICE at once: " + name(run) + " at server " +
                                 std::to_string(server) + ", run " +
                                 std::to_string(other.run) + " at server " +
                                 std::to_string(other.server));
        }
        task.running.push_back({server, run.run});
        task.started = time_.elapsed();
        started_.insert(run.task.job);
        for (const auto& end : task.done)
        {
            if (end.confirmed && !run.in_memory())
                report_violation("TWICE after its end: " + name(run));
        }
        ++starts;
    }

    /// Records the end of a run.
    /// @param number Number of the end at that server.
    void ended(std::size_t server, const run_ref& run, run_outcome how,
               std::uint64_t number)
    {
        auto& task = tasks_[key(run.task)];
        std::erase_if(task.running, [&](const active_run& one)
                      { return one.server == server && one.run == run.run; });
        if (how == run_outcome::done)
            task.done.push_back({server, number, time_.elapsed(), false});
    }

    /// Records the end of a server's incarnation.
    void incarnation_ended(std::size_t server)
    {
        for (auto& [name, task] : tasks_)
        {
            std::erase_if(task.running, [&](const active_run& one)
                          { return one.server == server; });
            std::erase_if(task.done, [&](const done_end& one)
                          { return one.server == server && !one.confirmed; });
        }
    }

    /// Records that the hold of a server has lapsed: earlier ends that are not
    /// confirmed no longer forbid another run.
    void lapsed(std::size_t server)
    {
        for (auto& [name, task] : tasks_)
        {
            std::erase_if(task.done, [&](const done_end& one)
                          { return one.server == server && !one.confirmed; });
        }
    }

    /// Records that the ends of a server up to a number are confirmed.
    /// @param number Highest confirmed number.
    /// @param in_memory Returns whether a job is kept in memory only.
    template <class InMemory>
    void confirmed(std::size_t server, std::uint64_t number,
                   InMemory&& in_memory)
    {
        for (auto& [name, task] : tasks_)
        {
            for (auto& end : task.done)
            {
                if (end.server != server || end.confirmed ||
                    end.number > number)
                    continue;
                end.confirmed = true;
                if (task.started > end.at && !in_memory(std::get<0>(name)))
                    report_violation(
                        "TWICE after its end, confirmed later: job " +
                        to_text(std::get<0>(name)));
            }
        }
    }

    /// Records that a server runs more than its capacity allows.
    void over_capacity(std::size_t server)
    {
        report_violation("LIMIT at server " + std::to_string(server));
    }

    /// Records a job of which every submission was refused.
    void refused(job_id job)
    {
        if (started_.contains(job))
            report_violation("REFUSED: " + to_text(job) + " was started");
    }

    /// @return Name of the run in the trace.
    static std::string name(const run_ref& run)
    {
        return "job " + std::to_string(run.task.job) + " task " +
               std::to_string(run.task.index) + " run " +
               std::to_string(run.in_memory() ? run.run - first_memory_run
                                              : run.run);
    }

    /// Descriptions of violated guarantees.
    std::vector<std::string> violations;
    std::uint64_t starts = 0; ///< Runs started at all servers.

private:
    using task_key = std::tuple<job_id, std::uint32_t, std::uint32_t>;

    struct active_run
    {
        std::size_t server = 0; ///< Number of the server.
        std::uint32_t run = 0;  ///< Number of the run.
    };

    struct done_end
    {
        std::size_t server = 0;   ///< Number of the server.
        std::uint64_t number = 0; ///< Number of the end at that server.
        duration at{};            ///< Time of the end.
        bool confirmed = false;   ///< Whether the agent has confirmed it.
    };

    struct task_state
    {
        std::vector<active_run> running; ///< Current runs.
        std::vector<done_end> done;      ///< Ends that may forbid another run.
        duration started{};              ///< Time of the last start.
    };

    static task_key key(const task_ref& task)
    {
        return {task.job, task.step, task.index};
    }

    void report_violation(const std::string& what)
    {
        time_.trace([&] { return "VIOLATION " + what; });
        violations.push_back(what);
    }

    simulated_time& time_;
    std::map<task_key, task_state> tasks_;
    std::set<job_id> started_; ///< Jobs with at least one started task.
};

} // namespace glenhollow

#endif
