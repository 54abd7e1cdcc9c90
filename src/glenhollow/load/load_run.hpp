#ifndef GLENHOLLOW_LOAD_LOAD_RUN_HPP
#define GLENHOLLOW_LOAD_LOAD_RUN_HPP

#include "glenhollow/http/client.hpp"
#include "glenhollow/load/load_plan.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace glenhollow
{

/// Where the load goes and how long callers are patient.
struct load_run_settings
{
    std::vector<host_port> entries; ///< Callers spread over them.
    std::vector<host_port> runners; ///< Stand-ins that count starts.
    std::string token;              ///< Bearer token of the team, or empty.
    std::size_t slots = 0;          ///< Of the whole system; 0: asked for.
    std::size_t ids_ahead = 200;    ///< Ids minted in one request.
    std::size_t attempts = 60;      ///< Of one job before it counts as lost.
    duration retry_wait = milliseconds{100}; ///< After a broken connection.
    duration timeline = duration::zero();    ///< Width of a bin; 0: none.
};

/// What the load met.
struct load_totals
{
    std::size_t jobs = 0;            ///< Planned.
    std::size_t complete = 0;        ///< Answered whole.
    std::size_t failed = 0;          ///< Marked failed.
    std::size_t refused = 0;         ///< Refused, not run.
    std::size_t lost = 0;            ///< No answer after all attempts.
    std::size_t partial = 0;         ///< Complete, but with results missing.
    std::size_t crossed = 0;         ///< With another job's results.
    std::size_t differing = 0;       ///< Two answers that do not agree.
    std::size_t refused_but_ran = 0; ///< Refused, yet a runner started it.
    std::size_t resubmitted = 0;   ///< Sent again, on purpose or after a break.
    std::size_t started_twice = 0; ///< Tasks, as the runners count.
    bool starts_counted = false;   ///< Runners were asked.
    std::size_t tasks_complete = 0;             ///< Tasks of complete jobs.
    std::vector<double> slowdowns;              ///< Of complete jobs.
    std::vector<double> latencies_ms;           ///< Of complete jobs.
    std::map<std::string, std::size_t> reasons; ///< Of refusals and failures.
    std::map<std::string, double> wasted;       ///< Messages by kind.
    double tasks_started = 0;                   ///< As the entries count.
    std::vector<std::size_t> timeline; ///< Tasks completed in each bin.
    std::vector<double> lengths_ms;    ///< Busy time asked for, all jobs.
    double elapsed_s = 0;              ///< From the first arrival to the end.
    std::size_t slots = 0;             ///< Of the whole system.
};

/// Plays a plan against entries, open loop: a job leaves at its planned time
/// whatever the system does, and its time counts from then.
class load_run final
{
public:
    /// @param io Runs everything.
    /// @param settings Where the load goes.
    /// @param plan The jobs.
    /// @param what Team and deadline of the jobs.
    load_run(boost::asio::io_context& io, const load_run_settings& settings,
             std::vector<planned_job> plan, const load_plan_settings& what);
    ~load_run();

    /// Plays the plan to its end.
    /// @return What was met.
    load_totals play();

private:
    struct job_state;

    void mint(std::size_t entry);
    void schedule();
    void begin(job_state& job);
    void send(job_state& job, std::size_t entry);
    void answered(job_state& job, std::size_t entry, const http_result& end);
    void again(job_state& job, std::size_t entry, duration wait);
    void judge(job_state& job, const http_response& response);
    void check_whole(job_state& job, const std::string& body);
    void settle(job_state& job);
    void scrape(std::map<std::string, double>& into);
    void count_starts();
    std::size_t other_than(std::size_t entry, job_state& job);
    std::string team_of(std::size_t place) const;

    boost::asio::io_context& io_;   ///< Runs everything.
    load_run_settings settings_;    ///< Where the load goes.
    std::vector<planned_job> plan_; ///< The jobs.
    load_plan_settings what_;       ///< Team and deadline.
    std::vector<std::unique_ptr<http_client>> clients_; ///< By entry.
    std::vector<std::vector<std::string>> ids_;         ///< Minted, by entry.
    std::vector<bool> minting_; ///< A request for ids is under way.
    std::vector<std::unique_ptr<job_state>> jobs_;  ///< By place in the plan.
    std::vector<std::vector<std::size_t>> waiting_; ///< For ids, by entry.
    std::size_t next_ = 0; ///< Place of the next arrival.
    std::size_t open_ = 0; ///< Jobs not settled.
    instant start_{};      ///< Of the first arrival.
    load_totals totals_;   ///< What was met.
};

} // namespace glenhollow

#endif
