#ifndef GLENHOLLOW_DURABLE_DISPATCHER_HPP
#define GLENHOLLOW_DURABLE_DISPATCHER_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/durable/agent_view.hpp"
#include "glenhollow/durable/delegated_tasks.hpp"
#include "glenhollow/durable/durable_job.hpp"
#include "glenhollow/durable/label_demand.hpp"
#include "glenhollow/durable/overload_plan.hpp"
#include "glenhollow/durable/placement_rate.hpp"
#include "glenhollow/durable/ready_task.hpp"
#include "glenhollow/runs/run_wire.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace glenhollow
{

/// A place for a task of another entry.
struct task_grant
{
    task_ref task;            ///< The task.
    std::string agent;        ///< Where it may start.
    std::uint32_t number = 0; ///< Of the grant at its placer.
};

/// A grant that the task's entry did not use.
struct declined_grant
{
    std::string agent;        ///< Where.
    std::uint32_t number = 0; ///< Of the grant at its placer.
    bool unreachable = false; ///< The entry has no session with the agent.
};

/// What became of a grant at the task's entry.
enum class grant_verdict : std::uint8_t
{
    used,       ///< Its order is on its way.
    not_wanted, ///< The task does not wait any more.
    unreachable ///< This entry has no session with the agent.
};

/// Tells other entries of places for their tasks; a fake in tests.
class grant_sender
{
public:
    virtual ~grant_sender() = default;

    /// @param entry Whose tasks.
    /// @param grants Their places.
    virtual void grant(entry_number entry, std::vector<task_grant> grants) = 0;
};

/// Sends orders to agents; the links do, fakes in tests.
class order_sender
{
public:
    virtual ~order_sender() = default;

    /// @param agent Its name.
    /// @param batch Orders, in this order of arrival.
    virtual void send(const std::string& agent, order_batch batch) = 0;
};

/// Owns the tasks that are placed; the parts do.
class task_source
{
public:
    virtual ~task_source() = default;

    /// A place was found for a task.
    /// @param task Which.
    /// @param agent Where.
    /// @return The order, or nothing when the task need not run any more.
    virtual std::optional<run_order> assign(const ready_task& task,
                                            const std::string& agent) = 0;
};

/// Chooses who places a task of this entry.
class placer_selector
{
public:
    virtual ~placer_selector() = default;

    /// @param task One of this entry.
    /// @return Where it shall wait; 0: here.
    virtual placer_number select(const ready_task& task) = 0;
};

/// The placer that has granted a place.
struct granting_placer
{
    placer_number number = 0;      ///< As this entry numbers it.
    std::uint64_t incarnation = 0; ///< Of its process.
};

/// What a placer knows of one service.
struct placement_load
{
    double ready_cores = 0;  ///< Of its backend servers that take work.
    double free_cores = 0;   ///< Of these, not taken.
    double waiting_work = 0; ///< Core-milliseconds that can be in time.
};

/// Which of several backend servers with room a task goes to first, by what
/// they are known to take.
enum class server_order : std::uint8_t
{
    fastest,     ///< The quickest with room to spare.
    earliest_end ///< Where it ends first, also if little room is left.
};

template <>
struct name_table<server_order>
{
    static constexpr std::array<std::string_view, 2> names{"fastest",
                                                           "earliest-end"};
};

/// Limits of a dispatcher.
struct dispatcher_settings
{
    double crowded = 0.7;  ///< Runners with more taken come last.
    double far_factor = 1; ///< Time of a task at a runner without its
                           ///< preferred label, over that with it.
    server_order order = server_order::fastest; ///< Among those with room.
    double hot = 0.5; ///< Runners whose label is preferred by more than
                      ///< this share of their cores are left to it.
    duration review_interval =
        milliseconds{10};       ///< Between two plans under
                                ///< overload; a tenth of a short task's slack.
    double late_reserve = 0.15; ///< Share of a service's cores that must be
                                ///< free before a late job begins.
    std::size_t max_unplaceable =
        64; ///< Tasks looked at past one that fits nowhere.
    outlier_ejection_settings ejection; ///< Judgement on runners.
    std::uint64_t seed = 1; ///< Of this entry's order of like runners.
    duration grant_timeout =
        milliseconds{150}; ///< A grant's order must have
                           ///< come by then: some ten times
                           ///< of what it takes when idle.
    duration max_grant_delay = milliseconds{30}; ///< Of the time that an order
                                                 ///< takes, this much at most
                                                 ///< is planned for: a third of
                                                 ///< a short task's slack.
    duration block_duration =
        milliseconds{300}; ///< An entry without a session
                           ///< gets no grants there so long;
                           ///< about one try to connect.
};

/// Counters of a dispatcher.
struct dispatcher_stats
{
    std::uint64_t placed = 0;  ///< Orders to start.
    std::uint64_t stopped = 0; ///< Orders to stop.
    std::uint64_t batches = 0; ///< Messages to agents.
    std::uint64_t late = 0;    ///< Tasks put behind those in time.
    std::uint64_t rounds_without_room =
        0;                      ///< Rounds that ended for want of room.
    std::uint64_t far = 0;      ///< Placed without the preferred label.
    std::uint64_t cold = 0;     ///< Placed at a server slow from its start.
    std::uint64_t leaving = 0;  ///< Notices of servers that leave.
    std::uint64_t demoted = 0;  ///< Jobs put behind others under overload.
    std::uint64_t granted = 0;  ///< Places for tasks of other entries.
    std::uint64_t declined = 0; ///< Of these, not used.
};

/// Places the ready tasks of this entry's parts on runners: most urgent first,
/// only where there is room by the agent's own account. One thread.
class dispatcher final
{
public:
    /// @param clock Outlives the dispatcher.
    /// @param sender Outlives the dispatcher.
    /// @param tasks Outlives the dispatcher.
    /// @param settings Limits.
    dispatcher(const clock_source& clock, order_sender& sender,
               task_source& tasks, const dispatcher_settings& settings);

    /// @param agent An agent whose session is open.
    /// @param report What it said then.
    void attached(const std::string& agent, const runner_report& report);

    /// @param agent An agent whose session is gone.
    void detached(const std::string& agent);

    /// @param agent An agent that will not come back.
    void forget(const std::string& agent);

    /// @param agent An agent.
    /// @param part Whose runs there are known now.
    void adopted(const std::string& agent, part_number part);

    /// @param part Not ours any more: drops its tasks.
    void release(part_number part);

    /// @param agent An agent.
    /// @param report Its latest word.
    void reported(const std::string& agent, const runner_report& report);

    /// @param agent Where a run ended.
    /// @param end How.
    /// @param step Of its task.
    void record_end(const std::string& agent, const run_end& end,
                    const job_step& step);

    /// @param task May start.
    void enqueue(ready_task task);

    /// @param task Must not start any more.
    /// @param entry Whose it is; 0: this entry's.
    void withdraw(const task_ref& task, entry_number entry = 0);

    /// Tasks of other entries are placed here as well.
    /// @param grants Told of their places; outlives the dispatcher.
    void set_grant_sender(grant_sender* grants) { grant_sender_ = grants; }

    /// @param entry Another entry, whose tasks are all dropped.
    void drop_entry(entry_number entry);

    /// @param entry Another entry.
    /// @param grant It did not use.
    void declined(entry_number entry, const declined_grant& grant);

    /// @param selector Chooses who places this entry's tasks; null: this entry
    /// places them all. Outlives the dispatcher.
    void set_placer_selector(placer_selector* selector)
    {
        selector_ = selector;
    }

    /// A placer can be chosen from now on: tasks that wait here may move.
    void redistribute();

    /// @param placer Cannot be chosen any more: its tasks wait elsewhere.
    void recall(placer_number placer);

    /// @param placer Which.
    /// @return What it has to be told of this entry's tasks.
    queue_changes take_changes(placer_number placer)
    {
        return delegated_.take_changes(placer);
    }

    /// @param grant A place for a task of this entry.
    /// @param by The placer that found it.
    /// @return What became of it.
    grant_verdict apply_grant(const task_grant& grant,
                              const granting_placer& by);

    /// @param takes Tells of an agent, by name, whether this entry places tasks
    /// there; the others are left to other placers.
    void place_only_at(std::function<bool(const std::string&)> in_group);

    /// @return What is known here, by service.
    std::map<std::string, placement_load> loads() const;

    /// @param agent Where it runs.
    /// @param run To be stopped.
    void stop(const std::string& agent, const run_ref& run);

    /// @param agent Where it runs.
    /// @param order What a found run takes.
    void size(const std::string& agent, const run_order& order);

    /// @param agent Where it ended.
    /// @param end An end that is in the journal.
    void confirm(const std::string& agent, const run_end& end);

    /// @param agent It is being answered, so that they need no message.
    /// @return Ends there that were confirmed and not yet told.
    std::vector<run_end> take_confirmed(const std::string& agent);

    /// Places what can be placed and sends all orders.
    void dispatch();

    /// @param service A service.
    /// @return Core-milliseconds that wait at all entries, as far as known.
    double waiting_work(const std::string& service) const;

    /// @param service A service.
    /// @return Cores of all its runners that take work.
    double ready_cores(const std::string& service) const;

    /// @param service A service.
    /// @return Cores of its runners that nothing takes now.
    double free_cores(const std::string& service) const;

    /// @param count Entries that own parts, this one included.
    void set_owners(std::size_t count) { owners_ = count; }

    /// @return Entries that own parts, this one included.
    double owners() const { return static_cast<double>(owners_); }

    /// @return What is known of the agents, by name.
    const std::map<std::string, agent_view>& agents() const { return agents_; }

    /// @return Tasks that wait.
    std::size_t waiting() const { return by_task_.size() + delegated_.size(); }

    /// @return Counters.
    const dispatcher_stats& stats() const { return stats_; }

private:
    /// Which tasks of a queue go first.
    enum class queue_class : std::uint8_t
    {
        begun,      ///< Of jobs that began in time, also when that has gone
                    ///< by: without its rest a job's caller can't know what
                    ///< was run, and what was is lost.
        in_time,    ///< Their jobs can meet their objectives.
        late_begun, ///< Of jobs that began late: what they did counts.
        late        ///< Late, or demoted under overload.
    };

    /// Place in the queue.
    struct queue_key
    {
        queue_class rank = queue_class::in_time; ///< Smaller goes first.
        instant start_by{};                      ///< Smaller goes first.
        std::uint64_t sequence = 0;              ///< Then first come.

        auto operator<=>(const queue_key&) const = default;
    };

    /// What is known of a job some of whose tasks wait.
    struct queued_job
    {
        std::size_t waiting = 0; ///< Tasks.
        bool begun = false;      ///< Others were placed.
    };

    /// Tasks of one service.
    struct service_queue
    {
        std::map<queue_key, ready_task> tasks;  ///< In order.
        std::multiset<std::uint32_t> cpu_needs; ///< Of these.
        double work = 0;     ///< Core-milliseconds that can be in time.
        double own_work = 0; ///< Of this, of this entry's tasks.
        std::unordered_map<job_id, queued_job> jobs; ///< By job_key().
        placement_rate rate; ///< At which work finds a place.
    };

    /// A grant whose order may be on its way.
    struct open_grant
    {
        std::string agent;        ///< Where.
        std::uint32_t number = 0; ///< Of the grant.
        instant until{};          ///< Its room is free again then.
    };

    /// How well a runner suits a task; smaller is better.
    struct rank
    {
        bool ejected = false;          ///< Its runs ended badly.
        bool avoid = false;            ///< The task failed there.
        bool far = false;              ///< It lacks the preferred label.
        bool hot = false;              ///< Others prefer it.
        bool cold = false;             ///< It is slow from its start.
        int end = 0;                   ///< Class of the time until its end.
        bool crowded = false;          ///< Little room is left.
        int slowness = 0;              ///< Class of its pace.
        int taken = 0;                 ///< Quarters of its cores.
        std::uint64_t tie_breaker = 0; ///< Drawn by this entry for this runner.

        auto operator<=>(const rank&) const = default;
    };

    rank rank_of(const agent_view& agent, const ready_task& task) const;
    bool can_order(const agent_view& agent, const ready_task& task) const;
    bool is_far_acceptable(const agent_view& agent, const rank& far,
                           const ready_task& task) const;
    std::vector<agent_view*> agents_with_room(const service_queue& queue);
    agent_view* choose(const ready_task& task,
                       const std::vector<agent_view*>& available);
    bool has_near_agent(const ready_task& task) const;
    void mark_hot();
    void update_own_agents();
    bool is_no_easier(const ready_task& task, const ready_task& unplaced) const;
    void record_grant_delay(const agent_view& agent,
                            const std::vector<std::uint32_t>& granted);
    instant latest_start(const ready_task& task) const
    {
        return task.start_by - grant_delay_;
    }
    static job_id job_key(const ready_task& task);
    bool order_start(const ready_task& task, agent_view& agent,
                     std::uint64_t placer, std::uint32_t grant);
    void grant(const ready_task& task, agent_view& agent);
    placer_number placer_for(const ready_task& task);
    void enqueue_here(ready_task task);
    void mark_begun(const ready_task& task);
    bool accepts_work(const agent_view& agent,
                      const std::string& service) const;
    void place(service_queue& queue);
    void remove(const std::string& service, const queue_key& key);
    static bool is_in_time(queue_class rank)
    {
        return rank <= queue_class::in_time;
    }
    void separate_late_tasks(service_queue& queue);
    void promote(service_queue& queue, const std::vector<queue_key>& keys);
    double cores_for_late(const std::string& service) const;
    void demote(service_queue& queue);
    void move_to_late(service_queue& queue, const std::vector<queue_key>& keys);
    void promote_late_begun(service_queue& queue);
    void review();
    void insert(const queue_key& key, ready_task task);
    agent_view* linked_agent(const std::string& name);
    order_batch& outbox_of(agent_view& agent);
    void expire_grants();
    void flush();
    void send(agent_view& agent);

    const clock_source& clock_;                ///< This entry's.
    order_sender& sender_;                     ///< Sends the orders.
    task_source& tasks_;                       ///< Owns the tasks.
    dispatcher_settings settings_;             ///< Limits.
    std::map<std::string, agent_view> agents_; ///< By name.
    std::vector<agent_view*> own_agents_; ///< Those that this entry places at.
    bool any_hot_ = false;                ///< An agent is marked so.
    std::map<std::string, service_queue> queues_; ///< By service.
    std::unordered_map<run_ref, std::pair<std::string, queue_key>,
                       run_ref_hash>
        by_task_;           ///< Place of a task; its run is its entry's number.
    label_demand demand_;   ///< Work by preferred label.
    instant last_review_{}; ///< When the queues were last looked over.
    random_engine tie_breakers_; ///< Draws an order among like runners.
    std::uint64_t sequence_ = 0; ///< Of queue places.
    grant_sender* grant_sender_ = nullptr; ///< Tells other entries.
    std::map<entry_number, std::vector<task_grant>>
        unsent_grants_;                   ///< To be told.
    std::uint32_t last_grant_number_ = 0; ///< Of grants so far.
    std::deque<open_grant> open_grants_;  ///< In order of their ends.
    std::set<std::string> unsent_;        ///< Agents with orders to be sent.
    duration grant_delay_{};          ///< Until an order has come, on average.
    instant blocked_until_{};         ///< Some entry lacks some agent.
    std::size_t foreign_waiting_ = 0; ///< Waiting tasks of other entries.
    placer_selector* selector_ = nullptr; ///< Chooses who places ours.
    delegated_tasks delegated_;           ///< Ours that wait at placers.
    std::function<bool(const std::string&)> in_group_; ///< Agents to place at.
    std::size_t owners_ = 1; ///< Entries that own parts.
    dispatcher_stats stats_; ///< Counters.
};

} // namespace glenhollow

#endif
