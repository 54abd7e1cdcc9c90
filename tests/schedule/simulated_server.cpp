#include "simulated_server.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

/// Timeouts used by the backend server client.
constexpr duration order_timeout = milliseconds{250};
constexpr duration hold_grace = milliseconds{250};
/// Delay of a message within one VM.
constexpr duration message_delay = microseconds{400};
/// Longest delay of a late call.
constexpr duration max_late_delay = milliseconds{3500};

constexpr std::int64_t first_born_ms = 1'000'000;
/// Reading of the clock when the first incarnation starts, where it is fixed.
constexpr duration first_clock_reading = seconds{8};

} // namespace

simulated_server::simulated_server(simulated_time& time, run_checks& checks,
                                   std::size_t number, double rate,
                                   bool checks_capacity)
    : time_(time), checks_(checks), number_(number),
      checks_capacity_(checks_capacity),
      node_(time, "server " + std::to_string(number), rate)
{
}

void simulated_server::begin(bool same_id)
{
    node_.begin();
    ++incarnations_;
    if (!same_id || id_.empty())
        id_ =
            "s" + std::to_string(number_) + "-" + std::to_string(incarnations_);
    born_ms_ = first_born_ms + static_cast<std::int64_t>(incarnations_);
    const auto now = node_.clock().running();
    clock_origin_ = now - milliseconds{1000 + time_.random() % 5000};
    if (clock_falls_back)
        clock_origin_ = now - first_clock_reading / incarnations_;
    token_ = ends_ = confirmed_ = 0;
    hold_until_ms_ = 0;
    running_.clear();
    finished_.clear();
    superseded_.clear();
    pending_polls_.clear();
    time_.trace([&] { return node_.name() + " begins as " + id_; });
}

void simulated_server::end()
{
    time_.trace([&] { return node_.name() + " ends"; });
    node_.end();
    running_.clear();
    finished_.clear();
    pending_polls_.clear();
    checks_.incarnation_ended(number_);
    for (const auto& call : std::exchange(calls_, {}))
    {
        if (!*call.completed)
            call.on_broken();
    }
}

void simulated_server::track_call(const std::shared_ptr<bool>& completed,
                                  std::function<void()> on_broken)
{
    constexpr std::size_t max_tracked_calls = 32;
    if (calls_.size() >= max_tracked_calls)
        std::erase_if(calls_,
                      [](const open_call& one) { return *one.completed; });
    calls_.push_back({completed, std::move(on_broken)});
}

server_account simulated_server::account() const
{
    server_account out;
    out.service = "service-1";
    out.instance = id_;
    out.born_ms = born_ms_;
    out.capacity = capacity;
    out.phase = server_phase::ready;
    return out;
}

std::int64_t simulated_server::now_ms() const
{
    return std::chrono::duration_cast<milliseconds>(node_.clock().running() -
                                                    clock_origin_)
        .count();
}

bool simulated_server::is_wrong_incarnation(const order_context& context) const
{
    return !context.instance.empty() && context.instance != id_;
}

bool simulated_server::is_fenced(const order_context& context)
{
    if (context.fencing_token < token_)
        return true;
    token_ = context.fencing_token;
    return false;
}

/// Extends the hold up to the longest that the platform grants; never shortens
/// it.
void simulated_server::extend(std::int64_t deadline_ms)
{
    const auto cut = std::min(deadline_ms, now_ms() + max_hold_ms);
    if (cut <= hold_until_ms_ || cut <= now_ms())
        return;
    hold_until_ms_ = cut;
    time_.trace(
        [&]
        {
            return node_.name() + " is held for " +
                   std::to_string(cut - now_ms()) + " ms";
        });
    schedule_lapse();
}

void simulated_server::schedule_lapse()
{
    const auto left = milliseconds{hold_until_ms_ - now_ms()};
    // The hold of a paused process lapses as well.
    const auto length =
        static_cast<double>(duration{left}.count()) / node_.rate();
    time_.after(duration{static_cast<duration::rep>(length)} +
                    microseconds{1500},
                [this, asked = hold_until_ms_, incarnation = incarnations_]
                {
                    if (incarnation != incarnations_ ||
                        asked != hold_until_ms_ || !node_.is_up())
                        return;
                    if (now_ms() < hold_until_ms_)
                        return schedule_lapse(); // The machine was suspended.
                    lapse();
                });
}

void simulated_server::lapse()
{
    checks_.lapsed(number_);
    if (running_.empty())
        return;
    time_.trace([&] { return node_.name() + "'s hold lapses"; });
    while (!running_.empty())
        finish(running_.front().local_id, run_outcome::lapsed);
}

void simulated_server::start(const run_start& start,
                             const order_context& context,
                             const backend_server_client::order_handler& done)
{
    if (is_wrong_incarnation(context))
        return done({order_outcome::wrong_incarnation, now_ms()});
    if (is_fenced(context))
        return done({order_outcome::fenced, now_ms()});
    const auto outcome = begin_run(start, context);
    if (outcome != order_outcome::done)
        time_.trace(
            [&]
            {
                return node_.name() + " refuses " +
                       run_checks::name(start.run) + ": " +
                       std::string(to_name(outcome));
            });
    done({outcome, now_ms()});
}

order_outcome simulated_server::begin_run(const run_start& start,
                                          const order_context& context)
{
    if (context.deadline_ms <= now_ms())
        return order_outcome::late;
    extend(context.deadline_ms);
    resources used;
    for (const auto& one : running_)
    {
        if (one.run == start.run)
            return order_outcome::done;
        used.add({1000, 10, 0});
    }
    const auto superseded = superseded_.find(key(start.run.task));
    if (superseded != superseded_.end() && start.run.run <= superseded->second)
        return order_outcome::superseded;
    if (!used.can_fit({1000, 10, 0}, capacity))
    {
        if (checks_capacity_)
            return order_outcome::no_room;
        checks_.over_capacity(number_);
    }
    run_state state;
    state.run = start.run;
    state.began = time_.loop.clock.now();
    state.work = milliseconds{std::stoi(start.spec)};
    state.local_id = ++last_local_id_;
    running_.push_back(state);
    time_.trace(
        [&]
        { return node_.name() + " begins " + run_checks::name(start.run); });
    checks_.began(number_, start.run);
    schedule_end(state.local_id, state.work);
    return order_outcome::done;
}

void simulated_server::schedule_end(std::uint64_t local_id, duration left)
{
    node_.deliver(left,
                  [this, local_id] { finish(local_id, run_outcome::done); });
}

void simulated_server::finish(std::uint64_t local_id, run_outcome how)
{
    const auto known = std::find_if(running_.begin(), running_.end(),
                                    [local_id](const run_state& one)
                                    { return one.local_id == local_id; });
    if (known == running_.end())
        return;
    const auto run = known->run;
    running_.erase(known);
    auto& superseded = superseded_[key(run.task)];
    superseded = std::max(superseded, run.run);
    finished_.push_back({run, how, ++ends_, 0, true});
    time_.trace(
        [&]
        {
            return node_.name() + " ends " + run_checks::name(run) + ": " +
                   std::string(to_name(how));
        });
    checks_.ended(number_, run, how, ends_);
    answer_polls();
}

void simulated_server::stop(const run_ref& run, const order_context& context,
                            const backend_server_client::order_handler& done)
{
    if (is_wrong_incarnation(context))
        return done({order_outcome::wrong_incarnation, now_ms()});
    if (is_fenced(context))
        return done({order_outcome::fenced, now_ms()});
    time_.trace(
        [&] { return node_.name() + " is to stop " + run_checks::name(run); });
    auto& superseded = superseded_[key(run.task)];
    superseded = std::max(superseded, run.run);
    for (auto& one : running_)
    {
        if (one.run != run || one.stopping)
            continue;
        one.stopping = true;
        node_.deliver(time_.random_duration(max_stop_time),
                      [this, local_id = one.local_id]
                      { finish(local_id, run_outcome::stopped); });
    }
    done({order_outcome::done, now_ms()});
}

void simulated_server::hold(const hold_request& request,
                            const backend_server_client::hold_handler& done)
{
    hold_result refused;
    refused.clock_ms = now_ms();
    refused.outcome = is_wrong_incarnation(request.context)
                          ? order_outcome::wrong_incarnation
                          : order_outcome::fenced;
    if (is_wrong_incarnation(request.context) || is_fenced(request.context))
        return done(refused);
    extend(request.context.deadline_ms);
    if (request.confirmed > confirmed_)
    {
        confirmed_ = request.confirmed;
        checks_.confirmed(number_, confirmed_,
                          [this](job_id job) { return job % 2 == 0; });
        std::erase_if(finished_, [this](const run_end& end)
                      { return end.number <= confirmed_; });
    }
    if (!finished_.empty() || request.wait.count() == 0)
        return done(run_lists());
    const auto number = ++last_poll_number_;
    pending_polls_.push_back({number, done});
    node_.deliver(request.wait, [this, number] { answer_poll(number); });
}

hold_result simulated_server::run_lists() const
{
    hold_result out;
    out.outcome = order_outcome::done;
    out.clock_ms = now_ms();
    out.born_ms = born_ms_;
    for (const auto& one : running_)
    {
        const auto ran = time_.loop.clock.now() - one.began;
        const auto percent = 1 + 98 * ran.count() / one.work.count();
        out.running.push_back({one.run, static_cast<std::uint32_t>(percent)});
    }
    const auto listed = std::min(finished_.size(), max_listed_ends);
    out.finished = {finished_.begin(), finished_.begin() + listed};
    out.lists_all_ends = listed < max_listed_ends;
    return out;
}

void simulated_server::answer_polls()
{
    for (const auto& one : std::exchange(pending_polls_, {}))
        one.done(run_lists());
}

void simulated_server::answer_poll(std::uint64_t number)
{
    const auto known = std::find_if(
        pending_polls_.begin(), pending_polls_.end(),
        [number](const pending_poll& one) { return one.number == number; });
    if (known == pending_polls_.end())
        return;
    const auto done = known->done;
    pending_polls_.erase(known);
    done(run_lists());
}

/// @param done Receives the result, once.
/// @param serve Executes the call and passes the answer on.
/// @param unreachable_answer Result while the server is down.
template <class Result, class Call>
void simulated_server_port::call(duration timeout,
                                 std::function<void(Result)> done, Call serve,
                                 Result unreachable_answer)
{
    const auto completed = std::make_shared<bool>(false);
    const auto once = [completed, done = std::move(done)](const Result& got)
    {
        if (!std::exchange(*completed, true))
            done(got);
    };
    if (!server_.node().is_up())
        return caller_.deliver(message_delay, [once, unreachable_answer]
                               { once(unreachable_answer); });
    caller_.later(timeout, [once] { once({}); });
    server_.track_call(completed,
                       [&caller = caller_, once, mine = caller_.process()]
                       {
                           if (caller.process() == mine)
                               caller.deliver(message_delay,
                                              [once] { once({}); });
                       });
    const auto& link = server_.link;
    const auto drawn = uniform(time_.random);
    if (drawn < link.lost)
        return;
    const bool late = drawn < link.lost + link.late;
    const bool drop_answer =
        late || drawn < link.lost + link.late + link.unanswered;
    const auto slow = late ? time_.random_duration(max_late_delay)
                           : time_.random_duration(2 * message_delay);
    // Answers reach only the process that made the call.
    const auto answer = [this, once, drop_answer](const Result& got)
    {
        if (!drop_answer)
            caller_.deliver(message_delay, [once, got] { once(got); });
    };
    const auto guarded =
        [answer, &caller = caller_, mine = caller_.process()](const Result& got)
    {
        if (caller.process() == mine)
            answer(got);
    };
    server_.node().deliver(slow, [serve, guarded] { serve(guarded); });
}

/// A connection belongs to one incarnation of the server and ends with it.
/// @return Whether an order names another incarnation and is rejected unsent.
bool simulated_server_port::rejects_incarnation(const order_context& context,
                                                const order_handler& done)
{
    const bool other = server_.node().is_up() && context.born_ms != 0 &&
                       context.born_ms != server_.born_ms();
    if (other)
        caller_.deliver(message_delay,
                        [done] {
                            done({order_outcome::wrong_incarnation, 0});
                        });
    return other;
}

void simulated_server_port::start(const run_start& start,
                                  const order_context& context,
                                  order_handler done)
{
    if (rejects_incarnation(context, done))
        return;
    call<order_result>(
        order_timeout, std::move(done),
        [&server = server_, start, context](const auto& answer)
        { server.start(start, context, answer); },
        order_result{order_outcome::unhealthy, 0});
}

void simulated_server_port::stop(const run_ref& run,
                                 const order_context& context,
                                 order_handler done)
{
    if (rejects_incarnation(context, done))
        return;
    call<order_result>(
        order_timeout, std::move(done),
        [&server = server_, run, context](const auto& answer)
        { server.stop(run, context, answer); },
        order_result{order_outcome::unhealthy, 0});
}

void simulated_server_port::hold(const hold_request& request, hold_handler done)
{
    hold_result unreachable_answer;
    unreachable_answer.outcome = order_outcome::unhealthy;
    unreachable_answer.reached = false;
    // As in the platform client, confirmations and deadlines are valid only on
    // the connection for which they were made.
    auto sent_request = request;
    if (request.link != server_.incarnation())
    {
        sent_request.confirmed = 0;
        sent_request.context.deadline_ms = 0;
    }
    call<hold_result>(
        request.wait + hold_grace,
        [done = std::move(done), link = server_.incarnation()](hold_result got)
        {
            got.link = got.reached ? link : 0;
            done(got);
        },
        [&server = server_, sent_request](const auto& answer)
        { server.hold(sent_request, answer); },
        unreachable_answer);
}

} // namespace glenhollow
