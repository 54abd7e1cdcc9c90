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

/// A part of a process that a supervisor starts, stops and restarts.
class supervised
{
public:
    /// Told once after each start that ends by itself, with the cause.
    using failed_handler = std::function<void(std::string)>;

    virtual ~supervised() = default;

    /// @return Its name in logs.
    virtual const std::string& name() const = 0;

    /// Starts it.
    /// @param failed Called on the supervisor's thread when it fails.
    virtual void start(failed_handler failed) = 0;

    /// Stops it; no failure is reported after.
    virtual void stop() = 0;
};

/// What to do when a child fails.
enum class restart_policy : std::uint8_t
{
    restart, ///< Start it again after a backoff.
    escalate ///< The parent fails: its state cannot be rebuilt.
};

/// Limits of restarts.
struct supervisor_settings
{
    duration initial_backoff =
        milliseconds{100};                  ///< Doubles with each failure.
    duration max_backoff = seconds{10};     ///< The doubling ends here.
    std::size_t max_restarts = 20;          ///< Within the window.
    duration restart_window = seconds{120}; ///< Of the count of restarts.
};

/// Starts children in order, stops them in reverse, restarts the one that
/// fails. Too many restarts make the supervisor itself fail.
class supervisor final : public supervised
{
public:
    /// @param name In logs.
    /// @param io Runs the backoff timers.
    /// @param settings Limits.
    supervisor(std::string name, boost::asio::io_context& io,
               const supervisor_settings& settings = {});

    /// @param child A part to run, before start().
    /// @param policy What to do when it fails.
    void add(std::unique_ptr<supervised> child, restart_policy policy);

    const std::string& name() const override { return name_; }
    void start(failed_handler failed) override;
    void stop() override;

    /// @return Restarts of children so far.
    std::uint64_t restarts() const { return restarts_; }

private:
    /// A child with its restarts.
    struct entry
    {
        std::unique_ptr<supervised> child; ///< The part.
        restart_policy policy;             ///< When it fails.
        boost::asio::steady_timer timer;   ///< Until the next start.
        duration backoff;                  ///< Before the next restart.
    };

    void start_child(std::size_t index);
    void child_failed(std::size_t index, const std::string& cause);
    bool too_many_restarts();

    std::string name_;                    ///< In logs.
    boost::asio::io_context& io_;         ///< Runs the timers.
    supervisor_settings settings_;        ///< Limits.
    std::vector<entry> children_;         ///< In order of start.
    failed_handler on_failure_;           ///< The parent.
    std::deque<instant> recent_restarts_; ///< Times of restarts in the window.
    std::uint64_t restarts_ = 0;          ///< Of all children.
    bool running_ = false;                ///< Between start and stop.
};

/// A function that runs again and again on an io_context. An exception out of
/// it is its failure.
class periodic_task final : public supervised
{
public:
    /// @param name In logs.
    /// @param io Runs it.
    /// @param interval From the end of one run to the next.
    /// @param work The function.
    periodic_task(std::string name, boost::asio::io_context& io,
                  duration interval, std::function<void()> work);

    const std::string& name() const override { return name_; }
    void start(failed_handler failed) override;
    void stop() override;

private:
    void run();
    void schedule_next_run();

    std::string name_;                ///< In logs.
    boost::asio::steady_timer timer_; ///< Until the next run.
    duration interval_;               ///< Between runs.
    std::function<void()> work_;      ///< The function.
    failed_handler on_failure_;       ///< The supervisor.
};

/// A function that runs on a thread of its own until it is asked to stop. An
/// exception out of it is its failure.
class thread_task final : public supervised
{
public:
    /// @param name In logs.
    /// @param io The supervisor's thread, where failures are reported.
    /// @param work Runs until `request_stop` is called.
    /// @param request_stop Makes `work` return; called from another thread.
    thread_task(std::string name, boost::asio::io_context& io,
                std::function<void()> work, std::function<void()> request_stop);
    ~thread_task() override;

    const std::string& name() const override { return name_; }
    void start(failed_handler failed) override;
    void stop() override;

private:
    std::string name_;                   ///< In logs.
    boost::asio::io_context& io_;        ///< The supervisor's thread.
    std::function<void()> work_;         ///< The function.
    std::function<void()> request_stop_; ///< Ends it.
    std::thread thread_;                 ///< Runs it.
};

} // namespace glenhollow

#endif
