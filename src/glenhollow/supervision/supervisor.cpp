#include "glenhollow/supervision/supervisor.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace glenhollow
{

supervisor::supervisor(std::string name, boost::asio::io_context& io,
                       const supervisor_settings& settings)
    : name_(std::move(name)), io_(io), settings_(settings)
{
}

void supervisor::add(std::unique_ptr<supervised> child, restart_policy policy)
{
    children_.push_back({std::move(child), policy,
                         boost::asio::steady_timer(io_),
                         settings_.initial_backoff});
}

void supervisor::start(failed_handler failed)
{
    on_failure_ = std::move(failed);
    running_ = true;
    for (std::size_t i = 0; i < children_.size() && running_; ++i)
        start_child(i);
}

void supervisor::stop()
{
    running_ = false;
    for (auto child = children_.rbegin(); child != children_.rend(); ++child)
    {
        child->timer.cancel();
        child->child->stop();
    }
}

void supervisor::start_child(std::size_t index)
{
    children_[index].child->start([this, index](const std::string& cause)
                                  { child_failed(index, cause); });
}

bool supervisor::too_many_restarts()
{
    const instant now = process_clock().now();
    recent_restarts_.push_back(now);
    while (recent_restarts_.front() < now - settings_.restart_window)
        recent_restarts_.pop_front();
    return recent_restarts_.size() > settings_.max_restarts;
}

void supervisor::child_failed(std::size_t index, const std::string& cause)
{
    if (!running_)
        return;
    auto& failed = children_[index];
    log_change(log_level::warning, "child_failed",
               {{"supervisor", name_},
                {"child", failed.child->name()},
                {"cause", cause}});
    failed.child->stop();
    if (failed.policy == restart_policy::escalate || too_many_restarts())
    {
        stop();
        return on_failure_(failed.child->name() + ": " + cause);
    }
    ++restarts_;
    failed.timer.expires_after(failed.backoff);
    failed.backoff = std::min(failed.backoff * 2, settings_.max_backoff);
    failed.timer.async_wait(
        [this, index](boost::system::error_code ec)
        {
            if (!ec && running_)
                start_child(index);
        });
}

periodic_task::periodic_task(std::string name, boost::asio::io_context& io,
                             duration interval, std::function<void()> work)
    : name_(std::move(name)), timer_(io), interval_(interval),
      work_(std::move(work))
{
}

void periodic_task::start(failed_handler failed)
{
    on_failure_ = std::move(failed);
    schedule_next_run();
}

void periodic_task::stop()
{
    on_failure_ = nullptr;
    timer_.cancel();
}

void periodic_task::schedule_next_run()
{
    timer_.expires_after(interval_);
    timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec && on_failure_)
                run();
        });
}

void periodic_task::run()
{
    try
    {
        work_();
    }
    catch (const std::exception& error)
    {
        const auto failed = std::exchange(on_failure_, nullptr);
        return failed(error.what());
    }
    if (on_failure_)
        schedule_next_run();
}

thread_task::thread_task(std::string name, boost::asio::io_context& io,
                         std::function<void()> work,
                         std::function<void()> request_stop)
    : name_(std::move(name)), io_(io), work_(std::move(work)),
      request_stop_(std::move(request_stop))
{
}

thread_task::~thread_task()
{
    stop();
}

void thread_task::start(failed_handler failed)
{
    thread_ = std::thread(
        [this, failed = std::move(failed)]
        {
            std::string cause = "ended by itself";
            try
            {
                work_();
                return;
            }
            catch (const std::exception& error)
            {
                cause = error.what();
            }
            boost::asio::post(io_, [failed, cause] { failed(cause); });
        });
}

void thread_task::stop()
{
    if (!thread_.joinable())
        return;
    request_stop_();
    thread_.join();
}

} // namespace glenhollow
