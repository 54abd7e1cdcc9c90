#include "durable_world.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace glenhollow
{

namespace
{

/// Delay before a caller repeats an unanswered submission.
constexpr duration caller_retry_delay = milliseconds{1300};
/// Longest duration of a request; later actions of its caller arrive after it.
constexpr duration post_request_delay = milliseconds{3};
constexpr std::size_t max_caller_attempts = 3;
/// Timeouts of the protocol and their sums; faults are injected around them.
constexpr std::array critical_intervals{
    milliseconds{0},    milliseconds{350},  milliseconds{600},
    milliseconds{800},  milliseconds{1000}, milliseconds{1200},
    milliseconds{1300}, milliseconds{1800}, milliseconds{2000},
    milliseconds{2800}, milliseconds{3400}};
/// Base durations of faults.
constexpr std::array fault_lengths{
    milliseconds{60},   milliseconds{200},  milliseconds{450},
    milliseconds{700},  milliseconds{950},  milliseconds{1250},
    milliseconds{1600}, milliseconds{2200}, milliseconds{3600}};
constexpr std::array clock_rates{0.99, 1.0, 1.0, 1.01};
const std::vector<std::string> fault_kinds{
    "entry_killed",  "entry_dark",    "agent_killed", "agent_dark",
    "entry_still",   "agent_still",   "server_still", "agent_stills",
    "link_shut",     "answers_shut",  "orders_shut",  "link_slow",
    "link_reset",    "server_silent", "server_ends",  "caller_reset",
    "caller_leaves", "store_shut",    "entries_cut",  "hall_cut"};
/// Longest restart of a server that its agent may fail to notice.
constexpr duration quick_restart = milliseconds{20};
/// Time after a server restart in which its agent may not know the new
/// incarnation yet.
constexpr duration recent_restart = milliseconds{400};
const std::vector<std::string> journalled_only_faults{
    "store_shut", "entries_cut", "hall_cut"};
const std::vector<std::string> in_memory_only_faults{"caller_leaves"};

template <class Values>
bool contains(const Values& values, const std::string& one)
{
    return std::find(std::begin(values), std::end(values), one) !=
           std::end(values);
}

} // namespace

durable_world::durable_world(const durable_schedule_settings& settings)
    : settings_(settings), time_(settings.seed, settings.tracing),
      checks_(time_), rows_(time_.loop)
{
    if (settings.tracing)
        log_sink_ = std::make_unique<trace_log>(time_);
    build();
}

durable_world::~durable_world() = default;

void durable_world::build()
{
    for (std::size_t i = 0; i < settings_.agents; ++i)
    {
        agent_site site;
        const auto rate = time_.pick(clock_rates);
        // The server clock may run 2% slower than that of the agent.
        const auto slow = time_.chance(0.5) ? 0.98 : 1.0;
        site.server = std::make_unique<simulated_server>(
            time_, checks_, i, rate * slow, time_.chance(0.5));
        site.server->clock_falls_back = !settings_.jobs.empty();
        site.server->max_listed_ends = settings_.max_listed_ends;
        site.agent =
            std::make_unique<simulated_agent>(time_, *site.server, i, rate);
        site.links.resize(settings_.entries);
        agents_.push_back(std::move(site));
    }
    for (std::size_t i = 0; i < settings_.entries; ++i)
    {
        entry_site site;
        site.store = std::make_unique<simulated_store>(time_, rows_);
        site.entry = std::make_unique<simulated_entry>(time_, *site.store, i,
                                                       time_.pick(clock_rates));
        std::vector<simulated_entry::agent_route> known;
        for (auto& agent : agents_)
            known.push_back({agent.agent.get(), &agent.links[i]});
        site.entry->set_agents(std::move(known));
        entries_.push_back(std::move(site));
    }
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        std::vector<std::size_t> others;
        for (std::size_t other = 0; other < entries_.size(); ++other)
        {
            if (other != i)
                others.push_back(other);
        }
        entries_[i].entry->set_other_entries(
            std::move(others), [this](std::size_t)
            { return time_.loop.clock.now() < entries_refuse_until_; });
    }
    for (std::size_t i = 0; i < agents_.size(); ++i)
    {
        agents_[i].server->begin(false);
        agents_[i].agent->begin();
        send_heartbeats(i);
    }
    for (auto& site : entries_)
        site.entry->begin();
    if (settings_.journalled)
        exchange_views();
}

void durable_world::send_heartbeats(std::size_t agent)
{
    agents_[agent].agent->heartbeat();
    time_.after(milliseconds{500} + time_.random_duration(milliseconds{100}),
                [this, agent] { send_heartbeats(agent); });
}

void durable_world::exchange_views()
{
    const auto now = time_.loop.clock.now();
    for (auto& from : entries_)
    {
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            auto& to = *entries_[i].entry;
            auto& said = *from.entry;
            if (&to == &said || !said.node().is_up() ||
                said.node().is_paused() || !to.node().is_up() ||
                now < entries_cut_until_)
                continue;
            const auto number =
                static_cast<std::size_t>(&from - entries_.data());
            auto view = said.ownership().view();
            view.requested_at = to.node().clock().now();
            to.node().deliver(milliseconds{1}, [&to, number, view]
                              { to.ownership().receive_view(number, view); });
        }
    }
    time_.after(milliseconds{100}, [this] { exchange_views(); });
}

void durable_world::submit(std::size_t caller_index, std::size_t entry)
{
    auto& by = callers_[caller_index];
    auto& to = *entries_[entry].entry;
    const auto attempt_index = by.attempts.size();
    if (attempt_index > 0)
        ++outcome_.resent;
    by.attempts.push_back({entry, to.node().process(), attempt_end::open});
    time_.trace(
        [&]
        {
            return "caller of job " + std::to_string(by.job.id) + " asks " +
                   to.node().name() + ", time " +
                   std::to_string(attempt_index + 1);
        });
    if (!to.node().is_up())
        return fail_attempt(caller_index, attempt_index);
    auto job = by.job;
    job.accepted_ms = simulated_wall_ms(time_);
    job.objective_ms = job.accepted_ms + 1500;
    const auto timeout =
        std::chrono::duration_cast<milliseconds>(by.timeout).count();
    job.expiry_ms = settings_.journalled ? 0 : job.accepted_ms + timeout;
    to.node().deliver(
        microseconds{300} + time_.random_duration(milliseconds{2}),
        [this, caller_index, attempt_index, job, &to]
        {
            to.submit(job,
                      [this, caller_index, attempt_index](const job_reply& got)
                      {
                          time_.after(
                              microseconds{300},
                              [this, caller_index, attempt_index, got]
                              { reply(caller_index, attempt_index, got); });
                      });
        });
}

void durable_world::reply(std::size_t caller_index, std::size_t attempt_index,
                          const job_reply& got)
{
    auto& by = callers_[caller_index];
    auto& one = by.attempts[attempt_index];
    if (one.end != attempt_end::open)
        return;
    if (got.outcome == job_outcome::refused)
    {
        one.end = attempt_end::refused;
        if (settings_.journalled) // The entry does not own the part.
            schedule_resubmission(caller_index);
        return;
    }
    if (got.outcome != job_outcome::done)
        return fail_attempt(caller_index, attempt_index);
    one.end = attempt_end::answered;
    by.has_answer = true;
}

/// Fails an attempt; the caller resubmits unless it has withdrawn.
void durable_world::fail_attempt(std::size_t caller_index,
                                 std::size_t attempt_index)
{
    auto& one = callers_[caller_index].attempts[attempt_index];
    if (one.end != attempt_end::open)
        return;
    one.end = attempt_end::lost;
    schedule_resubmission(caller_index);
}

void durable_world::schedule_resubmission(std::size_t caller_index)
{
    const auto& by = callers_[caller_index];
    if (by.withdrawn || by.has_answer ||
        by.attempts.size() >= max_caller_attempts)
        return;
    time_.after(caller_retry_delay,
                [this, caller_index, entry = random_entry()]
                {
                    const auto& now = callers_[caller_index];
                    if (!now.withdrawn && !now.has_answer)
                        submit(caller_index, entry);
                });
}

/// @param notify_peers Whether callers notice the broken connections at once.
void durable_world::fail_attempts_at(std::size_t entry, bool notify_peers)
{
    for (std::size_t caller_index = 0; caller_index < callers_.size();
         ++caller_index)
    {
        for (std::size_t i = 0; i < callers_[caller_index].attempts.size(); ++i)
        {
            const auto& one = callers_[caller_index].attempts[i];
            if (one.entry != entry || one.end != attempt_end::open)
                continue;
            time_.after(notify_peers ? time_.random_duration(milliseconds{3})
                                     : seconds{5},
                        [this, caller_index, i]
                        { fail_attempt(caller_index, i); });
        }
    }
}

void durable_world::kill_entry(std::size_t entry, bool notify_peers,
                               duration downtime)
{
    auto& site = *entries_[entry].entry;
    if (!site.node().is_up())
        return;
    site.end(notify_peers);
    fail_attempts_at(entry, notify_peers);
    time_.after(downtime,
                [&site]
                {
                    if (!site.node().is_up())
                        site.begin();
                });
}

void durable_world::kill_agent(std::size_t agent, bool notify_peers,
                               duration downtime)
{
    auto& site = *agents_[agent].agent;
    if (!site.node().is_up())
        return;
    if (notify_peers)
    {
        for (auto& entry : entries_)
            entry.entry->on_agent_ended(agent);
    }
    site.end();
    time_.after(downtime,
                [&site]
                {
                    if (!site.node().is_up())
                        site.begin();
                });
}

durable_world::caller durable_world::make_caller(std::size_t number,
                                                 std::uint32_t tasks,
                                                 milliseconds work,
                                                 duration timeout) const
{
    caller one;
    auto& job = one.job;
    job.id = 10 * (number + 1) + (settings_.journalled ? 1 : 0);
    job.queue = "queue-1";
    job.service = "service-1";
    job.durability_class =
        settings_.journalled ? durability::journalled : durability::in_memory;
    job.max_attempts = 3;
    job.steps.resize(1);
    job.steps[0].count = tasks;
    job.steps[0].needs = {1000, 10, 0};
    job.steps[0].estimate_ms = static_cast<std::uint32_t>(work.count());
    job.spec = std::to_string(work.count());
    one.timeout = timeout;
    return one;
}

void durable_world::plan_jobs(instant around)
{
    const auto jobs = 1 + time_.random() % 3;
    callers_.reserve(8);
    for (std::size_t i = 0; i < jobs; ++i)
    {
        const auto tasks = static_cast<std::uint32_t>(1 + time_.random() % 3);
        const milliseconds work{200 + time_.random() % 3800};
        const auto timeout =
            milliseconds{1500} + time_.random_duration(milliseconds{3500});
        callers_.push_back(make_caller(i, tasks, work, timeout));
        const auto at =
            i == 0 ? around - time_.random_duration(milliseconds{400})
                   : milliseconds{300} + time_.random_duration(seconds{2});
        time_.after(at, [this, i, entry = i == 0 ? 0 : random_entry()]
                    { submit(i, entry); });
    }
}

/// Schedules the first fault near the first job and the others around a
/// critical interval after it.
void durable_world::plan_faults(instant first)
{
    const auto count = 1 + time_.random() % 6;
    const auto agent = random_agent();
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto kind = time_.pick(fault_kinds);
        const bool other_durability =
            contains(settings_.journalled ? in_memory_only_faults
                                          : journalled_only_faults,
                     kind);
        auto at = first;
        if (i > 0)
            at += time_.pick(critical_intervals) - milliseconds{60} +
                  time_.random_duration(milliseconds{90});
        const auto victim = time_.chance(0.75) ? agent : random_agent();
        if (!other_durability && !settings_.excluded_faults.contains(kind))
            schedule_fault(kind, at, victim);
    }
}

void durable_world::schedule_fault(const std::string& kind, duration at,
                                   std::size_t victim)
{
    ++outcome_.faults[kind];
    const auto length = time_.pick(fault_lengths) - milliseconds{30} +
                        time_.random_duration(milliseconds{60});
    time_.after(at, [this, kind, victim, length]
                { apply_fault(kind, victim, length); });
}

void durable_world::apply_fault(const std::string& kind, std::size_t agent,
                                duration length)
{
    const auto entry = time_.chance(0.8) ? std::size_t{0} : random_entry();
    apply_fault(planned_fault{{}, kind, entry, agent, length});
}

/// Starts the server of an agent again.
void durable_world::restart_server(std::size_t agent, duration downtime,
                                   bool same_id)
{
    auto& site = agents_[agent];
    if (site.server->node().is_up())
        return;
    site.server->begin(same_id);
    site.agent->heartbeat();
    if (!same_id)
        return;
    const auto now = time_.loop.clock.now();
    site.server_restarted = now;
    site.server_downtime = downtime;
    if (site.agent->node().is_paused())
        ++outcome_.situations["returned_while_agent_still"];
}

void durable_world::pause(std::size_t agent, duration length)
{
    auto& site = agents_[agent];
    const auto since = time_.loop.clock.now() - site.server_restarted;
    if (site.server_restarted.count() != 0 && since < recent_restart &&
        site.server_downtime <= quick_restart &&
        !site.agent->node().is_paused())
        ++outcome_.situations["still_after_quick_return"];
    site.agent->node().pause(length);
}

void durable_world::apply_fault(const planned_fault& one)
{
    const auto& kind = one.kind;
    const auto entry = one.entry;
    const auto agent = one.agent;
    const auto length = one.length;
    auto& site = agents_[agent];
    auto& link = site.links[entry];
    const auto until = time_.loop.clock.now() + length;
    time_.trace(
        [&]
        {
            return "FAULT " + kind + ", entry " + std::to_string(entry) +
                   ", agent " + std::to_string(agent) + ", " +
                   std::to_string(
                       std::chrono::duration_cast<milliseconds>(length)
                           .count()) +
                   " ms";
        });
    const auto block = [&](direction way) {
        link.to(way).blocked_until =
            std::max(link.to(way).blocked_until, until);
    };
    if (kind == "entry_killed" || kind == "entry_dark")
        kill_entry(entry, kind == "entry_killed", length);
    else if (kind == "agent_killed" || kind == "agent_dark")
        kill_agent(agent, kind == "agent_killed", length);
    else if (kind == "entry_still")
        entries_[entry].entry->node().pause(length);
    else if (kind == "agent_still")
        pause(agent, length);
    else if (kind == "agent_stills")
    {
        // Repeated pauses, some milliseconds apart.
        duration at{};
        for (int i = 0; i < 4; ++i)
        {
            const auto next = length / 3 + time_.random_duration(length / 3);
            time_.after(at, [this, agent, next] { pause(agent, next); });
            at += next + milliseconds{2} +
                  time_.random_duration(milliseconds{40});
        }
    }
    else if (kind == "machine_suspended")
    {
        ++outcome_.situations["suspended"];
        site.agent->node().suspend(length);
        site.server->node().suspend(length);
    }
    else if (kind == "entry_suspended")
    {
        ++outcome_.situations["suspended"];
        entries_[entry].entry->node().suspend(length);
    }
    else if (kind == "server_still")
        site.server->node().pause(length);
    else if (kind == "answers_shut" || kind == "orders_shut")
        block(kind == "orders_shut" ? direction::to_agent
                                    : direction::to_entry);
    else if (kind == "link_shut")
    {
        block(direction::to_agent);
        block(direction::to_entry);
    }
    else if (kind == "link_slow")
    {
        for (auto& channel : link.channels)
            channel.delay =
                milliseconds{5} + time_.random_duration(milliseconds{200});
        time_.after(length,
                    [&link]
                    {
                        for (auto& channel : link.channels)
                            channel.delay = microseconds{300};
                    });
    }
    else if (kind == "link_reset")
        entries_[entry].entry->reset(agent);
    else if (kind == "server_silent")
    {
        site.server->link = {time_.random_duration(seconds{1}).count() / 2e9,
                             time_.random_duration(seconds{1}).count() / 3e9,
                             time_.random_duration(seconds{1}).count() / 3e9};
        time_.after(length, [&site] { site.server->link = {}; });
    }
    else if (kind == "server_ends" && site.server->node().is_up())
    {
        site.server->end();
        time_.after(length / 4, [this, agent, length, same = time_.chance(0.5)]
                    { restart_server(agent, length / 4, same); });
    }
    else if (kind == "server_again" && site.server->node().is_up())
    {
        site.server->end();
        time_.after(length, [this, agent, length]
                    { restart_server(agent, length, true); });
    }
    else if (kind == "store_shut")
        entries_[entry].store->blocked_until = until;
    else if (kind == "entries_cut")
        entries_cut_until_ = until;
    else if (kind == "hall_cut" || kind == "hall_refused")
    {
        // Isolates one entry with one agent.
        if (kind == "hall_refused")
            entries_refuse_until_ = until;
        if (entries_[entry].entry->node().is_up() &&
            entries_[entry].entry->ownership().jobs() != nullptr)
            ++outcome_.situations["owner_cut_off"];
        entries_cut_until_ = entries_[entry].store->blocked_until = until;
        for (std::size_t a = 0; a < agents_.size(); ++a)
        {
            for (std::size_t e = 0; e < entries_.size(); ++e)
            {
                if ((a == agent) == (e == entry))
                    continue;
                for (auto& channel : agents_[a].links[e].channels)
                    channel.blocked_until = until;
            }
        }
    }
    else if (kind == "caller_reset" || kind == "caller_leaves")
    {
        for (std::size_t caller_index = 0; caller_index < callers_.size();
             ++caller_index)
        {
            for (std::size_t i = 0; i < callers_[caller_index].attempts.size();
                 ++i)
            {
                const auto one = callers_[caller_index].attempts[i];
                auto& to = *entries_[one.entry].entry;
                if (one.end != attempt_end::open || one.entry != entry)
                    continue;
                callers_[caller_index].withdrawn |= kind == "caller_leaves";
                if (!settings_.journalled && to.node().process() == one.process)
                    to.node().deliver(
                        post_request_delay +
                            time_.random_duration(milliseconds{3}),
                        [&to, id = callers_[caller_index].job.id]
                        { to.withdraw(id); });
                fail_attempt(caller_index, i);
            }
        }
    }
}

/// Schedules the fixed jobs and faults of a scenario. Only message delays,
/// clock rates and the choice among equal servers remain random.
void durable_world::plan_scenario()
{
    callers_.reserve(settings_.jobs.size());
    for (const auto& planned : settings_.jobs)
    {
        const auto caller_index = callers_.size();
        callers_.push_back(make_caller(caller_index, planned.tasks,
                                       planned.work, planned.timeout));
        time_.after(planned.at, [this, caller_index, entry = planned.entry]
                    { submit(caller_index, entry); });
    }
    for (const auto& one : settings_.faults)
    {
        ++outcome_.faults[one.kind];
        time_.after(one.at, [this, one] { apply_fault(one); });
    }
}

durable_outcome durable_world::play()
{
    if (!settings_.jobs.empty())
    {
        plan_scenario();
        time_.loop.advance(settings_.length);
        return evaluate();
    }
    const auto first = milliseconds{500} + time_.random_duration(seconds{1});
    plan_jobs(first);
    plan_faults(first);
    time_.loop.advance(first +
                       (settings_.journalled ? seconds{8} : seconds{6}));
    return evaluate();
}

durable_outcome durable_world::evaluate()
{
    for (const auto& one : callers_)
    {
        outcome_.succeeded += one.has_answer ? 1 : 0;
        const bool all_refused =
            !one.attempts.empty() &&
            std::all_of(one.attempts.begin(), one.attempts.end(),
                        [](const attempt& tried)
                        { return tried.end == attempt_end::refused; });
        if (!all_refused)
            continue;
        ++outcome_.refused;
        checks_.refused(one.job.id);
    }
    for (const auto& site : agents_)
        outcome_.lapses += site.agent->stats().lapses;
    outcome_.violations = checks_.violations;
    outcome_.starts = checks_.starts;
    outcome_.lines = std::move(time_.lines);
    return std::move(outcome_);
}

} // namespace glenhollow
