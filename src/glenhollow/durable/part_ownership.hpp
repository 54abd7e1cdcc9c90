#ifndef GLENHOLLOW_DURABLE_PART_OWNERSHIP_HPP
#define GLENHOLLOW_DURABLE_PART_OWNERSHIP_HPP

#include "glenhollow/durable/claim_validity.hpp"
#include "glenhollow/durable/entry_peers.hpp"
#include "glenhollow/durable/job_coordinator.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace glenhollow
{

/// Limits of ownership.
struct part_ownership_settings
{
    std::string entry;                        ///< Name of this entry.
    std::uint64_t incarnation = 0;            ///< Of this entry.
    std::size_t parts = 3;                    ///< Of the journal.
    duration settle_time = milliseconds{350}; ///< Before a part of an entry
                                              ///< that may live is taken.
    duration rank_delay = milliseconds{250}; ///< Between candidates.
    duration claim_retry_delay =
        milliseconds{150}; ///< After a claim that failed.
    duration rebalance_delay =
        seconds{2};                   ///< Calm before a part is given away.
    claim_validity_settings validity; ///< For claims.
    job_coordinator_settings jobs;    ///< Limits of the parts' jobs.
};

/// Counters of ownership.
struct part_ownership_stats
{
    std::uint64_t claims = 0;      ///< Claims written.
    std::uint64_t conflicts = 0;   ///< Claims that met another head.
    std::uint64_t lost = 0;        ///< Parts that another entry took.
    std::uint64_t released = 0;    ///< Parts given away.
    std::uint64_t superseded = 0;  ///< Claims of which the store told that
                                   ///< another entry's had followed.
    std::uint64_t unconfirmed = 0; ///< Times that nobody bore a claim out, so
                                   ///< that its leases were left to end.
};

/// Told of this entry's parts.
class part_ownership_listener
{
public:
    virtual ~part_ownership_listener() = default;

    /// @param part Owned and loaded from now on.
    virtual void ownership_acquired(part_epoch part) = 0;

    /// @param part Not owned any more.
    virtual void ownership_ended(part_number part) = 0;

    /// @return Agents that may run something.
    virtual std::set<std::string> possible_agents() const = 0;
};

/// Decides which parts this entry owns: takes those without an owner, gives
/// some away for balance, all before a planned stop or while the store turns
/// this entry away and serves others. One thread.
class part_ownership final
{
public:
    /// @param around What parts need; outlives it.
    /// @param peers The other entries; outlive it.
    /// @param listener Told; outlives it.
    /// @param settings Limits.
    part_ownership(job_coordinator::dependencies dependencies,
                   entry_peers& peers, part_ownership_listener& listener,
                   const part_ownership_settings& settings);
    ~part_ownership();

    /// @param reachable Whether the store answers this entry.
    void tick(bool reachable);

    /// Gives all parts away as soon as their journals are written.
    void stop();

    /// @param part A part.
    /// @return Its jobs, or null where this entry does not own it.
    job_coordinator* find(part_number part);

    /// @param part A part.
    /// @return Whether others may have taken it without this entry's knowing,
    /// so that what it misses may be theirs: its process stood still a moment
    /// ago, or nobody bears its claim out.
    bool may_be_superseded(part_number part) const;

    /// @return All parts that this entry owns and has loaded.
    std::vector<part_epoch> owned() const;

    /// @return Of these, those whose claims stood a moment ago: their leases
    /// may be renewed.
    std::vector<part_epoch> renewable() const;

    /// @return Parts that were given away lately.
    const std::vector<part_epoch>& released() const { return released_; }

    /// @return Jobs of this entry's parts that have not ended.
    std::size_t open_jobs() const;

    /// @return Counters.
    const part_ownership_stats& stats() const { return stats_; }

    /// @param visit Called for each owned part.
    void for_each(const std::function<void(job_coordinator&)>& visit);

private:
    /// One part as seen from here.
    struct part_state
    {
        std::unique_ptr<job_coordinator> jobs; ///< While owned and loaded.
        claim_validity validity;               ///< For its claim.
        instant claim_sent{};                  ///< When that left.
        bool was_valid = true;                 ///< For the log.
        bool claiming = false;   ///< A claim or a load is under way.
        instant unowned_since{}; ///< No live owner; zero: there is one.
        instant retry_at{};      ///< Next claim not before.
        chain_head last_head;    ///< Head at the first look.
        bool head_read = false;  ///< There was a first look.
    };

    bool has_live_owner(part_number part) const;
    bool is_superseded(part_epoch own) const;
    bool is_valid(part_epoch own, const part_state& at) const;
    void check_claim(part_number part, part_state& at);
    void claim_checked(part_epoch own, instant sent, const read_result& got);
    std::size_t rank(part_number part) const;
    bool is_due(part_number part, const part_state& at) const;
    void read_head(part_number part);
    void head_read(part_number part, const read_result& got);
    bool is_free(part_number part, const chain_head& head) const;
    void claim(part_number part, const chain_head& head);
    void claimed(part_number part, const chain_head& wanted,
                 const commit_result& got);
    void load(part_number part, const chain_head& head);
    void loaded(part_number part, const chain_head& head,
                std::optional<loaded_part> rows);
    void schedule_retry(part_number part);
    void lose(part_number part);
    void release(part_number part, std::string_view why);
    void rebalance();
    std::vector<std::string> candidates() const;

    job_coordinator::dependencies dependencies_; ///< What parts need.
    entry_peers& peers_;                         ///< The other entries.
    part_ownership_listener& listener_;          ///< Told.
    part_ownership_settings settings_;           ///< Limits.
    std::map<part_number, part_state> parts_;    ///< All parts.
    bool store_reachable_ = true;      ///< The store answers this entry.
    bool stopping_ = false;            ///< Gives all away.
    instant stopping_since_{};         ///< When that began.
    instant last_tick_{};              ///< The last tick.
    instant resumed_at_{};             ///< First tick after it stood still.
    instant last_owner_change_{};      ///< Last change of owners.
    std::vector<part_epoch> released_; ///< Given away lately.
    part_ownership_stats stats_;       ///< Counters.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Guard.
};

} // namespace glenhollow

#endif
