#ifndef GLENHOLLOW_TESTS_SOAK_SOAK_CLIENTS_HPP
#define GLENHOLLOW_TESTS_SOAK_SOAK_CLIENTS_HPP

#include "glenhollow/core/random.hpp"
#include "glenhollow/http/client.hpp"
#include "soak/recovery_meter.hpp"
#include "soak/soak_checker.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow::soak
{

/// Where one entry is called.
struct entry_address
{
    host_port callers;   ///< By clients.
    host_port readiness; ///< By the balancer.
};

/// How clients behave.
struct client_settings
{
    std::uint64_t seed = 1;                   ///< Decides the jobs.
    std::string host = "soak.example";        ///< Of the queue.
    std::string prefix = "/jobs/";            ///< Of the queue.
    duration between = milliseconds{40};      ///< Jobs.
    duration patience = seconds{5};           ///< For an answer.
    duration retransmit = milliseconds{1300}; ///< After no answer.
    duration ask = milliseconds{700}; ///< Between questions for a state.
    double kept = 0.5;                ///< Share of kept jobs.
    unsigned least_work_ms = 20;      ///< Of a task.
    unsigned most_work_ms = 300;      ///< Of a task.
    double again = 0.1;               ///< Share of accepted kept jobs
                                      ///< that arrive once more.
    bool mixed = false;               ///< Jobs of three kinds; see mixed_job.
    double leave = 0;  ///< Share of calls whose callers leave before their
                       ///< answer; half of them come again.
    double cancel = 0; ///< Share of jobs that are cancelled.
};

/// What became of the jobs.
struct client_counts
{
    std::uint64_t sent = 0;       ///< Jobs.
    std::uint64_t attempts = 0;   ///< To submit one.
    std::uint64_t no_answer = 0;  ///< Of the attempts; 502 and 504, too.
    std::uint64_t refused = 0;    ///< Jobs.
    std::uint64_t succeeded = 0;  ///< Jobs.
    std::uint64_t failed = 0;     ///< Jobs.
    std::uint64_t left = 0;       ///< Calls whose callers left.
    std::uint64_t cancels = 0;    ///< Jobs that were cancelled.
    std::uint64_t calm_calls = 0; ///< Attempts since all was well.
    std::uint64_t calm_held = 0;  ///< Of these, without any answer in time.
};

/// Clients and the balancer before the entries: submit jobs, send again what
/// got no answer, and ask for the states of kept jobs until they have ended.
class soak_clients final
{
public:
    /// Takes one line of the soak's log.
    using teller = std::function<void(const std::string&)>;

    /// @param io Runs the calls.
    /// @param settings How they behave.
    /// @param entries Whom they call.
    /// @param checker Is told what they see; outlives it.
    /// @param tell Gets what is not usual.
    soak_clients(boost::asio::io_context& io, const client_settings& settings,
                 const std::vector<entry_address>& entries,
                 soak_checker& checker, teller tell);

    /// Begins to ask for readiness.
    void begin_balancer();

    /// Begins to submit jobs.
    void begin();

    /// No new jobs; what is open goes on.
    void stop_new() { more_ = false; }

    /// @return Whether an entry calls itself ready.
    bool any_ready() const;

    /// @return Jobs whose end is not known yet.
    std::size_t open() const { return open_.size(); }

    /// @return The open jobs, for the verdict.
    std::vector<std::string> open_jobs() const;

    /// @param since An instant.
    /// @return Whether a job sent later has succeeded.
    bool served_since(instant since) const { return last_served_ > since; }

    /// @param since From then on nothing is wrong, so that no answer may be
    /// held any more.
    void all_well(instant since) { well_ = since; }

    /// @param calm When the last fault ended.
    /// @return See recovery_meter.
    std::optional<duration> recovered(instant calm) const
    {
        return meter_.recovered(calm, process_clock().now());
    }

    /// @return Counters.
    const client_counts& counts() const { return counts_; }

private:
    /// One entry as the balancer sees it.
    struct node
    {
        std::unique_ptr<http_client> callers;   ///< Kept open.
        std::unique_ptr<http_client> readiness; ///< Kept open.
        unsigned missed = 2;                    ///< Checks; 2: out.
    };

    /// A job on its way.
    struct open_job
    {
        soak_job job;           ///< As sent.
        std::string body;       ///< As sent.
        instant sent{};         ///< First.
        bool accepted = false;  ///< A kept job's 2xx was there.
        bool cancelled = false; ///< A cancel was sent.
    };

    void check_ready(std::size_t at);
    void submit_next();
    soak_job draw_job();
    node& pick();
    http_request request_of(const std::string& method, const std::string& id,
                            std::string body) const;
    void submit(const std::string& id);
    void take_submitted(const std::string& id, const http_result& got);
    void not_answered(const std::string& id, bool leaves);
    void cancel_later(const std::string& id);
    void cancel(const std::string& id);
    void accepted(open_job& open);
    void send_again(const std::string& id);
    void ask(const std::string& id);
    void take_state(const std::string& id, instant asked,
                    const http_result& got);
    void end(const std::string& id, const std::string& state);

    boost::asio::io_context& io_;          ///< Runs the calls.
    client_settings settings_;             ///< How they behave.
    soak_checker& checker_;                ///< Is told.
    teller tell_;                          ///< The log.
    random_engine random_;                 ///< Of the jobs.
    std::vector<node> nodes_;              ///< The entries.
    std::map<std::string, open_job> open_; ///< By id.
    client_counts counts_;                 ///< Counters.
    recovery_meter meter_;                 ///< Of the jobs.
    instant well_ = instant::max();        ///< Since then nothing is wrong.
    instant last_served_{}; ///< First send of the youngest job served.
    bool more_ = true;      ///< New jobs.
};

} // namespace glenhollow::soak

#endif
