#ifndef GLENHOLLOW_TESTS_SIMULATED_NODE_HPP
#define GLENHOLLOW_TESTS_SIMULATED_NODE_HPP

#include "glenhollow/core/random.hpp"
#include "unit/support/manual_loop.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace glenhollow
{

/// Clock, random engine and trace of one simulation.
class simulated_time final
{
public:
    /// @param seed Seed of the random engine.
    /// @param tracing Whether the trace is recorded.
    explicit simulated_time(std::uint64_t seed, bool tracing = false)
        : random(seed), tracing_(tracing)
    {
    }

    /// @return Time since the start of the simulation.
    duration elapsed() const { return loop.clock.now() - seconds{1000}; }

    /// Runs work after a delay, regardless of paused processes.
    void after(duration wait, std::function<void()> work)
    {
        loop.delay()(wait, std::move(work));
    }

    /// Adds a line to the trace.
    /// @param line Returns the line; called only while tracing.
    template <class Line>
    void trace(Line&& line)
    {
        if (!tracing_)
            return;
        const auto us =
            std::chrono::duration_cast<microseconds>(elapsed()).count();
        auto text = std::to_string(us);
        text.insert(0, text.size() < 8 ? 8 - text.size() : 0, ' ');
        lines.push_back(text + " us " + line());
    }

    /// @return A random duration below `most`.
    duration random_duration(duration most)
    {
        return duration{static_cast<duration::rep>(
            uniform(random) * static_cast<double>(most.count()))};
    }

    /// @return True with the probability `share`.
    bool chance(double share) { return uniform(random) < share; }

    /// @return A random element.
    template <class Values>
    auto pick(const Values& from)
    {
        return *(std::begin(from) + random() % std::size(from));
    }

    manual_loop loop; ///< Runs all events.
    random_engine random;
    std::vector<std::string> lines; ///< Recorded trace.
    /// Name of the running process.
    const std::string* active_process = nullptr;

private:
    bool tracing_; ///< Whether the trace is recorded.
};

/// A process with its own clock. Timers and messages that fall due during a
/// pause run after it: either all timers or all messages first, each in order.
class simulated_node final
{
public:
    /// @param time Must outlive the node.
    /// @param name Name in the trace.
    /// @param rate Rate of its clock.
    simulated_node(simulated_time& time, std::string name, double rate)
        : time_(time), name_(std::move(name)), clock_(time.loop.clock, rate)
    {
    }

    const std::string& name() const { return name_; }

    const clock_source& clock() const { return clock_; }

    /// @return Rate of its clock against that of the simulation.
    double rate() const { return clock_.rate(); }

    /// @return Whether its process exists, paused or not.
    bool is_up() const { return up_; }

    /// @return Number of its process; increases with each begin and end.
    std::uint64_t process() const { return process_; }

    bool is_paused() const { return time_.loop.clock.now() < paused_until_; }

    /// Starts a process.
    void begin()
    {
        up_ = true;
        ++process_;
        paused_until_ = {};
        deferred_.clear();
    }

    /// Ends the process and drops its pending work.
    void end()
    {
        up_ = false;
        ++process_;
        deferred_.clear();
    }

    /// Pauses the process; a longer pause under way stays.
    void pause(duration length)
    {
        const auto until = time_.loop.clock.now() + length;
        if (!up_ || until <= paused_until_)
            return;
        paused_until_ = until;
        time_.trace([&] { return name_ + " is paused"; });
        time_.after(length,
                    [this, mine = process_, until]
                    {
                        if (process_ == mine && paused_until_ == until)
                            resume();
                    });
    }

    /// Suspends its machine: pauses the process and stops its steady clock, so
    /// that its timers fire later.
    /// @param length Duration by the clock of the simulation.
    void suspend(duration length)
    {
        if (!up_)
            return;
        clock_.suspend(length);
        pause(length);
    }

    /// Starts a timer.
    /// @param wait Delay by its own clock.
    void later(duration wait, std::function<void()> work)
    {
        // Timers fire late, never early.
        const auto length = static_cast<double>(wait.count()) / clock_.rate();
        const auto rounded = static_cast<duration::rep>(length);
        schedule(wait.count() == 0 ? duration{0} : duration{rounded + 2000},
                 false,
                 [this, due = clock_.running() + wait, work = std::move(work)]
                 {
                     const auto left = due - clock_.running();
                     if (left > duration{0})
                         return later(left, work);
                     act(work);
                 });
    }

    /// Delivers a message after a delay.
    /// @param work Handles the message.
    void deliver(duration message_delay, std::function<void()> work)
    {
        schedule(message_delay, true, std::move(work));
    }

    /// @return A function that starts timers of its process.
    std::function<void(duration, std::function<void()>)> delay()
    {
        return [this](duration wait, std::function<void()> work)
        { later(wait, std::move(work)); };
    }

private:
    /// A clock whose rate differs from that of the simulation.
    class skewed_clock final : public clock_source
    {
    public:
        skewed_clock(const clock_source& from, double rate)
            : from_(from), rate_(rate)
        {
        }

        instant now() const override
        {
            const auto passed =
                static_cast<double>((from_.now() - seconds{1000}).count());
            return seconds{1000} +
                   duration{static_cast<duration::rep>(passed * rate_)};
        }

        instant running() const override { return now() - suspended_; }

        double rate() const { return rate_; }

        void suspend(duration length)
        {
            suspended_ += duration{static_cast<duration::rep>(
                static_cast<double>(length.count()) * rate_)};
        }

    private:
        const clock_source& from_; ///< Clock of the simulation.
        double rate_;              ///< Rate against that clock.
        duration suspended_{};     ///< Total suspended time by this clock.
    };

    struct deferred_work
    {
        bool message = false; ///< Whether it is a message or a timer.
        std::function<void()> work;
    };

    void schedule(duration wait, bool message, std::function<void()> work)
    {
        time_.after(wait,
                    [this, mine = process_, message, work = std::move(work)]
                    {
                        if (process_ != mine)
                            return;
                        if (is_paused())
                            deferred_.push_back({message, work});
                        else
                            act(work);
                    });
    }

    void act(const std::function<void()>& work)
    {
        const auto* before = std::exchange(time_.active_process, &name_);
        work();
        time_.active_process = before;
    }

    void resume()
    {
        time_.trace([&] { return name_ + " resumes"; });
        const bool messages_first = time_.chance(0.5);
        const auto deferred = std::exchange(deferred_, {});
        const auto mine = process_;
        for (const bool messages : {messages_first, !messages_first})
        {
            for (const auto& one : deferred)
            {
                if (one.message == messages && process_ == mine)
                    act(one.work);
            }
        }
    }

    simulated_time& time_;
    std::string name_; ///< Name in the trace.
    skewed_clock clock_;
    bool up_ = false;                     ///< Whether the process exists.
    std::uint64_t process_ = 0;           ///< Number of the process.
    instant paused_until_{};              ///< End of the pause.
    std::vector<deferred_work> deferred_; ///< Work to run after the pause.
};

} // namespace glenhollow

#endif
