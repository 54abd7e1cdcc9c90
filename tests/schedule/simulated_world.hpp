#ifndef GLENHOLLOW_TESTS_SCHEDULE_SIMULATED_WORLD_HPP
#define GLENHOLLOW_TESTS_SCHEDULE_SIMULATED_WORLD_HPP

#include "glenhollow/agent/task_executor.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/entry/adopted_answers.hpp"
#include "glenhollow/entry/coordinator.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace glenhollow
{

/// Size and fault rates of a schedule.
struct schedule_settings
{
    std::uint64_t seed = 1;  ///< Seed of the random engine.
    std::size_t entries = 3; ///< Number of entries.
    std::size_t agents = 4;  ///< Number of agents.
    std::size_t jobs = 12;   ///< Number of jobs.
    /// Share of messages that break their link.
    double link_break_share = 0.05;
    double refuse_share = 0.05; ///< Share of tasks that runners refuse.
    /// Share of tasks whose runner connection breaks.
    double runner_break_share = 0.03;
    std::size_t deaths = 2; ///< Number of killed entries and agents.
    std::size_t pauses = 2; ///< Number of paused entries and agents.
};

/// Result of one schedule.
struct schedule_outcome
{
    /// Descriptions of violated guarantees.
    std::vector<std::string> violations;
    std::size_t complete = 0;      ///< Jobs with a complete answer.
    std::size_t failed = 0;        ///< Jobs marked failed.
    std::size_t refused = 0;       ///< Jobs that were only refused.
    std::size_t adoptions = 0;     ///< Adopted incarnations.
    std::size_t resent_starts = 0; ///< Starts resent after a broken link.
};

/// Plays one seeded schedule of delays, losses, duplicates, pauses, crashes and
/// resubmissions against real coordinators, executors and adopted answers, over
/// simulated links, runners and callers.
class simulated_world final
{
public:
    /// @param settings Size and fault rates.
    explicit simulated_world(const schedule_settings& settings);
    ~simulated_world();

    /// Plays the schedule to its end and checks the guarantees.
    /// @return Its result.
    schedule_outcome play();

private:
    class sim_runner;
    class sim_sender;
    struct sim_agent;
    struct sim_entry;
    struct sim_link;
    struct sim_job;

    void at(duration from_now, std::function<void()> work);
    duration random_duration(duration most);
    bool chance(double share);

    void add_entry(std::size_t number);
    void restart_agent(sim_agent& agent);
    void connect(sim_link& link);
    void break_link(sim_link& link);
    void deliver(sim_link& link, std::uint64_t generation,
                 const outgoing_start& start);
    void answer(sim_link& link, std::uint64_t generation, task_end end);
    void fail_outstanding(sim_link& link, reason why);
    void run_on(sim_entry& entry, const std::function<void()>& work);
    void schedule_wake(sim_entry& entry);
    load_report load_of(const sim_link& link) const;

    void plan_faults();
    void submit(sim_job& job, std::size_t entry);
    void submit_to_owner(sim_job& job, sim_entry& owner);
    void submit_elsewhere(sim_job& job, std::size_t entry);
    void adopt(sim_job& job, sim_entry& dead);
    void record_answer(sim_job& job, const job_answer& answer);
    void check();

    schedule_settings settings_;
    random_engine random_;
    manual_clock clock_; ///< Clock of all entries.
    /// Pending events by time.
    std::multimap<instant, std::function<void()>> events_;
    /// Entries, dead ones included.
    std::vector<std::unique_ptr<sim_entry>> entries_;
    std::vector<std::unique_ptr<sim_agent>> agents_; ///< Agents by number.
    /// Links of all entries to all agents.
    std::vector<std::unique_ptr<sim_link>> links_;
    std::vector<std::unique_ptr<sim_job>> jobs_;
    std::map<std::string, int> starts_; ///< Starts at runners, by task.
    /// Adopted answers, by incarnation.
    std::map<std::uint64_t, std::unique_ptr<adopted_answers>> adopted_;
    schedule_outcome outcome_; ///< Result so far.
};

} // namespace glenhollow

#endif
