#include "glenhollow/durable/part_ownership.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace glenhollow
{

namespace
{

constexpr duration stop_patience = milliseconds{400};
constexpr std::size_t released_kept = 64;
/// Between two ticks: others take an entry for lost after a second of silence,
/// so one that stood still for half of that may have lost its parts.
constexpr duration stood_still = milliseconds{500};
/// From its next tick to the others' views: twice the time between exchanges.
constexpr duration views_come = milliseconds{500};

std::uint64_t weight(part_number part, const std::string& entry)
{
    return XXH3_64bits_withSeed(entry.data(), entry.size(), part + 1);
}

} // namespace

part_ownership::part_ownership(job_coordinator::dependencies around,
                               entry_peers& peers,
                               part_ownership_listener& listener,
                               const part_ownership_settings& settings)
    : around_(std::move(around)), peers_(peers), listener_(listener),
      settings_(settings), ticked_(around_.clock.now()), changed_(ticked_)
{
    for (std::size_t i = 0; i < settings_.parts; ++i)
    {
        auto& at = seats_[static_cast<part_number>(i)];
        at.free_since = around_.clock.now();
        at.evidence = claim_evidence(settings_.evidence);
    }
}

part_ownership::~part_ownership()
{
    *alive_ = false;
}

job_coordinator* part_ownership::find(part_number part)
{
    const auto known = seats_.find(part);
    return known == seats_.end() ? nullptr : known->second.jobs.get();
}

std::vector<part_epoch> part_ownership::owned() const
{
    std::vector<part_epoch> all;
    for (const auto& [part, at] : seats_)
    {
        if (at.jobs)
            all.push_back(at.jobs->epoch());
    }
    return all;
}

std::vector<part_epoch> part_ownership::renewable() const
{
    std::vector<part_epoch> all;
    for (const auto& [part, at] : seats_)
    {
        if (at.jobs && stands(at.jobs->epoch(), at))
            all.push_back(at.jobs->epoch());
    }
    return all;
}

std::size_t part_ownership::open_jobs() const
{
    std::size_t count = 0;
    for (const auto& [part, at] : seats_)
        count += at.jobs ? at.jobs->open_jobs() : 0;
    return count;
}

bool part_ownership::stands(part_epoch own, const seat& at) const
{
    const auto now = around_.clock.now();
    // Each report of each agent asks: the entries are gone through only where
    // their word counts.
    if (!at.evidence.store_silent(now))
        return true;
    return at.evidence.stands(
        now, peers_.oldest_word(own, at.evidence.heard_since()));
}

void part_ownership::for_each(
    const std::function<void(job_coordinator&)>& visit)
{
    for (auto& [part, at] : seats_)
    {
        if (at.jobs)
            visit(*at.jobs);
    }
}

bool part_ownership::has_live_owner(part_number part) const
{
    const auto views = peers_.live();
    return std::any_of(views.begin(), views.end(),
                       [part](const entry_view* view)
                       { return view->owns(part); });
}

/// The journal turns the older claim's writes down; but while the store is
/// down, an owner that was paused would go on answering from its memory.
/// Whether the newer owner still has the part does not matter.
bool part_ownership::is_superseded(part_epoch own) const
{
    const auto views = peers_.live();
    return std::any_of(views.begin(), views.end(),
                       [own](const entry_view* view)
                       { return view->tells_later(own); });
}

bool part_ownership::may_be_superseded(part_number part) const
{
    const auto now = around_.clock.now();
    if (now - ticked_ > stood_still || now - woke_ < views_come)
        return true;
    const auto known = seats_.find(part);
    return known != seats_.end() && known->second.jobs &&
           !stands(known->second.jobs->epoch(), known->second);
}

std::vector<std::string> part_ownership::candidates() const
{
    std::vector<std::string> names{settings_.entry};
    for (const auto* view : peers_.live())
    {
        if (view->store_reachable && !view->stopping)
            names.push_back(view->name);
    }
    return names;
}

/// How many others should rather take the part: those with fewer parts first.
std::size_t part_ownership::rank(part_number part) const
{
    const auto key = [part](std::size_t owned, const std::string& name) {
        return std::tuple{owned, weight(part, name), name};
    };
    const auto mine = key(owned().size(), settings_.entry);
    std::size_t before = 0;
    for (const auto* view : peers_.live())
    {
        if (view->store_reachable && !view->stopping &&
            key(view->parts.size(), view->name) < mine)
            ++before;
    }
    return before;
}

bool part_ownership::is_due(part_number part, const seat& at) const
{
    const auto now = around_.clock.now();
    return !at.claiming && !at.jobs && at.free_since.count() != 0 &&
           now >= at.retry_at &&
           now - at.free_since >=
               settings_.rank_step * static_cast<std::int64_t>(rank(part));
}

void part_ownership::tick(bool reachable)
{
    reachable_ = reachable;
    const auto now = around_.clock.now();
    if (now - std::exchange(ticked_, now) > stood_still)
        woke_ = now;
    bool others_reach = false;
    for (const auto* view : peers_.live())
        others_reach =
            others_reach || (view->store_reachable && !view->stopping);
    for (auto& [part, at] : seats_)
    {
        if (at.jobs && is_superseded(at.jobs->epoch()))
        {
            at.jobs->abandon();
            lose(part);
        }
        if (at.jobs)
        {
            seek_evidence(part, at);
            at.jobs->tick();
            const bool flushed = at.jobs->flushed();
            if (stopping_ && (flushed || now - stopping_since_ > stop_patience))
                release(part, "stopping");
            else if (!reachable_ && others_reach)
                release(part, "store_turns_away");
            continue;
        }
        if (has_live_owner(part))
        {
            at.free_since = {};
            at.looked = false;
            continue;
        }
        if (at.free_since.count() == 0)
            at.free_since = now;
        if (!stopping_ && reachable_ && is_due(part, at))
            look(part);
    }
    balance();
}

/// An owner that writes nothing would never hear that its claim has been
/// followed by another one. While the store is silent, all entries that could
/// have written one are asked.
void part_ownership::seek_evidence(part_number part, seat& at)
{
    const auto now = around_.clock.now();
    const auto own = at.jobs->epoch();
    if (at.evidence.store_silent(now))
        peers_.ask(at.evidence.settings().ask_again);
    if (std::exchange(at.borne_out, stands(own, at)) && !at.borne_out)
    {
        ++stats_.unborne;
        log_change(log_level::warning, "claim_not_borne_out",
                   {{"part", part}, {"epoch", own.epoch}});
    }
    if (!at.evidence.ask_store(now))
        return;
    const auto head = head_key(part);
    around_.store.read({head.table, head.part, head.key, {}, 1},
                       [this, alive = alive_, own, now](const read_result& got)
                       {
                           if (*alive)
                               claim_looked_up(own, now, got);
                       });
}

void part_ownership::claim_looked_up(part_epoch own, instant asked,
                                     const read_result& got)
{
    auto& at = seats_[own.part];
    const bool found = got.answered && !got.rows.empty() &&
                       got.rows.front().key == head_key(own.part);
    if (!found || !at.jobs || at.jobs->epoch() != own)
        return;
    const auto head = decode_head(got.rows.front());
    if (!head)
        return;
    if (head.value().incarnation == settings_.incarnation &&
        head.value().epoch == own.epoch)
        return at.evidence.store_confirmed(asked);
    if (head.value().epoch <= own.epoch)
        return;
    ++stats_.outlived;
    log_change(log_level::warning, "claim_outlived",
               {{"part", own.part},
                {"epoch", own.epoch},
                {"owner", head.value().owner},
                {"owner_epoch", head.value().epoch}});
    at.jobs->abandon();
    lose(own.part);
}

/// Reads the head first: one that moves between two looks has a living owner
/// that this entry merely cannot see.
void part_ownership::look(part_number part)
{
    auto& at = seats_[part];
    at.claiming = true;
    const auto head = head_key(part);
    around_.store.read({head.table, head.part, head.key, {}, 1},
                       [this, alive = alive_, part](const read_result& got)
                       {
                           if (*alive)
                               looked(part, got);
                       });
}

void part_ownership::looked(part_number part, const read_result& got)
{
    auto& at = seats_[part];
    const auto now = around_.clock.now();
    if (!got.answered || stopping_ || has_live_owner(part))
        return fail(part);
    chain_head head;
    if (!got.rows.empty() && got.rows.front().key == head_key(part))
    {
        const auto found = decode_head(got.rows.front());
        if (!found)
        {
            log_change(log_level::error, "head_unreadable",
                       {{"part", part}, {"cause", found.error().text}});
            return fail(part);
        }
        head = found.value();
    }
    const bool surely_free = is_free(part, head);
    const bool settled = at.looked && at.seen.version == head.version &&
                         now - at.free_since >= settings_.settle;
    if (surely_free || settled)
        return claim(part, head);
    if (at.looked && at.seen.version != head.version)
        log_change(log_level::info, "owner_writes_unseen",
                   {{"part", part}, {"owner", head.owner}});
    at.seen = head;
    at.looked = true;
    at.claiming = false;
    at.retry_at = now + settings_.settle;
}

/// Nobody has it, its owner has ended, or has said that it gave it away.
bool part_ownership::is_free(part_number part, const chain_head& head) const
{
    if (head.version == 0 || head.owner == settings_.entry)
        return true;
    const auto* owner = peers_.find(head.owner);
    if (owner == nullptr)
        return peers_.refuses(head.owner);
    const part_epoch given{part, head.epoch};
    return owner->incarnation != head.incarnation ||
           std::find(owner->released.begin(), owner->released.end(), given) !=
               owner->released.end();
}

void part_ownership::claim(part_number part, const chain_head& head)
{
    seats_[part].claim_sent = around_.clock.now();
    chain_head wanted;
    wanted.owner = settings_.entry;
    wanted.incarnation = settings_.incarnation;
    wanted.epoch = head.epoch + 1;
    row_transaction change;
    change.expected.push_back({head_key(part), head.version});
    change.puts.push_back({head_key(part), encode_head(wanted)});
    around_.store.commit(
        change,
        [this, alive = alive_, part, wanted](const commit_result& got)
        {
            if (*alive)
                claimed(part, wanted, got);
        });
}

void part_ownership::claimed(part_number part, const chain_head& wanted,
                             const commit_result& got)
{
    if (got.outcome != store_outcome::done)
    {
        if (got.outcome == store_outcome::conflict)
            ++stats_.conflicts;
        log_change(log_level::info, "claim_failed",
                   {{"part", part}, {"outcome", to_name(got.outcome)}});
        return fail(part);
    }
    ++stats_.claims;
    auto head = wanted;
    head.version = got.version;
    load(part, head);
}

void part_ownership::load(part_number part, const chain_head& head)
{
    load_part(
        around_.store, part,
        [this, alive = alive_, part, head](std::optional<loaded_part> rows)
        {
            if (*alive)
                loaded(part, head, std::move(rows));
        });
}

void part_ownership::loaded(part_number part, const chain_head& head,
                            std::optional<loaded_part> rows)
{
    auto& at = seats_[part];
    if (!rows)
        return fail(part);
    at.claiming = false;
    at.free_since = {};
    at.looked = false;
    changed_ = around_.clock.now();
    log_change(log_level::info, "part_owned",
               {{"part", part},
                {"epoch", head.epoch},
                {"version", head.version},
                {"open_jobs", rows->jobs.size()},
                {"ended_jobs", rows->ended.size()}});
    at.evidence = claim_evidence(settings_.evidence);
    at.evidence.store_confirmed(at.claim_sent);
    at.borne_out = true;
    auto awaited = listener_.possible_agents();
    awaited.merge(rows->agents);
    if (rows->jobs.empty())
        awaited.clear();
    auto limits = settings_.jobs;
    limits.parts = settings_.parts;
    at.jobs = std::make_unique<job_coordinator>(
        around_, part, head, std::move(*rows), std::move(awaited), limits,
        [this, alive = alive_, part]
        {
            // The chain that tells of its
            // loss is part of what ends.
            around_.later(duration{0},
                          [this, alive, part]
                          {
                              if (*alive)
                                  lose(part);
                          });
        });
    listener_.part_gained(at.jobs->epoch());
}

void part_ownership::fail(part_number part)
{
    auto& at = seats_[part];
    at.claiming = false;
    at.retry_at = around_.clock.now() + settings_.claim_retry;
}

void part_ownership::lose(part_number part)
{
    auto& at = seats_[part];
    if (!at.jobs)
        return;
    ++stats_.lost;
    log_change(log_level::warning, "part_lost",
               {{"part", part}, {"epoch", at.jobs->epoch().epoch}});
    at.jobs.reset();
    at.free_since = around_.clock.now();
    at.retry_at = at.free_since + settings_.claim_retry;
    changed_ = at.free_since;
    listener_.part_given_up(part);
}

void part_ownership::release(part_number part, std::string_view why)
{
    auto& at = seats_[part];
    ++stats_.released;
    log_change(
        log_level::info, "part_released",
        {{"part", part}, {"epoch", at.jobs->epoch().epoch}, {"reason", why}});
    released_.push_back(at.jobs->epoch());
    if (released_.size() > released_kept)
        released_.erase(released_.begin());
    at.jobs->abandon();
    at.jobs.reset();
    const auto now = around_.clock.now();
    at.free_since = now;
    // The others first.
    at.retry_at = now + settings_.settle * 2;
    changed_ = now;
    listener_.part_given_up(part);
}

void part_ownership::balance()
{
    const auto now = around_.clock.now();
    const auto names = candidates();
    if (stopping_ || names.size() < 2 ||
        now - changed_ < settings_.balance_after)
        return;
    std::size_t least = settings_.parts;
    for (const auto* view : peers_.live())
    {
        if (view->store_reachable && !view->stopping)
            least = std::min(least, view->parts.size());
    }
    if (owned().size() < least + 2)
        return;
    for (auto& [part, at] : seats_)
    {
        if (at.jobs && at.jobs->flushed())
            return release(part, "balance");
    }
}

void part_ownership::stop()
{
    stopping_ = true;
    stopping_since_ = around_.clock.now();
}

} // namespace glenhollow
