#include "simulated_entry.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

/// Intervals used in durable_service.cpp.
constexpr duration tick_interval = milliseconds{50};
constexpr duration store_timeout = milliseconds{500};
/// Interval used in agent_sessions.cpp.
constexpr duration max_session_gap = seconds{5};

std::string agent_name(std::size_t agent)
{
    return "agent " + std::to_string(agent);
}

std::size_t agent_number(const std::string& name)
{
    return std::stoul(name.substr(name.find(' ')));
}

} // namespace

simulated_entry::simulated_entry(simulated_time& time, simulated_store& store,
                                 std::size_t number, double rate)
    : time_(time), number_(number),
      node_(time, "entry " + std::to_string(number), rate), store_(store)
{
    store_.caller = &node_;
}

simulated_entry::~simulated_entry() = default;

job_coordinator::dependencies simulated_entry::dependencies()
{
    return {node_.clock(),
            [this] { return simulated_wall_ms(time_); },
            *watched_,
            *dispatcher_,
            node_.delay(),
            [this](const std::string& agent) { return is_live(agent); }};
}

bool simulated_entry::is_live(const std::string& agent) const
{
    const auto known = silences_.find(agent);
    return known != silences_.end() &&
           node_.clock().now() - known->second.since <=
               job_coordinator_settings{}.agent_timeout;
}

void simulated_entry::begin()
{
    node_.begin();
    time_.trace([&] { return node_.name() + " begins"; });
    sessions_.clear();
    sessions_.resize(agents_.size());
    silences_.clear();
    dispatch_scheduled_ = false;
    watched_ =
        std::make_unique<monitored_store>(node_.clock(), store_, store_timeout);
    dispatcher_settings limits;
    limits.seed = time_.random();
    order_sender& sender = *this;
    task_source& tasks = *this;
    dispatcher_ =
        std::make_unique<dispatcher>(node_.clock(), sender, tasks, limits);
    auto jobs = memory_job_settings({});
    jobs.parts = 1;
    jobs.warm_up = milliseconds{500};
    memory_ = std::make_unique<job_coordinator>(dependencies(), jobs);
    simulated_ownership::dependencies context{
        dependencies(),
        [this]
        {
            std::set<std::string> all;
            for (std::size_t i = 0; i < agents_.size(); ++i)
                all.insert(agent_name(i));
            return all;
        },
        [this](part_epoch part)
        {
            for (std::size_t i = 0; i < sessions_.size(); ++i)
            {
                if (sessions_[i].attached)
                    adopt_at(i, part);
            }
        },
        [this] { dispatcher_->release(0); },
        refuses_connections_,
        others_};
    ownership_ = std::make_unique<simulated_ownership>(
        time_, std::move(context), number_, node_.process());
    node_.later(time_.random_duration(milliseconds{5}), [this] { tick(); });
}

void simulated_entry::end(bool notify_peers)
{
    if (!node_.is_up())
        return;
    time_.trace([&] { return node_.name() + " ends"; });
    for (std::size_t i = 0; i < sessions_.size(); ++i)
    {
        const auto& one = sessions_[i];
        if (notify_peers && one.connection &&
            one.connection->open(direction::to_entry))
            one.connection->close(
                direction::to_agent,
                [agent = agents_[i].agent, session = one.agent_session]
                { agent->session_closed(session); });
    }
    node_.end();
    ownership_.reset();
    memory_.reset();
    dispatcher_.reset();
    watched_.reset();
    sessions_.clear();
}

void simulated_entry::tick()
{
    for (std::size_t i = 0; i < sessions_.size(); ++i)
    {
        auto& one = sessions_[i];
        // The agent VM resets connections of an ended process.
        if (one.connection &&
            one.connection->has_restarted(direction::to_agent) &&
            agents_[i].agent->node().is_up() && agents_[i].link->passes(time_))
            connection_failed(i, false);
        if (!one.connection && !one.connecting &&
            node_.clock().now() >= one.retry_at)
            connect(i);
    }
    close_silent_sessions();
    ownership_->tick(watched_->reachable());
    check_agents();
    memory_->tick();
    schedule_dispatch();
    node_.later(tick_interval, [this] { tick(); });
}

/// Connects after a handshake in both directions; a paused process still
/// accepts connections.
void simulated_entry::connect(std::size_t agent)
{
    auto& one = sessions_[agent];
    one.connecting = true;
    auto* link = agents_[agent].link;
    const auto now = time_.loop.clock.now();
    auto open_at = now;
    for (auto& channel : link->channels)
        open_at = std::max(open_at, channel.blocked_until) + channel.delay;
    time_.after(open_at - now,
                [this, agent, mine = node_.process()]
                {
                    const auto there = agents_[agent].agent->node().process();
                    if (node_.process() != mine)
                        return;
                    node_.deliver(duration{0},
                                  [this, agent, there,
                                   is_up = agents_[agent].agent->node().is_up()]
                                  {
                                      auto& to = sessions_[agent];
                                      to.connecting = false;
                                      auto& node = agents_[agent].agent->node();
                                      if (!is_up || node.process() != there)
                                          return connection_failed(agent, true);
                                      connected(agent);
                                  });
                });
}

void simulated_entry::connected(std::size_t agent)
{
    auto& to = sessions_[agent];
    auto& with = *agents_[agent].agent;
    to.backoff.connected();
    to.connection = std::make_shared<simulated_connection>(
        time_, *agents_[agent].link, node_, with.node());
    to.number = ++last_session_number_;
    to.clock.reset();
    const agent_sessions_settings limits;
    to.silent_since =
        node_.clock().now() + limits.attach_timeout - limits.silence;
    to.connection->send(
        direction::to_agent,
        [this, agent, &with, number = to.number, connection = to.connection,
         incarnation = node_.process()]
        {
            const auto answer =
                with.attach(number_, incarnation, number, *this, connection);
            connection->send(direction::to_entry,
                             [this, agent, number, answer]
                             {
                                 if (sessions_[agent].number == number)
                                     attached(agent, answer);
                             });
        });
}

void simulated_entry::attached(std::size_t agent, const attach_answer& answer)
{
    auto& to = sessions_[agent];
    to.process = answer.process;
    to.agent_session = answer.session;
    to.attached = true;
    to.silent_since = node_.clock().now();
    time_.trace(
        [&] { return node_.name() + " has attached " + agent_name(agent); });
    dispatcher_->attached(agent_name(agent), answer.state);
    silences_[agent_name(agent)] = {node_.clock().now(), false, false};
    for (const auto& part : owned_parts())
        adopt_at(agent, part);
}

std::vector<part_epoch> simulated_entry::owned_parts() const
{
    std::vector<part_epoch> all;
    if (ownership_->jobs() != nullptr)
        all.push_back(ownership_->jobs()->epoch());
    all.push_back(memory_->epoch());
    return all;
}

std::vector<part_epoch> simulated_entry::renewed_parts() const
{
    std::vector<part_epoch> all;
    if (ownership_->is_valid())
        all.push_back(ownership_->jobs()->epoch());
    all.push_back(memory_->epoch());
    return all;
}

job_coordinator* simulated_entry::coordinator_of(part_number part)
{
    return part == memory_part ? memory_.get() : ownership_->jobs();
}

void simulated_entry::adopt_at(std::size_t agent, part_epoch part)
{
    const auto& at = sessions_[agent];
    at.connection->send(
        direction::to_agent,
        [this, agent, part, number = at.number, session = at.agent_session,
         connection = at.connection, with = agents_[agent].agent]
        {
            with->adopt(session, part,
                        [this, agent, part, number,
                         connection](const lease_account& account)
                        {
                            connection->send(
                                direction::to_entry,
                                [this, agent, part, number, account]
                                {
                                    if (sessions_[agent].number == number)
                                        adopted(agent, part, account);
                                });
                        });
        });
}

bool simulated_entry::is_account_complete(session& by)
{
    const bool same =
        std::exchange(by.accounted_process, by.process) == by.process &&
        by.process != 0;
    return same && node_.clock().now() - by.down_since < max_session_gap;
}

void simulated_entry::adopted(std::size_t agent, part_epoch part,
                              lease_account account)
{
    if (part.part == memory_part)
        account.complete = is_account_complete(sessions_[agent]);
    auto* jobs = coordinator_of(part.part);
    if (jobs == nullptr || jobs->epoch() != part)
        return;
    if (account.declined)
        return jobs->verify_ownership();
    dispatcher_->adopted(agent_name(agent), part.part);
    jobs->reconcile_agent(agent_name(agent), account);
    schedule_dispatch();
}

report_answer simulated_entry::on_report(std::size_t agent,
                                         std::uint64_t number,
                                         const server_report& report,
                                         const std::vector<run_end>& ends,
                                         const std::vector<run_ref>& begun)
{
    auto& from = sessions_[agent];
    const auto now = node_.clock().now();
    const auto name = agent_name(agent);
    if (from.number == number)
    {
        from.clock.on_report(report.sent_at, now);
        from.silent_since = silent_since(now, report.next_within);
        silences_[name] = {from.silent_since, false, false};
        dispatcher_->reported(name, report);
        for (const auto& run : begun)
        {
            if (auto* jobs = coordinator_of(run.in_memory() ? memory_part : 0))
                jobs->began(run);
        }
        for (const auto& end : ends)
        {
            const auto part = end.run.in_memory() ? memory_part : 0;
            if (auto* jobs = coordinator_of(part))
                jobs->ended(name, end);
        }
        schedule_dispatch();
    }
    return {renewed_parts(), dispatcher_->take_confirmed(name), {}};
}

void simulated_entry::send(const std::string& name, order_batch batch)
{
    const auto agent = agent_number(name);
    auto& to = sessions_[agent];
    if (!to.attached)
        return;
    const auto now = node_.clock().now();
    to.silent_since = std::min(to.silent_since, now);
    auto& since = silences_[name].since;
    since = std::min(since, now);
    if (!batch.starts.empty())
        batch.leased_at = to.clock.at(to.silent_since).value_or(instant{});
    for (const auto& start : batch.starts)
        time_.trace(
            [&]
            {
                return node_.name() + " orders " + run_checks::name(start.run) +
                       " at " + name;
            });
    for (const auto& run : batch.stops)
        time_.trace(
            [&] {
                return node_.name() + " stops " + run_checks::name(run) +
                       " at " + name;
            });
    to.connection->send(direction::to_agent, [with = agents_[agent].agent,
                                              session = to.agent_session, batch]
                        { with->order(session, batch); });
}

std::optional<run_order> simulated_entry::assign(const ready_task& task,
                                                 const std::string& agent)
{
    auto* jobs = coordinator_of(task.part);
    if (jobs == nullptr)
        return std::nullopt;
    return jobs->assign(task, agent);
}

/// Handles a failed connection or attempt to connect.
void simulated_entry::connection_failed(std::size_t agent, bool refused)
{
    auto& gone = sessions_[agent];
    gone.connection.reset();
    gone.number = 0;
    gone.retry_at =
        node_.clock().now() + gone.backoff.failed(node_.clock().now(), refused);
    if (!std::exchange(gone.attached, false))
        return;
    gone.down_since = std::min(node_.clock().now(), gone.silent_since);
    time_.trace([&]
                { return node_.name() + " has lost " + agent_name(agent); });
    dispatcher_->detached(agent_name(agent));
}

void simulated_entry::close_session(std::size_t agent)
{
    auto& one = sessions_[agent];
    one.connection->close(direction::to_agent, [with = agents_[agent].agent,
                                                session = one.agent_session]
                          { with->session_closed(session); });
    connection_failed(agent, false);
}

void simulated_entry::reset(std::size_t agent)
{
    if (!node_.is_up() || !sessions_[agent].connection)
        return;
    auto& one = sessions_[agent];
    time_.trace(
        [&] {
            return "network resets " + node_.name() + " to " +
                   agent_name(agent);
        });
    one.connection->reset();
    auto& with = *agents_[agent].agent;
    with.node().deliver(time_.random_duration(milliseconds{5}),
                        [&with, session = one.agent_session]
                        { with.session_closed(session); });
    node_.deliver(time_.random_duration(milliseconds{5}),
                  [this, agent, was = one.connection]
                  {
                      if (sessions_[agent].connection == was)
                          connection_failed(agent, false);
                  });
}

void simulated_entry::close_silent_sessions()
{
    const agent_sessions_settings limits;
    for (std::size_t i = 0; i < sessions_.size(); ++i)
    {
        const auto& one = sessions_[i];
        if (!one.connection)
            continue;
        if (one.connection->open(direction::to_entry) &&
            node_.clock().now() - one.silent_since > limits.silence)
            close_session(i);
    }
}

void simulated_entry::on_agent_ended(std::size_t agent)
{
    if (!node_.is_up() || !sessions_[agent].connection)
        return;
    const auto was = sessions_[agent].connection;
    was->close(direction::to_entry,
               [this, agent, was]
               {
                   if (sessions_[agent].connection == was)
                       connection_failed(agent, true);
               });
}

void simulated_entry::check_agents()
{
    const auto now = node_.clock().now();
    for (auto& [agent, silence] : silences_)
    {
        const auto length = now - silence.since;
        if (!silence.memory_ended && length > memory_agent_timeout)
        {
            silence.memory_ended = true;
            time_.trace(
                [&]
                { return node_.name() + " regards " + agent + " as lost"; });
            memory_->on_agent_lost(agent);
        }
        if (silence.parts_ended ||
            length <= job_coordinator_settings{}.agent_timeout)
            continue;
        silence.parts_ended = true;
        if (auto* part = ownership_->jobs())
            part->on_agent_lost(agent);
    }
}

void simulated_entry::schedule_dispatch()
{
    if (std::exchange(dispatch_scheduled_, true))
        return;
    node_.later(duration{0},
                [this]
                {
                    dispatch_scheduled_ = false;
                    dispatcher_->dispatch();
                });
}

void simulated_entry::submit(const job_definition& job, job_reply_handler done)
{
    time_.trace(
        [&]
        { return node_.name() + " receives job " + std::to_string(job.id); });
    auto* jobs = coordinator_of(
        job.durability_class == durability::in_memory ? memory_part : 0);
    if (jobs == nullptr)
        return done({job_outcome::refused, job_state::queued, seconds{1}});
    jobs->submit(job, std::move(done));
    schedule_dispatch();
}

void simulated_entry::withdraw(job_id id)
{
    time_.trace(
        [&] {
            return node_.name() + "'s caller of " + std::to_string(id) +
                   " left";
        });
    memory_->withdraw(id);
    schedule_dispatch();
}

} // namespace glenhollow
