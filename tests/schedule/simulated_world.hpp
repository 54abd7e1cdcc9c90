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

/// How rough a schedule is; all drawn from its seed.
struct schedule_settings
{
    std::uint64_t seed = 1;           ///< Of everything.
    std::size_t entries = 3;          ///< How many.
    std::size_t agents = 4;           ///< How many.
    std::size_t jobs = 12;            ///< How many callers have.
    double link_break_share = 0.05;   ///< Messages that break their link.
    double refuse_share = 0.05;       ///< Tasks that runners refuse.
    double runner_break_share = 0.03; ///< Tasks whose runner connection breaks.
    std::size_t deaths = 2;           ///< Entries and agents killed.
    std::size_t pauses = 2; ///< Entries and agents paused for a while.
};

/// What a schedule came to.
struct schedule_outcome
{
    std::vector<std::string> violations; ///< Promises that broke, in words.
    std::size_t complete = 0;            ///< Jobs answered whole.
    std::size_t failed = 0;              ///< Jobs marked failed.
    std::size_t refused = 0;             ///< Jobs only refused.
    std::size_t adoptions = 0;           ///< Incarnations adopted.
    std::size_t resent_starts = 0;       ///< Starts sent again after a break.
};

/// Drives real coordinators, executors and adopted answers over fake links,
/// runners and callers through one seeded schedule of delay, loss,
/// duplication, pause, death and resubmission.
class simulated_world final
{
public:
    /// @param settings How rough it is.
    explicit simulated_world(const schedule_settings& settings);
    ~simulated_world();

    /// Plays the schedule to its end and checks the promises.
    /// @return What it came to.
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

    schedule_settings settings_;                           ///< How rough it is.
    random_engine random_;                                 ///< Of everything.
    manual_clock clock_;                                   ///< Of all entries.
    std::multimap<instant, std::function<void()>> events_; ///< By time.
    std::vector<std::unique_ptr<sim_entry>> entries_;      ///< Dead ones too.
    std::vector<std::unique_ptr<sim_agent>> agents_;       ///< By place.
    std::vector<std::unique_ptr<sim_link>> links_;         ///< Entry by agent.
    std::vector<std::unique_ptr<sim_job>> jobs_;           ///< Of all callers.
    std::map<std::string, int> starts_; ///< As runners count.
    std::map<std::uint64_t, std::unique_ptr<adopted_answers>>
        adopted_;              ///< By incarnation.
    schedule_outcome outcome_; ///< So far.
};

} // namespace glenhollow

#endif
