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

/// Time, chance and the written order of events of one simulation.
class simulated_time final
{
public:
    /// @param seed Of all that is drawn.
    /// @param tracing Whether the order of events is written down.
    explicit simulated_time(std::uint64_t seed, bool tracing = false)
        : random(seed), tracing_(tracing)
    {
    }

    /// @return Time since the simulation began, by one clock.
    duration elapsed() const { return loop.clock.now() - seconds{1000}; }

    /// @param wait From now.
    /// @param work Runs then, whatever stands still.
    void after(duration wait, std::function<void()> work)
    {
        loop.delay()(wait, std::move(work));
    }

    /// @param line Made only where somebody reads it.
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

    /// @param most Exclusive.
    /// @return A time below it.
    duration random_duration(duration most)
    {
        return duration{static_cast<duration::rep>(
            uniform(random) * static_cast<double>(most.count()))};
    }

    /// @param share Of 1.
    /// @return True so often.
    bool chance(double share) { return uniform(random) < share; }

    /// @param from What can be drawn.
    /// @return One of it.
    template <class Values>
    auto pick(const Values& from)
    {
        return *(std::begin(from) + random() % std::size(from));
    }

    manual_loop loop;               ///< Runs all events.
    random_engine random;           ///< Draws.
    std::vector<std::string> lines; ///< Events so far, one a line.
    const std::string* active_process =
        nullptr; ///< Name of the process whose work is
                 ///< being done; null: of none.

private:
    bool tracing_; ///< Lines are kept.
};

/// A process with a clock of its own. It may stand still: what falls due or
/// arrives meanwhile is done when it goes on, timers and messages in either
/// order, each of them in their own.
class simulated_node final
{
public:
    /// @param time Outlives the node.
    /// @param name For the written order of events.
    /// @param rate Of its clock.
    simulated_node(simulated_time& time, std::string name, double rate)
        : time_(time), name_(std::move(name)), clock_(time.loop.clock, rate)
    {
    }

    /// @return Its name.
    const std::string& name() const { return name_; }

    /// @return Its clock.
    const clock_source& clock() const { return clock_; }

    /// @return How fast its clock goes.
    double rate() const { return clock_.rate(); }

    /// @return Whether its process runs, or stands still.
    bool is_up() const { return up_; }

    /// @return Number of its process, rising.
    std::uint64_t process() const { return process_; }

    /// @return Whether it stands still now.
    bool is_paused() const { return time_.loop.clock.now() < paused_until_; }

    /// A process begins.
    void begin()
    {
        up_ = true;
        ++process_;
        paused_until_ = {};
        deferred_.clear();
    }

    /// Its process ends; nothing of it is done any more.
    void end()
    {
        up_ = false;
        ++process_;
        deferred_.clear();
    }

    /// @param length It stands still so long from now on.
    void pause(duration length)
    {
        const auto until = time_.loop.clock.now() + length;
        if (!up_ || until <= paused_until_)
            return;
        paused_until_ = until;
        time_.trace([&] { return name_ + " stands still"; });
        time_.after(length,
                    [this, mine = process_, until]
                    {
                        if (process_ == mine && paused_until_ == until)
                            resume();
                    });
    }

    /// The machine under it is suspended: as if it stood still, and its steady
    /// clock does so as well, so that its timers come later.
    /// @param length By the simulation's clock.
    void suspend(duration length)
    {
        if (!up_)
            return;
        clock_.suspend(length);
        pause(length);
    }

    /// @param wait By its own clock.
    /// @param work Of its process.
    void later(duration wait, std::function<void()> work)
    {
        // Timers come late, never early.
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

    /// @param way Of a message to it.
    /// @param work What it does with it.
    void deliver(duration message_delay, std::function<void()> work)
    {
        schedule(message_delay, true, std::move(work));
    }

    /// @return Runs delayed work of its process.
    std::function<void(duration, std::function<void()>)> delay()
    {
        return [this](duration wait, std::function<void()> work)
        { later(wait, std::move(work)); };
    }

private:
    /// A clock that goes at another rate than that of the simulation.
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
        const clock_source& from_; ///< That of the simulation.
        double rate_;              ///< Against it.
        duration suspended_{};     ///< So far, by this clock.
    };

    struct deferred_work
    {
        bool message = false;       ///< Else a timer.
        std::function<void()> work; ///< What is to be done.
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
        time_.trace([&] { return name_ + " goes on"; });
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

    simulated_time& time_;                ///< Of the simulation.
    std::string name_;                    ///< Its name.
    skewed_clock clock_;                  ///< Its clock.
    bool up_ = false;                     ///< Its process runs.
    std::uint64_t process_ = 0;           ///< Number of the process.
    instant paused_until_{};              ///< It stands still until then.
    std::vector<deferred_work> deferred_; ///< To be done when it goes on.
};

} // namespace glenhollow

#endif
