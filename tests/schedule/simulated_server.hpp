#ifndef GLENHOLLOW_TESTS_SIMULATED_SERVER_HPP
#define GLENHOLLOW_TESTS_SIMULATED_SERVER_HPP

#include "glenhollow/runs/run_manager.hpp"
#include "run_checks.hpp"
#include "simulated_node.hpp"

#include <list>
#include <memory>
#include <string>

namespace glenhollow
{

/// Faults of the calls between an agent and its backend server.
struct server_link
{
    double lost = 0; ///< Share of calls that never arrive.
    /// Share of calls that are executed without an answer.
    double unanswered = 0;
    /// Share of calls executed seconds late without an answer.
    double late = 0;
};

/// A backend server that follows the platform's protocol.
class simulated_server final
{
public:
    /// @param time Must outlive the server.
    /// @param checks Notified of starts and ends; must outlive the server.
    /// @param rate Rate of its clock.
    /// @param checks_capacity Whether it refuses runs beyond its capacity.
    simulated_server(simulated_time& time, run_checks& checks,
                     std::size_t number, double rate, bool checks_capacity);

    /// Starts a new incarnation.
    /// @param same_id Whether it keeps the id of the last one.
    void begin(bool same_id);

    /// Ends the incarnation and all its runs.
    void end();

    /// @return Its account as sent in registrations.
    server_account account() const;

    /// @return Its process, which can be paused.
    simulated_node& node() { return node_; }

    /// @return Number of its incarnation, which also identifies connections.
    std::uint64_t incarnation() const { return incarnations_; }

    /// @return Birth time that it reports.
    std::int64_t born_ms() const { return born_ms_; }

    void start(const run_start& start, const order_context& context,
               const backend_server_client::order_handler& done);
    void stop(const run_ref& run, const order_context& context,
              const backend_server_client::order_handler& done);
    void hold(const hold_request& request,
              const backend_server_client::hold_handler& done);

    /// Registers a pending call, which fails when the incarnation ends.
    /// @param completed Whether the call has ended.
    /// @param on_broken Ends the call without an answer.
    void track_call(const std::shared_ptr<bool>& completed,
                    std::function<void()> on_broken);

    server_link link; ///< Faults of calls from its agent.
    /// Maximum number of ends in one answer.
    std::size_t max_listed_ends = 500;
    /// Whether the clock of each incarnation starts behind that of the last
    /// one.
    bool clock_falls_back = false;

    /// Capacity of each server: thousandths of cores, MiB.
    static constexpr resources capacity{2000, 1000, 0};
    /// Longest hold that the platform grants.
    static constexpr std::int64_t max_hold_ms = 2000;
    /// Longest duration of a stop.
    static constexpr duration max_stop_time = milliseconds{40};

private:
    struct run_state
    {
        run_ref run;
        instant began{};            ///< Start, by the clock of the simulation.
        duration work{};            ///< Total run time.
        bool stopping = false;      ///< Whether a stop is under way.
        std::uint64_t local_id = 0; ///< Identifies the run at this server.
    };

    struct pending_poll
    {
        std::uint64_t number = 0;                 ///< Number of the poll.
        backend_server_client::hold_handler done; ///< Receives the answer.
    };

    using task_key = std::tuple<job_id, std::uint32_t, std::uint32_t>;

    struct open_call
    {
        std::shared_ptr<bool> completed; ///< Whether the call has ended.
        std::function<void()> on_broken; ///< Ends the call without an answer.
    };

    static task_key key(const task_ref& task)
    {
        return {task.job, task.step, task.index};
    }

    std::int64_t now_ms() const;
    bool is_wrong_incarnation(const order_context& context) const;
    bool is_fenced(const order_context& context);
    void extend(std::int64_t deadline_ms);
    void schedule_lapse();
    void lapse();
    order_outcome begin_run(const run_start& start,
                            const order_context& context);
    void schedule_end(std::uint64_t local_id, duration left);
    void finish(std::uint64_t local_id, run_outcome how);
    hold_result run_lists() const;
    void answer_polls();
    void answer_poll(std::uint64_t number);

    simulated_time& time_;
    run_checks& checks_;
    std::size_t number_;       ///< Number of the server.
    bool checks_capacity_;     ///< Whether it refuses runs beyond its capacity.
    simulated_node node_;      ///< Server process.
    std::string id_;           ///< Id of the incarnation.
    std::int64_t born_ms_ = 0; ///< Birth time of the incarnation.
    instant clock_origin_{};   ///< Zero of its clock.
    std::uint64_t incarnations_ = 0; ///< Number of incarnations so far.
    std::uint64_t token_ = 0;        ///< Highest fencing token received.
    std::int64_t hold_until_ms_ = 0; ///< End of the hold, by its clock.
    std::uint64_t ends_ = 0;         ///< Number of the last end.
    std::uint64_t confirmed_ = 0;    ///< Number of the last confirmed end.
    std::uint64_t last_local_id_ = 0;
    std::uint64_t last_poll_number_ = 0;
    std::list<run_state> running_;  ///< Current runs.
    std::vector<run_end> finished_; ///< Unconfirmed ends.
    /// Highest run that may not start any more, by task.
    std::map<task_key, std::uint32_t> superseded_;
    std::vector<pending_poll> pending_polls_; ///< Polls that wait for an end.
    std::vector<open_call> calls_;            ///< Unanswered calls.
};

/// Backend server client of one agent process.
class simulated_server_port final : public backend_server_client
{
public:
    /// All arguments must outlive the client.
    /// @param caller Agent process.
    simulated_server_port(simulated_time& time, simulated_server& server,
                          simulated_node& caller)
        : time_(time), server_(server), caller_(caller)
    {
    }

    void start(const run_start& start, const order_context& context,
               order_handler done) override;
    void stop(const run_ref& run, const order_context& context,
              order_handler done) override;
    void hold(const hold_request& request, hold_handler done) override;

private:
    bool rejects_incarnation(const order_context& context,
                             const order_handler& done);
    template <class Result, class Call>
    void call(duration timeout, std::function<void(Result)> done, Call serve,
              Result unreachable_answer);

    simulated_time& time_;
    simulated_server& server_;
    simulated_node& caller_; ///< Agent process.
};

} // namespace glenhollow

#endif
