#include "durable_world.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace glenhollow
{

namespace
{

/// A caller waits so long after a lost connection, a 504 or no answer.
constexpr duration caller_wait = milliseconds{1300};
/// A request takes so long at most; what its caller does next comes later.
constexpr duration after_request = milliseconds{3};
/// It comes so often at most.
constexpr std::size_t most_attempts = 3;
/// The times that safety rests on, and sums of them: faults strike around them.
constexpr std::array margins{
    milliseconds{0},    milliseconds{350},  milliseconds{600},
    milliseconds{800},  milliseconds{1000}, milliseconds{1200},
    milliseconds{1300}, milliseconds{1800}, milliseconds{2000},
    milliseconds{2800}, milliseconds{3400}};
/// Something is away, still or shut so long.
constexpr std::array lengths{
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
/// A server that is back under its id so soon may be missed by its agent.
constexpr duration quick_return = milliseconds{20};
/// An agent that stands still so soon after a server's return has hardly seen
/// the next life.
constexpr duration just_returned = milliseconds{400};
const std::vector<std::string> kept_alone{"store_shut", "entries_cut",
                                          "hall_cut"};
const std::vector<std::string> memory_alone{"caller_leaves"};

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
        logged_ = std::make_unique<story_log>(time_);
    build();
}

durable_world::~durable_world() = default;

void durable_world::build()
{
    for (std::size_t i = 0; i < settings_.agents; ++i)
    {
        agent_site site;
        const auto rate = time_.one_of(clock_rates);
        // Its clock may be 2% slow against that beside it.
        const auto slow = time_.chance(0.5) ? 0.98 : 1.0;
        site.server = std::make_unique<simulated_server>(
            time_, checks_, i, rate * slow, time_.chance(0.5));
        site.server->clock_falls_back = !settings_.jobs.empty();
        site.agent =
            std::make_unique<simulated_agent>(time_, *site.server, i, rate);
        site.links.resize(settings_.entries);
        agents_.push_back(std::move(site));
    }
    for (std::size_t i = 0; i < settings_.entries; ++i)
    {
        entry_site site;
        site.store = std::make_unique<simulated_store>(time_, rows_);
        site.entry = std::make_unique<simulated_entry>(
            time_, *site.store, i, time_.one_of(clock_rates));
        std::vector<simulated_entry::neighbour> known;
        for (auto& agent : agents_)
            known.push_back({agent.agent.get(), &agent.links[i]});
        site.entry->know(std::move(known));
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
        entries_[i].entry->know_entries(
            std::move(others),
            [this](std::size_t other)
            {
                return !entries_[other].entry->node().up() &&
                       time_.loop.clock.now() >= views_shut_;
            });
    }
    for (std::size_t i = 0; i < agents_.size(); ++i)
    {
        agents_[i].server->begin(false);
        agents_[i].agent->begin();
        heartbeats(i);
    }
    for (auto& site : entries_)
        site.entry->begin();
    if (settings_.kept)
        exchange_views();
}

void durable_world::heartbeats(std::size_t agent)
{
    agents_[agent].agent->heartbeat();
    time_.after(milliseconds{500} + time_.some(milliseconds{100}),
                [this, agent] { heartbeats(agent); });
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
            if (&to == &said || !said.node().up() || said.node().still() ||
                !to.node().up() || now < views_shut_)
                continue;
            const auto number =
                static_cast<std::size_t>(&from - entries_.data());
            auto view = said.seat().view();
            view.asked = to.node().clock().now();
            to.node().deliver(milliseconds{1}, [&to, number, view]
                              { to.seat().hear(number, view); });
        }
    }
    time_.after(milliseconds{100}, [this] { exchange_views(); });
}

void durable_world::submit(std::size_t who, std::size_t entry)
{
    auto& by = callers_[who];
    auto& to = *entries_[entry].entry;
    const auto which = by.attempts.size();
    if (which > 0)
        ++outcome_.resent;
    by.attempts.push_back({entry, to.node().process(), attempt_end::open});
    time_.note(
        [&]
        {
            return "caller of job " + std::to_string(by.job.id) + " asks " +
                   to.node().name() + ", time " + std::to_string(which + 1);
        });
    if (!to.node().up())
        return lose(who, which);
    auto job = by.job;
    job.accepted_ms = simulated_wall_ms(time_);
    job.objective_ms = job.accepted_ms + 1500;
    const auto patience =
        std::chrono::duration_cast<milliseconds>(by.patience).count();
    job.expiry_ms = settings_.kept ? 0 : job.accepted_ms + patience;
    to.node().deliver(microseconds{300} + time_.some(milliseconds{2}),
                      [this, who, which, job, &to]
                      {
                          to.submit(job,
                                    [this, who, which](const job_reply& got)
                                    {
                                        time_.after(microseconds{300},
                                                    [this, who, which, got] {
                                                        reply(who, which, got);
                                                    });
                                    });
                      });
}

void durable_world::reply(std::size_t who, std::size_t which,
                          const job_reply& got)
{
    auto& by = callers_[who];
    auto& one = by.attempts[which];
    if (one.end != attempt_end::open)
        return;
    if (got.outcome == job_outcome::refused)
    {
        one.end = attempt_end::refused;
        if (settings_.kept) // By an entry that does not own its part.
            come_again(who);
        return;
    }
    if (got.outcome != job_outcome::done)
        return lose(who, which);
    one.end = attempt_end::answered;
    by.served = true;
}

/// It has no answer and comes again, unless it has left.
void durable_world::lose(std::size_t who, std::size_t which)
{
    auto& one = callers_[who].attempts[which];
    if (one.end != attempt_end::open)
        return;
    one.end = attempt_end::lost;
    come_again(who);
}

void durable_world::come_again(std::size_t who)
{
    const auto& by = callers_[who];
    if (by.left || by.served || by.attempts.size() >= most_attempts)
        return;
    time_.after(caller_wait,
                [this, who, entry = any_entry()]
                {
                    const auto& now = callers_[who];
                    if (!now.left && !now.served)
                        submit(who, entry);
                });
}

/// @param told Whether callers hear at once that their connections are gone.
void durable_world::lose_all_at(std::size_t entry, bool told)
{
    for (std::size_t who = 0; who < callers_.size(); ++who)
    {
        for (std::size_t i = 0; i < callers_[who].attempts.size(); ++i)
        {
            const auto& one = callers_[who].attempts[i];
            if (one.entry != entry || one.end != attempt_end::open)
                continue;
            time_.after(told ? time_.some(milliseconds{3}) : seconds{5},
                        [this, who, i] { lose(who, i); });
        }
    }
}

void durable_world::kill_entry(std::size_t entry, bool told, duration away)
{
    auto& site = *entries_[entry].entry;
    if (!site.node().up())
        return;
    site.end(told);
    lose_all_at(entry, told);
    time_.after(away,
                [&site]
                {
                    if (!site.node().up())
                        site.begin();
                });
}

void durable_world::kill_agent(std::size_t agent, bool told, duration away)
{
    auto& site = *agents_[agent].agent;
    if (!site.node().up())
        return;
    if (told)
    {
        for (auto& entry : entries_)
            entry.entry->told_ended(agent);
    }
    site.end();
    time_.after(away,
                [&site]
                {
                    if (!site.node().up())
                        site.begin();
                });
}

durable_world::caller durable_world::caller_of(std::size_t number,
                                               std::uint32_t tasks,
                                               milliseconds work,
                                               duration patience) const
{
    caller one;
    auto& job = one.job;
    job.id = 10 * (number + 1) + (settings_.kept ? 1 : 0);
    job.queue = "queue-1";
    job.service = "service-1";
    job.durability_class =
        settings_.kept ? durability::journalled : durability::in_memory;
    job.max_attempts = 3;
    job.steps.resize(1);
    job.steps[0].count = tasks;
    job.steps[0].needs = {1000, 10, 0};
    job.steps[0].estimate_ms = static_cast<std::uint32_t>(work.count());
    job.spec = std::to_string(work.count());
    one.patience = patience;
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
        const auto patience =
            milliseconds{1500} + time_.some(milliseconds{3500});
        callers_.push_back(caller_of(i, tasks, work, patience));
        const auto at = i == 0 ? around - time_.some(milliseconds{400})
                               : milliseconds{300} + time_.some(seconds{2});
        time_.after(at, [this, i, entry = i == 0 ? 0 : any_entry()]
                    { submit(i, entry); });
    }
}

/// The first fault strikes an entry, a caller or an agent of the first job;
/// the others around a margin after it.
void durable_world::plan_faults(instant first)
{
    const auto count = 1 + time_.random() % 6;
    const auto agent = any_agent();
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto kind = time_.one_of(fault_kinds);
        const bool of_other =
            contains(settings_.kept ? memory_alone : kept_alone, kind);
        auto at = first;
        if (i > 0)
            at += time_.one_of(margins) - milliseconds{60} +
                  time_.some(milliseconds{90});
        const auto victim = time_.chance(0.75) ? agent : any_agent();
        if (!of_other && !settings_.without.contains(kind))
            fault(kind, at, victim);
    }
}

void durable_world::fault(const std::string& kind, duration at,
                          std::size_t victim)
{
    ++outcome_.faults[kind];
    const auto length =
        time_.one_of(lengths) - milliseconds{30} + time_.some(milliseconds{60});
    time_.after(at,
                [this, kind, victim, length] { strike(kind, victim, length); });
}

void durable_world::strike(const std::string& kind, std::size_t agent,
                           duration length)
{
    const auto entry = time_.chance(0.8) ? std::size_t{0} : any_entry();
    strike(planned_fault{{}, kind, entry, agent, length});
}

/// The server of an agent ends and begins again.
void durable_world::return_server(std::size_t agent, duration away,
                                  bool same_id)
{
    auto& site = agents_[agent];
    if (site.server->node().up())
        return;
    site.server->begin(same_id);
    site.agent->heartbeat();
    if (!same_id)
        return;
    const auto now = time_.loop.clock.now();
    site.server_returned = now;
    site.server_away = away;
    if (site.agent->node().still())
        ++outcome_.situations["returned_while_agent_still"];
}

void durable_world::stand_still(std::size_t agent, duration length)
{
    auto& site = agents_[agent];
    const auto since = time_.loop.clock.now() - site.server_returned;
    if (site.server_returned.count() != 0 && since < just_returned &&
        site.server_away <= quick_return && !site.agent->node().still())
        ++outcome_.situations["still_after_quick_return"];
    site.agent->node().stand_still(length);
}

void durable_world::strike(const planned_fault& one)
{
    const auto& kind = one.kind;
    const auto entry = one.entry;
    const auto agent = one.agent;
    const auto length = one.length;
    auto& site = agents_[agent];
    auto& link = site.links[entry];
    const auto until = time_.loop.clock.now() + length;
    time_.note(
        [&]
        {
            return "FAULT " + kind + ", entry " + std::to_string(entry) +
                   ", agent " + std::to_string(agent) + ", " +
                   std::to_string(
                       std::chrono::duration_cast<milliseconds>(length)
                           .count()) +
                   " ms";
        });
    const auto shut = [&](direction way)
    { link.to(way).shut_until = std::max(link.to(way).shut_until, until); };
    if (kind == "entry_killed" || kind == "entry_dark")
        kill_entry(entry, kind == "entry_killed", length);
    else if (kind == "agent_killed" || kind == "agent_dark")
        kill_agent(agent, kind == "agent_killed", length);
    else if (kind == "entry_still")
        entries_[entry].entry->node().stand_still(length);
    else if (kind == "agent_still")
        stand_still(agent, length);
    else if (kind == "agent_stills")
    {
        // Again and again, with some ms between.
        duration at{};
        for (int i = 0; i < 4; ++i)
        {
            const auto next = length / 3 + time_.some(length / 3);
            time_.after(at, [this, agent, next] { stand_still(agent, next); });
            at += next + milliseconds{2} + time_.some(milliseconds{40});
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
        site.server->node().stand_still(length);
    else if (kind == "answers_shut" || kind == "orders_shut")
        shut(kind == "orders_shut" ? direction::to_agent : direction::to_entry);
    else if (kind == "link_shut")
    {
        shut(direction::to_agent);
        shut(direction::to_entry);
    }
    else if (kind == "link_slow")
    {
        for (auto& lane : link.lanes)
            lane.delay = milliseconds{5} + time_.some(milliseconds{200});
        time_.after(length,
                    [&link]
                    {
                        for (auto& lane : link.lanes)
                            lane.delay = microseconds{300};
                    });
    }
    else if (kind == "link_reset")
        entries_[entry].entry->reset(agent);
    else if (kind == "server_silent")
    {
        site.server->link = {time_.some(seconds{1}).count() / 2e9,
                             time_.some(seconds{1}).count() / 3e9,
                             time_.some(seconds{1}).count() / 3e9};
        time_.after(length, [&site] { site.server->link = {}; });
    }
    else if (kind == "server_ends" && site.server->node().up())
    {
        site.server->end();
        time_.after(length / 4, [this, agent, length, same = time_.chance(0.5)]
                    { return_server(agent, length / 4, same); });
    }
    else if (kind == "server_again" && site.server->node().up())
    {
        site.server->end();
        time_.after(length, [this, agent, length]
                    { return_server(agent, length, true); });
    }
    else if (kind == "store_shut")
        entries_[entry].store->shut_until = until;
    else if (kind == "entries_cut")
        views_shut_ = until;
    else if (kind == "hall_cut")
    {
        // An entry and an agent see each other and nothing else.
        if (entries_[entry].entry->node().up() &&
            entries_[entry].entry->seat().jobs() != nullptr)
            ++outcome_.situations["owner_cut_off"];
        views_shut_ = entries_[entry].store->shut_until = until;
        for (std::size_t a = 0; a < agents_.size(); ++a)
        {
            for (std::size_t e = 0; e < entries_.size(); ++e)
            {
                if ((a == agent) == (e == entry))
                    continue;
                for (auto& lane : agents_[a].links[e].lanes)
                    lane.shut_until = until;
            }
        }
    }
    else if (kind == "caller_reset" || kind == "caller_leaves")
    {
        for (std::size_t who = 0; who < callers_.size(); ++who)
        {
            for (std::size_t i = 0; i < callers_[who].attempts.size(); ++i)
            {
                const auto one = callers_[who].attempts[i];
                auto& to = *entries_[one.entry].entry;
                if (one.end != attempt_end::open || one.entry != entry)
                    continue;
                callers_[who].left |= kind == "caller_leaves";
                if (!settings_.kept && to.node().process() == one.process)
                    to.node().deliver(
                        after_request + time_.some(milliseconds{3}),
                        [&to, id = callers_[who].job.id] { to.withdraw(id); });
                lose(who, i);
            }
        }
    }
}

/// Nothing of it is drawn but delays of some hundred microseconds, rates of
/// clocks and the choice among equal places.
void durable_world::plan_scenario()
{
    callers_.reserve(settings_.jobs.size());
    for (const auto& planned : settings_.jobs)
    {
        const auto who = callers_.size();
        callers_.push_back(
            caller_of(who, planned.tasks, planned.work, planned.patience));
        time_.after(planned.at,
                    [this, who, entry = planned.entry] { submit(who, entry); });
    }
    for (const auto& one : settings_.faults)
    {
        ++outcome_.faults[one.kind];
        time_.after(one.at, [this, one] { strike(one); });
    }
}

durable_outcome durable_world::play()
{
    if (!settings_.jobs.empty())
    {
        plan_scenario();
        time_.loop.advance(settings_.length);
        return judge();
    }
    const auto first = milliseconds{500} + time_.some(seconds{1});
    plan_jobs(first);
    plan_faults(first);
    time_.loop.advance(first + (settings_.kept ? seconds{8} : seconds{6}));
    return judge();
}

durable_outcome durable_world::judge()
{
    for (const auto& one : callers_)
    {
        outcome_.succeeded += one.served ? 1 : 0;
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
    outcome_.broken = checks_.broken;
    outcome_.starts = checks_.starts;
    outcome_.lines = std::move(time_.lines);
    return std::move(outcome_);
}

} // namespace glenhollow
