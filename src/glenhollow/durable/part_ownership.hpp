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

/// Settings of part ownership.
struct part_ownership_settings
{
    std::string entry;             ///< Name of this entry.
    std::uint64_t incarnation = 0; ///< Incarnation of this entry's process.
    std::size_t parts = 3;         ///< Number of the journal's parts.
    /// Time for which the journal of an unreachable owner must not change
    /// before its part is claimed.
    duration settle_time = milliseconds{350};
    /// Additional delay per entry that is preferred as the next owner.
    duration rank_delay = milliseconds{250};
    /// Delay after a failed claim.
    duration claim_retry_delay = milliseconds{150};
    /// Time without a change of owners before a part is released for balance.
    duration rebalance_delay = seconds{2};
    claim_validity_settings validity;
    job_coordinator_settings jobs;
};

/// Counters of part ownership.
struct part_ownership_stats
{
    std::uint64_t claims = 0;      ///< Claims written.
    std::uint64_t conflicts = 0;   ///< Claims rejected for a changed head.
    std::uint64_t lost = 0;        ///< Parts lost to another entry.
    std::uint64_t released = 0;    ///< Parts released voluntarily.
    std::uint64_t superseded = 0;  ///< Claims that the store showed to be
                                   ///< superseded by another entry's claim.
    std::uint64_t unconfirmed = 0; ///< Times a claim's confirmations expired,
                                   ///< which stops the renewal of its leases.
};

/// Receives changes of this entry's parts.
class part_ownership_listener
{
public:
    virtual ~part_ownership_listener() = default;

    /// Called once a part is claimed and loaded.
    virtual void ownership_acquired(part_epoch part) = 0;

    /// Called after a part was lost or released.
    virtual void ownership_ended(part_number part) = 0;

    /// @return All known agents that may run tasks.
    virtual std::set<std::string> possible_agents() const = 0;

    /// @return Whether all other entries are known.
    virtual bool knows_all_entries() const = 0;
};

/// Decides which parts of the journal this entry owns. It claims parts without
/// a live owner and releases parts to balance the load. It releases all parts
/// before a planned stop, and when the store rejects this entry but serves
/// others. Not thread-safe.
class part_ownership final
{
public:
    /// @param dependencies Collaborators of the parts' coordinators; must
    /// outlive this object.
    /// @param peers Links to the other entries; must outlive this object.
    /// @param listener Must outlive this object.
    part_ownership(job_coordinator::dependencies dependencies,
                   entry_peers& peers, part_ownership_listener& listener,
                   const part_ownership_settings& settings);
    ~part_ownership();

    /// Claims, confirms and releases parts as due.
    /// @param reachable Whether the store answers this entry.
    void tick(bool reachable);

    /// Starts to release all parts, each once its journal is written.
    void stop();

    /// @return The part's coordinator, or null if this entry does not own it.
    job_coordinator* find(part_number part);

    /// @return Whether another entry may have claimed the part unnoticed,
    /// because this process was suspended a moment ago or its claim is not
    /// confirmed. A job that is unknown here may then exist at the new owner.
    bool may_be_superseded(part_number part) const;

    /// @return All parts that this entry has claimed and loaded.
    std::vector<part_epoch> owned() const;

    /// @return Owned parts with a recently confirmed claim, whose leases may be
    /// renewed.
    std::vector<part_epoch> renewable() const;

    /// @return Parts that were released recently.
    const std::vector<part_epoch>& released() const { return released_; }

    /// @return Number of open jobs in this entry's parts.
    std::size_t open_jobs() const;

    /// @return Number of tasks of these jobs.
    std::size_t open_tasks() const;

    /// @return Counters since the start.
    const part_ownership_stats& stats() const { return stats_; }

    /// Calls a function for each owned part.
    void for_each(const std::function<void(job_coordinator&)>& visit);

private:
    /// State of one part at this entry.
    struct part_state
    {
        std::unique_ptr<job_coordinator> jobs; ///< Null unless owned.
        claim_validity validity;
        instant claim_sent{};    ///< Send time of the latest claim.
        bool was_valid = true;   ///< Last state that was logged.
        bool claiming = false;   ///< A claim or a load is in progress.
        instant unowned_since{}; ///< Zero while the part has a live owner.
        instant retry_at{};      ///< Earliest time of the next claim.
        chain_head last_head;    ///< Head as of the last read.
        bool head_read = false;  ///< Whether last_head is set.
        /// Incarnation whose claim the pending claim replaces while its entry
        /// is not live; 0: none.
        std::uint64_t replaces = 0;
        /// Incarnations whose claims were replaced so, until they are live.
        std::set<std::uint64_t> replaced;
    };

    bool has_live_owner(part_number part) const;
    void forget_live(part_state& at) const;
    bool is_superseded(part_epoch own) const;
    bool is_valid(part_epoch own, const part_state& at) const;
    void check_claim(part_number part, part_state& at);
    void claim_checked(part_epoch own, instant sent, const read_result& got);
    std::size_t rank(part_number part) const;
    bool is_due(part_number part, const part_state& at) const;
    void read_head(part_number part);
    void head_read(part_number part, const read_result& got);
    bool is_free(part_number part, const chain_head& head) const;
    bool has_ended(part_number part, const chain_head& head) const;
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

    job_coordinator::dependencies dependencies_;
    entry_peers& peers_;
    part_ownership_listener& listener_;
    part_ownership_settings settings_;
    std::map<part_number, part_state> parts_;
    bool store_reachable_ = true; ///< Whether the store answers this entry.
    bool stopping_ = false;       ///< Whether all parts are being released.
    instant stopping_since_{};
    instant last_tick_{};
    instant resumed_at_{};             ///< First tick after a suspension.
    instant last_owner_change_{};      ///< Last time a part changed owners.
    std::vector<part_epoch> released_; ///< Recently released parts.
    part_ownership_stats stats_;
    /// Cleared by the destructor; pending callbacks check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace glenhollow

#endif
