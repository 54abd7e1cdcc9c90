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

/// A job of a scenario, which nothing draws.
struct planned_job
{
    duration at{};                  ///< When its caller first asks.
    std::size_t entry = 0;          ///< Whom.
    std::uint32_t tasks = 1;        ///< Of its only step.
    milliseconds work{};            ///< Of each task.
    duration timeout = seconds{30}; ///< Of its caller.
};

/// A fault of a scenario.
struct planned_fault
{
    duration at{};         ///< When it strikes.
    std::string kind;      ///< As in the list of kinds.
    std::size_t entry = 0; ///< Whom, where it strikes an entry or a link.
    std::size_t agent = 0; ///< The same for agents, links and servers.
    duration length{};     ///< Of the fault.
};

/// What a schedule is drawn from.
struct durable_schedule_settings
{
    std::uint64_t seed = 1;  ///< Of all that is drawn.
    bool journalled = false; ///< Jobs are kept in the journal, else in memory.
    bool tracing = false;    ///< The order of events is written down.
    std::size_t entries = 2; ///< How many.
    std::size_t agents = 3;  ///< How many, each with its server.
    std::set<std::string>
        excluded_faults;               ///< Kinds of faults that are left out.
    std::vector<planned_job> jobs;     ///< A scenario's: in place of drawn jobs
                                       ///< and faults.
    std::vector<planned_fault> faults; ///< Of the scenario.
    duration length{};                 ///< Of the scenario.
};

/// What a schedule came to.
struct durable_outcome
{
    std::vector<std::string> violations; ///< What did not hold.
    std::vector<std::string> lines;      ///< Its order of events.
    std::uint64_t starts = 0;            ///< At servers.
    std::uint64_t succeeded = 0;         ///< Jobs.
    std::uint64_t refused = 0;           ///< Jobs, each time.
    std::uint64_t resent = 0;            ///< Submissions after the first.
    std::uint64_t lapses = 0;            ///< Holds that agents let go.
    std::map<std::string, std::uint64_t> faults;     ///< By kind.
    std::map<std::string, std::uint64_t> situations; ///< That came about, of
                                                     ///< those that faults
                                                     ///< were found in.
};

/// Real coordinators, dispatchers and run managers with backend servers that
/// keep the platform's rules, in one process, through one seeded schedule of
/// faults on clocks that differ.
class durable_world final
{
public:
    /// @param settings What it is drawn from.
    explicit durable_world(const durable_schedule_settings& settings);
    ~durable_world();

    /// Plays the schedule to its end.
    /// @return What it came to.
    durable_outcome play();

private:
    struct agent_site
    {
        std::unique_ptr<simulated_server> server; ///< The backend server.
        std::unique_ptr<simulated_agent> agent;   ///< Beside it.
        std::vector<simulated_link> links;        ///< By entry.
        instant server_ended{};     ///< Its last end under faults.
        instant server_restarted{}; ///< Its last begin under the same id.
        duration server_downtime{}; ///< Between the two.
    };

    struct entry_site
    {
        std::unique_ptr<simulated_store> store; ///< Its way to the store.
        std::unique_ptr<simulated_entry> entry; ///< The entry.
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
        std::size_t entry = 0;               ///< Where.
        std::uint64_t process = 0;           ///< Of the entry.
        attempt_end end = attempt_end::open; ///< For its caller.
    };

    struct caller
    {
        job_definition job;            ///< What it asks for.
        duration timeout{};            ///< Of each attempt.
        std::vector<attempt> attempts; ///< So far.
        bool has_answer = false;       ///< It has its answer.
        bool withdrawn = false;        ///< It wants none any more.
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

    durable_schedule_settings settings_;  ///< What it is drawn from.
    simulated_time time_;                 ///< Time and chance.
    std::unique_ptr<trace_log> log_sink_; ///< While the order is written down.
    run_checks checks_;                   ///< What must hold.
    fake_row_store rows_;                 ///< The store of the journal.
    std::vector<agent_site> agents_;      ///< By number.
    std::vector<entry_site> entries_;     ///< By number.
    std::vector<caller> callers_;         ///< By number.
    instant entries_cut_until_{};         ///< Entries don't hear each other.
    durable_outcome outcome_;             ///< So far.
};

} // namespace glenhollow

#endif
