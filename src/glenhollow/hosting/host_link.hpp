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

/// Limits of a session with a host.
struct host_link_settings
{
    duration send_check =
        milliseconds{200}; ///< Between two checks, with few hosts.
    duration max_check_interval = milliseconds{400}; ///< However many there
                                                     ///< are: a host waits 1 s
                                                     ///< for the next one.
    duration slow_after = milliseconds{120}; ///< A check without an answer for
                                             ///< so long: other hosts go first.
    duration silence_timeout =
        milliseconds{600}; ///< And for so long: the host is lost.
    duration retry_delay = milliseconds{400}; ///< Until it is asked again.
};

/// Counters of a session.
struct host_link_stats
{
    std::uint64_t submitted = 0; ///< Jobs.
    std::uint64_t lost = 0;      ///< Of these, lost with their host.
};

/// What a host knows of its group.
struct host_load
{
    std::map<std::string, placement_load> by_service; ///< Room and queue.
    std::uint32_t agents = 0;                         ///< With a session.
    bool stopping = false;                            ///< Takes no more jobs.
};

/// An entry's session with one host. Runs inside an rpc_loop.
class host_link final
{
public:
    /// Told a job's end, or nothing where the host was lost.
    using answer_handler = std::function<void(std::optional<job_reply>)>;

    /// @param clock Outlives the link.
    /// @param agents Links to the agents; outlives the link.
    /// @param later Runs work after what runs now.
    /// @param host The agent whose process hosts.
    /// @param settings Limits.
    host_link(const clock_source& clock, agent_sessions& agents,
              std::function<void(std::function<void()>)> post, std::string host,
              const host_link_settings& settings);
    ~host_link() noexcept;

    /// Opens, checks, and notices silence.
    /// @param group The agents that the host shall place at.
    /// @param interval Between two checks.
    void tick(const std::vector<agent_address>& group, duration interval);

    /// @param job Goes to the host.
    /// @param only_with_room The host shall give it back, with `not_owner`,
    /// unless all of it could begin at once.
    /// @param wall_ms This entry's time of day, ms since 1970.
    /// @param done Told once.
    void submit(const job_definition& job, bool only_with_room,
                std::int64_t wall_ms, answer_handler done);

    /// @param id A job whose caller has gone.
    void withdraw(job_id id);

    /// @param id A job.
    /// @param done Told once.
    void cancel(job_id id, answer_handler done);

    /// @return Whether the session is open and the host takes jobs.
    bool is_open() const { return session_ != nullptr && !load_.stopping; }

    /// @return Whether the host has answered its last check in time.
    bool is_responsive() const;

    /// @return Whether it was lost, or stops, and is not to be asked yet.
    bool is_avoided() const;

    /// @param service A service.
    /// @return What the host last told of it; null: nothing.
    const placement_load* load(const std::string& service) const;

    /// @return Cores that were handed jobs since then take, at least.
    double sent_cores() const { return sent_cores_; }

    /// @return Jobs that have not ended.
    std::size_t open_jobs() const { return jobs_.size(); }

    /// @return The host's name.
    const std::string& host() const { return host_; }

    /// @return Counters.
    const host_link_stats& stats() const { return stats_; }

    /// Ends the session, while the event loop lives.
    void close();

private:
    struct session;

    /// A job at the host. The same id may come again before its answer.
    struct open_job
    {
        std::uint64_t submission = 0; ///< Its number.
        answer_handler done;          ///< Told its end.
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

    const clock_source& clock_;                       ///< This entry's.
    agent_sessions& agents_;                          ///< Links to the agents.
    std::function<void(std::function<void()>)> post_; ///< Runs work.
    std::string host_;                                ///< Its name.
    host_link_settings settings_;                     ///< Limits.
    std::vector<agent_address> group_;   ///< That the host shall place at.
    std::unique_ptr<session> session_;   ///< While open.
    std::uint64_t session_number_ = 0;   ///< Of the session.
    bool is_opening_ = false;            ///< The host was asked.
    instant opening_started_{};          ///< When.
    instant retry_at_{};                 ///< Not asked before.
    host_load load_;                     ///< Last told.
    double sent_cores_ = 0;              ///< Handed since then.
    std::map<job_id, open_job> jobs_;    ///< Not ended.
    std::uint64_t submission_count_ = 0; ///< So far.
    std::map<std::uint64_t, answer_handler> pending_cancels_; ///< Not answered.
    std::uint64_t cancel_count_ = 0;                          ///< So far.
    host_link_stats stats_;                                   ///< Counters.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Guard.
};

} // namespace glenhollow

#endif
