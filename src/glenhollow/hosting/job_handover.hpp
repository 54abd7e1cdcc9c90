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

/// When jobs in memory are handed over to agents' processes.
enum class hosting_mode : std::uint8_t
{
    automatic, ///< Where no entry has the power to place for all.
    always,    ///< Wherever hosts are there.
    never      ///< Entries place.
};

template <>
struct name_table<hosting_mode>
{
    static constexpr std::array<std::string_view, 3> names{"automatic",
                                                           "always", "never"};
};

/// Limits of the handing over.
struct job_handover_settings
{
    hosting_mode mode = hosting_mode::automatic; ///< When.
    std::uint32_t strong_entry_millicores =
        12; ///< Thousandths of a core an agent: an entry
            ///< that may use as much for each agent can
            ///< place for all. At 23 (11 agents) one
            ///< placer and hosts served alike; at 7.7
            ///< (65 agents) hosts served 0.04 to 0.11
            ///< more of all worth, at 2.3 (53) 0.4 more.
    std::size_t agents_per_group = 7;  ///< Agents of one host, about.
    std::size_t sampled_groups = 32;   ///< To whose hosts an entry hands jobs:
                                       ///< enough that one of them mostly has a
                                       ///< preferred label and room.
    std::size_t entries_per_group = 6; ///< That hand jobs to a group, on
                                       ///< average and at least: where entries
                                       ///< are few, each takes more groups.
    int attempts = 2;                  ///< Hosts that are asked for one job.
    host_link_settings link;           ///< Of the session with each host.
    recent_ends_settings ends;         ///< Of what is remembered of ended jobs.
};

/// Counters of the handing over.
struct job_handover_stats
{
    std::uint64_t handed = 0;       ///< Jobs that hosts took.
    std::uint64_t lost = 0;         ///< Of these, lost with their host.
    std::uint64_t reassigned = 0;   ///< Handed to another host, after the first
                                    ///< one, without room, did nothing.
    std::uint64_t without_host = 0; ///< Found no host; placed here.
    std::uint64_t repeated = 0; ///< Submissions of a job that hosts have, or
                                ///< had until lately.
};

/// The entries of the deployment, as far as one of them knows.
struct entry_statistics
{
    std::size_t count = 1;            ///< With the one that counts.
    std::uint32_t max_millicores = 0; ///< Thousandths of a core that the most
                                      ///< powerful one may use.
};

/// @param settings Limits.
/// @param groups Of all agents.
/// @param entries That hand jobs over.
/// @return To how many groups each of them does.
std::size_t groups_per_entry(const job_handover_settings& settings,
                             std::size_t groups, std::size_t entries);

/// Hands whole jobs in memory over to hosts: the agents are divided into
/// groups, and one agent's process of each places for it. What a job costs its
/// entry is then two messages, however many tasks it has. Runs inside an
/// rpc_loop.
class job_handover final
{
public:
    /// What it needs of its entry; all outlive it.
    struct dependencies
    {
        std::string entry;                     ///< Name of this entry.
        const clock_source& clock;             ///< This entry's.
        std::function<std::int64_t()> wall_ms; ///< Ms since 1970.
        const agent_directory& directory;      ///< All agents.
        agent_sessions& agents;                ///< Links to some of them.
        std::function<void(std::function<void()>)>
            post; ///< Runs work after what runs now.
        std::function<bool(const std::string& agent, const std::string& label)>
            has_label; ///< Of an agent's backend server; true for no label.
    };

    /// Runs a job at this entry.
    using local_submit =
        std::function<void(const job_definition&, job_reply_handler)>;

    /// @param around What it needs.
    /// @param settings Limits.
    job_handover(dependencies dependencies,
                 const job_handover_settings& settings);
    ~job_handover();

    /// Chooses the hosts anew, follows them, and notices silence.
    /// @param entries Known ones.
    void tick(const entry_statistics& entries);

    /// @return Whether jobs are handed over now.
    bool active() const { return active_; }

    /// @return The agents of the sampled groups, with which sessions are
    /// needed; null where jobs are not handed over.
    const std::set<std::string>* sampled_agents() const
    {
        return sample_ ? &*sample_ : nullptr;
    }

    /// @return A number that rises when those agents change.
    std::uint64_t sample_revision() const { return sample_revision_; }

    /// @return Whether a job lately needed a label that no sampled group has.
    bool lacks_label() const;

    /// @param agent An agent.
    /// @return Whether it is followed as a host, which needs its session.
    bool is_linked_host(const std::string& agent) const
    {
        return links_.contains(agent);
    }

    /// @param job One in memory.
    /// @param done Told its end, once, if it was taken.
    /// @param here Runs the job at this entry where every host that was asked
    /// did nothing.
    /// @return Whether a host was asked; if not, nothing was done.
    bool submit(const job_definition& job, job_reply_handler done,
                local_submit run_locally);

    /// @param id A job whose caller has gone.
    /// @return Whether a host has it.
    bool withdraw(job_id id);

    /// @param id A job.
    /// @param done Told the end, if a host has it.
    /// @return Whether a host has it.
    bool cancel(job_id id, job_reply_handler done);

    /// @param id A job.
    /// @return Whether a host has it, or had it until lately.
    bool knows(job_id id) const
    {
        return jobs_.contains(id) || ended_.find(id).has_value();
    }

    /// Answers for all jobs at once.
    void give_up_all();

    /// Ends all sessions, while the event loop lives.
    void close();

    /// @return Jobs that hosts have.
    std::size_t open_jobs() const { return jobs_.size(); }

    /// @return Hosts with an open session.
    std::size_t hosts() const;

    /// @param page Gets the metrics.
    void collect(metric_page& page) const;

private:
    /// A group and who hosts it.
    struct hosted_group
    {
        std::vector<agent_address> agents; ///< Its agents.
        host_group names;                  ///< The same.
        std::string host;                  ///< Chosen; empty: none.
    };

    /// A job at a host.
    struct handed_job
    {
        job_definition job;                  ///< As it was taken.
        std::vector<job_reply_handler> done; ///< Told its end.
        std::string host;                    ///< Who has it.
        int attempts = 1;                    ///< Hosts asked.
        local_submit run_locally;            ///< Runs it at this entry.
    };

    bool should_hand_over(const entry_statistics& entries) const;
    duration check_interval() const;
    void update_groups(const entry_statistics& entries);
    void clear_groups();
    void update_links();
    /// How well a group's labels suit a job.
    enum class label_match : std::uint8_t
    {
        missing_required,  ///< No agent has a label that a step needs.
        missing_preferred, ///< None has one that a step prefers.
        all_present        ///< Each label is there.
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

    dependencies dependencies_;          ///< Of the entry.
    job_handover_settings settings_;     ///< Limits.
    std::uint64_t divided_revision_ = 0; ///< Revision of the divided directory.
    std::size_t divided_entry_count_ = 0; ///< Entries that were known then.
    std::vector<hosted_group> groups_;    ///< Sampled.
    std::optional<std::set<std::string>> sample_; ///< Agents of these.
    std::uint64_t sample_revision_ = 0;           ///< Of these.
    std::map<std::string, std::unique_ptr<host_link>> links_; ///< By host.
    std::map<job_id, handed_job> jobs_;                       ///< At hosts.
    recent_ends ended_;                      ///< Of jobs that hosts had.
    std::optional<instant> label_missed_at_; ///< See lacks_label().
    bool active_ = false;                    ///< Jobs are handed over.
    job_handover_stats stats_;               ///< Counters.
};

} // namespace glenhollow

#endif
