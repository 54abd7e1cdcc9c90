#include "glenhollow/durable/memory_cancellation.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

/// One that has just begun itself may know less than another.
constexpr std::size_t learn_from = 2;

/// An entry of an earlier version can't tell, until it is replaced.
constexpr duration learn_gap = seconds{1};

/// Others that are asked to pass a cancel on: one may be out of reach itself.
constexpr std::size_t most_ways = 2;

std::int64_t to_ms(duration length)
{
    return std::chrono::duration_cast<milliseconds>(length).count();
}

job_reply ended_as(job_state state)
{
    return {job_outcome::done, state, {}};
}

/// An entry of an earlier version answers what it was not asked.
bool has_ended(const job_reply& reply)
{
    return reply.outcome == job_outcome::done && is_final(reply.state);
}

std::size_t age_class(std::int64_t age_ms)
{
    const auto& bounds = memory_cancellation_stats::age_bounds_ms;
    const auto at =
        std::find_if(bounds.begin(), bounds.end(),
                     [age_ms](std::uint32_t bound) { return age_ms <= bound; });
    return static_cast<std::size_t>(at - bounds.begin());
}

} // namespace

memory_cancellation::memory_cancellation(
    const clock_source& clock, memory_job_holder& holder, cancel_peers& peers,
    journal_cancel journal, const memory_cancellation_settings& settings)
    : clock_(clock), holder_(holder), peers_(peers),
      journal_(std::move(journal)), settings_(settings),
      memory_(settings.remember)
{
}

void memory_cancellation::cancel(job_id id, job_reply_handler done)
{
    const auto known = open_.find(id);
    if (known != open_.end())
        return known->second.done.push_back(std::move(done));
    auto& open = open_[id];
    open.begun = clock_.now();
    open.done.push_back(std::move(done));
    const auto* before = memory_.find(id);
    if (before != nullptr && before->found)
        return finish(id, cancel_outcome::remembered, ended_as(before->state),
                      {});
    ask_here(id);
}

void memory_cancellation::ask_here(job_id id)
{
    open_.at(id).waits_here = true;
    const bool here = holder_.cancel_here(id, [this, id](const job_reply& reply)
                                          { here_answered(id, reply); });
    if (here)
    {
        memory_.note(id, clock_.now());
        return tell_others(id);
    }
    open_.at(id).waits_here = false;
    journal_(id, [this, id](const job_reply& reply)
             { journal_answered(id, reply); });
}

void memory_cancellation::here_answered(job_id id, const job_reply& reply)
{
    if (has_ended(reply))
    {
        memory_.note(id, clock_.now());
        memory_.found(id, reply.state);
    }
    const auto known = open_.find(id);
    if (known == open_.end() || !std::exchange(known->second.waits_here, false))
        return;
    if (has_ended(reply))
        return finish(id, cancel_outcome::here, reply, {});
    if (reply.outcome == job_outcome::missing)
        return ask_here(id); // Its host gave it back meanwhile.
    // Its host is gone, and with it, after a while, what it has placed.
    auto& open = known->second;
    open.spread = true;
    open.journal = job_reply{job_outcome::missing, job_state::queued, {}};
    open.waits[{}] = clock_.now();
}

void memory_cancellation::journal_answered(job_id id, const job_reply& reply)
{
    const auto known = open_.find(id);
    if (known == open_.end())
        return;
    if (reply.outcome == job_outcome::done)
        return finish(id, cancel_outcome::journal, reply, {});
    known->second.journal = reply;
    if (known->second.spread)
        conclude(id);
    else
        spread(id);
}

/// A silent entry is waited for as long as its agents run on for it. One that
/// can't be asked, from when it was last heard; it may reach others and agents,
/// unless it has been gone for so long that it was taken away.
void memory_cancellation::spread(job_id id)
{
    const auto now = clock_.now();
    const auto peers = peers_.all();
    auto& open = open_.at(id);
    open.spread = true;
    open.spread_at = now;
    for (const auto& peer : peers)
    {
        if (!peer.connected && now - peer.heard >= settings_.remember.keep)
            continue;
        const auto least = now - settings_.lapse + settings_.pass_on_after;
        open.waits[peer.name] =
            peer.connected ? now : std::max(peer.heard, least);
    }
    memory_.note(id, now);
    tell_others(id);
    pass_on(id, peers);
    conclude(id);
}

void memory_cancellation::pass_on(job_id id,
                                  const std::vector<peer_reach>& peers)
{
    const auto known = open_.find(id);
    if (known == open_.end())
        return;
    auto& open = known->second;
    const bool patient =
        clock_.now() - open.spread_at < settings_.pass_on_after;
    std::vector<std::string> targets;
    for (const auto& peer : peers)
    {
        if (open.waits.contains(peer.name) && !(peer.connected && patient) &&
            open.by_way.insert(peer.name).second)
            targets.push_back(peer.name);
    }
    for (const auto& target : targets)
    {
        std::size_t ways = 0;
        for (const auto& peer : peers)
        {
            if (!peer.connected || peer.name == target || ++ways > most_ways)
                continue;
            ++stats_.passed_on;
            peers_.pass_on(
                peer.name, target, id,
                [this, target, id](const std::optional<job_reply>& reply)
                { answered_by_way(target, id, reply); });
        }
    }
}

/// The log goes on telling it: by this way nothing is owed.
void memory_cancellation::answered_by_way(const std::string& name, job_id id,
                                          const std::optional<job_reply>& reply)
{
    if (!reply)
        return;
    if (has_ended(*reply))
        memory_.found(id, reply->state);
    const auto known = open_.find(id);
    if (known == open_.end())
        return;
    if (has_ended(*reply))
        return finish(id, cancel_outcome::elsewhere, *reply, name);
    if (reply->outcome != job_outcome::missing)
        return;
    known->second.waits.erase(name);
    conclude(id);
}

void memory_cancellation::tell_others(job_id id)
{
    log_.push_back({id, clock_.now()});
    for (const auto& peer : peers_.all())
        pump(peer);
}

/// Each entry is told all of the log in turn; one that was cut off, as soon as
/// it can be reached.
void memory_cancellation::pump(const peer_reach& peer)
{
    auto& cursor = cursors_[peer.name];
    if (!peer.connected)
    {
        // A link that was dropped for silence answers nothing any more.
        stats_.untold += cursor.out.size();
        if (!cursor.out.empty())
            cursor.next = std::min(cursor.next, *cursor.out.begin());
        cursor.out.clear();
        return;
    }
    const auto end = log_begin_ + log_.size();
    cursor.next = std::max(cursor.next, log_begin_);
    while (cursor.next < end && cursor.out.size() < settings_.cancels_out)
    {
        const auto number = cursor.next++;
        const auto told = log_[number - log_begin_];
        cursor.out.insert(number);
        ++stats_.told;
        peers_.cancel(peer.name, told.id,
                      [this, name = peer.name, number,
                       told](const std::optional<job_reply>& reply)
                      { answered(name, number, told, reply); });
        if (cursor.next <= number)
            return; // The link has just gone: later.
    }
}

void memory_cancellation::answered(const std::string& name,
                                   std::uint64_t number,
                                   const logged_cancel& told,
                                   const std::optional<job_reply>& reply)
{
    auto& cursor = cursors_[name];
    cursor.out.erase(number);
    if (!reply)
    {
        ++stats_.untold;
        cursor.next = std::min(cursor.next, number);
        return;
    }
    const auto* before = memory_.find(told.id);
    const bool first = before == nullptr || !before->found;
    if (has_ended(*reply))
        memory_.found(told.id, reply->state);
    const auto known = open_.find(told.id);
    if (known == open_.end())
    {
        if (first && has_ended(*reply))
            note_ran_on(name, told, *reply);
        return;
    }
    if (has_ended(*reply))
        return finish(told.id, cancel_outcome::elsewhere, *reply, name);
    known->second.waits.erase(name);
    if (reply->outcome == job_outcome::unknown)
        known->second.waits[{}] = clock_.now(); // It has lost the job's host.
    conclude(told.id);
}

/// The caller was told that nobody has it, when the entry that had it could
/// not be reached.
void memory_cancellation::note_ran_on(const std::string& name,
                                      const logged_cancel& told,
                                      const job_reply& reply)
{
    if (reply.state != job_state::cancelled)
        return;
    ++stats_.ran_on;
    log_change(log_level::warning, "cancelled_job_ran_on",
               {{"job", to_text(told.id)},
                {"entry", name},
                {"age_ms", to_ms(clock_.now() - told.since)}});
}

void memory_cancellation::told(job_id id, const std::string& onward,
                               job_reply_handler done)
{
    if (onward.empty())
        return told_here(id, std::move(done));
    peers_.cancel(
        onward, id,
        [done = std::move(done)](const std::optional<job_reply>& reply)
        { done(reply.value_or(job_reply{})); });
}

void memory_cancellation::told_here(job_id id, job_reply_handler done)
{
    ++stats_.heard;
    memory_.note(id, clock_.now());
    ask_told(id, std::make_shared<job_reply_handler>(std::move(done)));
}

void memory_cancellation::ask_told(
    job_id id, const std::shared_ptr<job_reply_handler>& shared)
{
    const bool here = holder_.cancel_here(
        id,
        [this, id, shared](const job_reply& reply)
        {
            if (reply.outcome == job_outcome::missing)
                return ask_told(id, shared); // Its host gave it back meanwhile.
            if (has_ended(reply))
                memory_.found(id, reply.state);
            (*shared)(reply);
        });
    if (here)
        return;
    const auto* known = memory_.find(id);
    if (known != nullptr && known->found)
        return (*shared)(ended_as(known->state));
    (*shared)({job_outcome::missing, job_state::queued, {}});
}

std::optional<job_state> memory_cancellation::refuse(job_id id)
{
    const auto* known = memory_.find(id);
    if (known == nullptr)
        return std::nullopt;
    ++stats_.not_run;
    log_change(log_level::info, "cancelled_job_not_run",
               {{"job", to_text(id)},
                {"state", to_name(known->state)},
                {"age_ms", to_ms(clock_.now() - known->noted)}});
    return known->state;
}

std::vector<told_cancel> memory_cancellation::remembered() const
{
    std::vector<told_cancel> out;
    for (const auto& [id, known] : memory_.all())
        out.push_back(
            {id, known.state, known.found, clock_.now() - known.noted});
    return out;
}

void memory_cancellation::tick()
{
    forget_old();
    const auto peers = peers_.all();
    learn(peers);
    for (const auto& peer : peers)
        pump(peer);
    std::vector<job_id> open;
    for (const auto& [id, one] : open_)
        open.push_back(id);
    for (const auto id : open)
        check(id, peers);
}

void memory_cancellation::forget_old()
{
    const auto now = clock_.now();
    memory_.forget_old(now);
    while (!log_.empty() &&
           (now - log_.front().since >= settings_.remember.keep ||
            log_.size() > settings_.remember.most))
    {
        log_.pop_front();
        ++log_begin_;
    }
}

void memory_cancellation::check(job_id id, const std::vector<peer_reach>& peers)
{
    const auto known = open_.find(id);
    if (known == open_.end())
        return;
    auto& open = known->second;
    const auto age = clock_.now() - open.begun;
    if (age >= settings_.limit)
        return finish(id, cancel_outcome::unknown, {}, {});
    if (open.waits_here)
        return;
    if (!open.spread && age >= settings_.journal_alone)
        return spread(id);
    if (!open.spread)
        return;
    stop_waiting(open, peers);
    pass_on(id, peers);
    conclude(id);
}

void memory_cancellation::stop_waiting(open_cancel& open,
                                       const std::vector<peer_reach>& peers)
{
    const auto now = clock_.now();
    for (const auto& peer : peers)
    {
        const auto known = open.waits.find(peer.name);
        if (known != open.waits.end())
            known->second = std::max(known->second, peer.heard);
    }
    for (auto at = open.waits.begin(); at != open.waits.end();)
    {
        if (now - at->second < settings_.lapse)
        {
            ++at;
            continue;
        }
        ++open.silent;
        ++stats_.silent;
        at = open.waits.erase(at);
    }
}

void memory_cancellation::conclude(job_id id)
{
    const auto known = open_.find(id);
    if (known == open_.end())
        return;
    const auto& open = known->second;
    if (!open.spread || !open.waits.empty() || !open.journal)
        return;
    const auto reply = *open.journal;
    finish(id,
           reply.outcome == job_outcome::missing ? cancel_outcome::missing
                                                 : cancel_outcome::unknown,
           reply, {});
}

void memory_cancellation::finish(job_id id, cancel_outcome how,
                                 const job_reply& reply,
                                 const std::string& where)
{
    const auto known = open_.find(id);
    const auto ended = std::move(known->second);
    open_.erase(known);
    const auto took = to_ms(clock_.now() - ended.begun);
    ++stats_.outcomes[static_cast<std::size_t>(how)];
    ++stats_.ages[age_class(took)];
    if (how != cancel_outcome::journal)
        log_change(log_level::info, "memory_job_cancelled",
                   {{"job", to_text(id)},
                    {"outcome", to_name(how)},
                    {"entry", where},
                    {"state", to_name(reply.state)},
                    {"took_ms", took},
                    {"silent_entries", ended.silent}});
    for (const auto& done : ended.done)
        done(reply);
}

/// What was cancelled before this process began may arrive here again.
void memory_cancellation::learn(const std::vector<peer_reach>& peers)
{
    // Nor does it tell what its entry remembers.
    for (const auto& peer : peers)
    {
        if (!learned_ && !peer.connected)
            learning_.erase(peer.name);
    }
    if (clock_.now() < learn_again_)
        return;
    for (const auto& peer : peers)
    {
        if (learned_ || learning_.size() >= learn_from)
            return;
        if (!peer.connected || !learning_.insert(peer.name).second)
            continue;
        peers_.fetch(peer.name,
                     [this, name = peer.name](
                         const std::optional<std::vector<told_cancel>>& known)
                     {
                         if (known)
                             return take_learned(*known);
                         learning_.erase(name);
                         learn_again_ = clock_.now() + learn_gap;
                     });
    }
}

void memory_cancellation::take_learned(const std::vector<told_cancel>& known)
{
    learned_ = true;
    for (const auto& one : known)
    {
        if (one.age >= settings_.remember.keep ||
            !memory_.note(one.id, clock_.now() - one.age))
            continue;
        ++stats_.learned;
        if (one.found)
            memory_.found(one.id, one.state);
        ask_told(one.id,
                 std::make_shared<job_reply_handler>([](const job_reply&) {}));
    }
}

} // namespace glenhollow
