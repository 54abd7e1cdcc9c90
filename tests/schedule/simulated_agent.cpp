#include "simulated_agent.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

/// Interval used in programs/durable_agent.cpp.
constexpr duration tick_interval = milliseconds{50};

} // namespace

simulated_agent::simulated_agent(simulated_time& time, simulated_server& server,
                                 std::size_t number, double rate)
    : time_(time), server_(server), number_(number),
      node_(time, "agent " + std::to_string(number), rate)
{
}

void simulated_agent::begin()
{
    node_.begin();
    sessions_.clear();
    owners_.clear();
    waiting_adoptions_.clear();
    urgent_report_scheduled_ = load_report_scheduled_ = false;
    time_.trace([&] { return node_.name() + " begins"; });
    port_ = std::make_unique<simulated_server_port>(time_, server_, node_);
    // The fencing token increases with time, as in the agent program.
    const auto token = static_cast<std::uint64_t>(
        1 + std::chrono::duration_cast<milliseconds>(time_.elapsed()).count());
    run_manager_settings limits;
    limits.parts = 1;
    manager_ = std::make_unique<run_manager>(node_.clock(), *port_,
                                             node_.delay(), token, limits);
    manager_->listen(this);
    manager_->begin();
    if (time_.chance(0.7)) // Restores the stored row of the last process.
        node_.later(milliseconds{2} + time_.random_duration(milliseconds{60}),
                    [this]
                    {
                        auto account = server_.account();
                        account.sequence = sequence_;
                        manager_->restored(account);
                    });
    node_.later(milliseconds{1}, [this] { tick(); });
}

void simulated_agent::end()
{
    if (!node_.is_up())
        return;
    time_.trace([&] { return node_.name() + " ends"; });
    node_.end();
    manager_.reset();
    port_.reset();
    sessions_.clear();
}

void simulated_agent::heartbeat()
{
    if (!node_.is_up() || !server_.node().is_up())
        return;
    auto account = server_.account();
    account.sequence = ++sequence_;
    node_.deliver(microseconds{300},
                  [this, account] { manager_->registered(account); });
}

run_manager_stats simulated_agent::stats() const
{
    return manager_ ? manager_->stats() : run_manager_stats{};
}

void simulated_agent::tick()
{
    manager_->tick();
    resume_waiting();
    send_due_reports();
    node_.later(tick_interval, [this] { tick(); });
}

simulated_agent::session* simulated_agent::find(std::uint64_t number)
{
    for (auto& [entry, one] : sessions_)
    {
        if (one.number == number)
            return &one;
    }
    return nullptr;
}

simulated_agent::session* simulated_agent::owner_of(lease_id lease)
{
    const auto known = owners_.find(lease);
    return known == owners_.end() ? nullptr : find(known->second);
}

attach_answer
simulated_agent::attach(std::size_t entry, std::uint64_t incarnation,
                        std::uint64_t number, report_receiver& receiver,
                        std::shared_ptr<simulated_connection> connection)
{
    auto& opened = sessions_[entry];
    const bool same = opened.incarnation == incarnation;
    if (same)
        manager_->refuse_waiting(opened.memory);
    else if (opened.incarnation != 0)
        manager_->expire(opened.memory);
    const auto memory = same ? opened.memory : memory_lease(entry_processes_++);
    opened = {};
    opened.entry = entry;
    opened.incarnation = incarnation;
    opened.memory = memory;
    opened.number = ++last_session_number_;
    opened.connection_number = number;
    opened.receiver = &receiver;
    opened.open = true;
    opened.connection = std::move(connection);
    return {opened.number, node_.process(), current_state(0, true)};
}

void simulated_agent::adopt(std::uint64_t session, part_epoch part,
                            std::function<void(const lease_account&)> done)
{
    auto* by = find(session);
    if (by == nullptr)
        return; // Another session has replaced it.
    const lease_id lease = part.part == memory_part ? by->memory : part.part;
    if (manager_->claim(lease, part.epoch))
        handle_adoption(*by, lease);
    if (manager_->are_runs_known())
        return send_account(session, part, done);
    waiting_adoptions_.push_back([this, session, part, done = std::move(done)]
                                 { send_account(session, part, done); });
}

void simulated_agent::send_account(
    std::uint64_t number, part_epoch part,
    const std::function<void(const lease_account&)>& done)
{
    auto* by = find(number);
    if (by == nullptr)
        return; // Another session has replaced it.
    const lease_id lease = part.part == memory_part ? by->memory : part.part;
    const auto known = manager_->adopt(lease, part.epoch);
    time_.trace(
        [&]
        {
            return node_.name() + " tells entry " + std::to_string(by->entry) +
                   " of " + std::to_string(known.runs.size()) + " runs, " +
                   std::to_string(known.ends.size()) + " ends" +
                   (manager_->is_polled() ? "" : ", before the first poll");
        });
    done(known);
}

void simulated_agent::resume_waiting()
{
    if (waiting_adoptions_.empty() || !manager_->are_runs_known())
        return;
    for (auto& one : std::exchange(waiting_adoptions_, {}))
        node_.later(duration{0}, std::move(one));
}

void simulated_agent::handle_adoption(session& owner, lease_id lease)
{
    owners_[lease] = owner.number;
    owner.status.urgent = true;
    schedule_urgent_report();
}

void simulated_agent::order(std::uint64_t number, order_batch batch)
{
    auto* by = find(number);
    if (by == nullptr)
        return; // Another session has replaced it.
    ++by->received;
    by->status.load = true;
    if (batch.leased_at.count() != 0)
        manager_->renew(by->memory, 0,
                        std::min(batch.leased_at, node_.clock().now()));
    for (const auto& end : batch.confirmed)
        manager_->confirm(end);
    for (const auto& size : batch.sizes)
        manager_->size(size, by->memory);
    for (const auto& run : batch.stops)
        manager_->stop(run);
    for (auto& start : batch.starts)
        manager_->order(std::move(start), by->memory);
    if (manager_->is_leased(by->memory))
        return schedule_load_report();
    by->status.urgent = true;
    schedule_urgent_report();
}

void simulated_agent::session_closed(std::uint64_t number)
{
    if (auto* from = find(number))
    {
        from->open = false;
        from->reporting = false;
    }
}

void simulated_agent::lease_changed(lease_id lease)
{
    if (auto* owner = owner_of(lease))
    {
        owner->status.urgent = true;
        schedule_urgent_report();
    }
}

void simulated_agent::run_started(lease_id lease)
{
    auto* owner = is_part_lease(lease) ? owner_of(lease) : nullptr;
    if (owner == nullptr)
        return;
    owner->status.load = true;
    schedule_load_report();
}

void simulated_agent::load_changed()
{
    resume_waiting();
    for (auto& [entry, one] : sessions_)
        one.status.load = true;
    schedule_load_report();
}

void simulated_agent::phase_changed()
{
    for (auto& [entry, one] : sessions_)
        one.status.urgent = true;
    schedule_urgent_report();
}

void simulated_agent::schedule_urgent_report()
{
    if (std::exchange(urgent_report_scheduled_, true))
        return;
    node_.later(duration{0},
                [this]
                {
                    urgent_report_scheduled_ = false;
                    send_due_reports();
                });
}

void simulated_agent::schedule_load_report()
{
    if (std::exchange(load_report_scheduled_, true))
        return;
    node_.later(pacing_.load_interval(open_sessions()),
                [this]
                {
                    load_report_scheduled_ = false;
                    send_due_reports();
                });
}

std::size_t simulated_agent::open_sessions() const
{
    return std::count_if(sessions_.begin(), sessions_.end(),
                         [](const auto& one) { return one.second.open; });
}

void simulated_agent::update_busy_sessions()
{
    auto leases = manager_->leases_in_use();
    for (const auto& [lease, owner] : owners_)
    {
        if (is_part_lease(lease))
            leases.insert(lease);
    }
    for (auto& [entry, one] : sessions_)
        one.status.busy = false;
    for (const auto lease : leases)
    {
        if (auto* owner = owner_of(lease))
            owner->status.busy = true;
    }
}

void simulated_agent::send_due_reports()
{
    update_busy_sessions();
    const auto open = open_sessions();
    for (auto& [entry, one] : sessions_)
    {
        if (!one.reporting && one.open &&
            pacing_.is_due(one.status, open, node_.clock().now()))
            report(one);
    }
}

std::vector<lease_id> simulated_agent::leases_of(const session& of) const
{
    std::vector<lease_id> leases;
    for (const auto& [lease, owner] : owners_)
    {
        if (owner == of.number)
            leases.push_back(lease);
    }
    return leases;
}

server_report simulated_agent::current_state(std::uint64_t received,
                                             bool has_account) const
{
    server_report state;
    state.account = manager_->account();
    state.load = manager_->load();
    state.received = received;
    state.has_account = has_account;
    state.incarnation_number = manager_->incarnation_number();
    return state;
}

void simulated_agent::report(session& to)
{
    if (!to.connection->open(direction::to_agent))
        return session_closed(to.number);
    const auto& account = manager_->account();
    const auto number = manager_->incarnation_number();
    const bool has_account = to.reported_incarnation != account.incarnation() ||
                             to.reported_number != number ||
                             to.reported_capacity != account.capacity;
    auto out = current_state(to.received, has_account);
    std::vector<run_end> ends;
    std::vector<run_ref> begun;
    for (const auto lease : leases_of(to))
    {
        const auto lease_ends = manager_->take_ends(lease);
        ends.insert(ends.end(), lease_ends.begin(), lease_ends.end());
        const auto lease_starts = manager_->take_started(lease);
        begun.insert(begun.end(), lease_starts.begin(), lease_starts.end());
    }
    out.next_within = pacing_.heartbeat(to.status, open_sessions());
    out.sent_at = node_.clock().now();
    to.reporting = true;
    to.reported_incarnation = account.incarnation();
    to.reported_number = number;
    to.reported_capacity = account.capacity;
    to.status.urgent = to.status.load = false;
    to.status.reported = out.sent_at;
    to.connection->send(
        direction::to_entry,
        [this, agent = number_, receiver = to.receiver,
         connection_number = to.connection_number, number = to.number,
         sent = out.sent_at, out, ends, begun, connection = to.connection]
        {
            const auto answer =
                receiver->on_report(agent, connection_number, out, ends, begun);
            connection->send(direction::to_agent, [this, number, sent, answer]
                             { handle_report_answer(number, sent, answer); });
        });
}

void simulated_agent::handle_report_answer(std::uint64_t number, instant sent,
                                           const report_answer& answer)
{
    for (const auto& end : answer.confirmed)
        manager_->confirm(end);
    auto* from = find(number);
    if (from == nullptr)
        return;
    from->reporting = false;
    from->status.requested_interval = answer.requested_interval;
    manager_->renew(from->memory, 0, sent);
    for (const auto& part : answer.renewed)
        manager_->renew(part.part, part.epoch, sent);
    if (from->status.urgent)
        schedule_urgent_report();
    else if (from->status.load)
        schedule_load_report();
}

} // namespace glenhollow
