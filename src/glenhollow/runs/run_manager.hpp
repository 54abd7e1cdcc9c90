#ifndef GLENHOLLOW_RUNS_RUN_MANAGER_HPP
#define GLENHOLLOW_RUNS_RUN_MANAGER_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/durable_job.hpp"
#include "glenhollow/runs/backend_server_client.hpp"
#include "glenhollow/runs/heartbeat_order.hpp"
#include "glenhollow/runs/leaving_server.hpp"
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

/// Names a lease under which runs go on: that of a part of the journal, or that
/// of an entry's process for its jobs in memory.
using lease_id = std::uint32_t;

/// Of runs in memory whose entry has not claimed them yet.
inline constexpr lease_id unclaimed_lease = 0xFFFF'FFFF;

/// @param number Of an entry's process at this agent, from 0.
/// @return The lease of its jobs in memory.
constexpr lease_id memory_lease(std::uint32_t number)
{
    return 0x1'0000U + number;
}

/// @param lease A lease.
/// @return Whether it is that of a part of the journal.
constexpr bool is_part_lease(lease_id lease)
{
    return lease < 0x1'0000U;
}

/// Where a run stands at its agent.
enum class run_phase : std::uint8_t
{
    waiting,  ///< Accepted, not yet sent to the runner.
    starting, ///< Sent, no answer yet.
    doubtful, ///< Sent, the answer is lost.
    running,  ///< The runner has it.
    stopping  ///< Told to stop, not yet ended.
};

template <>
struct name_table<run_phase>
{
    static constexpr std::array<std::string_view, 5> names{
        "waiting", "starting", "doubtful", "running", "stopping"};
};

/// Whether a runner takes work.
enum class server_phase : std::uint8_t
{
    absent,  ///< Not registered, or it does not answer.
    ready,   ///< Takes starts.
    draining ///< Finishes what runs.
};

template <>
struct name_table<server_phase>
{
    static constexpr std::array<std::string_view, 3> names{"absent", "ready",
                                                           "draining"};
};

/// What a runner says of itself.
struct server_account
{
    std::string service;                       ///< What it runs.
    std::string instance;                      ///< Its id.
    std::int64_t born_ms = 0;                  ///< When it started, Unix ms by
                                               ///< its own word; 0: not told.
    std::uint64_t sequence = 0;                ///< Of this word, in this life.
    std::string zone;                          ///< Where it stands.
    std::vector<std::string> labels;           ///< Kind, rack.
    resources capacity;                        ///< All of it.
    server_phase phase = server_phase::absent; ///< Whether it takes work.
    std::optional<instant>
        leaves_at;        ///< At the earliest, by the agent's clock;
                          ///< all that runs there ends with it.
    instant cold_until{}; ///< Slow from its start until then.

    /// @return Which life of the runner speaks.
    server_incarnation incarnation() const { return {instance, born_ms}; }
};

/// Times that a runner tells with its account, as of its own clock.
struct server_timing
{
    std::int64_t clock_ms = 0; ///< The runner's clock then; 0: not told.
    std::optional<duration> remaining; ///< Until it leaves, at least.
    duration cold{};                   ///< It stays slow for so long.
};

/// What an agent tells of its runner's room.
struct server_load
{
    resources used;            ///< By what runs, starts, stops or waits.
    std::uint32_t waiting = 0; ///< Orders without room yet.
    std::optional<duration> leaves_in; ///< The runner's notice, as of now.
    duration cold{};                   ///< It stays slow for so long.
    double pace = 0; ///< Time of runs over what was expected; 0: not known.
};

/// A start that an owner orders.
struct run_order
{
    run_ref run;                   ///< Which run.
    std::uint32_t epoch = 0;       ///< Of the part, at the owner.
    resources needs;               ///< What it takes.
    std::int64_t urgency = 0;      ///< Smaller goes first.
    std::string spec;              ///< The job's.
    std::uint32_t estimate_ms = 0; ///< A rough guess of its time; 0: none.
    std::uint64_t placer = 0;      ///< Incarnation of the entry that chose
                                   ///< this agent, if not the sender.
    std::uint32_t grant = 0;       ///< Its number there; 0: none.
    std::uint32_t expected_ms = 0; ///< At a warm server of usual speed, as far
                                   ///< from its data; 0: not known.
    std::uint32_t useful_ms = 0;   ///< An end later than this from the order
                                   ///< on helps nobody; 0: any does.
};

/// A run as its agent lists it for a new owner.
struct listed_run
{
    run_ref run;                          ///< Which run.
    run_phase phase = run_phase::waiting; ///< Where it stands.
    bool are_needs_known = false;         ///< The agent knows what it takes.
};

/// All that an agent knows of the runs under one lease.
struct lease_account
{
    bool declined = false; ///< A later owner has been here.
    bool complete = false; ///< The agent has kept all since the last account:
                           ///< an order not told here has not been taken, and
                           ///< never will be.
    std::vector<listed_run> runs; ///< Not ended.
    std::vector<run_end> ends;    ///< Not confirmed by an owner.
};

/// The longest hold of a runner that entries reckon with when they wait for the
/// runs of a silent agent to lapse: with 2 s a task of a job in memory ran
/// twice at once.
inline constexpr duration max_hold = milliseconds{1000};

/// Limits of a manager.
struct run_manager_settings
{
    std::size_t parts = 3;                     ///< Of the journal.
    duration part_lease = milliseconds{1800};  ///< From an owner's
                                               ///< confirmation.
    duration memory_lease = milliseconds{800}; ///< From an entry's.
    duration claim_timeout =
        milliseconds{600};                  ///< For runs that were found, and
                                            ///< orders without a lease yet.
    duration stop_time = milliseconds{350}; ///< For runs without a lease,
                                            ///< before the hold lapses.
    duration hold = max_hold; ///< Longest hold of the runner; it ends with
                              ///< the time to stop after the first lease
                              ///< to end of those that have runs.
    duration poll_wait = milliseconds{100};     ///< Of one look, at most.
    duration poll_interval = milliseconds{8};   ///< While ends are unconfirmed.
    duration answer_timeout = milliseconds{30}; ///< For an answer past its
                                                ///< wait; some thirty times
                                                ///< what a call takes on one
                                                ///< VM.
    duration max_timer_lag = milliseconds{5};   ///< Timers of this process that
                                                ///< come later say that it is
                                                ///< slow, not the runner.
    std::uint32_t max_pending_polls = 3;    ///< Unanswered at once, at most.
    duration max_stall = milliseconds{900}; ///< A run without progress,
                                            ///< where no time is guessed.
    double stall_share = 0.35;              ///< Of the guessed time.
    duration min_stall = milliseconds{200}; ///< Whatever is guessed.
    server_breaker_settings breaker;        ///< Judgement on the runner.
    leaving_settings leaving;               ///< At one that leaves.
    server_pace_settings pace;              ///< The estimate of its pace.
    duration max_poll_gap =
        milliseconds{150}; ///< Ends seen past a longer gap between
                           ///< answered looks tell no pace; a look
                           ///< takes its wait and an answer.
    duration unclaimed_end_retention =
        seconds{10}; ///< Ends of entries that went.
    duration min_refusal_backoff =
        milliseconds{200}; ///< After a refused start the
                           ///< runner is left alone.
    duration max_refusal_backoff = milliseconds{1600}; ///< After repeated ones.
    std::size_t max_waiting = 16;                      ///< Orders without room.
};

/// What became of an account.
enum class heartbeat_outcome : std::uint8_t
{
    accepted,          ///< It counts, or will once a look bears it out.
    out_of_order,      ///< Overtaken by a later one of its life.
    without_start_time ///< It does not tell its start, while lists do: whose it
                       ///< is can't be said.
};

template <>
struct name_table<heartbeat_outcome>
{
    static constexpr std::array<std::string_view, 3> names{"taken", "late",
                                                           "undated"};
};

/// Counters of a manager.
struct run_manager_stats
{
    std::uint64_t started = 0;      ///< Starts that the runner took.
    std::uint64_t not_begun = 0;    ///< Orders that never began.
    std::uint64_t doubtful = 0;     ///< Starts without an answer.
    std::uint64_t polls = 0;        ///< Looks at the runner.
    std::uint64_t polls_lost = 0;   ///< Of these, given up without an answer.
    std::uint64_t lapses = 0;       ///< Times the hold was left to lapse.
    std::uint64_t stalled = 0;      ///< Runs stopped for want of progress.
    std::uint64_t runs_missing = 0; ///< Runs that the runner no longer showed.
    std::uint64_t found = 0;        ///< Runs that another process had begun.
    std::uint64_t ended_runs_stopped =
        0; ///< Stops of runs shown after their end.
    std::uint64_t stale_registrations = 0; ///< Of lives that had ended.
    std::array<std::uint64_t, name_table<heartbeat_outcome>::names.size()>
        heartbeats{}; ///< By what became of them.
    std::uint64_t same_id_restarts =
        0; ///< Lives that began under the last one's id.
    std::uint64_t unconfirmed_sign_offs =
        0;                           ///< Words of an end that had not come.
    std::uint64_t repeated_ends = 0; ///< Listed with a number that was done
                                     ///< with before.
    std::uint64_t misdelivered_acks =
        0; ///< Looks whose mark of noted ends came to
           ///< another life than that it is of.
    std::uint64_t leaving_notices =
        0;                          ///< Lives that told when they would leave.
    std::uint64_t moved = 0;        ///< Runs stopped to be run elsewhere.
    std::uint64_t moved_ms = 0;     ///< Time that these had run: thrown away.
    std::uint64_t unfinishable = 0; ///< Runs that could not end, nor elsewhere.
    std::uint64_t refused_by_leaving = 0; ///< Orders that came after a notice.
    std::uint64_t restored = 0;       ///< Lives known from an earlier process.
    std::uint64_t restored_ended = 0; ///< Of these, those that had ended.
    std::array<std::uint64_t, name_table<run_outcome>::names.size()>
        ends{}; ///< By outcome.
};

/// Told of changes.
class run_listener
{
public:
    virtual ~run_listener() = default;

    /// @param lease Has an end to tell.
    virtual void lease_changed(lease_id lease) = 0;

    /// @param lease Has a begun run to tell; nobody waits for that.
    virtual void run_started(lease_id lease) = 0;

    /// The runner's room or phase has changed.
    virtual void load_changed() = 0;

    /// The runner takes work or takes none any more.
    virtual void phase_changed() = 0;
};

/// The only caller of a backend server: keeps its runs, its room, its hold and
/// the ends that no owner has journalled yet. One thread.
class run_manager final
{
public:
    /// Runs a function after a while.
    using delay = std::function<void(duration, std::function<void()>)>;

    /// @param clock Outlives the manager.
    /// @param runner Outlives the manager.
    /// @param later Runs delayed work; none after the manager's end.
    /// @param fencing_token First token; above those of earlier processes.
    /// @param settings Limits.
    run_manager(const clock_source& clock, backend_server_client& server,
                delay schedule, std::uint64_t fencing_token,
                const run_manager_settings& settings);
    ~run_manager();

    /// @param listener Told of changes; outlives the manager.
    void listen(run_listener* listener) { listener_ = listener; }

    /// Begins to look at the runner.
    void begin();

    /// @return Whether the runner has been looked at, so that runs are known.
    bool is_polled() const { return polled_; }

    /// @return Whether an account can be told: the runner has shown its runs,
    /// or was silent for so long that all have lapsed. What has not been seen
    /// yet must not be told as not there, for it would begin elsewhere.
    bool are_runs_known() const;

    /// @param account As the runner registers itself.
    /// @param times That it told with it.
    /// @return Whether it counts.
    heartbeat_outcome registered(const server_account& account,
                                 const server_timing& times = {});

    /// What the last process of this agent knew. It counts once the backend
    /// server has answered as that life, and not after a registration.
    /// @param account As it had registered itself.
    void restored(const server_account& account);

    /// @param instance Id of the life that has ended.
    void departed(const std::string& instance);

    /// A life says that it ends. Where it has not said before that it leaves,
    /// the word may be an earlier life's: a look decides.
    /// @param life Whose word it is, as far as it is told.
    void signed_off(const server_incarnation& incarnation);

    /// Takes a lease's holder.
    /// @param lease A part's, or an entry's.
    /// @param epoch The owner's; 0 for an entry's lease.
    /// @return What is known, or that a later owner has been here. For an
    /// entry's lease that includes what nobody has claimed.
    lease_account adopt(lease_id lease, std::uint32_t epoch);

    /// @param lease A part's, or an entry's.
    /// @param epoch Whose lease is renewed.
    /// @param confirmed When this agent sent what the holder has confirmed.
    void renew(lease_id lease, std::uint32_t epoch, instant confirmed);

    /// @param lease A part's, or an entry's.
    /// @return Whether runs may start under it now.
    bool is_leased(lease_id lease) const;

    /// A new session of the holder begins: orders of the last one that have not
    /// begun come back, for the holder may have ordered them elsewhere.
    /// @param lease An entry's.
    void refuse_waiting(lease_id lease);

    /// @return Leases with runs here, or with ends that wait for an owner.
    std::set<lease_id> leases_in_use() const;

    /// @param lease Its holder's process has ended.
    void expire(lease_id lease);

    /// @param order A start; a refused one ends as `not_begun`.
    /// @param memory Lease of the entry that orders, for a job in memory.
    void order(run_order order, lease_id memory);

    /// @param run What to stop.
    void stop(const run_ref& run);

    /// @param order What a run takes that was found running.
    /// @param memory Lease of the entry that claims it, for a job in memory.
    void size(const run_order& order, lease_id memory);

    /// @param end An end that is in the journal.
    void confirm(const run_end& end);

    /// @param evacuated Whether the hall gets no new work; what runs goes on.
    void evacuate(bool evacuated);

    /// @return Whether the hall gets no new work.
    bool evacuated() const { return evacuated_; }

    /// Does what is due.
    void tick();

    /// Takes no more orders; what runs goes on.
    void drain();

    /// @return Whether nothing runs or waits to be confirmed.
    bool idle() const { return runs_.empty() && unconfirmed_.empty(); }

    /// @return What the runner said of itself, and whether it answers.
    const server_account& account() const { return account_; }

    /// @return Whether it takes work by its own word.
    server_phase reported_phase() const { return reported_phase_; }

    /// @return Room as owners should see it.
    server_load load() const;

    /// @return How long runs take there, over what was expected.
    const server_pace& pace() const { return pace_; }

    /// @return Ends that no owner has confirmed.
    const unconfirmed_ends& unconfirmed() const { return unconfirmed_; }

    /// @param lease A lease.
    /// @return Runs that began since the last call.
    std::vector<run_ref> take_started(lease_id lease);

    /// @param lease A lease.
    /// @return Its ends that were not taken yet, to be told to its holder.
    std::vector<run_end> take_ends(lease_id lease);

    /// @return Counters.
    const run_manager_stats& stats() const { return stats_; }

private:
    /// One run that has not ended.
    struct run_record
    {
        run_order order;                      ///< As ordered or found.
        lease_id lease = unclaimed_lease;     ///< Under which it goes on.
        run_phase phase = run_phase::waiting; ///< Where it stands.
        bool are_needs_known = true;          ///< Its needs are known.
        bool is_stop_pending = false;         ///< A stop is out.
        std::uint32_t stop_attempts = 0;      ///< Sent.
        instant phase_changed_at{};           ///< When the phase changed.
        instant stop_sent{};                  ///< Last stop.
        instant settled_at{}; ///< Doubtful: when it could not begin any more.
        instant
            orphaned_at{}; ///< Its lease was found expired; zero: it has one.
        std::uint32_t percent = 0; ///< Of its work, as last shown.
        instant started{};         ///< When it began, time run.
        instant progressed_at{};   ///< When the percent last rose, time run.
        instant latest_start{};    ///< Doubtful: it can't begin later, time
                                   ///< run.
        instant ordered_at{};      ///< When its order came.
        bool unfinishable = false; ///< It can't end before its server leaves.
        bool may_have_run = false; ///< In a life that ended before its answer.
    };

    /// What is known of one lease.
    struct lease_record
    {
        std::uint32_t epoch = 0;       ///< Highest adopted.
        std::uint32_t lease_epoch = 0; ///< Whose lease it is.
        instant expires_at{};          ///< Its end.
        std::vector<run_ref> started;  ///< Not yet told.
    };

    /// A look that is out.
    struct sent_poll
    {
        std::uint64_t number = 0;       ///< Of the look.
        instant sent{};                 ///< When it left.
        server_incarnation incarnation; ///< That it expects; empty: any.
        std::uint64_t acknowledged =
            0;                  ///< Ends up to this one may be forgotten,
        std::uint64_t link = 0; ///< by the life that this one leads to,
        std::int64_t acknowledged_born_ms =
            0; ///< which started then; 0: not told.
    };

    using runs = std::unordered_map<run_ref, run_record, run_ref_hash>;

    void adjust_for_age(server_account& account,
                        const server_timing& times) const;
    heartbeat_outcome check_heartbeat(const server_account& account);
    void handle_leaving_notice(const std::optional<instant>& before);
    void check_leaving();
    void record_pace(const run_record& run);
    void apply_account(const server_account& account);
    void replace_incarnation(const server_account& next);
    void set_candidate(const server_account& other);
    void clear_account();
    void confirm_incarnation(instant sent);
    void end_incarnation();
    lease_record& lease_of(const run_record& run);
    lease_id implied_lease(const run_ref& run) const;
    bool expired(lease_id lease, instant found) const;
    void end_expired_runs();
    void release_expired_ends();
    void stop_renewing_hold(std::string_view cause, lease_id lease);
    bool is_ended(const run_ref& ref, lease_id memory);
    bool may_start(const run_record& run);
    void start_waiting();
    void send_start(run_record& run);
    void update_server_clock(std::int64_t born_ms, std::int64_t clock_ms);
    void start_answered(const run_ref& ref, const order_result& answer);
    void send_stop(run_record& run);
    void stop_answered(const run_ref& ref, const order_result& answer);
    void started(run_record& run);
    void mark_doubtful(run_record& run);
    void end_run(const run_ref& ref, run_outcome outcome, std::uint64_t number);
    void erase_run(const run_ref& ref);
    void poll();
    void poll_now();
    void handle_poll_answer(const sent_poll& poll_sent,
                            const hold_result& answer);
    void check_ack(const sent_poll& poll_sent, const hold_result& answer);
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
    void resolve_missing(instant sent, const std::vector<server_run>& running);
    void end_all(run_outcome outcome);
    void check_leases();
    void check_silence();
    void check_runs();
    order_context context() const;
    duration silence_limit() const;
    instant latest_hold() const;
    instant lease_end(lease_id lease) const;
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

    const clock_source& clock_;        ///< This agent's.
    backend_server_client& server_;    ///< The runner.
    delay schedule_;                   ///< Delayed work.
    run_manager_settings settings_;    ///< Limits.
    run_listener* listener_ = nullptr; ///< Told of changes.
    std::uint64_t fencing_token_;      ///< Fencing token.
    server_account account_;           ///< As last registered.
    server_phase reported_phase_ = server_phase::absent; ///< By the runner.
    heartbeat_order heartbeats_;                         ///< Which are late.
    std::optional<server_account> candidate_; ///< A life that has registered
                                              ///< while another answers.
    instant candidate_since_{};               ///< When it did.
    server_pace pace_;                        ///< Of the registered life.
    duration poll_gap_{};         ///< Between the last two answered looks.
    bool is_verified_ = false;    ///< The registered life has answered.
    bool is_restored_ = false;    ///< It has not registered with this process.
    bool has_registered_ = false; ///< Some life has, with this process.
    std::int64_t listed_born_ms_ = 0; ///< Start of the life that the last look
                                      ///< showed; 0: not told.
    std::optional<instant> signed_off_at_; ///< When a word of its end came that
                                           ///< a look has to bear out.
    std::uint64_t listed_link_ = 0; ///< Connection by which the last list came
                                    ///< that was taken; 0: none.
    bool last_poll_failed_ = false; ///< The last look got no answer: another
                                    ///< life may be there.
    bool evacuated_ = false;       ///< The hall gets no new work.
    server_clock server_clock_;    ///< The runner's clock as seen here.
    server_breaker breaker_;       ///< Judges it by the ends of its runs.
    runs runs_;                    ///< Not ended.
    unconfirmed_ends unconfirmed_; ///< Ended, not confirmed.
    std::map<lease_id, lease_record> leases_; ///< By lease.
    resources used_;                          ///< By sized runs past waiting.
    std::size_t runs_without_needs_ = 0;      ///< Runs of unknown needs.
    std::uint32_t max_order_cpu_ = 0;         ///< Of any order so far.
    bool polled_ = false;                     ///< A look has been answered.
    bool poll_pending_ = false;               ///< A look is awaited.
    bool poll_at_once_ = false;               ///< The next look does not wait.
    std::uint64_t poll_number_ = 0;           ///< Of the latest look.
    std::uint32_t pending_polls_ = 0;         ///< Unanswered ones.
    bool draining_ = false;                   ///< No more orders.
    bool hold_lapsing_ = false;               ///< The hold is left to lapse.
    // The backend server counts the time that its machine has run, and so do
    // these; leases count suspended time as well.
    instant lapse_end_{};            ///< When it surely has.
    instant held_until_{};           ///< Latest end of the hold.
    instant pending_hold_end_{};     ///< Of the look that is out.
    instant backoff_until_{};        ///< The runner is left alone.
    duration refusal_backoff_{};     ///< The last such time.
    instant last_answer_{};          ///< Last answer to a look, time
                                     ///< run.
    instant ended_run_stopped_at_{}; ///< Last stop of an ended run.
    run_manager_stats stats_;        ///< Counters.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Guard.
};

} // namespace glenhollow

#endif
