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

/// What must hold, by what backend servers alone have seen.
class run_checks final
{
public:
    /// @param time Outlives it.
    explicit run_checks(simulated_time& time) : time_(time) {}

    /// @param server Has begun a run.
    /// @param run Which.
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

    /// @param server Where a run has ended.
    /// @param run Which.
    /// @param how It ended.
    /// @param number Of the end there.
    void ended(std::size_t server, const run_ref& run, run_outcome how,
               std::uint64_t number)
    {
        auto& task = tasks_[key(run.task)];
        std::erase_if(task.running, [&](const active_run& one)
                      { return one.server == server && one.run == run.run; });
        if (how == run_outcome::done)
            task.done.push_back({server, number, time_.elapsed(), false});
    }

    /// @param server Its life has ended.
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

    /// @param server The lease of all that it runs has lapsed: ends before
    /// then that are not taken note of do not bind.
    void lapsed(std::size_t server)
    {
        for (auto& [name, task] : tasks_)
        {
            std::erase_if(task.done, [&](const done_end& one)
                          { return one.server == server && !one.confirmed; });
        }
    }

    /// @param server Its ends up to a number are taken note of.
    /// @param number That number.
    /// @param in_memory Told of a task by its job.
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
                    report_violation("TWICE after its end, told later: job " +
                                     to_text(std::get<0>(name)));
            }
        }
    }

    /// @param server Holds more than it has room for.
    void over_capacity(std::size_t server)
    {
        report_violation("LIMIT at server " + std::to_string(server));
    }

    /// @param job Each of its submissions was refused.
    void refused(job_id job)
    {
        if (started_.contains(job))
            report_violation("REFUSED: " + to_text(job) + " was started");
    }

    /// @param run A run.
    /// @return It in a line of the order of events.
    static std::string name(const run_ref& run)
    {
        return "job " + std::to_string(run.task.job) + " task " +
               std::to_string(run.task.index) + " run " +
               std::to_string(run.in_memory() ? run.run - first_memory_run
                                              : run.run);
    }

    std::vector<std::string> violations; ///< What did not hold.
    std::uint64_t starts = 0;            ///< At all servers.

private:
    using task_key = std::tuple<job_id, std::uint32_t, std::uint32_t>;

    struct active_run
    {
        std::size_t server = 0; ///< Where.
        std::uint32_t run = 0;  ///< Its number.
    };

    struct done_end
    {
        std::size_t server = 0;   ///< Where.
        std::uint64_t number = 0; ///< Of the end there.
        duration at{};            ///< When.
        bool confirmed = false;   ///< `last_seen` has reached it.
    };

    struct task_state
    {
        std::vector<active_run> running; ///< Now.
        std::vector<done_end> done;      ///< Ends that may bind.
        duration started{};              ///< Last.
    };

    static task_key key(const task_ref& task)
    {
        return {task.job, task.step, task.index};
    }

    void report_violation(const std::string& what)
    {
        time_.trace([&] { return "BROKEN " + what; });
        violations.push_back(what);
    }

    simulated_time& time_;                 ///< Of the simulation.
    std::map<task_key, task_state> tasks_; ///< All.
    std::set<job_id> started_;             ///< Jobs some of whose tasks began.
};

} // namespace glenhollow

#endif
