#ifndef GLENHOLLOW_SUPERVISION_SUPERVISOR_HPP
#define GLENHOLLOW_SUPERVISION_SUPERVISOR_HPP

#include "glenhollow/core/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace glenhollow
{

/// A component of a process that a supervisor starts, stops and restarts.
class supervised
{
public:
    /// Receives the cause of a failure; called at most once per start().
    using failed_handler = std::function<void(std::string)>;

    virtual ~supervised() = default;

    /// @return The component's name in logs.
    virtual const std::string& name() const = 0;

    /// Starts the component.
    /// @param failed Called on the supervisor's thread when the component
    /// fails.
    virtual void start(failed_handler failed) = 0;

    /// Stops the component. No failure is reported after this call.
    virtual void stop() = 0;
};

/// The supervisor's reaction to the failure of a child.
enum class restart_policy : std::uint8_t
{
    restart, ///< The child is restarted after a backoff.
    escalate ///< The supervisor fails: a restart cannot rebuild the state.
};

/// Limits on the rate of restarts.
struct supervisor_settings
{
    /// The delay before the first restart; doubles with each failure.
    duration initial_backoff = milliseconds{100};
    duration max_backoff = seconds{10}; ///< The upper limit of the backoff.
    std::size_t max_restarts = 20;      ///< The limit per restart window.
    /// The period over which restarts are counted.
    duration restart_window = seconds{120};
};

/// Starts its children in the order of add() and stops them in reverse order.
/// A child that fails is restarted alone, after a backoff. More restarts than
/// the limit within the restart window make the supervisor itself fail.
class supervisor final : public supervised
{
public:
    /// @param name The supervisor's name in logs.
    /// @param io Runs the backoff timers.
    supervisor(std::string name, boost::asio::io_context& io,
               const supervisor_settings& settings = {});

    /// Adds a child; to be called before start().
    /// @param policy The reaction to a failure of the child.
    void add(std::unique_ptr<supervised> child, restart_policy policy);

    const std::string& name() const override { return name_; }
    void start(failed_handler failed) override;
    void stop() override;

    /// @return The number of restarts of all children so far.
    std::uint64_t restarts() const { return restarts_; }

private:
    /// A child and the state of its restarts.
    struct entry
    {
        std::unique_ptr<supervised> child;
        restart_policy policy;           ///< The reaction to a failure.
        boost::asio::steady_timer timer; ///< Expires at the next restart.
        duration backoff;                ///< The delay before the next restart.
    };

    void start_child(std::size_t index);
    void child_failed(std::size_t index, const std::string& cause);
    bool too_many_restarts();

    std::string name_;
    boost::asio::io_context& io_;
    supervisor_settings settings_;
    std::vector<entry> children_; ///< All children, in start order.
    failed_handler on_failure_;   ///< Receives this component's failure.
    std::deque<instant> recent_restarts_; ///< Times within the restart window.
    std::uint64_t restarts_ = 0;          ///< The total over all children.
    bool running_ = false;                ///< True between start() and stop().
};

/// Calls a function periodically on an io_context. An exception thrown by the
/// function is reported as a failure of the task.
class periodic_task final : public supervised
{
public:
    /// @param name The task's name in logs.
    /// @param interval The time from the end of one run to the next run.
    periodic_task(std::string name, boost::asio::io_context& io,
                  duration interval, std::function<void()> work);

    const std::string& name() const override { return name_; }
    void start(failed_handler failed) override;
    void stop() override;

private:
    void run();
    void schedule_next_run();

    std::string name_;
    boost::asio::steady_timer timer_; ///< Expires at the next run.
    duration interval_;               ///< The pause between runs.
    std::function<void()> work_;
    failed_handler on_failure_; ///< Receives this component's failure.
};

/// Runs a function on a dedicated thread until a stop is requested. An
/// exception thrown by the function is reported as a failure of the task.
class thread_task final : public supervised
{
public:
    /// @param name The task's name in logs.
    /// @param io The supervisor's io_context; failures are reported on it.
    /// @param work The function; runs until `request_stop` is called.
    /// @param request_stop Makes `work` return; called from another thread.
    thread_task(std::string name, boost::asio::io_context& io,
                std::function<void()> work, std::function<void()> request_stop);
    ~thread_task() override;

    const std::string& name() const override { return name_; }
    void start(failed_handler failed) override;
    void stop() override;

private:
    std::string name_;
    boost::asio::io_context& io_;
    std::function<void()> work_;
    std::function<void()> request_stop_; ///< Makes `work_` return.
    std::thread thread_;
};

} // namespace glenhollow

#endif
