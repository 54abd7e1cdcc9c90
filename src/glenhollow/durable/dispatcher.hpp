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

/// Grant of room at an agent to a task of another entry.
struct task_grant
{
    task_ref task;
    std::string agent;        ///< The agent at which the task may start.
    std::uint32_t number = 0; ///< The number of the grant at its placer.
};

/// A grant that the task's entry did not use.
struct declined_grant
{
    std::string agent;        ///< The name of the agent.
    std::uint32_t number = 0; ///< The number of the grant at its placer.
    bool unreachable = false; ///< Whether the entry has no session with the
                              ///< agent.
};

/// Result of a grant at the task's entry.
enum class grant_verdict : std::uint8_t
{
    used,       ///< The order was sent.
    not_wanted, ///< The task no longer waits.
    unreachable ///< This entry has no session with the agent.
};

/// Sends grants to other entries; a fake in tests.
class grant_sender
{
public:
    virtual ~grant_sender() = default;

    /// @param entry The entry that owns the tasks.
    virtual void grant(entry_number entry, std::vector<task_grant> grants) = 0;
};

/// Sends orders to agents; implemented by the agent sessions and by fakes in
/// tests.
class order_sender
{
public:
    virtual ~order_sender() = default;

    /// @param batch Orders that the agent receives together.
    virtual void send(const std::string& agent, order_batch batch) = 0;
};

/// Owns the tasks that are placed; implemented by the parts.
class task_source
{
public:
    virtual ~task_source() = default;

    /// Assigns a task to an agent.
    /// @return The order, or nothing if the task need not run any more.
    virtual std::optional<run_order> assign(const ready_task& task,
                                            const std::string& agent) = 0;
};

/// Selects the placer of a task of this entry.
class placer_selector
{
public:
    virtual ~placer_selector() = default;

    /// @param task A task of this entry.
    /// @return The placer where the task waits; 0: this entry.
    virtual placer_number select(const ready_task& task) = 0;
};

/// The placer that made a grant.
struct granting_placer
{
    placer_number number = 0;      ///< Number of the placer at this entry.
    std::uint64_t incarnation = 0; ///< Incarnation of the placer's process.
};

/// Load of one service as a placer knows it.
struct placement_load
{
    double ready_cores = 0;  ///< Cores of the backend servers that take work.
    double free_cores = 0;   ///< Cores of these that are not in use.
    double waiting_work = 0; ///< Waiting work that can be in time,
                             ///< core-milliseconds.
};

/// Order in which a task prefers backend servers that have room.
enum class server_order : std::uint8_t
{
    fastest,     ///< The fastest server with room to spare.
    earliest_end ///< The server where the task ends first, even if little room
                 ///< is left.
};

template <>
struct name_table<server_order>
{
    static constexpr std::array<std::string_view, 2> names{"fastest",
                                                           "earliest-end"};
};

/// Settings of a dispatcher.
struct dispatcher_settings
{
    double crowded_threshold = 0.7; ///< Backend servers with a greater share of
                                    ///< cores in use come last.
    double far_factor = 1; ///< Run time of a task without its preferred label,
                           ///< over that with it.
    server_order order = server_order::fastest; ///< Order among servers with
                                                ///< room.
    double hot_threshold = 0.5; ///< Tasks that do not prefer a server's label
                                ///< avoid it if work that does keeps more than
                                ///< this share of the label's cores busy.
    duration review_interval = milliseconds{10}; ///< Time between two reviews
                                                 ///< of the queues.
    double late_reserve = 0.15; ///< Share of a service's cores that must be
                                ///< free before a late job begins.
    std::size_t max_unplaceable = 64;   ///< Kinds of tasks without a suitable
                                        ///< server after which a round ends.
    outlier_ejection_settings ejection; ///< Ejection of failing servers.
    std::uint64_t seed = 1; ///< Seed of the order of servers of equal rank.
    duration grant_timeout = milliseconds{150};  ///< Time after which a grant
                                                 ///< expires if its order has
                                                 ///< not reached the agent.
    duration max_grant_delay = milliseconds{30}; ///< Maximum allowance for the
                                                 ///< time that a granted order
                                                 ///< takes to its agent.
    duration block_duration = milliseconds{300}; ///< Time for which an entry
                                                 ///< without a session with an
                                                 ///< agent gets no grants
                                                 ///< there.
};

/// Counters of a dispatcher.
struct dispatcher_stats
{
    std::uint64_t placed = 0;  ///< Orders to start a task.
    std::uint64_t stopped = 0; ///< Orders to stop a run.
    std::uint64_t batches = 0; ///< Batches of orders sent to agents.
    std::uint64_t late = 0; ///< Tasks moved behind those in time because they
                            ///< were late.
    std::uint64_t rounds_without_room = 0; ///< Rounds after which a task waited
                                           ///< for room.
    std::uint64_t far = 0;  ///< Tasks placed without their preferred label.
    std::uint64_t cold = 0; ///< Tasks placed at a server that is slow after its
                            ///< start.
    std::uint64_t leaving = 0;  ///< Announcements of servers that leave.
    std::uint64_t demoted = 0;  ///< Jobs demoted under overload.
    std::uint64_t granted = 0;  ///< Grants to tasks of other entries.
    std::uint64_t declined = 0; ///< Grants that were not used.
};

/// Places the ready tasks of this entry's parts on backend servers: the most
/// urgent task first, and only where the agent itself reports room. Not
/// thread-safe.
class dispatcher final
{
public:
    /// @param clock Must outlive the dispatcher.
    /// @param sender Sends the orders; must outlive the dispatcher.
    /// @param tasks Owns the tasks; must outlive the dispatcher.
    dispatcher(const clock_source& clock, order_sender& sender,
               task_source& tasks, const dispatcher_settings& settings);

    /// Handles the start of a session with an agent.
    /// @param report The state that the agent reported.
    void attached(const std::string& agent, const server_report& report);

    /// Handles the end of a session with an agent.
    void detached(const std::string& agent);

    /// Removes an agent that has left for good.
    void forget(const std::string& agent);

    /// Records that an agent has adopted a part.
    void adopted(const std::string& agent, part_number part);

    /// Drops the tasks of a part that this entry no longer owns.
    void release(part_number part);

    /// Takes over a report of an agent.
    void reported(const std::string& agent, const server_report& report);

    /// Records the end of a run.
    /// @param agent The agent at which the run ended.
    /// @param step The step of the task.
    void record_end(const std::string& agent, const run_end& end,
                    const job_step& step);

    /// Queues a task that may start.
    void enqueue(ready_task task);

    /// Removes a task that must not start any more.
    /// @param entry The entry that owns it; 0: this entry.
    void withdraw(const task_ref& task, entry_number entry = 0);

    /// Sets the sender of grants, which lets this entry place tasks of other
    /// entries.
    /// @param grants Must outlive the dispatcher.
    void set_grant_sender(grant_sender* grants) { grant_sender_ = grants; }

    /// Drops all tasks of another entry.
    void drop_entry(entry_number entry);

    /// Frees the room of a grant that was not used.
    void declined(entry_number entry, const declined_grant& grant);

    /// Sets the selector of placers.
    /// @param selector Null: this entry places all its tasks itself. Must
    /// outlive the dispatcher.
    void set_placer_selector(placer_selector* selector)
    {
        selector_ = selector;
    }

    /// Selects placers for the tasks that wait here, since a placer became
    /// available.
    void redistribute();

    /// Moves the tasks of a placer that can no longer be selected.
    void recall(placer_number placer);

    /// @return The changes of this entry's tasks to send to the placer.
    queue_changes take_changes(placer_number placer)
    {
        return delegated_.take_changes(placer);
    }

    /// Uses a grant to a task of this entry.
    /// @param by The placer that made the grant.
    /// @return Whether it was used, or why not.
    grant_verdict apply_grant(const task_grant& grant,
                              const granting_placer& by);

    /// Restricts the agents at which this entry places tasks.
    /// @param in_group Returns whether to place at the agent of a given name;
    /// null: at all agents.
    void place_only_at(std::function<bool(const std::string&)> in_group);

    /// @return The load at this entry's agents, by service.
    std::map<std::string, placement_load> loads() const;

    /// Stops a run.
    /// @param agent The agent at which it runs.
    void stop(const std::string& agent, const run_ref& run);

    /// Sends an agent the resources of a run that it found at its server.
    /// @param agent The agent at which it runs.
    /// @param order The order with the resources that the run takes.
    void size(const std::string& agent, const run_order& order);

    /// Confirms an end, so that the agent need not keep it.
    /// @param agent The agent at which the run ended.
    /// @param end An end that is in the journal.
    void confirm(const std::string& agent, const run_end& end);

    /// Takes the confirmed ends that were not yet sent to an agent.
    /// @param agent An agent whose report is answered with them.
    std::vector<run_end> take_confirmed(const std::string& agent);

    /// Places as many tasks as possible and sends all orders.
    void dispatch();

    /// @return Core-milliseconds that wait at all entries, as far as known.
    double waiting_work(const std::string& service) const;

    /// @return The cores of the service's backend servers that take work.
    double ready_cores(const std::string& service) const;

    /// @return The cores of these that are not in use.
    double free_cores(const std::string& service) const;

    /// @param count The number of entries that own parts, this one included.
    void set_owners(std::size_t count) { owners_ = count; }

    /// @return The number of entries that own parts, this one included.
    double owners() const { return static_cast<double>(owners_); }

    /// @return The known agents by name.
    const std::map<std::string, agent_view>& agents() const { return agents_; }

    /// @return The number of tasks that wait here or at placers.
    std::size_t waiting() const { return by_task_.size() + delegated_.size(); }

    const dispatcher_stats& stats() const { return stats_; }

private:
    /// Classes of the queue's order.
    enum class queue_class : std::uint8_t
    {
        begun, ///< Tasks of jobs that began in time, even if they are late by
               ///< now: an unfinished job wastes its finished tasks and leaves
               ///< its caller without an answer.
        in_time,    ///< Tasks of jobs that can meet their objectives.
        late_begun, ///< Tasks of jobs that began late.
        late ///< Tasks of other late jobs and of jobs demoted under overload.
    };

    /// Position of a task in the queue.
    struct queue_key
    {
        queue_class rank = queue_class::in_time;
        instant start_by{};
        std::uint64_t sequence = 0; ///< Order of arrival.

        auto operator<=>(const queue_key&) const = default;
    };

    /// State of a job some of whose tasks wait.
    struct queued_job
    {
        std::size_t waiting = 0; ///< Number of its tasks that wait.
        bool begun = false; ///< Whether other tasks of it have been placed.
    };

    /// The queue of one service.
    struct service_queue
    {
        std::map<queue_key, ready_task> tasks;  ///< Tasks in their order.
        std::multiset<std::uint32_t> cpu_needs; ///< CPU needs of the tasks.
        double work = 0;     ///< Waiting work that can be in time,
                             ///< core-milliseconds.
        double own_work = 0; ///< Part of `work` that belongs to this entry's
                             ///< tasks.
        std::unordered_map<job_id, queued_job> jobs; ///< Jobs by job_key().
        placement_rate rate; ///< Rate at which work is placed.
    };

    /// A grant whose order has not yet reached its agent.
    struct open_grant
    {
        std::string agent; ///< The name of the agent.
        std::uint32_t number = 0;
        instant until{}; ///< Time at which the grant expires.
    };

    /// How well a backend server suits a task; smaller is better.
    struct rank
    {
        bool ejected = false; ///< Ejected because its runs ended badly.
        bool avoid = false;   ///< The task failed there.
        bool far = false;     ///< It lacks the preferred label.
        bool hot = false;     ///< Much work of other labels prefers it.
        bool cold = false;    ///< It is still slow after its start.
        int end = 0;          ///< Class of the expected run time.
        bool crowded = false; ///< Little room is left.
        int slowness = 0;     ///< Class of its pace.
        int taken = 0;        ///< Quarters of its cores that are in use.
        std::uint64_t tie_breaker = 0; ///< Random number of this server at this
                                       ///< entry.

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

    const clock_source& clock_;
    order_sender& sender_;
    task_source& tasks_;
    dispatcher_settings settings_;
    std::map<std::string, agent_view> agents_; ///< Agents by name.
    std::vector<agent_view*> own_agents_; ///< Agents at which this entry places
                                          ///< tasks.
    bool any_hot_ = false; ///< Whether any agent is marked as hot.
    std::map<std::string, service_queue> queues_; ///< Queues by service.
    std::unordered_map<run_ref, std::pair<std::string, queue_key>,
                       run_ref_hash>
        by_task_;                ///< Position of each task, with
                                 ///< the entry's number as run.
    label_demand demand_;        ///< Recent work by preferred label.
    instant last_review_{};      ///< Time of the last review of the queues.
    random_engine tie_breakers_; ///< Orders servers of equal rank.
    std::uint64_t sequence_ = 0; ///< Number of the newest queue position.
    grant_sender* grant_sender_ = nullptr; ///< Sends grants; may be null.
    /// Grants to send, by entry.
    std::map<entry_number, std::vector<task_grant>> unsent_grants_;
    std::uint32_t last_grant_number_ = 0; ///< Number of the newest grant.
    std::deque<open_grant> open_grants_;  ///< Grants in order of expiry.
    std::set<std::string> unsent_;        ///< Agents with orders to send.
    duration grant_delay_{};  ///< Average time from a grant to the arrival of
                              ///< its order.
    instant blocked_until_{}; ///< End of the last block of an entry at an
                              ///< agent.
    std::size_t foreign_waiting_ = 0;     ///< Number of waiting tasks of other
                                          ///< entries.
    placer_selector* selector_ = nullptr; ///< Selects placers for this entry's
                                          ///< tasks; may be null.
    delegated_tasks delegated_; ///< This entry's tasks that wait at placers.
    /// Whether to place at an agent; null: at all.
    std::function<bool(const std::string&)> in_group_;
    std::size_t owners_ = 1; ///< Number of entries that own parts.
    dispatcher_stats stats_;
};

} // namespace glenhollow

#endif
