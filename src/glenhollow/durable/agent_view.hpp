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

/// Limits of the judgement on a runner by the ends of its runs.
struct outlier_ejection_settings
{
    double weight = 0.12;             ///< Of one more end in the average.
    double ejection_threshold = 0.45; ///< Share of bad ends.
    std::uint32_t min_ends = 4;       ///< Before any judgement.
    duration base_ejection = milliseconds{1500}; ///< The first time.
    duration max_ejection = seconds{6};          ///< After repeated ejections.
};

/// What an entry knows of one agent and its runner.
class agent_view final
{
public:
    /// @param name Of the agent.
    /// @param tie_breaker Random, for agents that rank alike.
    explicit agent_view(std::string name, std::uint64_t tie_breaker = 0)
        : name_(std::move(name)), tie_breaker_(tie_breaker)
    {
    }

    /// @return The agent's name.
    const std::string& name() const { return name_; }

    /// @return Random; orders agents that rank alike.
    std::uint64_t tie_breaker() const { return tie_breaker_; }

    /// A session is open.
    /// @param report What it said then.
    void attached(const runner_report& report);

    /// The session is gone.
    void detached();

    /// @param report Its latest word.
    void reported(const runner_report& report);

    /// @param until The runner is slow from its start until then.
    void set_cold_until(instant until) { cold_until_ = until; }

    /// Orders leave in one batch.
    /// @param needs What its starts take together.
    void sent(const resources& needs);

    /// A start joins the batch that will leave next.
    /// @param needs What it takes.
    void reserve(const resources& needs)
    {
        reserved_.add(needs);
        pending_.add(needs);
    }

    /// Room was granted to a task of another entry, whose order is on its way.
    /// @param number Of the grant.
    /// @param needs What the task takes.
    /// @param now The time.
    void grant(std::uint32_t number, const resources& needs, instant now);

    /// @param number Of a grant that will not be used.
    void revoke(std::uint32_t number);

    /// @param number Of a grant.
    /// @param now The time.
    /// @return How long ago it was made; nothing where it is not known.
    std::optional<duration> grant_age(std::uint32_t number, instant now) const;

    /// @param entry Another entry, which has no session with this agent.
    /// @param until When it may have one again.
    void block(entry_number entry, instant until) { blocked_[entry] = until; }

    /// @param entry An entry, 0: this one.
    /// @param now The time.
    /// @return Whether it lacked a session with this agent lately.
    bool blocked(entry_number entry, instant now) const;

    /// @return Whether its session is open.
    bool linked() const { return linked_; }

    /// @return What the runner says of itself.
    const runner_account& account() const { return report_.account; }

    /// @return Taken, by the agent's account and what is on its way.
    resources used() const;

    /// @return All its cores.
    double cores() const
    {
        return account().capacity.cpu / millicores_per_core;
    }

    /// @return Those of them that nothing takes.
    double free_cores() const
    {
        const auto all = account().capacity.cpu;
        return (all - std::min(used().cpu, all)) / millicores_per_core;
    }

    /// @param needs What a task takes.
    /// @return Whether there is room for it.
    bool has_room(const resources& needs) const;

    /// @param label A label, may be empty.
    /// @return Whether the runner has it, or none is asked for.
    bool has_label(const std::string& label) const;

    /// @param bad Whether a run ended badly.
    /// @param now The time.
    /// @param settings Limits.
    /// @return Whether the runner was ejected by it.
    bool record_end(bool bad, instant now,
                    const outlier_ejection_settings& settings);

    /// @param ratio Time of a run over its estimate.
    void record_pace(double ratio);

    /// @param now The time.
    /// @return Whether it gets no work because of bad ends.
    bool ejected(instant now) const { return now < ejected_until_; }

    /// @return Time of runs over their estimates: by its agent, which sees all
    /// of them, or until it knows by those of this entry's tasks.
    double pace() const
    {
        return report_.room.pace > 0 ? report_.room.pace : pace_;
    }

    /// @param now The time.
    /// @return Whether the runner is slow from its start still.
    bool cold(instant now) const { return now < cold_until_; }

    /// @return Whether the runner has told when it leaves.
    bool leaving() const { return report_.room.leaves_in.has_value(); }

    std::set<part_number> adopted; ///< Parts whose runs there are known.
    order_batch outbox;            ///< Leaves with the next flush.
    bool hot = false;              ///< Much work prefers this runner.
    bool in_own_group = true;      ///< In the group that this entry places on.

private:
    /// A batch that the agent has not seen yet.
    struct in_flight_batch
    {
        std::uint64_t number = 0; ///< Of the session.
        resources needs;          ///< Of its starts.
    };

    /// Room that another entry's order will take.
    struct granted_room
    {
        resources needs;      ///< Of the task.
        instant granted_at{}; ///< When.
    };

    std::string name_;                      ///< Of the agent.
    std::uint64_t tie_breaker_;             ///< Order among like ones.
    bool linked_ = false;                   ///< Its session is open.
    runner_report report_;                  ///< Its latest word.
    std::deque<in_flight_batch> in_flight_; ///< On their way.
    resources reserved_;                    ///< In the outbox.
    resources pending_; ///< In the outbox, flying or granted: these together.
    std::map<std::uint32_t, granted_room> granted_; ///< By number.
    std::map<entry_number, instant> blocked_; ///< Entries without a session.
    std::uint64_t batches_ = 0;               ///< Sent in this session.
    double average_bad_ends_ = 0;             ///< Average of bad ends.
    std::uint32_t ends_ = 0;      ///< Counted since the last ejection.
    std::uint32_t ejections_ = 0; ///< In a row.
    instant ejected_until_{};     ///< No work until then.
    double pace_ = 1.0;           ///< Average time over estimate.
    instant cold_until_{};        ///< Slow from its start until then.
};

} // namespace glenhollow

#endif
