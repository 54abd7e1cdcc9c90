// Stand-in for a runner on a side machine (PROTOCOL.md, "Running tasks").
#ifndef REVIEW_RUNNER_HPP
#define REVIEW_RUNNER_HPP

#include "http.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace review
{

/// One run of a task, kept until the end of the test.
struct run_record
{
    std::string task;
    std::int64_t run = 0;
    std::string spec;
    std::string runner;
    std::int64_t cpu = 0;
    double begin = 0;
    double due = 0;  ///< When its work is done.
    double end = 0;  ///< 0: it runs.
    std::string how; ///< `died`: its runner ended, nothing lists it.
    std::int64_t number = 0;
    double noted = 0; ///< When last_seen reached it; 0: not yet.
    bool lapsed_before_note = false;
};

struct runner_settings
{
    std::string name;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    std::int64_t cpu = 64000;
    std::int64_t mem_mb = 262144;
    tcp::endpoint app;     ///< Where it is called.
    tcp::endpoint control; ///< Where it registers.
};

class runner
{
public:
    /// @param work_ms Time that a task takes, by its name and spec.
    /// @param runs Receives all runs.
    runner(
        asio::io_context& io, runner_settings settings,
        std::function<double(const std::string&, const std::string&)> work_ms,
        std::vector<run_record>& runs)
        : io_(io), settings_(std::move(settings)), work_ms_(std::move(work_ms)),
          runs_(runs),
          server_(io, settings_.app,
                  [this](request asked) { return serve(std::move(asked)); })
    {
        start();
    }

    /// Begins a new incarnation under a new id.
    void start()
    {
        instance_ = "i-" + settings_.name + "-" + std::to_string(++lives_);
        born_ = now_ms();
        token_ = 0;
        deadline_ = 0;
        ends_ = seen_ = 0;
        sequence_ = 0;
        closed_.clear();
        server_.open();
        asio::co_spawn(io_, heartbeats(lives_), asio::detached);
        asio::co_spawn(io_, ticks(lives_), asio::detached);
    }

    /// Ends without a word; what runs dies.
    void crash()
    {
        settle();
        for (const auto at : running_)
        {
            runs_[at].end = now_ms();
            runs_[at].how = "died";
        }
        running_.clear();
        listed_.clear();
        ++epoch_;
        lives_ += 1000; // Stops the loops of this incarnation.
        server_.close();
    }

    bool is_working_on(const std::string& job) const
    {
        return std::any_of(running_.begin(), running_.end(),
                           [&](std::size_t at)
                           { return runs_[at].task.starts_with(job); });
    }

    std::size_t running() const { return running_.size(); }
    std::size_t most_unseen() const { return most_unseen_; }

private:
    static constexpr double max_hold_ms = 1000;
    static constexpr double stop_ms = 20;
    static constexpr std::size_t ends_at_once = 500;
    static constexpr double heartbeat_ms = 1500;

    std::int64_t clock_ms() const
    {
        return 1000 + static_cast<std::int64_t>(now_ms() - born_);
    }

    /// @return When the lease ends, by the clock of the test.
    double lease_end() const
    {
        return born_ + static_cast<double>(deadline_ - 1000);
    }

    /// Ends what is due, each at its time.
    void settle()
    {
        const double now = now_ms();
        const bool lapses = deadline_ != 0 && lease_end() <= now;
        const double until = lapses ? lease_end() : now;
        std::vector<std::size_t> over;
        std::erase_if(running_,
                      [&](std::size_t at)
                      {
                          const bool due = end_of(at) <= until;
                          if (due)
                              over.push_back(at);
                          return due;
                      });
        std::sort(over.begin(), over.end(),
                  [&](auto a, auto b) { return end_of(a) < end_of(b); });
        for (const auto at : over)
            finish(at, end_of(at),
                   stops_.contains(at) && stops_[at] < runs_[at].due ? "stopped"
                                                                     : "done");
        if (!lapses)
            return;
        for (const auto at : std::exchange(running_, {}))
            finish(at, until, "lapsed");
        for (const auto at : listed_)
            runs_[at].lapsed_before_note = true;
        deadline_ = 0;
    }

    double end_of(std::size_t at)
    {
        const auto stop = stops_.find(at);
        return stop == stops_.end() ? runs_[at].due
                                    : std::min(runs_[at].due, stop->second);
    }

    void finish(std::size_t at, double when, std::string how)
    {
        auto& run = runs_[at];
        run.end = when;
        run.how = std::move(how);
        run.number = ++ends_;
        listed_.push_back(at);
        most_unseen_ = std::max(most_unseen_, listed_.size());
        close_run(run.task, run.run);
    }

    /// No run of the task up to this one starts here any more.
    void close_run(const std::string& task, std::int64_t run)
    {
        auto& highest = closed_[task];
        highest = std::max(highest, run);
    }

    void extend(std::int64_t until)
    {
        const auto most = clock_ms() + static_cast<std::int64_t>(max_hold_ms);
        deadline_ = std::max(deadline_, std::min(until, most));
    }

    response told(unsigned status, json::object body = {}) const
    {
        body["clock_ms"] = clock_ms();
        return {status, std::move(body)};
    }

    response refusal(const char* reason) const
    {
        return told(409, {{"reason", reason}});
    }

    asio::awaitable<response> serve(request asked)
    {
        settle();
        if (!asked.expected_instance.empty() &&
            asked.expected_instance != instance_)
            co_return response{421, json::object()};
        const auto body = parse_object(asked.body);
        const auto fence = whole(body, "fencing_token");
        if (fence < token_)
            co_return refusal("fence");
        token_ = fence;
        if (asked.target == "/run-start")
            co_return begin(body);
        if (asked.target == "/run-stop")
            co_return stop(body);
        if (asked.target != "/hold")
            co_return response{404, json::object()};
        co_return co_await hold(body);
    }

    response begin(const json::object& body)
    {
        const auto task = text(body, "task");
        const auto run = whole(body, "run");
        const auto until = whole(body, "deadline_ms");
        if (task.empty() || run == 0)
            return told(400);
        if (until <= clock_ms())
            return refusal("late");
        extend(until);
        for (const auto at : running_)
        {
            if (runs_[at].task == task && runs_[at].run == run)
                return told(200);
        }
        const auto closed = closed_.find(task);
        if (closed != closed_.end() && run <= closed->second)
            return refusal("old");
        run_record one;
        one.task = task;
        one.run = run;
        one.spec = text(body, "spec");
        one.runner = instance_;
        one.begin = now_ms();
        one.due = one.begin + work_ms_(task, one.spec);
        running_.push_back(runs_.size());
        runs_.push_back(std::move(one));
        return told(200);
    }

    response stop(const json::object& body)
    {
        const auto task = text(body, "task");
        const auto run = whole(body, "run");
        for (const auto at : running_)
        {
            if (runs_[at].task == task && runs_[at].run == run)
                stops_.emplace(at, now_ms() + stop_ms);
        }
        close_run(task, run);
        return told(200);
    }

    asio::awaitable<response> hold(json::object body)
    {
        const auto until = whole(body, "deadline_ms");
        if (until > clock_ms())
            extend(until);
        seen_ = std::max(seen_, whole(body, "last_seen"));
        std::erase_if(listed_,
                      [&](std::size_t at)
                      {
                          if (runs_[at].number > seen_)
                              return false;
                          runs_[at].noted = now_ms();
                          return true;
                      });
        const double wait =
            std::min<double>(2000, static_cast<double>(whole(body, "wait_ms")));
        const double limit = now_ms() + wait;
        const auto life = epoch_;
        while (listed_.empty() && now_ms() < limit && life == epoch_)
        {
            co_await sleep_ms(2);
            if (life == epoch_)
                settle();
        }
        if (life != epoch_)
            co_return response{200, {}, true};
        co_return lists();
    }

    response lists() const
    {
        json::array running;
        for (const auto at : running_)
        {
            const auto& run = runs_[at];
            const double share = 100 * (now_ms() - run.begin) /
                                 std::max(1.0, run.due - run.begin);
            running.emplace_back(json::array{
                run.task, run.run, "",
                std::min<std::int64_t>(100, static_cast<std::int64_t>(share)),
                run.cpu});
        }
        json::array finished;
        for (const auto at : listed_)
        {
            if (finished.size() == ends_at_once)
                break;
            const auto& run = runs_[at];
            finished.emplace_back(
                json::array{run.number, run.task, run.run, run.how, ""});
        }
        return told(200, {{"running", std::move(running)},
                          {"finished", std::move(finished)}});
    }

    asio::awaitable<void> ticks(int life)
    {
        while (life == lives_)
        {
            settle();
            co_await sleep_ms(5);
        }
    }

    asio::awaitable<void> heartbeats(int life)
    {
        while (life == lives_)
        {
            json::array labels;
            for (const auto& one : settings_.labels)
                labels.emplace_back(one);
            const json::object account{
                {"service", settings_.service},
                {"address", settings_.app.address().to_string() + ":" +
                                std::to_string(settings_.app.port())},
                {"zone", settings_.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"capacity", json::object{{"cpu", settings_.cpu},
                                          {"mem_mb", settings_.mem_mb},
                                          {"gpu", 0}}},
                {"labels", labels},
                {"clock_ms", clock_ms()},
                {"sequence", ++sequence_}};
            co_await call(settings_.control, "PUT", "/instances/" + instance_,
                          "control", json::serialize(account), 1000);
            co_await sleep_ms(heartbeat_ms);
        }
    }

    asio::io_context& io_;
    runner_settings settings_;
    std::function<double(const std::string&, const std::string&)> work_ms_;
    std::vector<run_record>& runs_;
    std::string instance_;
    int lives_ = 0;
    int epoch_ = 0;
    double born_ = 0;
    std::int64_t token_ = 0;
    std::int64_t deadline_ = 0; ///< By its clock; 0: none.
    std::int64_t ends_ = 0;
    std::int64_t seen_ = 0;
    std::int64_t sequence_ = 0;
    std::vector<std::size_t> running_;
    std::vector<std::size_t> listed_; ///< Ends that last_seen has not reached.
    std::map<std::size_t, double> stops_;
    std::map<std::string, std::int64_t> closed_;
    std::size_t most_unseen_ = 0;
    server server_;
};

} // namespace review

#endif
