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

constexpr duration flush_timeout = milliseconds{400};
constexpr std::size_t max_released = 64;
/// A longer gap between two ticks counts as a suspension of the process. Other
/// entries consider an entry lost after one second of silence, so it may have
/// lost its parts after half of that.
constexpr duration stall_threshold = milliseconds{500};
/// Time after a suspension until the other entries' views are up to date: two
/// exchange intervals.
constexpr duration view_refresh_time = milliseconds{500};

std::uint64_t rendezvous_weight(part_number part, const std::string& entry)
{
    return XXH3_64bits_withSeed(entry.data(), entry.size(), part + 1);
}

} // namespace

part_ownership::part_ownership(job_coordinator::dependencies dependencies,
                               entry_peers& peers,
                               part_ownership_listener& listener,
                               const part_ownership_settings& settings)
    : dependencies_(std::move(dependencies)), peers_(peers),
      listener_(listener), settings_(settings),
      last_tick_(dependencies_.clock.now()), last_owner_change_(last_tick_)
{
    for (std::size_t i = 0; i < settings_.parts; ++i)
    {
        auto& at = parts_[static_cast<part_number>(i)];
        at.unowned_since = dependencies_.clock.now();
        at.validity = claim_validity(settings_.validity);
    }
}

part_ownership::~part_ownership()
{
    *alive_ = false;
}

job_coordinator* part_ownership::find(part_number part)
{
    const auto known = parts_.find(part);
    return known == parts_.end() ? nullptr : known->second.jobs.get();
}

std::vector<part_epoch> part_ownership::owned() const
{
    std::vector<part_epoch> all;
    for (const auto& [part, at] : parts_)
    {
        if (at.jobs)
            all.push_back(at.jobs->epoch());
    }
    return all;
}

std::vector<part_epoch> part_ownership::renewable() const
{
    std::vector<part_epoch> all;
    for (const auto& [part, at] : parts_)
    {
        if (at.jobs && is_valid(at.jobs->epoch(), at))
            all.push_back(at.jobs->epoch());
    }
    return all;
}

std::size_t part_ownership::open_jobs() const
{
    std::size_t count = 0;
    for (const auto& [part, at] : parts_)
        count += at.jobs ? at.jobs->open_jobs() : 0;
    return count;
}

std::size_t part_ownership::open_tasks() const
{
    std::size_t count = 0;
    for (const auto& [part, at] : parts_)
        count += at.jobs ? at.jobs->open_tasks() : 0;
    return count;
}

bool part_ownership::is_valid(part_epoch own, const part_state& at) const
{
    const auto now = dependencies_.clock.now();
    // Called for each agent report, so the peers are only searched if needed.
    if (!at.validity.store_confirmation_expired(now))
        return true;
    // An entry that is not known may have claimed the part.
    return listener_.knows_all_entries() &&
           at.validity.is_valid(now, peers_.oldest_confirmation(
                                         own, at.validity.active_since()));
}

void part_ownership::for_each(
    const std::function<void(job_coordinator&)>& visit)
{
    for (auto& [part, at] : parts_)
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

/// A live entry may end later, and its refusals count again.
void part_ownership::forget_live(part_state& at) const
{
    if (at.replaced.empty())
        return;
    for (const auto* view : peers_.live())
        at.replaced.erase(view->incarnation);
}

/// The journal rejects writes under a superseded claim. While the store is
/// down, however, an owner that was suspended would keep answering from memory.
/// It makes no difference whether the newer owner still has the part.
bool part_ownership::is_superseded(part_epoch own) const
{
    const auto views = peers_.live();
    return std::any_of(views.begin(), views.end(),
                       [own](const entry_view* view)
                       { return view->has_later_claim(own); });
}

bool part_ownership::may_be_superseded(part_number part) const
{
    const auto now = dependencies_.clock.now();
    if (now - last_tick_ > stall_threshold ||
        now - resumed_at_ < view_refresh_time)
        return true;
    const auto known = parts_.find(part);
    return known != parts_.end() && known->second.jobs &&
           !is_valid(known->second.jobs->epoch(), known->second);
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

/// Counts the entries that are preferred as the next owner: those with fewer
/// parts, then those with a lower hash.
std::size_t part_ownership::rank(part_number part) const
{
    const auto key = [part](std::size_t owned, const std::string& name) {
        return std::tuple{owned, rendezvous_weight(part, name), name};
    };
    const auto own_key = key(owned().size(), settings_.entry);
    std::size_t ahead = 0;
    for (const auto* view : peers_.live())
    {
        if (view->store_reachable && !view->stopping &&
            key(view->parts.size(), view->name) < own_key)
            ++ahead;
    }
    return ahead;
}

bool part_ownership::is_due(part_number part, const part_state& at) const
{
    const auto now = dependencies_.clock.now();
    return !at.claiming && !at.jobs && at.unowned_since.count() != 0 &&
           now >= at.retry_at &&
           now - at.unowned_since >=
               settings_.rank_delay * static_cast<std::int64_t>(rank(part));
}

void part_ownership::tick(bool reachable)
{
    store_reachable_ = reachable;
    const auto now = dependencies_.clock.now();
    if (now - std::exchange(last_tick_, now) > stall_threshold)
        resumed_at_ = now;
    bool others_reach = false;
    for (const auto* view : peers_.live())
        others_reach =
            others_reach || (view->store_reachable && !view->stopping);
    for (auto& [part, at] : parts_)
    {
        forget_live(at);
        if (at.jobs && is_superseded(at.jobs->epoch()))
        {
            at.jobs->abandon();
            lose(part);
        }
        if (at.jobs)
        {
            check_claim(part, at);
            at.jobs->tick();
            const bool flushed = at.jobs->flushed();
            if (stopping_ && (flushed || now - stopping_since_ > flush_timeout))
                release(part, "stopping");
            else if (!store_reachable_ && others_reach)
                release(part, "store_turns_away");
            continue;
        }
        if (has_live_owner(part))
        {
            at.unowned_since = {};
            at.head_read = false;
            continue;
        }
        if (at.unowned_since.count() == 0)
            at.unowned_since = now;
        if (!stopping_ && store_reachable_ && is_due(part, at))
            read_head(part);
    }
    rebalance();
}

/// An owner that writes nothing would not notice that its claim is superseded,
/// so it asks the store. While the store is silent, it asks all entries that
/// could have claimed the part.
void part_ownership::check_claim(part_number part, part_state& at)
{
    const auto now = dependencies_.clock.now();
    const auto own = at.jobs->epoch();
    if (at.validity.store_confirmation_expired(now))
        peers_.refresh(at.validity.settings().check_interval);
    if (std::exchange(at.was_valid, is_valid(own, at)) && !at.was_valid)
    {
        ++stats_.unconfirmed;
        log_change(log_level::warning, "claim_unconfirmed",
                   {{"part", part}, {"epoch", own.epoch}});
    }
    if (!at.validity.begin_store_check(now))
        return;
    const auto head = head_key(part);
    dependencies_.store.read(
        {head.table, head.part, head.key, {}, 1},
        [this, alive = alive_, own, now](const read_result& got)
        {
            if (*alive)
                claim_checked(own, now, got);
        });
}

void part_ownership::claim_checked(part_epoch own, instant sent,
                                   const read_result& got)
{
    auto& at = parts_[own.part];
    const bool found = got.answered && !got.rows.empty() &&
                       got.rows.front().key == head_key(own.part);
    if (!found || !at.jobs || at.jobs->epoch() != own)
        return;
    const auto head = decode_head(got.rows.front());
    if (!head)
        return;
    if (head.value().incarnation == settings_.incarnation &&
        head.value().epoch == own.epoch)
        return at.validity.store_confirmed(sent);
    if (head.value().epoch <= own.epoch)
        return;
    ++stats_.superseded;
    log_change(log_level::warning, "claim_superseded",
               {{"part", own.part},
                {"epoch", own.epoch},
                {"owner", head.value().owner},
                {"owner_epoch", head.value().epoch}});
    at.jobs->abandon();
    lose(own.part);
}

/// Reads the part's head before a claim. If the head changes between two reads,
/// the part has a live owner that this entry cannot reach.
void part_ownership::read_head(part_number part)
{
    auto& at = parts_[part];
    at.claiming = true;
    const auto head = head_key(part);
    dependencies_.store.read(
        {head.table, head.part, head.key, {}, 1},
        [this, alive = alive_, part](const read_result& got)
        {
            if (*alive)
                head_read(part, got);
        });
}

void part_ownership::head_read(part_number part, const read_result& got)
{
    auto& at = parts_[part];
    const auto now = dependencies_.clock.now();
    if (!got.answered || stopping_ || has_live_owner(part))
        return schedule_retry(part);
    chain_head head;
    if (!got.rows.empty() && got.rows.front().key == head_key(part))
    {
        const auto found = decode_head(got.rows.front());
        if (!found)
        {
            log_change(log_level::error, "part_head_invalid",
                       {{"part", part}, {"cause", found.error().text}});
            return schedule_retry(part);
        }
        head = found.value();
    }
    const bool confirmed_free = is_free(part, head);
    const bool settled = at.head_read && at.last_head.version == head.version &&
                         now - at.unowned_since >= settings_.settle_time;
    if (confirmed_free || settled)
        return claim(part, head);
    if (at.head_read && at.last_head.version != head.version)
        log_change(log_level::info, "unreachable_owner_active",
                   {{"part", part}, {"owner", head.owner}});
    at.last_head = head;
    at.head_read = true;
    at.claiming = false;
    at.retry_at = now + settings_.settle_time;
}

/// A refused connection shows the end of a process, unless a partition refuses
/// it. An incarnation that has claimed the part again since this entry replaced
/// its claim was alive all the same, and its journal must settle first.
/// @return Whether the process of an owner that is not live has ended.
bool part_ownership::has_ended(part_number part, const chain_head& head) const
{
    return peers_.refuses_connections(head.owner) &&
           !parts_.at(part).replaced.contains(head.incarnation);
}

/// @return Whether the part was never claimed or last claimed by this entry,
/// its owner's process has ended, or its owner has released it.
bool part_ownership::is_free(part_number part, const chain_head& head) const
{
    if (head.version == 0 || head.owner == settings_.entry)
        return true;
    const auto* owner = peers_.find(head.owner);
    if (owner == nullptr)
        return has_ended(part, head);
    const part_epoch given{part, head.epoch};
    return owner->incarnation != head.incarnation ||
           std::find(owner->released.begin(), owner->released.end(), given) !=
               owner->released.end();
}

void part_ownership::claim(part_number part, const chain_head& head)
{
    auto& at = parts_[part];
    at.claim_sent = dependencies_.clock.now();
    at.replaces = peers_.find(head.owner) == nullptr &&
                          head.incarnation != settings_.incarnation
                      ? head.incarnation
                      : 0;
    chain_head wanted;
    wanted.owner = settings_.entry;
    wanted.incarnation = settings_.incarnation;
    wanted.epoch = head.epoch + 1;
    row_transaction change;
    change.expected.push_back({head_key(part), head.version});
    change.puts.push_back({head_key(part), encode_head(wanted)});
    dependencies_.store.commit(
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
        return schedule_retry(part);
    }
    ++stats_.claims;
    auto& at = parts_[part];
    if (at.replaces != 0)
        at.replaced.insert(at.replaces);
    auto head = wanted;
    head.version = got.version;
    load(part, head);
}

void part_ownership::load(part_number part, const chain_head& head)
{
    load_part(
        dependencies_.store, part,
        [this, alive = alive_, part, head](std::optional<loaded_part> rows)
        {
            if (*alive)
                loaded(part, head, std::move(rows));
        });
}

void part_ownership::loaded(part_number part, const chain_head& head,
                            std::optional<loaded_part> rows)
{
    auto& at = parts_[part];
    if (!rows)
        return schedule_retry(part);
    at.claiming = false;
    at.unowned_since = {};
    at.head_read = false;
    last_owner_change_ = dependencies_.clock.now();
    log_change(log_level::info, "part_owned",
               {{"part", part},
                {"epoch", head.epoch},
                {"version", head.version},
                {"open_jobs", rows->jobs.size()},
                {"ended_jobs", rows->ended.size()}});
    at.validity = claim_validity(settings_.validity);
    at.validity.store_confirmed(at.claim_sent);
    at.was_valid = true;
    auto awaited = listener_.possible_agents();
    awaited.merge(rows->agents);
    if (rows->jobs.empty())
        awaited.clear();
    auto limits = settings_.jobs;
    limits.parts = settings_.parts;
    at.jobs = std::make_unique<job_coordinator>(
        dependencies_, part, head, std::move(*rows), std::move(awaited), limits,
        [this, alive = alive_, part]
        {
            // Deferred, since the calling
            // chain is destroyed by lose().
            dependencies_.later(duration{0},
                                [this, alive, part]
                                {
                                    if (*alive)
                                        lose(part);
                                });
        });
    listener_.ownership_acquired(at.jobs->epoch());
}

void part_ownership::schedule_retry(part_number part)
{
    auto& at = parts_[part];
    at.claiming = false;
    at.retry_at = dependencies_.clock.now() + settings_.claim_retry_delay;
}

void part_ownership::lose(part_number part)
{
    auto& at = parts_[part];
    if (!at.jobs)
        return;
    ++stats_.lost;
    log_change(log_level::warning, "part_lost",
               {{"part", part}, {"epoch", at.jobs->epoch().epoch}});
    at.jobs.reset();
    at.unowned_since = dependencies_.clock.now();
    at.retry_at = at.unowned_since + settings_.claim_retry_delay;
    last_owner_change_ = at.unowned_since;
    listener_.ownership_ended(part);
}

void part_ownership::release(part_number part, std::string_view why)
{
    auto& at = parts_[part];
    ++stats_.released;
    log_change(
        log_level::info, "part_released",
        {{"part", part}, {"epoch", at.jobs->epoch().epoch}, {"reason", why}});
    released_.push_back(at.jobs->epoch());
    if (released_.size() > max_released)
        released_.erase(released_.begin());
    at.jobs->abandon();
    at.jobs.reset();
    const auto now = dependencies_.clock.now();
    at.unowned_since = now;
    // Other entries get the first chance to claim the part.
    at.retry_at = now + settings_.settle_time * 2;
    last_owner_change_ = now;
    listener_.ownership_ended(part);
}

void part_ownership::rebalance()
{
    const auto now = dependencies_.clock.now();
    const auto names = candidates();
    if (stopping_ || names.size() < 2 ||
        now - last_owner_change_ < settings_.rebalance_delay)
        return;
    std::size_t least = settings_.parts;
    for (const auto* view : peers_.live())
    {
        if (view->store_reachable && !view->stopping)
            least = std::min(least, view->parts.size());
    }
    if (owned().size() < least + 2)
        return;
    for (auto& [part, at] : parts_)
    {
        if (at.jobs && at.jobs->flushed())
            return release(part, "balance");
    }
}

void part_ownership::stop()
{
    stopping_ = true;
    stopping_since_ = dependencies_.clock.now();
}

} // namespace glenhollow
