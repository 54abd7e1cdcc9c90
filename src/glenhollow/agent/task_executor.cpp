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

start_record refused_record(reason why)
{
    start_record record;
    record.at = start_record::stage::done;
    record.end = {verdict::not_run, why};
    return record;
}

} // namespace

task_executor::task_executor(const clock_source& clock, runner_client& runner,
                             const task_executor_settings& settings)
    : clock_(clock), runner_(runner), settings_(settings),
      table_(settings.table)
{
}

void task_executor::start(task_start start, handler done)
{
    using action = start_decision::action;
    const instant now = clock_.now();
    const entry_task_key key{start.incarnation, start.key};
    const auto decision = table_.begin(start.incarnation, start.key,
                                       start.begin_by, now, start.job);
    switch (decision.chosen_action)
    {
    case action::refuse:
        ++stats_.not_run;
        return done(refused_record(decision.why));
    case action::replay:
        return done(*table_.find(start.incarnation, start.key));
    case action::join:
        result_handlers_[key].push_back(std::move(done));
        return;
    case action::accept:
        break;
    }
    result_handlers_[key].push_back(std::move(done));
    const bool slot_free = running_ < settings_.slots;
    if (!slot_free && queue_.size() >= settings_.max_queued)
        return refuse_queued(key, reason::agent_queue_full);
    // Jobs with the least remaining work run first. The arrival time in the
    // key keeps tasks of large jobs from starving.
    const double sort_key =
        start.rank +
        settings_.aging_rate * std::chrono::duration<double>(now).count();
    queue_.emplace(sort_key, queued_start{std::move(start), now});
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
    const entry_task_key key{start.incarnation, start.key};
    const instant now = clock_.now();
    const auto why = table_.check_before_run(start.incarnation, start.key,
                                             start.begin_by, now);
    if (why != reason::none)
        return refuse_queued(key, why);
    ++running_;
    ++stats_.started;
    const auto wait = micros(now - next.queued_at);
    runner_.call({std::move(start.name), std::move(start.team),
                  std::move(start.traceparent), std::move(start.payload)},
                 [this, key, now, wait](runner_response response)
                 { on_task_ended(key, now, wait, std::move(response)); });
}

void task_executor::on_task_ended(const entry_task_key& key, instant started_at,
                                  std::uint32_t wait_micros,
                                  runner_response response)
{
    --running_;
    const duration run_time = clock_.now() - started_at;
    stats_.busy_seconds += std::chrono::duration<double>(run_time).count();
    record_outcome(response.end);
    start_record record;
    record.end = response.end;
    record.body = std::move(response.body);
    record.wait_micros = wait_micros;
    record.run_micros = micros(run_time);
    // Refill the slot first, so that the reply reports the resulting load.
    run_queued();
    finish_task(key, std::move(record));
}

void task_executor::record_outcome(const outcome_of_task& end)
{
    ++(end.what == verdict::ran       ? stats_.ran
       : end.what == verdict::not_run ? stats_.not_run
                                      : stats_.unknown);
    if (end.why == reason::runner_unreachable)
        ++consecutive_unreachable_;
    else
        consecutive_unreachable_ = 0;
}

void task_executor::refuse_queued(const entry_task_key& key, reason why)
{
    ++stats_.not_run;
    finish_task(key, refused_record(why));
}

void task_executor::finish_task(const entry_task_key& key, start_record record)
{
    table_.finish(key.incarnation, key.key, std::move(record));
    auto found = result_handlers_.find(key);
    if (found == result_handlers_.end())
        return;
    const auto handlers = std::move(found->second);
    result_handlers_.erase(found);
    const auto* stored = table_.find(key.incarnation, key.key);
    for (const auto& done : handlers)
        done(*stored);
}

void task_executor::drain(drain_cause cause, bool on)
{
    if (on)
        drain_causes_.insert(cause);
    else
        drain_causes_.erase(cause);
    table_.set_draining(!drain_causes_.empty());
    if (drain_causes_.empty())
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
    if (consecutive_unreachable_ < settings_.unreachable_threshold || probing_)
        return;
    probing_ = true;
    runner_.probe(
        [this](bool reachable)
        {
            probing_ = false;
            if (reachable)
                consecutive_unreachable_ = 0;
        });
}

executor_load task_executor::load() const
{
    return {settings_.slots, running_, queue_.size(), table_.draining(),
            consecutive_unreachable_ >= settings_.unreachable_threshold};
}

} // namespace glenhollow
