#ifndef GLENHOLLOW_RUNS_RUN_MANAGER_HPP
#define GLENHOLLOW_RUNS_RUN_MANAGER_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/durable_job.hpp"
#include "glenhollow/runs/backend_server_client.hpp"
#include "glenhollow/runs/heartbeat_order.hpp"
#include "glenhollow/runs/lease_id.hpp"
#include "glenhollow/runs/leaving_server.hpp"
#include "glenhollow/runs/run_manager_stats.hpp"
#include "glenhollow/runs/server_account.hpp"
#include "glenhollow/runs/server_breaker.hpp"
#include "glenhollow/runs/server_clock.hpp"
#include "glenhollow/runs/server_incarnation.hpp"
#include "glenhollow/runs/server_pace.hpp"
#include "glenhollow/runs/unconfirmed_ends.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace glenhollow
{

/// State of a run at its agent.
enum class run_phase : std::uint8_t
{
    waiting,  ///< Accepted, not yet sent to the backend server.
    starting, ///< Sent, not yet answered.
    doubtful, ///< Sent, but the answer was lost.
    running,  ///< The backend server runs it.
    stopping  ///< The stop was sent, the run has not ended yet.
};

template <>
struct name_table<run_phase>
{
    static constexpr std::array<std::string_view, 5> names{
        "waiting", "starting", "doubtful", "running", "stopping"};
};

/// An order of an owner to start a run.
struct run_order
{
    run_ref run;
    std::uint32_t epoch = 0;       ///< Epoch of the part at its owner.
    resources needs;               ///< Resources that the run takes.
    std::int64_t urgency = 0;      ///< Smaller values start first.
    std::string spec;              ///< The job's specification.
    std::uint32_t estimate_ms = 0; ///< Rough estimate of the run time; 0: none.
    /// Incarnation of the entry that chose this agent, if not the sender.
    std::uint64_t placer = 0;
    std::uint32_t grant = 0; ///< Number of the placer's grant; 0: none.
    /// Run time expected at a warm server of normal speed, with the same access
    /// to the data; 0: unknown.
    std::uint32_t expected_ms = 0;
    /// Time from the order after which the result is no longer of use; 0:
    /// unlimited.
    std::uint32_t useful_ms = 0;
    submitter_id submitter = no_submitter; ///< Whose job a host runs.
    /// Incarnation of the backend server for which the agent was chosen, as
    /// numbered in the agent's reports; 0: any.
    std::uint32_t incarnation_number = 0;
};

/// A run as an agent lists it for a new owner.
struct listed_run
{
    run_ref run;
    run_phase phase = run_phase::waiting;
    /// Whether the agent knows the run's resources.
    bool are_needs_known = false;
};

/// What an agent knows about the runs of one lease.
struct lease_account
{
    bool declined = false; ///< A later owner has adopted the lease.
    /// The agent has kept its state since the last account: an order that is
    /// not listed was not accepted and never will be.
    bool complete = false;
    std::vector<listed_run> runs; ///< Runs that have not ended.
    std::vector<run_end> ends;    ///< Ends that no owner has confirmed.
};

/// Longest hold: a backend server ends its runs when it has not been polled for
/// the length of the hold. Entries wait this long for the runs of a
/// silent agent to lapse. It must stay well below the time after which callers
/// resend their jobs: with 2 s, tasks of jobs in memory ran twice at once.
inline constexpr duration max_hold = milliseconds{1000};

/// Settings of a run manager.
struct run_manager_settings
{
    std::size_t parts = 3; ///< Number of parts of the journal.
    /// Length of a lease after the owner's confirmation.
    duration part_lease = milliseconds{1800};
    /// Length of a lease after the entry's confirmation.
    duration memory_lease = milliseconds{800};
    /// Limit for claiming runs found at the server and for leasing waiting
    /// orders.
    duration claim_timeout = milliseconds{600};
    /// Time to stop runs without a lease before the hold may lapse.
    duration stop_time = milliseconds{350};
    /// Longest time by which the server's hold may exceed the lease of a run
    /// that starts, because of runs of other leases.
    duration held_past_lease = milliseconds{375};
    /// Longest hold; shorter where a lease plus stop_time ends earlier.
    duration hold = max_hold;
    /// Longest time that the server may hold a poll open.
    duration poll_wait = milliseconds{100};
    /// Time between polls while ends are unconfirmed.
    duration poll_interval = milliseconds{8};
    /// Time for an answer beyond the requested wait; some thirty times what a
    /// call takes on one VM.
    duration answer_timeout = milliseconds{30};
    /// A timer that fires later than this shows that this process was delayed.
    duration max_timer_lag = milliseconds{5};
    /// Maximum number of unanswered polls.
    std::uint32_t max_pending_polls = 3;
    /// Longest time without progress; the limit where no estimate is known.
    duration max_stall = milliseconds{900};
    /// Share of the estimated time without progress.
    double stall_share = 0.35;
    duration min_stall = milliseconds{200}; ///< Lower bound of the stall limit.
    server_breaker_settings breaker; ///< Circuit breaker of the backend server.
    leaving_settings leaving;        ///< Settings for a server that shuts down.
    server_pace_settings pace;       ///< Settings of the pace estimate.
    /// Ends seen after a longer gap between answered polls do not count for the
    /// pace. A gap usually takes poll_wait and an answer.
    duration max_poll_gap = milliseconds{150};
    /// How long ends of departed entries are kept.
    duration unclaimed_end_retention = seconds{10};
    /// Backoff after a refused start.
    duration min_refusal_backoff = milliseconds{200};
    /// Backoff after repeated refusals.
    duration max_refusal_backoff = milliseconds{1600};
    /// Maximum number of orders that wait for capacity.
    std::size_t max_waiting = 16;
    /// Number of ends that the server names in one answer. No run starts unless
    /// its end fits in with all others, since an end behind them stays unknown
    /// until they are confirmed.
    std::size_t max_listed_ends = 500;
};

/// Receives the changes of a run manager.
class run_listener
{
public:
    virtual ~run_listener() = default;

    /// @param lease Lease with an unreported end.
    virtual void lease_changed(lease_id lease) = 0;

    /// @param lease Lease with a run that has started; this need not be
    /// reported at once.
    virtual void run_started(lease_id lease) = 0;

    /// The load or phase of the backend server has changed.
    virtual void load_changed() = 0;

    /// The backend server has begun or ceased to accept work.
    virtual void phase_changed() = 0;
};

/// Manages the runs of one backend server and is its only client: it starts,
/// polls and stops runs, renews the hold, and keeps ends until their owner has
/// journalled them. Not thread-safe.
class run_manager final
{
public:
    /// Runs a function after a delay.
    using delay = std::function<void(duration, std::function<void()>)>;

    /// @param clock Outlives the manager.
    /// @param server Outlives the manager.
    /// @param schedule Runs delayed work.
    /// @param fencing_token First token; greater than those of earlier
    /// processes.
    /// @param settings Limits and timeouts.
    run_manager(const clock_source& clock, backend_server_client& server,
                delay schedule, std::uint64_t fencing_token,
                const run_manager_settings& settings);
    ~run_manager();

    /// Sets the listener.
    /// @param listener Receives changes and outlives the manager; null for
    /// none.
    void listen(run_listener* listener) { listener_ = listener; }

    /// Begins to poll the backend server.
    void begin();

    /// @return Whether the current incarnation has answered a poll.
    bool is_polled() const { return polled_; }

    /// @return Whether accounts may be given to owners: the backend server has
    /// listed its runs and all ends, or was silent for so long that all runs
    /// have lapsed. An owner restarts the runs that an account does not list.
    bool are_runs_known() const;

    /// Handles a registration or heartbeat.
    /// @param heartbeat What the backend server reported.
    /// @param times Times that it reported along with the account.
    /// @return Whether the account is used.
    heartbeat_outcome registered(const server_account& heartbeat,
                                 const server_timing& times = {});

    /// Restores the account kept by the previous process of this agent. It
    /// takes effect once the backend server has answered as this incarnation;
    /// later registrations override it.
    /// @param account Account as last registered.
    void restored(const server_account& account);

    /// Handles the end of an incarnation.
    /// @param instance Its id.
    void departed(const std::string& instance);

    /// Handles a sign-off. Unless the incarnation has announced its shutdown,
    /// the sign-off may belong to an earlier one, and a poll decides.
    /// @param incarnation The sender, as far as it is known.
    void signed_off(const server_incarnation& incarnation);

    /// Sets the holder of a lease.
    /// @param lease Lease of a part or of an entry.
    /// @param epoch Epoch of the owner; 0 for the lease of an entry.
    /// @return False if a later owner has adopted the lease.
    bool claim(lease_id lease, std::uint32_t epoch);

    /// Sets the holder of a lease and lists its runs.
    /// @param lease Lease of a part or of an entry.
    /// @param epoch Epoch of the owner; 0 for the lease of an entry.
    /// @return The runs and ends of the lease, or that a later owner has
    /// adopted it. For an entry's lease this includes unclaimed runs.
    lease_account adopt(lease_id lease, std::uint32_t epoch);

    /// Renews a lease, counted from the time of the confirmed report.
    /// @param lease Lease of a part or of an entry.
    /// @param epoch Epoch of the holder; 0 for the lease of an entry.
    /// @param confirmed Time when this agent sent the report that the holder
    /// confirmed.
    void renew(lease_id lease, std::uint32_t epoch, instant confirmed);

    /// Renews the lease of an entry that submitted jobs to a job host. A run of
    /// such a job needs both the host's lease and this one.
    /// @param lease Lease of the host.
    /// @param submitter The entry.
    /// @param alive_at Time at which the entry was certainly alive.
    void renew_submitter(lease_id lease, submitter_id submitter,
                         instant alive_at);

    /// @return Whether the lease is valid, so that runs may start under it.
    bool is_leased(lease_id lease) const;

    /// Ends the waiting orders of a lease as `not_begun`: its holder has opened
    /// a new session and may have ordered them elsewhere.
    void refuse_waiting(lease_id lease);

    /// @return Leases with runs here or with unconfirmed ends.
    std::set<lease_id> leases_in_use() const;

    /// Ends a lease early, because its holder's process has ended.
    void expire(lease_id lease);

    /// Accepts or refuses an order.
    /// @param order Order to start a run; a refused one ends as `not_begun`.
    /// @param memory Lease of the ordering entry, for an in-memory job.
    void order(run_order order, lease_id memory);

    /// Stops a run for its owner, or ends a waiting order.
    void stop(const run_ref& run);

    /// Sets the resources of a run that was found running.
    /// @param order Order with the run and its resources.
    /// @param memory Lease of the claiming entry, for an in-memory job.
    void size(const run_order& order, lease_id memory);

    /// Removes an end that is in the journal.
    void confirm(const run_end& end);

    /// Starts or ends the evacuation of the hall.
    /// @param evacuated Whether the hall accepts no new work; runs continue.
    void evacuate(bool evacuated);

    /// @return Whether the hall accepts no new work.
    bool evacuated() const { return evacuated_; }

    /// Handles expired leases, lost answers and stalled runs; called
    /// periodically.
    void tick();

    /// Stops accepting orders; runs continue.
    void drain();

    /// @return Whether there are no runs and no unconfirmed ends.
    bool idle() const { return runs_.empty() && unconfirmed_.empty(); }

    /// @return The last account, with the effective phase.
    const server_account& account() const { return account_; }

    /// @return The number of the registered incarnation: it rises from 1 with
    /// each one that registers with this process; 0: none has registered.
    std::uint32_t incarnation_number() const { return incarnation_number_; }

    /// @return The phase that the backend server itself reported.
    server_phase reported_phase() const { return reported_phase_; }

    /// @return The load as it is reported to owners.
    server_load load() const;

    /// @return The estimated pace of the backend server.
    const server_pace& pace() const { return pace_; }

    /// @return Ends that no owner has confirmed.
    const unconfirmed_ends& unconfirmed() const { return unconfirmed_; }

    /// @return Runs of the lease that have started since the last call.
    std::vector<run_ref> take_started(lease_id lease);

    /// @return Ends of the lease that its holder has not received yet.
    std::vector<run_end> take_ends(lease_id lease);

    /// @return Counters.
    const run_manager_stats& stats() const { return stats_; }

private:
    /// A run that has not ended.
    struct run_record
    {
        /// The order; only the run itself where it was found running.
        run_order order;
        lease_id lease = unclaimed_lease; ///< Lease under which it runs.
        run_phase phase = run_phase::waiting;
        bool are_needs_known = true; ///< Whether its resources are known.
        /// Whether a stop was sent and not refused.
        bool is_stop_pending = false;
        std::uint32_t stop_attempts = 0; ///< Stops sent since the last refusal.
        instant phase_changed_at{};
        instant stop_sent{}; ///< Time of the last stop.
        /// End of its hold once its owner has stopped it; zero: not stopped.
        instant hold_limit{};
        /// Time when a stop was confirmed or a late start became impossible;
        /// zero: neither.
        instant settled_at{};
        /// Time when its lease was found expired; zero: the lease is valid.
        instant orphaned_at{};
        /// Time when it was found to have ended, while its end is not listed
        /// yet; zero: it has not.
        instant unlisted_since{};
        std::uint32_t percent = 0; ///< Progress at the last poll.
        instant started{};         ///< Start time, not counting suspended time.
        /// Time of the last progress, not counting suspended time.
        instant progressed_at{};
        /// Latest possible start of a doubtful run, not counting suspended
        /// time.
        instant latest_start{};
        instant ordered_at{}; ///< Time when its order arrived.
        /// Whether it cannot finish before its server shuts down.
        bool unfinishable = false;
        /// Whether it may have run in an earlier incarnation.
        bool may_have_run = false;

        /// @return Whether it has ended, but its end is not listed yet.
        bool awaits_end() const { return unlisted_since.count() != 0; }
    };

    /// State of one lease.
    struct lease_record
    {
        std::uint32_t epoch = 0; ///< Highest epoch that adopted the lease.
        std::uint32_t lease_epoch = 0; ///< Epoch that renewed the lease last.
        instant expires_at{};
        /// Ends of the leases of a host's submitters.
        std::map<submitter_id, instant> submitters;
        /// Started runs that have not been reported.
        std::vector<run_ref> started;
    };

    /// A poll that was sent.
    struct sent_poll
    {
        std::uint64_t number = 0;
        instant sent{};
        server_incarnation incarnation; ///< Expected incarnation; empty: any.
        /// Highest end number that was acknowledged.
        std::uint64_t acknowledged = 0;
        /// Connection to which the acknowledgement applies.
        std::uint64_t link = 0;
        /// Start time of the acknowledged incarnation; 0: unknown.
        std::int64_t acknowledged_born_ms = 0;
    };

    using runs = std::unordered_map<run_ref, run_record, run_ref_hash>;

    void adjust_for_age(server_account& account,
                        const server_timing& times) const;
    heartbeat_outcome check_heartbeat(const server_account& account);
    void handle_leaving_notice(const std::optional<instant>& before);
    void check_leaving();
    void record_pace(const run_record& run);
    void apply_account(const server_account& account);
    void begin_incarnation();
    void handle_capacity_change();
    void replace_incarnation(const server_account& next);
    void set_candidate(const server_account& other);
    void clear_account();
    void confirm_incarnation(instant sent);
    void end_incarnation();
    lease_record& lease_of(const run_record& run);
    lease_id implied_lease(const run_ref& run) const;
    bool expired(lease_id lease, instant found) const;
    bool is_expired(const run_record& run) const;
    void log_orphans(const std::vector<run_ref>& orphans) const;
    void end_expired_runs();
    void release_expired_ends();
    void stop_renewing_hold(std::string_view cause, lease_id lease);
    bool is_ended(const run_ref& ref, lease_id memory);
    bool is_for_other_incarnation(const run_order& order) const;
    bool exceeds_capacity(const run_order& order) const;
    bool may_start(const run_record& run);
    bool has_room_for_ends() const;
    void check_room_for_ends();
    void start_waiting();
    void send_start(run_record& run);
    void update_server_clock(std::int64_t born_ms, std::int64_t clock_ms);
    void start_answered(const run_ref& ref, const order_result& answer);
    void begin_stop(const run_ref& ref);
    void send_stop(run_record& run);
    void stop_answered(const run_ref& ref, const order_result& answer);
    void mark_started(run_record& run);
    void mark_doubtful(run_record& run);
    void end_run(const run_ref& ref, run_outcome outcome, std::uint64_t number);
    void erase_run(const run_ref& ref);
    void poll();
    void poll_now();
    void handle_poll_answer(const sent_poll& poll_sent,
                            const hold_result& answer);
    void check_ack(const sent_poll& poll_sent, const hold_result& answer);
    void record_list(const hold_result& answer);
    void await_poll(std::uint64_t number, duration wait);
    void await_start(const run_ref& ref);
    void await_answer(duration wait, std::function<bool()> is_pending,
                      std::function<void()> on_timeout);
    void schedule_poll(bool answered);
    void handle_unreachable();
    void update_start_time(std::int64_t born_ms);
    void handle_same_id_restart(std::int64_t before_ms);
    void check_sign_off(instant sent);
    void stop_ended_run(instant sent, const run_ref& ref);
    void apply_running(instant sent, const std::vector<server_run>& running);
    void apply_finished(const std::vector<run_end>& finished);
    void mark_unlisted(instant sent, const std::vector<server_run>& running);
    void resolve_missing(instant sent, const std::vector<server_run>& running);
    void end_all(run_outcome outcome);
    void
    refuse_waiting_if(const std::function<bool(const run_record&)>& condition);
    void refuse_all_waiting();
    void check_leases();
    void check_silence();
    void check_runs();
    order_context context() const;
    duration silence_limit() const;
    instant latest_hold() const;
    instant lease_expiry(const run_record& run) const;
    instant lease_end(const run_record& run) const;
    instant hold_end() const;
    void raise_token();
    void set_phase(server_phase phase);
    void notify_load_changed();
    void back_off();
    bool is_backing_off() const;
    duration stall_limit(const run_record& run) const;
    void record_health(const run_ref& ref, bool failed);
    bool probing() const;
    std::uint32_t probing_cpu_used() const;
    void update_phase();

    const clock_source& clock_;
    backend_server_client& server_; ///< The backend server.
    delay schedule_;                ///< Runs delayed work.
    run_manager_settings settings_;
    run_listener* listener_ = nullptr;
    std::uint64_t fencing_token_;
    server_account account_;
    std::uint32_t incarnation_number_ = 0; ///< See incarnation_number().
    /// Phase reported by the backend server.
    server_phase reported_phase_ = server_phase::absent;
    /// Detects heartbeats that arrive out of order.
    heartbeat_order heartbeats_;
    /// Registered incarnation that no poll has confirmed, while another one is
    /// known.
    std::optional<server_account> candidate_;
    instant candidate_since_{}; ///< Time of the candidate's registration.
    server_pace pace_;          ///< Pace of the registered incarnation.
    duration poll_gap_{};       ///< Time between the last two answered polls.
    /// The registered incarnation has answered a poll.
    bool is_verified_ = false;
    /// The account was restored and not registered since.
    bool is_restored_ = false;
    /// An incarnation has registered with this process.
    bool has_registered_ = false;
    /// Start time in the last poll's answer; 0: unknown.
    std::int64_t listed_born_ms_ = 0;
    /// Time of a sign-off that a poll must confirm.
    std::optional<instant> signed_off_at_;
    /// Whether the ends of all runs fit into one list, as last checked.
    bool had_room_for_ends_ = true;
    /// The last list had no room for all ends.
    bool is_list_cut_ = false;
    /// Connection of the last list that was used; 0: none.
    std::uint64_t listed_link_ = 0;
    /// Another incarnation may have replaced the known one.
    bool last_poll_failed_ = false;
    bool evacuated_ = false;    ///< The hall accepts no new work.
    server_clock server_clock_; ///< The backend server's clock as known here.
    server_breaker breaker_;    ///< Circuit breaker, based on the ends of runs.
    runs runs_;                 ///< Runs that have not ended.
    unconfirmed_ends unconfirmed_;
    std::map<lease_id, lease_record> leases_;
    resources used_; ///< Resources of known needs, without waiting runs.
    /// Number of runs with unknown resources.
    std::size_t runs_without_needs_ = 0;
    std::uint32_t max_order_cpu_ = 0; ///< Largest CPU demand of any order.
    bool polled_ = false; ///< The current incarnation has answered a poll.
    /// The current incarnation has listed all its ends to this process.
    bool all_ends_seen_ = false;
    bool poll_pending_ = false; ///< The latest poll is unanswered.
    /// The next poll must be answered without waiting.
    bool poll_at_once_ = false;
    std::uint64_t poll_number_ = 0;   ///< Number of the latest poll.
    std::uint32_t pending_polls_ = 0; ///< Number of unanswered polls.
    bool draining_ = false;           ///< No orders are accepted.
    /// The hold is not renewed until it has lapsed.
    bool hold_lapsing_ = false;
    // The times below do not count suspended time, like the backend server's
    // clock; leases do count it.
    instant lapse_end_{};  ///< Time when the hold has certainly lapsed.
    instant held_until_{}; ///< Latest end of the hold.
    /// End of the hold if the pending poll renews it.
    instant pending_hold_end_{};
    /// End of the backoff after a refused start; counts suspended time.
    instant backoff_until_{};
    duration refusal_backoff_{}; ///< Length of the last backoff.
    instant last_answer_{};      ///< Time of the last answered poll.
    /// Time of the last stop of an ended run; counts suspended time.
    instant ended_run_stopped_at_{};
    run_manager_stats stats_;
    /// False once destroyed; checked by callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace glenhollow

#endif
