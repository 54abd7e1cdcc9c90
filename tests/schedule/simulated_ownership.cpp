#include "simulated_ownership.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

/// Timeout of an unanswered call.
constexpr duration store_timeout = milliseconds{400};
constexpr duration message_delay = microseconds{700};

std::string entry_name(std::size_t entry)
{
    return "entry " + std::to_string(entry);
}

} // namespace

/// @param done Receives the result, once, while the process exists.
/// @param serve Executes the call and passes the answer on.
template <class Result, class Call>
void simulated_store::call(std::function<void(Result)> done, Call serve)
{
    const auto completed = std::make_shared<bool>(false);
    const auto once = [completed, done = std::move(done)](const Result& got)
    {
        if (!std::exchange(*completed, true))
            done(got);
    };
    caller->later(store_timeout, [once] { once({}); });
    if (time_.loop.clock.now() < blocked_until)
        return;
    const bool drop_answer = time_.chance(lost_answers);
    time_.after(message_delay,
                [this, serve, once, drop_answer, mine = caller->process()]
                {
                    serve(
                        [this, once, drop_answer, mine](const Result& got)
                        {
                            if (drop_answer || caller->process() != mine ||
                                time_.loop.clock.now() < blocked_until)
                                return;
                            caller->deliver(message_delay,
                                            [once, got] { once(got); });
                        });
                });
}

void simulated_store::commit(const row_transaction& change, commit_handler done)
{
    call<commit_result>(std::move(done), [this, change](const auto& answer)
                        { rows_.commit(change, answer); });
}

void simulated_store::read(const row_range& range, read_handler done)
{
    call<read_result>(std::move(done), [this, range](const auto& answer)
                      { rows_.read(range, answer); });
}

void simulated_store::follow(const std::string&, std::uint64_t, duration,
                             feed_handler)
{
}

simulated_ownership::simulated_ownership(simulated_time& time,
                                         dependencies context,
                                         std::size_t entry,
                                         std::uint64_t incarnation)
    : time_(time), context_(std::move(context)), entry_(entry),
      incarnation_(incarnation)
{
    settings_.parts = 1;
    settings_.jobs.parts = 1;
    settings_.jobs.entry = entry_name(entry);
}

void simulated_ownership::receive_view(std::size_t entry, ownership_view view)
{
    view.received_at = context_.jobs.clock.now();
    views_[entry] = view;
}

ownership_view simulated_ownership::view() const
{
    return {{},           {},
            incarnation_, jobs_ ? jobs_->epoch().epoch : 0,
            released_,    reachable_};
}

bool simulated_ownership::is_live(const ownership_view& view) const
{
    return context_.jobs.clock.now() - view.received_at <=
           exchange_pacing_settings{}.silence;
}

bool simulated_ownership::has_live_owner() const
{
    return std::any_of(views_.begin(), views_.end(),
                       [this](const auto& one) {
                           return one.second.epoch != 0 && is_live(one.second);
                       });
}

bool simulated_ownership::is_superseded() const
{
    const auto own = jobs_->epoch().epoch;
    return std::any_of(views_.begin(), views_.end(),
                       [this, own](const auto& one)
                       {
                           const auto& view = one.second;
                           return is_live(view) &&
                                  std::max(view.epoch, view.released) > own;
                       });
}

bool simulated_ownership::others_reach_store() const
{
    return std::any_of(views_.begin(), views_.end(),
                       [this](const auto& one) {
                           return one.second.reaches_store &&
                                  is_live(one.second);
                       });
}

void simulated_ownership::tick(bool reachable)
{
    reachable_ = reachable;
    const auto now = context_.jobs.clock.now();
    if (jobs_ && is_superseded())
    {
        jobs_->abandon();
        lose();
    }
    if (jobs_)
    {
        check_claim();
        jobs_->tick();
        if (!reachable && others_reach_store())
            release();
        return;
    }
    if (has_live_owner())
    {
        free_since_ = {};
        head_seen_ = false;
        return;
    }
    if (free_since_.count() == 0)
        free_since_ = now;
    const auto turn = settings_.rank_delay * static_cast<std::int64_t>(entry_);
    if (reachable && !claiming_ && now >= retry_at_ &&
        now - free_since_ >= turn)
        read_head();
}

bool simulated_ownership::is_valid() const
{
    return jobs_ &&
           validity_.is_valid(context_.jobs.clock.now(), oldest_confirmation());
}

instant simulated_ownership::oldest_confirmation() const
{
    const auto now = context_.jobs.clock.now();
    auto oldest = now;
    for (const auto other : context_.others)
    {
        const auto known = views_.find(other);
        if (known == views_.end() ||
            std::max(known->second.epoch, known->second.released) >
                jobs_->epoch().epoch)
            return {};
        oldest = std::min(oldest, known->second.requested_at);
    }
    return oldest;
}

void simulated_ownership::check_claim()
{
    const auto now = context_.jobs.clock.now();
    if (!validity_.begin_store_check(now))
        return;
    const auto head = head_key(0);
    context_.jobs.store.read(
        {head.table, head.part, head.key, {}, 1},
        [this, alive = alive_, now,
         epoch = jobs_->epoch().epoch](const read_result& got)
        {
            const bool found = got.answered && !got.rows.empty() &&
                               got.rows.front().key == head_key(0);
            if (!*alive || !found || !jobs_ || jobs_->epoch().epoch != epoch)
                return;
            const auto seen = decode_head(got.rows.front()).value();
            if (seen.incarnation == incarnation_ && seen.epoch == epoch)
                return validity_.store_confirmed(now);
            if (seen.epoch <= epoch)
                return;
            jobs_->abandon();
            lose();
        });
}

void simulated_ownership::read_head()
{
    claiming_ = true;
    const auto head = head_key(0);
    context_.jobs.store.read({head.table, head.part, head.key, {}, 1},
                             [this, alive = alive_](const read_result& got)
                             {
                                 if (*alive)
                                     head_read(got);
                             });
}

bool simulated_ownership::is_free(const chain_head& head) const
{
    if (head.version == 0 || head.owner == entry_name(entry_))
        return true;
    for (const auto& [entry, view] : views_)
    {
        if (entry_name(entry) == head.owner)
            return view.incarnation != head.incarnation ||
                   view.released == head.epoch ||
                   (!is_live(view) && context_.refuses_connections(entry));
    }
    return false;
}

void simulated_ownership::head_read(const read_result& got)
{
    if (!got.answered || has_live_owner())
        return schedule_retry();
    chain_head head;
    if (!got.rows.empty() && got.rows.front().key == head_key(0))
        head = decode_head(got.rows.front()).value();
    const auto now = context_.jobs.clock.now();
    const bool settled = head_seen_ && seen_head_.version == head.version &&
                         now - free_since_ >= settings_.settle_time;
    if (is_free(head) || settled)
        return claim(head);
    seen_head_ = head;
    head_seen_ = true;
    claiming_ = false;
    retry_at_ = now + settings_.settle_time;
}

void simulated_ownership::claim(const chain_head& head)
{
    claim_sent_ = context_.jobs.clock.now();
    chain_head wanted;
    wanted.owner = entry_name(entry_);
    wanted.incarnation = incarnation_;
    wanted.epoch = head.epoch + 1;
    row_transaction change;
    change.expected.push_back({head_key(0), head.version});
    change.puts.push_back({head_key(0), encode_head(wanted)});
    context_.jobs.store.commit(
        change,
        [this, alive = alive_, wanted](const commit_result& got)
        {
            if (!*alive)
                return;
            if (got.outcome != store_outcome::done)
                return schedule_retry();
            auto mine = wanted;
            mine.version = got.version;
            load_part(context_.jobs.store, 0,
                      [this, alive, mine](std::optional<loaded_part> rows)
                      {
                          if (!*alive)
                              return;
                          if (!rows)
                              return schedule_retry();
                          loaded(mine, std::move(*rows));
                      });
        });
}

void simulated_ownership::loaded(const chain_head& head, loaded_part rows)
{
    claiming_ = false;
    free_since_ = {};
    head_seen_ = false;
    time_.trace(
        [&]
        {
            return entry_name(entry_) + " owns the part, epoch " +
                   std::to_string(head.epoch);
        });
    validity_ = claim_validity();
    validity_.store_confirmed(claim_sent_);
    auto awaited = context_.agents();
    if (rows.jobs.empty())
        awaited.clear();
    jobs_ = std::make_unique<job_coordinator>(
        context_.jobs, 0, head, std::move(rows), std::move(awaited),
        settings_.jobs,
        [this, alive = alive_]
        {
            context_.jobs.later(duration{0},
                                [this, alive]
                                {
                                    if (*alive)
                                        lose();
                                });
        });
    context_.ownership_acquired(jobs_->epoch());
}

void simulated_ownership::schedule_retry()
{
    claiming_ = false;
    retry_at_ = context_.jobs.clock.now() + settings_.claim_retry_delay;
}

void simulated_ownership::lose()
{
    if (!jobs_)
        return;
    time_.trace([&] { return entry_name(entry_) + " has lost the part"; });
    jobs_.reset();
    free_since_ = context_.jobs.clock.now();
    retry_at_ = free_since_ + settings_.claim_retry_delay;
    context_.ownership_ended();
}

void simulated_ownership::release()
{
    time_.trace([&] { return entry_name(entry_) + " releases the part"; });
    released_ = jobs_->epoch().epoch;
    jobs_->abandon();
    jobs_.reset();
    free_since_ = context_.jobs.clock.now();
    retry_at_ = free_since_ + settings_.settle_time * 2;
    context_.ownership_ended();
}

} // namespace glenhollow
