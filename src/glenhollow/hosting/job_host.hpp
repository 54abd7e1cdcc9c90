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

/// Settings of a host.
struct job_host_settings
{
    std::string name;              ///< As agents know it.
    std::uint64_t incarnation = 0; ///< Of this process.
    duration room_gap =
        milliseconds{20}; ///< Between two reports of room
                          ///< alone: ends are told at once, and
                          ///< nobody else places at these agents,
                          ///< so that its own count is exact.
    duration departed_agent_retention =
        seconds{10};                ///< An agent that has left the group may
                                    ///< still have runs of this host.
    job_coordinator_settings jobs;  ///< Limits of jobs in memory.
    dispatcher_settings dispatch;   ///< Limits.
    agent_sessions_settings agents; ///< Limits.
};

/// Whole jobs in memory at an agent's process: places their tasks at a group of
/// agents, follows their runs and answers at their ends. Entries hand jobs over
/// where none of them has the processor time to place for all. Runs inside an
/// rpc_loop.
class job_host final : private agent_session_listener, private task_source
{
public:
    /// @param io Runs it.
    /// @param clock Outlives it.
    /// @param store Outlives it; jobs in memory write nothing there.
    /// @param settings Limits.
    job_host(boost::asio::io_context& io, const clock_source& clock,
             row_store& store, const job_host_settings& settings);
    ~job_host() noexcept override;

    /// @param agents The group as entries know it; agents that left it get no
    /// new work from here.
    void set_group(const std::vector<agent_address>& agents);

    /// @param job One in memory.
    /// @param done Told its end; `not_owner` where this host takes no more
    /// jobs and nothing was done.
    void submit(const job_definition& job, job_reply_handler done);

    /// @param job One in memory.
    /// @return Whether all tasks of its widest step could begin now.
    bool has_room(const job_definition& job) const;

    /// @param id A job.
    /// @return Whether it has come and not ended, or ended lately.
    bool knows(job_id id) const { return jobs_.knows(id); }

    /// @param id A job whose caller has gone.
    void withdraw(job_id id);

    /// @param id A job.
    /// @param done Told the end.
    void cancel(job_id id, job_reply_handler done);

    /// Does what is due.
    void tick();

    /// Takes no more jobs: the process will end.
    void refuse_new() { refusing_ = true; }

    /// @return Whether it takes no more jobs.
    bool refusing() const { return refusing_; }

    /// Answers for all jobs at once.
    void give_up_all();

    /// Ends all sessions, while the event loop lives.
    void close();

    /// @return Whether this process stood still until just now: what came
    /// meanwhile is old, and its senders have given it up.
    bool paused() const;

    /// @return Jobs that have not ended.
    std::size_t open_jobs() const { return jobs_.open_jobs(); }

    /// @return Agents of the group with an open session.
    std::size_t attached() const;

    /// @return What is known here, by service.
    std::map<std::string, placement_load> loads() const
    {
        return dispatcher_.loads();
    }

    /// @param page Gets the host's metrics.
    void collect(metric_page& page) const;

private:
    void agent_attached(const std::string& agent,
                        const runner_report& report) override;
    void agent_detached(const std::string& agent) override;
    void agent_ordered(const std::string& agent) override;
    void agent_adopted(const std::string& agent, part_epoch part,
                       const lease_account& account) override;
    void agent_reported(const std::string& agent, const runner_report& report,
                        const std::vector<run_end>& ends,
                        const std::vector<run_ref>& begun) override;
    std::vector<run_end> take_confirmed(const std::string& agent) override
    {
        return dispatcher_.take_confirmed(agent);
    }
    std::vector<part_epoch> owned_parts() const override
    {
        return {jobs_.epoch()};
    }
    duration room_gap(const std::string&, std::size_t) const override
    {
        return settings_.room_gap;
    }
    bool places_for_others(const std::string&) const override { return false; }
    bool places_at(const std::string& agent) const override
    {
        return group_.contains(agent);
    }
    hall_evacuation evacuation_of(const std::string&) const override
    {
        return {}; // Entries tell the agents themselves.
    }
    std::optional<run_order> assign(const ready_task& task,
                                    const std::string& agent) override
    {
        return jobs_.assign(task, agent);
    }

    /// How long an agent has been silent.
    struct agent_silence
    {
        instant since{};    ///< Unless it reports.
        bool ended = false; ///< Its runs are given up.
    };

    job_coordinator::dependencies dependencies();
    journal_chain::delay delay();
    void expire_silent_agents();
    void remove_departed_agents();
    void log_load();
    void schedule_dispatch();

    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Guard.
    boost::asio::io_context& io_;                                ///< Runs it.
    const clock_source& clock_;                     ///< This process's.
    row_store& store_;                              ///< Not written to.
    job_host_settings settings_;                    ///< Limits.
    agent_sessions agents_;                         ///< Links to agents.
    dispatcher dispatcher_;                         ///< Places tasks.
    job_coordinator jobs_;                          ///< The jobs.
    std::set<std::string> group_;                   ///< Agents to place at.
    std::map<std::string, instant> departed_;       ///< Agents that were.
    std::map<std::string, agent_silence> silences_; ///< By agent.
    instant last_tick_{};                           ///< Last tick.
    bool resumed_after_pause_ = false; ///< It stood still until then.
    instant load_logged_at_{};         ///< Last line on the load.
    bool dispatching_ = false;         ///< A dispatch is on its way.
    bool refusing_ = false;            ///< Takes no more jobs.
};

} // namespace glenhollow

#endif
