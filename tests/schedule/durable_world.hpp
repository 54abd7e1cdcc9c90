#ifndef GLENHOLLOW_TESTS_DURABLE_WORLD_HPP
#define GLENHOLLOW_TESTS_DURABLE_WORLD_HPP

#include "run_checks.hpp"
#include "simulated_entry.hpp"
#include "story_log.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace glenhollow
{

/// A job of a scenario, which nothing draws.
struct planned_job
{
    duration at{};                   ///< When its caller first asks.
    std::size_t entry = 0;           ///< Whom.
    std::uint32_t tasks = 1;         ///< Of its only step.
    milliseconds work{};             ///< Of each task.
    duration patience = seconds{30}; ///< Of its caller.
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
    bool kept = false;       ///< Jobs are kept in the journal, else in memory.
    bool tracing = false;    ///< The order of events is written down.
    std::size_t entries = 2; ///< How many.
    std::size_t agents = 3;  ///< How many, each with its server.
    std::set<std::string> without;     ///< Kinds of faults that are left out.
    std::vector<planned_job> jobs;     ///< A scenario's: in place of drawn jobs
                                       ///< and faults.
    std::vector<planned_fault> faults; ///< Of the scenario.
    duration length{};                 ///< Of the scenario.
};

/// What a schedule came to.
struct durable_outcome
{
    std::vector<std::string> broken; ///< What did not hold.
    std::vector<std::string> lines;  ///< Its order of events.
    std::uint64_t starts = 0;        ///< At servers.
    std::uint64_t succeeded = 0;     ///< Jobs.
    std::uint64_t refused = 0;       ///< Jobs, each time.
    std::uint64_t resent = 0;        ///< Submissions after the first.
    std::uint64_t lapses = 0;        ///< Holds that agents let go.
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
        instant server_ended{};    ///< Its last end under faults.
        instant server_returned{}; ///< Its last begin under the same id.
        duration server_away{};    ///< Between the two.
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
        left,
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
        duration patience{};           ///< Of each attempt.
        std::vector<attempt> attempts; ///< So far.
        bool served = false;           ///< It has its answer.
        bool left = false;             ///< It wants none any more.
    };

    void build();
    caller caller_of(std::size_t number, std::uint32_t tasks, milliseconds work,
                     duration patience) const;
    durable_outcome judge();
    void plan_jobs(instant around);
    void plan_faults(instant first);
    void fault(const std::string& kind, duration at, std::size_t victim);
    void strike(const std::string& kind, std::size_t victim, duration length);
    void strike(const planned_fault& one);
    void plan_scenario();
    void return_server(std::size_t agent, duration away, bool same_id);
    void stand_still(std::size_t agent, duration length);
    void kill_entry(std::size_t entry, bool told, duration away);
    void kill_agent(std::size_t agent, bool told, duration away);
    void exchange_views();
    void heartbeats(std::size_t agent);
    void submit(std::size_t who, std::size_t entry);
    void reply(std::size_t who, std::size_t which, const job_reply& got);
    void lose(std::size_t who, std::size_t which);
    void come_again(std::size_t who);
    void lose_all_at(std::size_t entry, bool told);
    std::size_t any_entry() { return time_.random() % settings_.entries; }
    std::size_t any_agent() { return time_.random() % settings_.agents; }

    durable_schedule_settings settings_; ///< What it is drawn from.
    simulated_time time_;                ///< Time and chance.
    std::unique_ptr<story_log> logged_;  ///< While the order is written down.
    run_checks checks_;                  ///< What must hold.
    fake_row_store rows_;                ///< The store of the journal.
    std::vector<agent_site> agents_;     ///< By number.
    std::vector<entry_site> entries_;    ///< By number.
    std::vector<caller> callers_;        ///< By number.
    instant views_shut_{};               ///< Entries don't hear each other.
    durable_outcome outcome_;            ///< So far.
};

} // namespace glenhollow

#endif
