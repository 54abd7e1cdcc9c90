#include "glenhollow/durable/job_router.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

/// A call that has not finished.
struct job_router::pending_call
{
    std::uint64_t number = 0; ///< Key in the table of unfinished calls.
    job_call call;
    job_reply_handler done;        ///< Receives the result.
    instant started_at{};          ///< Arrival time.
    std::uint64_t attempt = 0;     ///< Number of the current attempt.
    bool in_flight = false;        ///< Whether an attempt is unanswered.
    bool possibly_applied = false; ///< Whether an attempt may have taken
                                   ///< effect.
    bool ended = false;            ///< Whether the result was delivered.
};

job_router::job_router(const clock_source& clock,
                       journal_chain::delay schedule_after,
                       part_ownership& ownership, entry_peers& peers,
                       const job_router_settings& settings)
    : clock_(clock), schedule_after_(std::move(schedule_after)),
      ownership_(ownership), peers_(peers), settings_(settings),
      submissions_{settings.submit_timeout}, queries_{settings.query_timeout}
{
}

std::optional<std::string> job_router::owner_of(part_number part) const
{
    std::optional<std::string> owner;
    std::uint32_t epoch = 0;
    for (const auto* view : peers_.live())
    {
        for (const auto& one : view->parts)
        {
            if (one.part != part || one.epoch < epoch)
                continue;
            owner = view->name;
            epoch = one.epoch;
        }
    }
    return owner;
}

void job_router::route(job_call call, job_reply_handler done)
{
    auto pending = std::make_shared<pending_call>();
    pending->number = ++last_call_;
    pending->call = std::move(call);
    pending->done = std::move(done);
    pending->started_at = clock_.now();
    calls_.emplace(pending->number, pending);
    const bool submits = pending->call.verb == job_verb::submit;
    add_deadline(submits ? submissions_ : queries_, pending->number);
    attempt(pending);
}

void job_router::add_deadline(deadline_queue& queue, std::uint64_t call)
{
    while (!queue.pending.empty() &&
           !calls_.contains(queue.pending.front().call))
        queue.pending.pop_front();
    queue.pending.push_back({clock_.now() + queue.timeout, call});
    arm(queue);
}

void job_router::arm(deadline_queue& queue)
{
    if (queue.pending.empty() || std::exchange(queue.armed, true))
        return;
    const auto wait = queue.pending.front().due - clock_.now();
    schedule_after_(std::max(wait, duration{1}),
                    [this, &queue] { expire(queue); });
}

void job_router::expire(deadline_queue& queue)
{
    queue.armed = false;
    const auto now = clock_.now();
    while (!queue.pending.empty() && queue.pending.front().due <= now)
    {
        const auto known = calls_.find(queue.pending.front().call);
        queue.pending.pop_front();
        if (known != calls_.end())
            give_up(std::shared_ptr<pending_call>(known->second));
    }
    arm(queue);
}

void job_router::serve_locally(const job_call& call, job_reply_handler done)
{
    const auto part = part_of(call.id, settings_.parts);
    auto* jobs = ownership_.find(part);
    if (jobs == nullptr)
        return done({job_outcome::not_owner, job_state::queued, {}});
    // If another entry has taken the part, it may have accepted the job.
    const auto reply_if_owner = [this, part, done](const job_reply& reply)
    {
        if (reply.outcome == job_outcome::missing &&
            ownership_.may_be_superseded(part))
            return done({job_outcome::not_owner, job_state::queued, {}});
        done(reply);
    };
    switch (call.verb)
    {
    case job_verb::submit:
        return jobs->submit(call.job, std::move(done));
    case job_verb::cancel:
        return jobs->cancel(call.id, reply_if_owner);
    case job_verb::state:
        return jobs->state(call.id, reply_if_owner);
    case job_verb::cancel_in_memory:
        break; // Not a call to the owner of a part; never routed here.
    }
    done({});
}

void job_router::attempt(const std::shared_ptr<pending_call>& call)
{
    if (call->ended)
        return;
    const auto part = part_of(call->call.id, settings_.parts);
    const auto attempt_number = ++call->attempt;
    if (attempt_number > 1)
        ++stats_.retried;
    if (ownership_.find(part) != nullptr)
    {
        ++stats_.local;
        call->in_flight = true;
        return serve_locally(
            call->call, [this, call, attempt_number](const job_reply& reply)
            { on_reply(call, attempt_number, reply); });
    }
    const auto owner = owner_of(part);
    if (!owner)
    {
        ++stats_.ownerless;
        return retry(call);
    }
    ++stats_.forwarded;
    call->in_flight = true;
    schedule_after_(settings_.attempt_timeout,
                    [this, weak = std::weak_ptr(call), attempt_number]
                    {
                        if (const auto unfinished = weak.lock())
                            on_reply(unfinished, attempt_number, std::nullopt);
                    });
    peers_.call(
        *owner, call->call,
        [this, call, attempt_number](const std::optional<job_reply>& reply)
        { on_reply(call, attempt_number, reply); });
}

void job_router::on_reply(const std::shared_ptr<pending_call>& call,
                          std::uint64_t attempt,
                          const std::optional<job_reply>& reply)
{
    if (call->ended || !call->in_flight || call->attempt != attempt)
        return;
    call->in_flight = false;
    if (!reply || reply->outcome == job_outcome::unknown)
    {
        call->possibly_applied = true;
        return retry(call);
    }
    if (reply->outcome == job_outcome::not_owner)
        return retry(call);
    // A refusal is not final if an earlier attempt may have taken effect.
    if (reply->outcome == job_outcome::refused && call->possibly_applied)
        return retry(call);
    finish(call, *reply);
}

void job_router::retry(const std::shared_ptr<pending_call>& call)
{
    const bool submits = call->call.verb == job_verb::submit;
    if (submits && !call->possibly_applied &&
        clock_.now() - call->started_at >= settings_.owner_wait)
        return give_up(call);
    schedule_after_(settings_.retry_delay, [this, call] { attempt(call); });
}

void job_router::give_up(const std::shared_ptr<pending_call>& call)
{
    if (call->ended)
        return;
    const bool not_applied = !call->possibly_applied && !call->in_flight &&
                             call->call.verb == job_verb::submit;
    log_change(log_level::info, "call_given_up",
               {{"job", to_text(call->call.id)},
                {"verb", to_name(call->call.verb)},
                {"attempts", call->attempt},
                {"verdict", not_applied ? "not_run" : "unknown"}});
    finish(call, {not_applied ? job_outcome::refused : job_outcome::unknown,
                  job_state::queued, seconds{1}});
}

void job_router::finish(const std::shared_ptr<pending_call>& call,
                        const job_reply& reply)
{
    if (std::exchange(call->ended, true))
        return;
    calls_.erase(call->number);
    ++stats_.outcomes[static_cast<std::size_t>(reply.outcome)];
    const auto done = std::exchange(call->done, nullptr);
    done(reply);
}

} // namespace glenhollow
