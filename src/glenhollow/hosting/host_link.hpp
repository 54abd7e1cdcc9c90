#ifndef GLENHOLLOW_HOSTING_HOST_LINK_HPP
#define GLENHOLLOW_HOSTING_HOST_LINK_HPP

#include "glenhollow/durable/agent_sessions.hpp"
#include "glenhollow/durable/job_coordinator.hpp"
#include "glenhollow/rpc/rpc_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Intervals and timeouts of a session with a host.
struct host_link_settings
{
    /// Time between load checks while the entry has few hosts.
    duration check_interval = milliseconds{200};
    /// Upper limit of that time when the entry has many hosts. It must be
    /// shorter than the time after which a host ends a silent session.
    duration max_check_interval = milliseconds{400};
    /// Age of an unanswered check after which other hosts are preferred.
    duration slow_after = milliseconds{120};
    /// Age of an unanswered check after which the host counts as lost.
    duration silence_timeout = milliseconds{600};
    /// Time before a lost host is contacted again.
    duration retry_delay = milliseconds{400};
};

/// Counters of a host link.
struct host_link_stats
{
    std::uint64_t submitted = 0; ///< Jobs sent to the host.
    std::uint64_t lost = 0;      ///< Jobs of these whose host was lost.
};

/// Load that a host last reported for its group.
struct host_load
{
    /// Free and waiting work by service.
    std::map<std::string, placement_load> by_service;
    std::uint32_t agents = 0; ///< Agents to which the host has a session.
    bool stopping = false;    ///< Whether the host has stopped taking jobs.
};

/// An entry's connection to one host: submits jobs, checks the host's load and
/// detects its loss. Runs inside an rpc_loop.
class host_link final
{
public:
    /// Receives the reply to a job, or nullopt if the host was lost.
    using answer_handler = std::function<void(std::optional<job_reply>)>;

    /// @param clock Must outlive the link.
    /// @param agents Sessions with the agents; must outlive the link.
    /// @param post Queues work to run after the current handler returns.
    /// @param host Name of the agent whose process is the host.
    /// @param settings Intervals and timeouts.
    host_link(const clock_source& clock, agent_sessions& agents,
              std::function<void(std::function<void()>)> post, std::string host,
              const host_link_settings& settings);
    ~host_link() noexcept;

    /// Opens the session if needed, sends due checks and detects silence.
    /// @param group Agents at which the host is to place tasks.
    /// @param interval Time between two checks.
    void tick(const std::vector<agent_address>& group, duration interval);

    /// Sends a job to the host.
    /// @param job Job to run.
    /// @param only_with_room Whether the host is to return the job with
    /// `not_owner` unless the whole job can start immediately.
    /// @param wall_ms Wall-clock time of this entry, ms since the Unix epoch.
    /// @param done Called once with the reply.
    void submit(const job_definition& job, bool only_with_room,
                std::int64_t wall_ms, answer_handler done);

    /// Withdraws a job whose caller has left; its handler is not called.
    /// @param id The job.
    void withdraw(job_id id);

    /// Cancels a job at the host.
    /// @param id The job.
    /// @param done Called once with the reply.
    void cancel(job_id id, answer_handler done);

    /// @return Whether the session is open and the host takes jobs.
    bool is_open() const { return session_ != nullptr && !load_.stopping; }

    /// @return Whether the session is open and no check has been unanswered for
    /// `slow_after`.
    bool is_responsive() const;

    /// @return Whether the host is stopping, or was lost and its retry delay
    /// has not passed.
    bool is_avoided() const;

    /// @param service Name of the service.
    /// @return The last reported load of the service; null if none.
    const placement_load* load(const std::string& service) const;

    /// @return Minimum number of cores needed by the jobs that were sent since
    /// the last load report.
    double sent_cores() const { return sent_cores_; }

    /// @return Number of jobs that have not ended.
    std::size_t open_jobs() const { return jobs_.size(); }

    /// @return Name of the host.
    const std::string& host() const { return host_; }

    /// @return Counters of this link.
    const host_link_stats& stats() const { return stats_; }

    /// Ends the session. Call it while the event loop still exists.
    void close();

private:
    struct session;

    /// A job at the host. The same id may be submitted again before the reply.
    struct open_job
    {
        std::uint64_t submission = 0; ///< Number of the latest submission.
        answer_handler done;          ///< Receives the reply.
    };

    void session_opened(std::uint64_t session_number,
                        wire::JobHost::Client host);
    void send_check(const std::vector<agent_address>& group);
    void update_load(wire::HostLoad::Reader load);
    void handle_reply(std::uint64_t session_number, job_id id,
                      std::uint64_t submission,
                      const std::optional<job_reply>& reply);
    void withdraw_all();
    void end_as_lost(std::string_view cause);

    const clock_source& clock_;
    agent_sessions& agents_; ///< Sessions with the agents.
    std::function<void(std::function<void()>)> post_; ///< Queues work.
    std::string host_;                                ///< Name of the host.
    host_link_settings settings_;
    /// Agents at which the host is to place tasks.
    std::vector<agent_address> group_;
    std::unique_ptr<session> session_; ///< Null while no session is open.
    /// Number of the current session or opening attempt.
    std::uint64_t session_number_ = 0;
    bool is_opening_ = false; ///< A session was requested and is not open yet.
    instant opening_started_{}; ///< Time of that request.
    instant retry_at_{};        ///< Earliest time of the next opening attempt.
    host_load load_;            ///< Last reported load.
    double sent_cores_ = 0;     ///< Cores of jobs sent since that report.
    std::map<job_id, open_job> jobs_;    ///< Jobs that have not ended.
    std::uint64_t submission_count_ = 0; ///< Number of the last submission.
    /// Handlers by request number.
    std::map<std::uint64_t, answer_handler> pending_cancels_;
    std::uint64_t cancel_count_ = 0; ///< Number of the last cancel request.
    host_link_stats stats_;
    /// Set to false by the destructor; guards pending callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace glenhollow

#endif
