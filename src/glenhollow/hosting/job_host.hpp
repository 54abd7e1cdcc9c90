#ifndef GLENHOLLOW_HOSTING_JOB_HOST_HPP
#define GLENHOLLOW_HOSTING_JOB_HOST_HPP

#include "glenhollow/durable/agent_sessions.hpp"
#include "glenhollow/durable/job_coordinator.hpp"
#include "glenhollow/durable/report_budget.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace glenhollow
{

/// Settings of a job host.
struct job_host_settings
{
    std::string name;              ///< Name under which agents know the host.
    std::uint64_t incarnation = 0; ///< Incarnation of this process.
    /// Minimum time between two reports that only update an agent's free
    /// capacity. Ends are reported at once, and no other process places at
    /// these agents, so the host's own count stays exact.
    duration room_report_interval = milliseconds{20};
    /// Time for which an agent that left the group is kept, as it may still
    /// have runs of this host.
    duration departed_agent_retention = seconds{10};
    job_coordinator_settings jobs;  ///< Limits of jobs in memory.
    dispatcher_settings dispatch;   ///< Settings of task placement.
    agent_sessions_settings agents; ///< Settings of the sessions with agents.
};

/// Runs whole jobs in memory for entries, inside an agent process: places their
/// tasks at a group of agents, tracks the runs and replies when the jobs end.
/// Entries use hosts when no entry has enough CPU to place all jobs. Runs
/// inside an rpc_loop.
class job_host final : private agent_session_listener, private task_source
{
public:
    /// @param io Event loop of the host.
    /// @param clock Must outlive the host.
    /// @param store Must outlive the host; jobs in memory write nothing to it.
    /// @param settings Settings of the host.
    job_host(boost::asio::io_context& io, const clock_source& clock,
             row_store& store, const job_host_settings& settings);
    ~job_host() noexcept override;

    /// Sets the agents at which tasks are placed. Agents that left the group
    /// get no new work.
    /// @param agents Names and addresses of the agents.
    void set_group(const std::vector<agent_address>& agents);

    /// Runs a job.
    /// @param job Job in memory.
    /// @param submitter Entry that submitted it.
    /// @param done Called with the reply; the outcome is `not_owner` if this
    /// host takes no more jobs and did nothing.
    void submit(const job_definition& job, submitter_id submitter,
                job_reply_handler done);

    /// Sets the entry for which a job runs.
    /// @param id The job.
    /// @param submitter An entry that awaits its reply.
    void set_submitter(job_id id, submitter_id submitter)
    {
        jobs_.set_submitter(id, submitter);
    }

    /// Records that an entry was alive. The runs of its jobs are leased from
    /// this time on.
    /// @param submitter The entry.
    /// @param alive_at Time at which it was certainly alive.
    void record_alive(submitter_id submitter, instant alive_at)
    {
        submitters_[submitter] = alive_at;
    }

    /// Forgets an entry whose session has ended.
    /// @param submitter The entry.
    void forget_submitter(submitter_id submitter)
    {
        submitters_.erase(submitter);
    }

    /// @param job Job in memory.
    /// @return Whether all tasks of the job's widest step could start now.
    bool has_room(const job_definition& job) const;

    /// @param id The job.
    /// @return Whether the job is running here or ended recently.
    bool knows(job_id id) const { return jobs_.knows(id); }

    /// Withdraws a job whose caller has left.
    /// @param id The job.
    void withdraw(job_id id);

    /// Cancels a job.
    /// @param id The job.
    /// @param done Called with the reply.
    void cancel(job_id id, job_reply_handler done);

    /// Runs the periodic work: session upkeep, timeouts and logging.
    void tick();

    /// Stops taking jobs, before the process ends.
    void refuse_new() { refusing_ = true; }

    /// @return Whether the host has stopped taking jobs.
    bool refusing() const { return refusing_; }

    /// Stops taking jobs and replies to all open ones at once.
    void give_up_all();

    /// Ends all sessions. Call it while the event loop still exists.
    void close();

    /// @return Whether this process was suspended until just now. Calls that
    /// arrived meanwhile are stale, and their senders have given up on them.
    bool paused() const;

    /// @return Number of jobs that have not ended.
    std::size_t open_jobs() const { return jobs_.open_jobs(); }

    /// @return Number of agents in the group with an open session.
    std::size_t attached() const;

    /// @return Load of the group by service.
    std::map<std::string, placement_load> loads() const
    {
        return dispatcher_.loads();
    }

    /// @param page Receives the metrics of the host.
    void collect(metric_page& page) const;

private:
    void agent_attached(const std::string& agent,
                        const server_report& report) override;
    void agent_detached(const std::string& agent) override;
    void agent_ordered(const std::string& agent) override;
    void agent_adopted(const std::string& agent, part_epoch part,
                       const lease_account& account) override;
    void agent_reported(const std::string& agent, const server_report& report,
                        const std::vector<run_end>& ends,
                        const std::vector<run_ref>& begun) override;
    std::vector<run_end> take_confirmed(const std::string& agent) override
    {
        return dispatcher_.take_confirmed(agent);
    }
    std::vector<submitter_lease> submitters() const override;
    std::vector<part_epoch> owned_parts() const override
    {
        return {jobs_.epoch()};
    }
    duration room_report_interval(const std::string&,
                                  std::size_t) const override
    {
        return settings_.room_report_interval;
    }
    bool places_for_others(const std::string&) const override { return false; }
    bool places_at(const std::string& agent) const override
    {
        return group_.contains(agent);
    }
    hall_evacuation evacuation_of(const std::string&) const override
    {
        return {}; // Entries send evacuations to the agents themselves.
    }
    std::optional<run_order> assign(const ready_task& task,
                                    const std::string& agent) override
    {
        return jobs_.assign(task, agent);
    }

    /// Silence of an agent.
    struct agent_silence
    {
        /// Time from which the agent counts as silent unless it reports.
        instant since{};
        bool ended = false; ///< Whether the agent's runs were given up.
    };

    job_coordinator::dependencies dependencies();
    journal_chain::delay delay();
    void expire_silent_agents();
    void remove_departed_agents();
    void log_load();
    void schedule_dispatch();

    /// Set to false when the host closes; guards pending callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    boost::asio::io_context& io_; ///< Event loop of the host.
    const clock_source& clock_;
    /// Required by the coordinator; jobs in memory do not write to it.
    row_store& store_;
    job_host_settings settings_;
    agent_sessions agents_; ///< Sessions with the agents.
    dispatcher dispatcher_; ///< Places tasks at the agents.
    job_coordinator jobs_;  ///< Open jobs.
    /// Times at which the submitting entries were certainly alive.
    std::map<submitter_id, instant> submitters_;
    std::set<std::string> group_; ///< Names of the agents to place at.
    std::map<std::string, instant> departed_; ///< Time of leaving by agent.
    std::map<std::string, agent_silence> silences_; ///< Silence by agent.
    instant last_tick_{};                           ///< Time of the last tick.
    /// The process was suspended before the last tick.
    bool resumed_after_pause_ = false;
    instant load_logged_at_{}; ///< Time of the last load log line.
    bool dispatching_ = false; ///< A dispatch is scheduled.
    bool refusing_ = false;    ///< The host takes no more jobs.
};

} // namespace glenhollow

#endif
