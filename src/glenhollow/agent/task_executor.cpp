#include "glenhollow/agent/task_executor.hpp"

#include <utility>

namespace glenhollow
{

namespace
{

std::uint32_t micros(duration length)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<microseconds>(length).count());
}

start_record refusal(reason why)
{
    start_record record;
    record.at = start_record::stage::done;
    record.end = {verdict::not_run, why};
    return record;
}

} // namespace

task_executor::task_executor(const clock_source& clock, runner_caller& runner,
                             const task_executor_settings& settings)
    : clock_(clock), runner_(runner), settings_(settings),
      table_(settings.table)
{
}

void task_executor::start(task_start start, handler done)
{
    using action = start_decision::action;
    const instant now = clock_.now();
    const global_key key{start.incarnation, start.key};
    const auto decision = table_.begin(start.incarnation, start.key,
                                       start.begin_by, now, start.job);
    switch (decision.act)
    {
    case action::refuse:
        ++stats_.not_run;
        return done(refusal(decision.why));
    case action::repeat:
        return done(*table_.find(start.incarnation, start.key));
    case action::join:
        waiters_[key].push_back(std::move(done));
        return;
    case action::accept:
        break;
    }
    waiters_[key].push_back(std::move(done));
    const bool slot_free = running_ < settings_.slots;
    if (!slot_free && queue_.size() >= settings_.queue)
        return refuse_queued(key, reason::agent_queue_full);
    // A job with little work left goes first; with its age every task comes
    // to the front in the end.
    const double order =
        start.rank +
        settings_.aging * std::chrono::duration<double>(now).count();
    queue_.emplace(order, queued_start{std::move(start), now});
    run_queued();
}

void task_executor::run_queued()
{
    while (running_ < settings_.slots && !queue_.empty())
    {
        auto next = queue_.extract(queue_.begin());
        run(std::move(next.mapped()));
    }
}

void task_executor::run(queued_start next)
{
    auto& start = next.start;
    const global_key key{start.incarnation, start.key};
    const instant now = clock_.now();
    const auto why = table_.check_before_run(start.incarnation, start.key,
                                             start.begin_by, now);
    if (why != reason::none)
        return refuse_queued(key, why);
    ++running_;
    ++stats_.started;
    const auto wait = micros(now - next.since);
    runner_.call({std::move(start.name), std::move(start.team),
                  std::move(start.traceparent), std::move(start.payload)},
                 [this, key, now, wait](runner_answer answer)
                 { ended(key, now, wait, std::move(answer)); });
}

void task_executor::ended(const global_key& key, instant begun,
                          std::uint32_t wait_micros, runner_answer answer)
{
    --running_;
    const duration took = clock_.now() - begun;
    stats_.busy_seconds += std::chrono::duration<double>(took).count();
    note_runner(answer.end);
    start_record record;
    record.end = answer.end;
    record.body = std::move(answer.body);
    record.wait_micros = wait_micros;
    record.run_micros = micros(took);
    // The slot is filled again first, so that the load that rides on the
    // answer is what is left.
    run_queued();
    settle(key, std::move(record));
}

void task_executor::note_runner(const outcome_of_task& end)
{
    ++(end.what == verdict::ran       ? stats_.ran
       : end.what == verdict::not_run ? stats_.not_run
                                      : stats_.unknown);
    if (end.why == reason::runner_unreachable)
        ++unreachable_;
    else
        unreachable_ = 0;
}

void task_executor::refuse_queued(const global_key& key, reason why)
{
    ++stats_.not_run;
    settle(key, refusal(why));
}

void task_executor::settle(const global_key& key, start_record record)
{
    table_.finish(key.incarnation, key.key, std::move(record));
    auto found = waiters_.find(key);
    if (found == waiters_.end())
        return;
    const auto waiting = std::move(found->second);
    waiters_.erase(found);
    const auto* kept = table_.find(key.incarnation, key.key);
    for (const auto& done : waiting)
        done(*kept);
}

void task_executor::drain(drain_cause who, bool on)
{
    if (on)
        draining_.insert(who);
    else
        draining_.erase(who);
    table_.set_draining(!draining_.empty());
    if (draining_.empty())
        return;
    const auto queued = std::exchange(queue_, {});
    for (const auto& [key, entry] : queued)
        refuse_queued({entry.start.incarnation, entry.start.key},
                      reason::draining);
}

void task_executor::fence(std::uint64_t incarnation)
{
    table_.fence(incarnation, clock_.now());
    auto queued = std::exchange(queue_, {});
    for (auto& [key, entry] : queued)
    {
        if (entry.start.incarnation == incarnation)
            refuse_queued({incarnation, entry.start.key}, reason::fenced);
        else
            queue_.emplace(key, std::move(entry));
    }
}

void task_executor::set_slots(std::size_t slots)
{
    settings_.slots = slots;
    run_queued();
}

void task_executor::tick()
{
    table_.expire(clock_.now());
    if (unreachable_ < settings_.shun_after || probing_)
        return;
    probing_ = true;
    runner_.probe(
        [this](bool reachable)
        {
            probing_ = false;
            if (reachable)
                unreachable_ = 0;
        });
}

executor_load task_executor::load() const
{
    return {settings_.slots, running_, queue_.size(), table_.draining(),
            unreachable_ >= settings_.shun_after};
}

} // namespace glenhollow
