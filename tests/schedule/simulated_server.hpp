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

/// How calls between an agent and its backend server fare.
struct server_link
{
    double lost = 0;       ///< Share that never arrives.
    double unanswered = 0; ///< Share that is done, its answer lost.
    double late = 0;       ///< Share that is done seconds later, unanswered.
};

/// A backend server by the platform's rules.
class simulated_server final
{
public:
    /// @param time Outlives it.
    /// @param checks Told what it sees; outlives it.
    /// @param number Its own.
    /// @param rate Of its clock.
    /// @param guards Whether it refuses what it has no room for.
    simulated_server(simulated_time& time, run_checks& checks,
                     std::size_t number, double rate, bool checks_capacity);

    /// A life begins.
    /// @param same_id Under the id of the last one.
    void begin(bool same_id);

    /// The life ends with all that it runs.
    void end();

    /// @return Its account, as it registers it.
    server_account account() const;

    /// Its process, which may stand still.
    simulated_node& node() { return node_; }

    /// @return Number of its life, and of all connections to it.
    std::uint64_t incarnation() const { return incarnations_; }

    /// @return When its life started, by its own word.
    std::int64_t born_ms() const { return born_ms_; }

    void start(const run_start& start, const order_context& context,
               const backend_server_client::order_handler& done);
    void stop(const run_ref& run, const order_context& context,
              const backend_server_client::order_handler& done);
    void hold(const hold_request& request,
              const backend_server_client::hold_handler& done);

    /// A call is out: its connection breaks with the life.
    /// @param told Whether it has ended.
    /// @param broken Ends it without an answer.
    void track_call(const std::shared_ptr<bool>& completed,
                    std::function<void()> on_broken);

    server_link link;              ///< To its agent.
    bool clock_falls_back = false; ///< Each life's clock begins far behind the
                                   ///< last one's, else anywhere.

    /// What all servers have: cores in thousandths, MiB.
    static constexpr resources capacity{2000, 1000, 0};
    /// The longest hold by the platform; agents ask for less.
    static constexpr std::int64_t max_hold_ms = 2000;
    /// A stop takes so long at most.
    static constexpr duration max_stop_time = milliseconds{40};

private:
    struct run_state
    {
        run_ref run;                ///< Which.
        instant began{};            ///< By the simulation's clock.
        duration work{};            ///< All of it.
        bool stopping = false;      ///< It will end so.
        std::uint64_t local_id = 0; ///< Of this run here.
    };

    struct pending_poll
    {
        std::uint64_t number = 0;                 ///< Of the look.
        backend_server_client::hold_handler done; ///< Told.
    };

    using task_key = std::tuple<job_id, std::uint32_t, std::uint32_t>;

    struct open_call
    {
        std::shared_ptr<bool> completed; ///< It has ended.
        std::function<void()> on_broken; ///< Ends it.
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

    simulated_time& time_;            ///< Of the simulation.
    run_checks& checks_;              ///< Told.
    std::size_t number_;              ///< Its own.
    bool checks_capacity_;            ///< It refuses what it has no room for.
    simulated_node node_;             ///< Its process.
    std::string id_;                  ///< Of the life.
    std::int64_t born_ms_ = 0;        ///< Of the life.
    instant clock_origin_{};          ///< Its clock showed 0 then.
    std::uint64_t incarnations_ = 0;  ///< So far.
    std::uint64_t token_ = 0;         ///< Highest seen.
    std::int64_t hold_until_ms_ = 0;  ///< The hold, by its clock.
    std::uint64_t ends_ = 0;          ///< Numbers of the life.
    std::uint64_t confirmed_ = 0;     ///< Ends up to it are forgotten.
    std::uint64_t last_local_id_ = 0; ///< Of runs.
    std::uint64_t last_poll_number_ = 0;           ///< So far.
    std::list<run_state> running_;                 ///< Now.
    std::vector<run_end> finished_;                ///< Not forgotten.
    std::map<task_key, std::uint32_t> superseded_; ///< Runs up to it, by task.
    std::vector<pending_poll> pending_polls_;      ///< For an end.
    std::vector<open_call> calls_;                 ///< Not answered.
};

/// The calls of one process of an agent.
class simulated_server_port final : public backend_server_client
{
public:
    /// @param time Outlives it.
    /// @param server Outlives it.
    /// @param caller The agent's; outlives it.
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

    simulated_time& time_;     ///< Of the simulation.
    simulated_server& server_; ///< Called.
    simulated_node& caller_;   ///< The agent's process.
};

} // namespace glenhollow

#endif
