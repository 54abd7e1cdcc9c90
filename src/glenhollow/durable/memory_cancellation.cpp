#include "glenhollow/durable/memory_cancellation.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

/// Entries to fetch from; more than one because an entry that has just started
/// may know few cancels.
constexpr std::size_t max_fetch_sources = 2;

/// Entries of an older version do not support the fetch and are asked again at
/// this interval.
constexpr duration fetch_retry_delay = seconds{1};

/// Entries through which a cancel is relayed; one alone may be unable to reach
/// the target.
constexpr std::size_t max_relays = 2;

std::int64_t to_ms(duration length)
{
    return std::chrono::duration_cast<milliseconds>(length).count();
}

job_reply ended_as(job_state state)
{
    return {job_outcome::done, state, {}};
}

/// Entries of an older version may reply with a state that is not final.
bool has_ended(const job_reply& reply)
{
    return reply.outcome == job_outcome::done && is_final(reply.state);
}

std::size_t reply_time_bucket(std::int64_t reply_time_ms)
{
    const auto& bounds = memory_cancellation_stats::reply_time_bounds_ms;
    const auto at = std::find_if(bounds.begin(), bounds.end(),
                                 [reply_time_ms](std::uint32_t bound)
                                 { return reply_time_ms <= bound; });
    return static_cast<std::size_t>(at - bounds.begin());
}

} // namespace

memory_cancellation::memory_cancellation(
    const clock_source& clock, local_jobs& jobs, cancel_peers& peers,
    journal_cancel journal, const memory_cancellation_settings& settings)
    : clock_(clock), local_jobs_(jobs), peers_(peers),
      journal_(std::move(journal)), settings_(settings), cache_(settings.cache)
{
}

void memory_cancellation::cancel(job_id id, job_reply_handler done)
{
    const auto known = pending_.find(id);
    if (known != pending_.end())
        return known->second.done.push_back(std::move(done));
    auto& pending = pending_[id];
    pending.started_at = clock_.now();
    pending.done.push_back(std::move(done));
    const auto* before = cache_.find(id);
    if (before != nullptr && before->found)
        return finish(id, cancel_outcome::remembered, ended_as(before->state),
                      {});
    ask_local(id);
}

void memory_cancellation::ask_local(job_id id)
{
    pending_.at(id).awaiting_local = true;
    const bool here = local_jobs_.cancel_local(
        id, [this, id](const job_reply& reply) { on_local_reply(id, reply); });
    if (here)
    {
        cache_.record(id, clock_.now());
        return notify_peers(id);
    }
    pending_.at(id).awaiting_local = false;
    journal_(id, [this, id](const job_reply& reply)
             { on_journal_reply(id, reply); });
}

void memory_cancellation::on_local_reply(job_id id, const job_reply& reply)
{
    if (has_ended(reply))
    {
        cache_.record(id, clock_.now());
        cache_.set_end_state(id, reply.state);
    }
    const auto known = pending_.find(id);
    if (known == pending_.end() ||
        !std::exchange(known->second.awaiting_local, false))
        return;
    if (has_ended(reply))
        return finish(id, cancel_outcome::local, reply, {});
    if (reply.outcome == job_outcome::missing)
        return ask_local(id); // Its host has returned the job.
    // The job's host is lost; its runs end when their leases expire.
    auto& pending = known->second;
    pending.broadcast = pending.asked_all = true;
    pending.journal = job_reply{job_outcome::missing, job_state::queued, {}};
    pending.silent_since[{}] = clock_.now();
}

void memory_cancellation::on_journal_reply(job_id id, const job_reply& reply)
{
    const auto known = pending_.find(id);
    if (known == pending_.end())
        return;
    if (reply.outcome == job_outcome::done)
        return finish(id, cancel_outcome::journal, reply, {});
    known->second.journal = reply;
    if (known->second.broadcast)
        finish_if_complete(id);
    else
        broadcast(id);
}

/// A silent entry is waited for until the leases at its agents have expired.
/// For an unreachable entry that time starts with its last message; it may
/// still reach its agents, unless it has been silent for the whole retention
/// time. An entry that is not known yet may have the job, so all are asked
/// again once they are.
void memory_cancellation::broadcast(job_id id)
{
    const auto now = clock_.now();
    const auto peers = peers_.all();
    auto& pending = pending_.at(id);
    pending.broadcast = true;
    pending.asked_all = peers_.knows_all_entries();
    pending.broadcast_at = now;
    for (const auto& peer : peers)
    {
        if (!peer.connected &&
            now - peer.last_heard >= settings_.cache.retention)
            continue;
        const auto least =
            now - settings_.silence_timeout + settings_.relay_delay;
        pending.silent_since[peer.name] =
            peer.connected ? now : std::max(peer.last_heard, least);
    }
    cache_.record(id, now);
    notify_peers(id);
    relay_cancel(id, peers);
    finish_if_complete(id);
}

void memory_cancellation::relay_cancel(job_id id,
                                       const std::vector<peer_status>& peers)
{
    const auto known = pending_.find(id);
    if (known == pending_.end())
        return;
    auto& pending = known->second;
    const bool within_relay_delay =
        clock_.now() - pending.broadcast_at < settings_.relay_delay;
    std::vector<std::string> targets;
    for (const auto& peer : peers)
    {
        if (pending.silent_since.contains(peer.name) &&
            !(peer.connected && within_relay_delay) &&
            pending.relayed_to.insert(peer.name).second)
            targets.push_back(peer.name);
    }
    for (const auto& target : targets)
    {
        std::size_t relays = 0;
        for (const auto& peer : peers)
        {
            if (!peer.connected || peer.name == target || ++relays > max_relays)
                continue;
            ++stats_.relayed;
            peers_.relay_cancel(
                peer.name, target, id,
                [this, target, id](const std::optional<job_reply>& reply)
                { on_relay_reply(target, id, reply); });
        }
    }
}

/// A lost relay needs no retry, because the log delivers the cancel once the
/// entry is reachable.
void memory_cancellation::on_relay_reply(const std::string& name, job_id id,
                                         const std::optional<job_reply>& reply)
{
    if (!reply)
        return;
    if (has_ended(*reply))
        cache_.set_end_state(id, reply->state);
    const auto known = pending_.find(id);
    if (known == pending_.end())
        return;
    if (has_ended(*reply))
        return finish(id, cancel_outcome::remote, *reply, name);
    if (reply->outcome != job_outcome::missing)
        return;
    known->second.silent_since.erase(name);
    finish_if_complete(id);
}

void memory_cancellation::notify_peers(job_id id)
{
    log_.push_back({id, clock_.now()});
    for (const auto& peer : peers_.all())
        send_pending(peer);
}

/// Each entry receives the whole log in order; an unreachable entry receives it
/// once it is connected again.
void memory_cancellation::send_pending(const peer_status& peer)
{
    auto& cursor = cursors_[peer.name];
    if (!peer.connected)
    {
        // Replies over a dropped link will not arrive: send again.
        stats_.unacknowledged += cursor.in_flight.size();
        if (!cursor.in_flight.empty())
            cursor.next = std::min(cursor.next, *cursor.in_flight.begin());
        cursor.in_flight.clear();
        return;
    }
    const auto end = log_begin_ + log_.size();
    cursor.next = std::max(cursor.next, log_begin_);
    while (cursor.next < end &&
           cursor.in_flight.size() < settings_.max_unacknowledged)
    {
        const auto number = cursor.next++;
        const auto logged = log_[number - log_begin_];
        cursor.in_flight.insert(number);
        ++stats_.sent;
        peers_.cancel(peer.name, logged.id,
                      [this, name = peer.name, number,
                       logged](const std::optional<job_reply>& reply)
                      { on_cancel_reply(name, number, logged, reply); });
        if (cursor.next <= number)
            return; // The link was lost meanwhile; retried later.
    }
}

void memory_cancellation::on_cancel_reply(const std::string& name,
                                          std::uint64_t number,
                                          const logged_cancel& logged,
                                          const std::optional<job_reply>& reply)
{
    auto& cursor = cursors_[name];
    cursor.in_flight.erase(number);
    if (!reply)
    {
        ++stats_.unacknowledged;
        cursor.next = std::min(cursor.next, number);
        return;
    }
    const auto* before = cache_.find(logged.id);
    const bool first = before == nullptr || !before->found;
    if (has_ended(*reply))
        cache_.set_end_state(logged.id, reply->state);
    const auto known = pending_.find(logged.id);
    if (known == pending_.end())
    {
        if (first && has_ended(*reply))
            log_ran_after_reply(name, logged, *reply);
        return;
    }
    if (has_ended(*reply))
        return finish(logged.id, cancel_outcome::remote, *reply, name);
    known->second.silent_since.erase(name);
    if (reply->outcome == job_outcome::unknown)
        known->second.silent_since[{}] = clock_.now(); // Its job host is lost.
    finish_if_complete(logged.id);
}

/// Logs a job whose cancel was answered as missing while the entry that had the
/// job was unreachable.
void memory_cancellation::log_ran_after_reply(const std::string& name,
                                              const logged_cancel& logged,
                                              const job_reply& reply)
{
    if (reply.state != job_state::cancelled)
        return;
    ++stats_.ran_after_reply;
    log_change(log_level::warning, "cancelled_job_still_running",
               {{"job", to_text(logged.id)},
                {"entry", name},
                {"age_ms", to_ms(clock_.now() - logged.since)}});
}

void memory_cancellation::on_peer_cancel(job_id id, const std::string& onward,
                                         job_reply_handler done)
{
    if (onward.empty())
        return on_cancel_for_this_entry(id, std::move(done));
    peers_.cancel(
        onward, id,
        [done = std::move(done)](const std::optional<job_reply>& reply)
        { done(reply.value_or(job_reply{})); });
}

void memory_cancellation::on_cancel_for_this_entry(job_id id,
                                                   job_reply_handler done)
{
    ++stats_.received;
    cache_.record(id, clock_.now());
    cancel_local_for_peer(id,
                          std::make_shared<job_reply_handler>(std::move(done)));
}

void memory_cancellation::cancel_local_for_peer(
    job_id id, const std::shared_ptr<job_reply_handler>& shared)
{
    const bool here = local_jobs_.cancel_local(
        id,
        [this, id, shared](const job_reply& reply)
        {
            if (reply.outcome == job_outcome::missing)
                return cancel_local_for_peer(
                    id, shared); // Its host has returned it.
            if (has_ended(reply))
                cache_.set_end_state(id, reply.state);
            (*shared)(reply);
        });
    if (here || cancel_owned_for_peer(id, *shared))
        return;
    const auto* known = cache_.find(id);
    if (known != nullptr && known->found)
        return (*shared)(ended_as(known->state));
    (*shared)({job_outcome::missing, job_state::queued, {}});
}

/// The owner may have accepted the job after an earlier owner reported it as
/// missing. If it loses the part, its successor cancels the job.
bool memory_cancellation::cancel_owned_for_peer(job_id id,
                                                const job_reply_handler& done)
{
    return local_jobs_.cancel_owned(id,
                                    [this, id, done](const job_reply& reply)
                                    {
                                        if (!has_ended(reply))
                                            return done({});
                                        cache_.set_end_state(id, reply.state);
                                        done(reply);
                                    });
}

std::optional<job_state> memory_cancellation::reject_if_cancelled(job_id id)
{
    const auto* known = cache_.find(id);
    if (known == nullptr)
        return std::nullopt;
    ++stats_.rejected;
    log_change(log_level::info, "cancelled_job_rejected",
               {{"job", to_text(id)},
                {"state", to_name(known->state)},
                {"age_ms", to_ms(clock_.now() - known->cancelled_at)}});
    return known->state;
}

std::vector<cancel_record> memory_cancellation::cancel_records() const
{
    std::vector<cancel_record> out;
    for (const auto& [id, known] : cache_.all())
        out.push_back(
            {id, known.state, known.found, clock_.now() - known.cancelled_at});
    return out;
}

void memory_cancellation::tick()
{
    expire();
    const auto peers = peers_.all();
    fetch_from_peers(peers);
    for (const auto& peer : peers)
        send_pending(peer);
    std::vector<job_id> pending;
    for (const auto& [id, one] : pending_)
        pending.push_back(id);
    for (const auto id : pending)
        check_pending(id, peers);
}

void memory_cancellation::expire()
{
    const auto now = clock_.now();
    cache_.expire(now);
    while (!log_.empty() &&
           (now - log_.front().since >= settings_.cache.retention ||
            log_.size() > settings_.cache.max_jobs))
    {
        log_.pop_front();
        ++log_begin_;
    }
}

void memory_cancellation::check_pending(job_id id,
                                        const std::vector<peer_status>& peers)
{
    const auto known = pending_.find(id);
    if (known == pending_.end())
        return;
    auto& pending = known->second;
    const auto age = clock_.now() - pending.started_at;
    if (age >= settings_.reply_timeout)
        return finish(id, cancel_outcome::unknown, {}, {});
    if (pending.awaiting_local)
        return;
    if (!pending.broadcast && age >= settings_.broadcast_delay)
        return broadcast(id);
    if (!pending.broadcast)
        return;
    if (!pending.asked_all && peers_.knows_all_entries())
        return broadcast(id);
    expire_waits(pending, peers);
    relay_cancel(id, peers);
    finish_if_complete(id);
}

void memory_cancellation::expire_waits(pending_cancel& pending,
                                       const std::vector<peer_status>& peers)
{
    const auto now = clock_.now();
    for (const auto& peer : peers)
    {
        const auto known = pending.silent_since.find(peer.name);
        if (known != pending.silent_since.end())
            known->second = std::max(known->second, peer.last_heard);
    }
    for (auto at = pending.silent_since.begin();
         at != pending.silent_since.end();)
    {
        if (now - at->second < settings_.silence_timeout)
        {
            ++at;
            continue;
        }
        ++pending.timed_out;
        ++stats_.timed_out;
        at = pending.silent_since.erase(at);
    }
}

void memory_cancellation::finish_if_complete(job_id id)
{
    const auto known = pending_.find(id);
    if (known == pending_.end())
        return;
    const auto& pending = known->second;
    if (!pending.broadcast || !pending.asked_all ||
        !pending.silent_since.empty() || !pending.journal)
        return;
    const auto reply = *pending.journal;
    finish(id,
           reply.outcome == job_outcome::missing ? cancel_outcome::missing
                                                 : cancel_outcome::unknown,
           reply, {});
}

void memory_cancellation::finish(job_id id, cancel_outcome outcome,
                                 const job_reply& reply,
                                 const std::string& entry)
{
    const auto known = pending_.find(id);
    const auto ended = std::move(known->second);
    pending_.erase(known);
    const auto took = to_ms(clock_.now() - ended.started_at);
    ++stats_.outcomes[static_cast<std::size_t>(outcome)];
    ++stats_.reply_times[reply_time_bucket(took)];
    if (outcome != cancel_outcome::journal)
        log_change(log_level::info, "memory_job_cancelled",
                   {{"job", to_text(id)},
                    {"outcome", to_name(outcome)},
                    {"entry", entry},
                    {"state", to_name(reply.state)},
                    {"took_ms", took},
                    {"unresponsive_entries", ended.timed_out}});
    for (const auto& done : ended.done)
        done(reply);
}

/// Jobs that were cancelled before this process started may be submitted again.
void memory_cancellation::fetch_from_peers(
    const std::vector<peer_status>& peers)
{
    // Replies over a dropped link will not arrive: ask again.
    for (const auto& peer : peers)
    {
        if (!fetched_ && !peer.connected)
            fetching_from_.erase(peer.name);
    }
    if (clock_.now() < next_fetch_at_)
        return;
    for (const auto& peer : peers)
    {
        if (fetched_ || fetching_from_.size() >= max_fetch_sources)
            return;
        if (!peer.connected || !fetching_from_.insert(peer.name).second)
            continue;
        peers_.fetch_cancels(
            peer.name,
            [this, name = peer.name](
                const std::optional<std::vector<cancel_record>>& known)
            {
                if (known)
                    return merge_fetched(*known);
                fetching_from_.erase(name);
                next_fetch_at_ = clock_.now() + fetch_retry_delay;
            });
    }
}

void memory_cancellation::merge_fetched(const std::vector<cancel_record>& known)
{
    fetched_ = true;
    for (const auto& one : known)
    {
        if (one.age >= settings_.cache.retention ||
            !cache_.record(one.id, clock_.now() - one.age))
            continue;
        ++stats_.fetched;
        if (one.found)
            cache_.set_end_state(one.id, one.state);
        cancel_local_for_peer(one.id, std::make_shared<job_reply_handler>(
                                          [](const job_reply&) {}));
    }
}

} // namespace glenhollow
