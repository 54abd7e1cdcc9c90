#ifndef GLENHOLLOW_TESTS_DURABLE_WORLD_HPP
#define GLENHOLLOW_TESTS_DURABLE_WORLD_HPP

#include "run_checks.hpp"
#include "simulated_entry.hpp"
#include "trace_log.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace glenhollow
{

/// A job of a scenario.
struct planned_job
{
    duration at{};           ///< Time of the first submission.
    std::size_t entry = 0;   ///< Entry that gets the first attempt.
    std::uint32_t tasks = 1; ///< Tasks of its only step.
    milliseconds work{};     ///< Run time of each task.
    /// How long its caller waits for an answer.
    duration timeout = seconds{30};
};

/// A fault of a scenario.
struct planned_fault
{
    duration at{};         ///< Time of the fault.
    std::string kind;      ///< Name of the kind of fault.
    std::size_t entry = 0; ///< Affected entry, for entries and links.
    std::size_t agent = 0; ///< Affected agent, for agents, links and servers.
    duration length{};     ///< Duration of the fault.
};

/// Settings of one schedule.
struct durable_schedule_settings
{
    std::uint64_t seed = 1;  ///< Seed of the random engine.
    bool journalled = false; ///< Whether jobs are journalled or in memory.
    bool tracing = false;    ///< Whether the trace is recorded.
    std::size_t entries = 2; ///< Number of entries.
    std::size_t agents = 3;  ///< Number of agents, each with its server.
    std::set<std::string> excluded_faults; ///< Kinds of faults not to inject.
    /// Jobs of a scenario; replace random jobs and faults.
    std::vector<planned_job> jobs;
    std::vector<planned_fault> faults; ///< Faults of the scenario.
    duration length{};                 ///< Duration of the scenario.
    /// Maximum number of ends that a server names in one answer.
    std::size_t max_listed_ends = 500;
};

/// Result of one schedule.
struct durable_outcome
{
    /// Descriptions of violated guarantees.
    std::vector<std::string> violations;
    std::vector<std::string> lines; ///< Trace of the schedule.
    std::uint64_t starts = 0;       ///< Runs started at servers.
    std::uint64_t succeeded = 0;    ///< Jobs that were answered.
    std::uint64_t refused = 0;      ///< Jobs that were only refused.
    std::uint64_t resent = 0;       ///< Repeated submissions.
    std::uint64_t lapses = 0;       ///< Holds that agents let lapse.
    std::map<std::string, std::uint64_t> faults; ///< Number of faults by kind.
    /// Number of relevant situations that occurred, by name.
    std::map<std::string, std::uint64_t> situations;
};

/// Plays one seeded schedule of faults against real coordinators, dispatchers
/// and run managers, with simulated backend servers and unequal clocks.
class durable_world final
{
public:
    /// @param settings Seed, size and faults of the schedule.
    explicit durable_world(const durable_schedule_settings& settings);
    ~durable_world();

    /// Plays the schedule to its end.
    /// @return Its result.
    durable_outcome play();

private:
    struct agent_site
    {
        std::unique_ptr<simulated_server> server; ///< Backend server.
        std::unique_ptr<simulated_agent> agent;   ///< Agent beside the server.
        std::vector<simulated_link> links;        ///< Network links, by entry.
        instant server_ended{};     ///< Last end of the server by a fault.
        instant server_restarted{}; ///< Last restart under the same id.
        duration server_downtime{}; ///< Time between these two.
    };

    struct entry_site
    {
        /// Connection of the entry to the store.
        std::unique_ptr<simulated_store> store;
        std::unique_ptr<simulated_entry> entry;
    };

    /// How one submission ended for its caller.
    enum class attempt_end : std::uint8_t
    {
        open,
        refused,
        lost,
        withdrawn,
        answered
    };

    struct attempt
    {
        std::size_t entry = 0;               ///< Number of the entry.
        std::uint64_t process = 0;           ///< Process of the entry.
        attempt_end end = attempt_end::open; ///< How it ended.
    };

    struct caller
    {
        job_definition job;
        duration timeout{};            ///< Timeout of each attempt.
        std::vector<attempt> attempts; ///< Attempts so far.
        bool has_answer = false;       ///< Whether the caller has its answer.
        bool withdrawn = false; ///< Whether the caller has given the job up.
    };

    void build();
    caller make_caller(std::size_t number, std::uint32_t tasks,
                       milliseconds work, duration timeout) const;
    durable_outcome evaluate();
    void plan_jobs(instant around);
    void plan_faults(instant first);
    void schedule_fault(const std::string& kind, duration at,
                        std::size_t victim);
    void apply_fault(const std::string& kind, std::size_t victim,
                     duration length);
    void apply_fault(const planned_fault& one);
    void plan_scenario();
    void restart_server(std::size_t agent, duration downtime, bool same_id);
    void pause(std::size_t agent, duration length);
    void kill_entry(std::size_t entry, bool notify_peers, duration downtime);
    void kill_agent(std::size_t agent, bool notify_peers, duration downtime);
    void exchange_views();
    void send_heartbeats(std::size_t agent);
    void submit(std::size_t caller_index, std::size_t entry);
    void reply(std::size_t caller_index, std::size_t attempt_index,
               const job_reply& got);
    void fail_attempt(std::size_t caller_index, std::size_t attempt_index);
    void schedule_resubmission(std::size_t caller_index);
    void fail_attempts_at(std::size_t entry, bool notify_peers);
    std::size_t random_entry() { return time_.random() % settings_.entries; }
    std::size_t random_agent() { return time_.random() % settings_.agents; }

    durable_schedule_settings settings_;
    simulated_time time_; ///< Clock, events and random engine.
    /// Log lines of the trace; null without one.
    std::unique_ptr<trace_log> log_sink_;
    run_checks checks_;               ///< Checks of the runs at servers.
    fake_row_store rows_;             ///< Store of the journal.
    std::vector<agent_site> agents_;  ///< Agents by number.
    std::vector<entry_site> entries_; ///< Entries by number.
    std::vector<caller> callers_;     ///< Callers by number.
    instant entries_cut_until_{}; ///< Entries exchange no views before then.
    /// Entries refuse each other's connections before then.
    instant entries_refuse_until_{};
    durable_outcome outcome_; ///< Result so far.
};

} // namespace glenhollow

#endif
