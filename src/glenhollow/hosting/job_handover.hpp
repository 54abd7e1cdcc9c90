#ifndef GLENHOLLOW_HOSTING_JOB_HANDOVER_HPP
#define GLENHOLLOW_HOSTING_JOB_HANDOVER_HPP

#include "glenhollow/core/names.hpp"
#include "glenhollow/hosting/host_groups.hpp"
#include "glenhollow/hosting/host_link.hpp"
#include "glenhollow/hosting/recent_ends.hpp"
#include "glenhollow/overlay/agent_directory.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace glenhollow
{

/// Whether entries hand jobs in memory over to agent processes.
enum class hosting_mode : std::uint8_t
{
    /// Jobs are handed over while no entry has enough CPU to place all jobs.
    automatic,
    always, ///< Jobs are handed over whenever a host is available.
    never   ///< Entries place all jobs themselves.
};

template <>
struct name_table<hosting_mode>
{
    static constexpr std::array<std::string_view, 3> names{"automatic",
                                                           "always", "never"};
};

/// Settings of the job handover.
struct job_handover_settings
{
    hosting_mode mode = hosting_mode::automatic;
    /// Millicores per agent that an entry needs to place for all agents itself.
    /// In automatic mode jobs are handed over while no entry has as much.
    std::uint32_t strong_entry_millicores = 12;
    std::size_t agents_per_group = 7; ///< Target number of agents per host.
    /// Minimum number of groups to which an entry hands jobs; large enough that
    /// one of them usually has a preferred label and free cores.
    std::size_t sampled_groups = 32;
    /// Minimum average number of entries per group. With few entries, each of
    /// them samples more groups.
    std::size_t entries_per_group = 6;
    /// Maximum number of hosts that are asked to take one job.
    int max_hosts_per_job = 2;
    host_link_settings link;   ///< Settings of the link to each host.
    recent_ends_settings ends; ///< Limits of the record of ended jobs.
};

/// Counters of the job handover.
struct job_handover_stats
{
    std::uint64_t handed = 0; ///< Jobs sent to hosts, resends included.
    std::uint64_t lost = 0;   ///< Jobs whose host was lost.
    /// Jobs sent to a second host after the first returned them.
    std::uint64_t reassigned = 0;
    /// Jobs that no host took; they are placed locally.
    std::uint64_t without_host = 0;
    /// Submissions of a job that is at a host or ended there recently.
    std::uint64_t repeated = 0;
};

/// Summary of the entries that one entry knows.
struct entry_statistics
{
    std::size_t count = 1; ///< Number of entries, including this one.
    /// CPU limit of the largest entry, in thousandths of a core.
    std::uint32_t max_millicores = 0;
};

/// Calculates the number of groups to which one entry hands jobs.
/// @param settings Settings of the handover.
/// @param groups Number of groups of all agents.
/// @param entries Number of entries that hand jobs over.
/// @return Number of groups to sample.
std::size_t groups_per_entry(const job_handover_settings& settings,
                             std::size_t groups, std::size_t entries);

/// Hands whole jobs in memory over to job hosts. The agents are divided into
/// groups, and the process of one agent per group places tasks for it. A job
/// then costs its entry two messages, whatever its number of tasks. Runs inside
/// an rpc_loop.
class job_handover final
{
public:
    /// Services of the entry that the handover uses; all must outlive it.
    struct dependencies
    {
        std::string entry; ///< Name of this entry.
        const clock_source& clock;
        /// Returns the wall-clock time, ms since the Unix epoch.
        std::function<std::int64_t()> wall_ms;
        const agent_directory& directory; ///< Addresses of all agents.
        agent_sessions& agents;           ///< Sessions with some of the agents.
        /// Queues work to run after the current handler returns.
        std::function<void(std::function<void()>)> post;
        /// Whether the agent's backend server has the label; true for an empty
        /// label.
        std::function<bool(const std::string& agent, const std::string& label)>
            has_label;
    };

    /// Runs a job at this entry.
    using local_submit =
        std::function<void(const job_definition&, job_reply_handler)>;

    /// @param dependencies Services of the entry.
    /// @param settings Settings of the handover.
    job_handover(dependencies dependencies,
                 const job_handover_settings& settings);
    ~job_handover();

    /// Updates the groups and their hosts, sends due checks and detects lost
    /// hosts.
    /// @param entries Summary of the known entries.
    void tick(const entry_statistics& entries);

    /// @return Whether jobs are currently handed over.
    bool active() const { return active_; }

    /// @return Agents of the sampled groups, which need a session with this
    /// entry; null while jobs are not handed over.
    const std::set<std::string>* sampled_agents() const
    {
        return sample_ ? &*sample_ : nullptr;
    }

    /// @return Revision of the sampled agents; increases with each change.
    std::uint64_t sample_revision() const { return sample_revision_; }

    /// @return Whether a recent job needed a label that no sampled group has.
    bool lacks_label() const;

    /// @param agent Name of the agent.
    /// @return Whether a link to the agent as a host exists, which needs its
    /// session.
    bool is_linked_host(const std::string& agent) const
    {
        return links_.contains(agent);
    }

    /// Hands a job to a host. A job that is at a host already, or ended there
    /// recently, is not sent again.
    /// @param job Job in memory.
    /// @param done Called once with the reply, if the result is true.
    /// @param run_locally Runs the job at this entry if every host that was
    /// asked returned it.
    /// @return Whether the job was taken; if false, nothing was done.
    bool submit(const job_definition& job, job_reply_handler done,
                local_submit run_locally);

    /// Withdraws a job whose caller has left.
    /// @param id The job.
    /// @return Whether the job was at a host.
    bool withdraw(job_id id);

    /// Cancels a job that is at a host, or reports its end if it ended there.
    /// @param id The job.
    /// @param done Called with the reply, if the result is true.
    /// @return Whether the job is at a host or ended there recently.
    bool cancel(job_id id, job_reply_handler done);

    /// @param id The job.
    /// @return Whether the job is at a host or ended there recently.
    bool knows(job_id id) const
    {
        return jobs_.contains(id) || ended_.find(id).has_value();
    }

    /// Withdraws all jobs and replies to their callers with an unknown outcome.
    void give_up_all();

    /// Ends all sessions. Call it while the event loop still exists.
    void close();

    /// @return Number of jobs at hosts.
    std::size_t open_jobs() const { return jobs_.size(); }

    /// @return Number of hosts with an open session.
    std::size_t hosts() const;

    /// @param page Receives the metrics.
    void collect(metric_page& page) const;

private:
    /// A sampled group and its host.
    struct hosted_group
    {
        /// Names and addresses of the agents.
        std::vector<agent_address> agents;
        host_group names; ///< Names of the agents.
        std::string host; ///< Name of the chosen host; empty if there is none.
    };

    /// A job at a host.
    struct handed_job
    {
        job_definition job;
        std::vector<job_reply_handler> done; ///< Receive the reply.
        std::string host;                    ///< Name of the host.
        int attempts = 1;                    ///< Number of hosts asked so far.
        local_submit run_locally;            ///< Runs the job at this entry.
    };

    bool should_hand_over(const entry_statistics& entries) const;
    duration check_interval() const;
    void update_groups(const entry_statistics& entries);
    void clear_groups();
    void update_links();

    /// How well the labels of a group match a job.
    enum class label_match : std::uint8_t
    {
        missing_required,  ///< A step needs a label that no agent has.
        missing_preferred, ///< A step prefers a label that no agent has.
        all_present        ///< All needed and preferred labels are present.
    };

    void note_missing_label(const job_definition& job);
    label_match match_labels(const hosted_group& group,
                             const job_definition& job) const;
    bool has_label(const hosted_group& group, const std::string& label) const;
    host_link* choose_link(const job_definition& job,
                           const std::string& excluded_host);
    double weight(const host_link& host, const job_definition& job) const;
    double free_cores(const host_link& host, const job_definition& job) const;
    host_link* link_with_room(const job_definition& job,
                              const std::string& excluded_host);
    void send(host_link& target, handed_job& job, bool only_with_room);
    void handle_reply(job_id id, const std::optional<job_reply>& reply);
    void finish(job_id id, const job_reply& reply);

    dependencies dependencies_;
    job_handover_settings settings_;
    /// Directory revision at the last division.
    std::uint64_t divided_revision_ = 0;
    /// Number of entries at the last division.
    std::size_t divided_entry_count_ = 0;
    std::vector<hosted_group> groups_; ///< Sampled groups.
    /// Agents of the sampled groups; null while jobs are not handed over.
    std::optional<std::set<std::string>> sample_;
    std::uint64_t sample_revision_ = 0; ///< Revision of the sampled agents.
    /// Links by host name.
    std::map<std::string, std::unique_ptr<host_link>> links_;
    std::map<job_id, handed_job> jobs_; ///< Jobs at hosts.
    recent_ends ended_; ///< Recent ends of jobs that were at hosts.
    /// Time of the last job whose label no sampled group had.
    std::optional<instant> label_missed_at_;
    bool active_ = false; ///< Whether jobs are handed over.
    job_handover_stats stats_;
};

} // namespace glenhollow

#endif
