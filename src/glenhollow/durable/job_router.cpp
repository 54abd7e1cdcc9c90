#include "glenhollow/durable/job_router.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <utility>

namespace glenhollow
{

/// One call under way.
struct job_router::routed
{
    job_call call;             ///< What is asked.
    job_reply_handler done;    ///< Told the end.
    instant begun{};           ///< When it came.
    std::uint64_t attempt = 0; ///< Counts tries.
    bool out = false;          ///< A try is out.
    bool maybe_done = false;   ///< A try may have taken effect.
    bool ended = false;        ///< The end was told.
};

job_router::job_router(const clock_source& clock, journal_chain::delay later,
                       part_ownership& ownership, entry_peers& peers,
                       const job_router_settings& settings)
    : clock_(clock), later_(std::move(later)), ownership_(ownership),
      peers_(peers), settings_(settings)
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
    auto fresh = std::make_shared<routed>();
    fresh->call = std::move(call);
    fresh->done = std::move(done);
    fresh->begun = clock_.now();
    const bool submits = fresh->call.verb == job_verb::submit;
    later_(submits ? settings_.submit_limit : settings_.ask_limit,
           [this, fresh] { give_up(fresh); });
    attempt(fresh);
}

void job_router::serve_here(const job_call& call, job_reply_handler done)
{
    const auto part = part_of(call.id, settings_.parts);
    auto* jobs = ownership_.find(part);
    if (jobs == nullptr)
        return done({job_outcome::not_owner, job_state::queued, {}});
    // Another owner may have accepted a job that this one misses.
    const auto sure = [this, part, done](const job_reply& reply)
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
        return jobs->cancel(call.id, sure);
    case job_verb::state:
        return jobs->state(call.id, sure);
    case job_verb::cancel_in_memory:
        break; // No matter of the journal's: it does not come here.
    }
    done({});
}

void job_router::attempt(const std::shared_ptr<routed>& call)
{
    if (call->ended)
        return;
    const auto part = part_of(call->call.id, settings_.parts);
    const auto number = ++call->attempt;
    if (number > 1)
        ++stats_.retried;
    if (ownership_.find(part) != nullptr)
    {
        ++stats_.here;
        call->out = true;
        return serve_here(call->call,
                          [this, call, number](const job_reply& reply)
                          { answered(call, number, reply); });
    }
    const auto owner = owner_of(part);
    if (!owner)
    {
        ++stats_.ownerless;
        return retry(call);
    }
    ++stats_.forwarded;
    call->out = true;
    later_(settings_.answer_limit,
           [this, call, number] { answered(call, number, std::nullopt); });
    peers_.call(*owner, call->call,
                [this, call, number](const std::optional<job_reply>& reply)
                { answered(call, number, reply); });
}

void job_router::answered(const std::shared_ptr<routed>& call,
                          std::uint64_t attempt,
                          const std::optional<job_reply>& reply)
{
    if (call->ended || !call->out || call->attempt != attempt)
        return;
    call->out = false;
    if (!reply || reply->outcome == job_outcome::unknown)
    {
        call->maybe_done = true;
        return retry(call);
    }
    if (reply->outcome == job_outcome::not_owner)
        return retry(call);
    // A refusal settles nothing if an earlier try may have been taken.
    if (reply->outcome == job_outcome::refused && call->maybe_done)
        return retry(call);
    finish(call, *reply);
}

void job_router::retry(const std::shared_ptr<routed>& call)
{
    const bool submits = call->call.verb == job_verb::submit;
    if (submits && !call->maybe_done &&
        clock_.now() - call->begun >= settings_.ownerless)
        return give_up(call);
    later_(settings_.retry, [this, call] { attempt(call); });
}

void job_router::give_up(const std::shared_ptr<routed>& call)
{
    if (call->ended)
        return;
    const bool surely_not =
        !call->maybe_done && !call->out && call->call.verb == job_verb::submit;
    log_change(log_level::info, "call_given_up",
               {{"job", to_text(call->call.id)},
                {"verb", to_name(call->call.verb)},
                {"attempts", call->attempt},
                {"verdict", surely_not ? "not_run" : "unknown"}});
    finish(call, {surely_not ? job_outcome::refused : job_outcome::unknown,
                  job_state::queued, seconds{1}});
}

void job_router::finish(const std::shared_ptr<routed>& call,
                        const job_reply& reply)
{
    if (std::exchange(call->ended, true))
        return;
    ++stats_.outcomes[static_cast<std::size_t>(reply.outcome)];
    const auto done = std::exchange(call->done, nullptr);
    done(reply);
}

} // namespace glenhollow
