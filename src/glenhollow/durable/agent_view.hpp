#ifndef GLENHOLLOW_DURABLE_AGENT_VIEW_HPP
#define GLENHOLLOW_DURABLE_AGENT_VIEW_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/durable_job.hpp"
#include "glenhollow/durable/ready_task.hpp"
#include "glenhollow/runs/run_wire.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace glenhollow
{

/// Settings of the ejection of backend servers whose runs fail often.
struct outlier_ejection_settings
{
    double weight = 0.12; ///< Weight of the newest end in the moving average.
    double ejection_threshold = 0.45; ///< Average share of bad ends from which
                                      ///< a server is ejected.
    std::uint32_t min_ends = 4; ///< Ends needed before a server may be ejected.
    duration base_ejection = milliseconds{1500}; ///< Duration of the first
                                                 ///< ejection.
    duration max_ejection = seconds{6}; ///< Maximum duration after repeated
                                        ///< ejections.
};

/// The view that an entry has of one agent and its backend server.
class agent_view final
{
public:
    /// @param name The name of the agent.
    /// @param tie_breaker Random number that orders agents of equal rank.
    explicit agent_view(std::string name, std::uint64_t tie_breaker = 0)
        : name_(std::move(name)), tie_breaker_(tie_breaker)
    {
    }

    const std::string& name() const { return name_; }

    /// @return The random number that orders agents of equal rank.
    std::uint64_t tie_breaker() const { return tie_breaker_; }

    /// Starts a session.
    /// @param report The state that the agent reported.
    void attached(const server_report& report);

    /// Ends the session.
    void detached();

    /// Takes over a report.
    void reported(const server_report& report);

    /// @param until The time until which the backend server is slow after its
    /// start.
    void set_cold_until(instant until) { cold_until_ = until; }

    /// Records that the outbox was sent in one batch.
    /// @param needs The sum of the resources that its starts take.
    void sent(const resources& needs);

    /// Reserves resources for a start in the outbox.
    /// @param needs The resources of the task.
    void reserve(const resources& needs)
    {
        reserved_.add(needs);
        pending_.add(needs);
    }

    /// Reserves resources for a grant to another entry, whose order is
    /// expected.
    /// @param needs The resources of the task.
    void grant(std::uint32_t number, const resources& needs, instant now);

    /// Frees the resources of a grant that was used or will not be used.
    void revoke(std::uint32_t number);

    /// @return The age of the grant; nothing if it is unknown.
    std::optional<duration> grant_age(std::uint32_t number, instant now) const;

    /// Gives no grants to an entry that has no session with this agent.
    /// @param until The end of the block.
    void block(entry_number entry, instant until) { blocked_[entry] = until; }

    /// @param entry The number of an entry; 0: this entry.
    /// @return Whether the entry is blocked.
    bool blocked(entry_number entry, instant now) const;

    /// @return Whether the session with the agent is open.
    bool linked() const { return linked_; }

    /// @return The description of the backend server.
    const server_account& account() const { return report_.account; }

    /// @return The number of the backend server's incarnation at its agent; 0:
    /// unknown.
    std::uint32_t incarnation_number() const
    {
        return report_.incarnation_number;
    }

    /// @return The resources in use: those that the agent reported and those of
    /// orders and grants that it has not yet seen.
    resources used() const;

    /// @return All cores of the backend server.
    double cores() const
    {
        return account().capacity.cpu / millicores_per_core;
    }

    /// @return The cores that are not in use.
    double free_cores() const
    {
        const auto all = account().capacity.cpu;
        return (all - std::min(used().cpu, all)) / millicores_per_core;
    }

    /// @param needs What a task takes.
    /// @return Whether enough resources are free for the task.
    bool has_room(const resources& needs) const;

    /// @param label A label; may be empty.
    /// @return Whether the backend server has the label, or the label is empty.
    bool has_label(const std::string& label) const;

    /// Records the end of a run.
    /// @param bad Whether the run failed or was stopped.
    /// @return Whether the backend server was ejected because of this end.
    bool record_end(bool bad, instant now,
                    const outlier_ejection_settings& settings);

    /// Records the pace of a run.
    /// @param ratio Its run time divided by its estimate.
    void record_pace(double ratio);

    /// @return Whether the backend server is ejected.
    bool ejected(instant now) const { return now < ejected_until_; }

    /// @return The average run time divided by the estimate, as the agent
    /// reports it over all entries' runs; until it does, the average of this
    /// entry's runs.
    double pace() const
    {
        return report_.load.pace > 0 ? report_.load.pace : pace_;
    }

    /// @return Whether the backend server is still slow after its start.
    bool cold(instant now) const { return now < cold_until_; }

    /// @return Whether the backend server has announced that it leaves.
    bool leaving() const { return report_.load.leaves_in.has_value(); }

    std::set<part_number> adopted; ///< Parts that the agent has adopted.
    order_batch outbox;            ///< Orders to send with the next flush.
    bool hot = false; ///< Whether much work prefers a label of this backend
                      ///< server.
    bool in_own_group = true; ///< Whether this entry places tasks at it.

private:
    /// A batch that the agent has not yet acknowledged.
    struct in_flight_batch
    {
        std::uint64_t number = 0; ///< Number of the batch in the session.
        resources needs;          ///< Resources of its starts.
    };

    /// Resources granted to another entry's task.
    struct granted_room
    {
        resources needs; ///< Resources of the task.
        instant granted_at{};
    };

    std::string name_;
    std::uint64_t tie_breaker_; ///< Order among agents of equal rank.
    bool linked_ = false;
    server_report report_;                  ///< The latest report.
    std::deque<in_flight_batch> in_flight_; ///< Batches not yet acknowledged.
    resources reserved_; ///< Resources of starts in the outbox.
    resources pending_;  ///< Sum of the resources in the outbox, in flight and
                         ///< granted.
    std::map<std::uint32_t, granted_room> granted_; ///< Grants by number.
    std::map<entry_number, instant> blocked_; ///< End of the block of entries
                                              ///< without a session.
    std::uint64_t batches_ = 0;               ///< Batches sent in this session.
    double average_bad_ends_ = 0;             ///< Moving average of bad ends.
    std::uint32_t ends_ = 0;
    std::uint32_t ejections_ = 0; ///< Ejections in a row.
    instant ejected_until_{};
    double pace_ = 1.0; ///< Average of run time over estimate in this entry's
                        ///< runs.
    instant cold_until_{};
};

} // namespace glenhollow

#endif
