#include "glenhollow/entry/agent_links.hpp"

#include "glenhollow/configuration/configuration_wire.hpp"
#include "glenhollow/rpc/rpc_connection.hpp"
#include "glenhollow/telemetry/log.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

#include <boost/asio/post.hpp>

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace glenhollow
{

using boost::asio::ip::tcp;

namespace
{

constexpr std::string_view unknown_name = "?";

/// Divisor of the exponential smoothing of a link's round-trip time.
constexpr int delay_smoothing_divisor = 8;

/// Moves all pending acknowledgements into a message.
template <class Request>
void write_acknowledgements(Request& request,
                            std::vector<task_key>& pending_acks)
{
    const auto keys = std::exchange(pending_acks, {});
    auto list = request.initAcknowledged(static_cast<unsigned>(keys.size()));
    for (unsigned i = 0; i < keys.size(); ++i)
    {
        list[i].setSequence(keys[i].sequence);
        list[i].setTask(keys[i].task);
    }
}

task_end to_end(wire::TaskResult::Reader result)
{
    task_end end;
    end.key = {result.getKey().getSequence(), result.getKey().getTask()};
    end.end.what = static_cast<verdict>(result.getVerdict());
    end.end.why = from_index<reason>(result.getReason(), reason::internal);
    const auto body = result.getBody().asChars();
    end.body.assign(body.begin(), body.size());
    end.wait_micros = result.getWaitMicros();
    end.run_micros = result.getRunMicros();
    return end;
}

} // namespace

/// A load report as received over a link.
struct agent_links::agent_load
{
    load_report report;     ///< All fields but those that the link computes.
    std::int64_t clock = 0; ///< Clock of the agent, ns.
    std::uint64_t received = 0;       ///< Starts received over this connection.
    std::uint64_t config_version = 0; ///< Version in force at the agent.

    /// @return The load report of a wire message.
    static agent_load from(wire::Load::Reader load)
    {
        agent_load converted;
        converted.report.slots = static_cast<std::int32_t>(load.getSlots());
        converted.report.busy =
            static_cast<std::int32_t>(load.getRunning() + load.getQueued());
        converted.report.links = static_cast<std::int32_t>(load.getLinks());
        converted.report.draining = load.getDraining();
        converted.report.shunned = load.getShunned();
        converted.clock = load.getClock();
        converted.received = load.getReceived();
        converted.config_version = load.getConfigVersion();
        return converted;
    }
};

/// One link and its starts that have not ended.
struct agent_links::link
{
    /// A start that was sent.
    struct sent_start
    {
        outgoing_start start; ///< Kept to resend it.
        instant begin_by{};   ///< Latest begin on the agent's clock.
        instant sent{};       ///< Time of sending on the entry's clock.
    };

    /// State that lasts as long as one connection.
    struct connection
    {
        connection(tcp::socket socket, stream_stats& bytes)
            : rpc(std::move(socket), bytes),
              agent(rpc.bootstrap().castAs<wire::Agent>())
        {
        }

        rpc_connection rpc;        ///< The RPC system.
        wire::Agent::Client agent; ///< Its bootstrap interface.
        /// Set once hello is answered.
        kj::Maybe<wire::AgentSession::Client> session;
        background_tasks calls; ///< Calls in flight.
    };

    runner_index index = 0;       ///< Index of the runner.
    member agent;                 ///< The VM of the agent.
    bool listed = true;           ///< The agent is in the set of agents.
    instant unlisted_since{};     ///< Time of its removal from the set.
    std::uint64_t generation = 0; ///< Identifies the current connection.
    kj::Own<connection> current;  ///< Null while disconnected.
    bool connecting = false;      ///< A connection attempt is in progress.
    bool up = false;              ///< Hello was answered.
    /// Incarnation of the agent; 0 before hello.
    std::uint64_t incarnation = 0;
    std::int64_t agent_clock = 0; ///< Last reading of the agent's clock, ns.
    instant agent_clock_at{};     ///< Arrival time of that reading.
    /// Starts without an end.
    std::unordered_map<task_key, sent_start, task_key_hash> outstanding;
    std::vector<task_key> pending_acks; ///< Sent with the next message.
    std::uint64_t sent = 0;             ///< Starts sent over the connection.
    duration delay{};                   ///< Smoothed round-trip time.
    instant last_received{};            ///< Time of the last receipt.
    instant last_sent{};                ///< Time of the last send.
    instant ping_sent{};              ///< Send time of the pending ping, or 0.
    instant broken_since{};           ///< Time of the break, or 0.
    instant retry_at{};               ///< Time of the next reconnect.
    duration backoff{};               ///< Delay of the next reconnect.
    bool configuring = false;         ///< A configuration push is in flight.
    std::uint64_t config_version = 0; ///< Version in force at the agent.
    std::uint64_t started = 0;        ///< Total starts sent.
    std::uint64_t refused = 0;        ///< Total starts answered not_run.

    /// @return A time on the agent's clock, at or before `within` from now: the
    /// reading of that clock was taken before it arrived here.
    instant on_agent_clock(instant now, duration within) const
    {
        return instant{agent_clock} + (now - agent_clock_at) + within;
    }
};

agent_links::agent_links(boost::asio::io_context& io, const clock_source& clock,
                         const agent_links_settings& settings)
    : io_(io), clock_(clock), settings_(settings)
{
}

agent_links::~agent_links() = default;

void agent_links::attach(coordinator& owner, std::function<void()> on_events)
{
    owner_ = &owner;
    on_events_ = std::move(on_events);
}

runner_index agent_links::allocate_index()
{
    const instant now = clock_.now();
    for (const auto& known : links_)
    {
        if (!known->listed && known->outstanding.empty() &&
            now - known->unlisted_since > settings_.departed_link_retention)
            return known->index;
    }
    links_.push_back(std::make_unique<link>());
    links_.back()->index = static_cast<runner_index>(links_.size() - 1);
    return links_.back()->index;
}

void agent_links::set_agents(const std::vector<member>& agents)
{
    std::map<std::string, const member*> listed;
    for (const auto& agent : agents)
        listed.emplace(agent.name, &agent);
    for (auto known = by_name_.begin(); known != by_name_.end();)
    {
        auto& old = *links_[known->second];
        const auto found = listed.find(known->first);
        const bool same_address =
            found != listed.end() &&
            found->second->rpc.to_string() == old.agent.rpc.to_string();
        // A link to a removed agent stays until its tasks have ended.
        if (same_address || (found == listed.end() && !old.outstanding.empty()))
        {
            old.listed = found != listed.end();
            ++known;
            continue;
        }
        old.listed = false;
        old.unlisted_since = clock_.now();
        on_link_broken(old, old.generation);
        fail_outstanding(old, reason::link_broken);
        known = by_name_.erase(known);
    }
    for (const auto& [name, agent] : listed)
    {
        if (by_name_.contains(name))
            continue;
        const auto index = allocate_index();
        auto new_link = std::make_unique<link>();
        new_link->index = index;
        new_link->agent = *agent;
        new_link->backoff = settings_.initial_backoff;
        links_[index] = std::move(new_link);
        by_name_.emplace(name, index);
        connect(*links_[index]);
    }
}

void agent_links::connect(link& to)
{
    to.connecting = true;
    const std::uint64_t generation = ++last_generation_;
    to.generation = generation;
    connect_rpc(io_, to.agent.rpc,
                [this, index = to.index, generation](connect_result got)
                {
                    auto& to = *links_[index];
                    if (to.generation != generation)
                        return;
                    if (!got.socket)
                        return on_link_broken(to, generation);
                    on_connected(to, std::move(*got.socket));
                });
}

void agent_links::on_connected(link& to, tcp::socket socket)
{
    to.current = kj::heap<link::connection>(std::move(socket), bytes_);
    to.last_received = to.last_sent = clock_.now();
    to.ping_sent = to.last_sent;
    // An idle link has no pending call that would fail on a disconnect.
    to.current->calls.add(to.current->rpc.on_disconnect().then(
        [this, index = to.index, generation = to.generation]
        { on_link_broken(*links_[index], generation); }));
    send_hello(to);
}

void agent_links::send_hello(link& to)
{
    auto request = to.current->agent.helloRequest();
    request.setEntry(settings_.entry);
    request.setHall(settings_.hall);
    request.setIncarnation(settings_.incarnation);
    request.setShard(settings_.shard);
    request.setGeneration(to.generation);
    stats_.hellos += 2;
    const auto index = to.index;
    const auto generation = to.generation;
    to.current->calls.add(request.send().then(
        [this, index, generation](auto&& reply)
        {
            auto& from = *links_[index];
            if (from.generation != generation)
                return;
            from.connecting = false;
            from.up = true;
            from.ping_sent = {};
            from.sent = 0;
            from.backoff = settings_.initial_backoff;
            from.broken_since = {};
            from.current->session = reply.getSession();
            const bool restarted = from.incarnation != 0 &&
                                   from.incarnation != reply.getIncarnation();
            // A new agent incarnation has no record of earlier starts.
            if (restarted)
                fail_outstanding(from, reason::agent_restarted);
            from.incarnation = reply.getIncarnation();
            const auto report =
                update_load(from, agent_load::from(reply.getLoad()));
            owner_->link_up(index, from.agent.hall == settings_.hall, report);
            const auto drained = drains_.find(from.agent.name);
            owner_->set_drained(index, drained != drains_.end(),
                                drained != drains_.end() ? drained->second
                                                         : reason::none);
            log_change(
                log_level::info, "link_up",
                {{"runner", from.agent.name}, {"shard", settings_.shard}});
            std::vector<outgoing_start> resent_starts;
            for (auto& [key, sent] : from.outstanding)
                resent_starts.push_back(sent.start);
            stats_.repeated_starts += resent_starts.size();
            for (auto& start : resent_starts)
                send_starts(from, {std::move(start)});
            on_events_();
        },
        [this, index, generation](kj::Exception&&)
        { on_link_broken(*links_[index], generation); }));
}

void agent_links::on_link_broken(link& target, std::uint64_t generation)
{
    if (target.generation != generation)
        return;
    const bool was_up = target.up;
    target.up = target.connecting = target.configuring = false;
    target.generation = ++last_generation_;
    target.ping_sent = {};
    // The connection is destroyed in the next turn of the loop, since this may
    // run inside one of its calls.
    if (target.current)
    {
        auto old =
            std::make_shared<kj::Own<link::connection>>(kj::mv(target.current));
        boost::asio::post(io_, [old] { *old = nullptr; });
    }
    const instant now = clock_.now();
    if (target.broken_since == instant{})
        target.broken_since = now;
    target.retry_at = now + target.backoff;
    target.backoff = std::min(target.backoff * 2, settings_.max_backoff);
    if (!was_up)
        return;
    ++stats_.breaks;
    log_change(log_level::warning, "link_broken",
               {{"runner", target.agent.name},
                {"shard", settings_.shard},
                {"outstanding_starts", target.outstanding.size()}});
    owner_->link_down(target.index);
    on_events_();
}

void agent_links::fail_outstanding(link& target, reason why)
{
    auto lost_starts = std::exchange(target.outstanding, {});
    for (auto& [key, sent] : lost_starts)
    {
        task_end end;
        end.key = key;
        end.end = {verdict::may_have_run, why};
        owner_->task_ended(target.index, std::move(end));
    }
    // An ended agent incarnation needs no acknowledgements.
    target.pending_acks.clear();
    if (!lost_starts.empty())
        on_events_();
}

load_report agent_links::update_load(link& from, const agent_load& load)
{
    const instant now = clock_.now();
    from.agent_clock = load.clock;
    from.agent_clock_at = now;
    from.last_received = now;
    from.config_version = load.config_version;
    if (from.config_version < configuration_.version())
        push_configuration(from);
    auto report = load.report;
    report.in_transit = static_cast<std::int32_t>(from.sent - load.received);
    report.delay = from.delay;
    return report;
}

void agent_links::send(runner_index runner, std::vector<outgoing_start> starts)
{
    auto& to = *links_[runner];
    const instant now = clock_.now();
    for (const auto& start : starts)
        to.outstanding[start.key] = {
            start, to.on_agent_clock(now, start.begin_within), now};
    // A message has tasks of one job only, because its reply is sent when all
    // of them have ended.
    std::vector<outgoing_start> group;
    for (auto& start : starts)
    {
        const bool full = group.size() >= settings_.starts_per_call;
        const bool different_job =
            !group.empty() && group.back().key.sequence != start.key.sequence;
        if (full || different_job)
            send_starts(to, std::exchange(group, {}));
        group.push_back(std::move(start));
    }
    send_starts(to, std::move(group));
}

void agent_links::send_starts(link& to, std::vector<outgoing_start> starts)
{
    // Starts of a link that has just broken are resent once it reconnects.
    if (!to.up)
        return;
    auto request = KJ_ASSERT_NONNULL(to.current->session).startRequest();
    auto list = request.initStarts(static_cast<unsigned>(starts.size()));
    for (unsigned i = 0; i < starts.size(); ++i)
    {
        const auto& start = starts[i];
        auto out = list[i];
        out.initKey().setSequence(start.key.sequence);
        out.getKey().setTask(start.key.task);
        out.setBeginBy(to.outstanding.at(start.key).begin_by.count());
        out.setTeam(start.team);
        out.setTraceparent(start.traceparent);
        out.setPayload(
            kj::ArrayPtr<const char>(start.payload.data(), start.payload.size())
                .asBytes());
        out.setBodyHash(start.body_hash);
        out.setJobTasks(start.job_tasks);
        out.setRank(static_cast<float>(start.rank));
    }
    write_acknowledgements(request, to.pending_acks);
    to.sent += starts.size();
    to.started += starts.size();
    to.last_sent = clock_.now();
    ++stats_.start_calls;
    stats_.starts += starts.size();
    const auto index = to.index;
    const auto generation = to.generation;
    to.current->calls.add(request.send().then(
        [this, index, generation](auto&& reply)
        {
            auto& from = *links_[index];
            if (from.generation != generation)
                return;
            std::vector<task_end> ends;
            for (const auto result : reply.getResults())
                ends.push_back(to_end(result));
            on_reply(from, generation, std::move(ends),
                     update_load(from, agent_load::from(reply.getLoad())));
        },
        [this, index, generation](kj::Exception&&)
        { on_link_broken(*links_[index], generation); }));
}

void agent_links::on_reply(link& from, std::uint64_t generation,
                           std::vector<task_end> ends,
                           const load_report& report)
{
    ++stats_.replies;
    from.ping_sent = {};
    const instant now = clock_.now();
    for (auto& end : ends)
    {
        const auto sent = from.outstanding.find(end.key);
        // A start that was resent may be answered twice; only the first answer
        // counts.
        if (sent == from.outstanding.end())
            continue;
        if (end.end.what == verdict::not_run)
        {
            ++from.refused;
            ++stats_.refused_starts;
        }
        const auto agent_time =
            microseconds{end.wait_micros} + microseconds{end.run_micros};
        const duration took = now - sent->second.sent - agent_time;
        from.delay += (std::max<duration>(took, {}) - from.delay) /
                      delay_smoothing_divisor;
        from.outstanding.erase(sent);
        owner_->task_ended(from.index, std::move(end));
        if (from.generation != generation)
            break;
    }
    owner_->report_load(from.index, report);
    on_events_();
}

void agent_links::acknowledge(runner_index runner,
                              const std::vector<task_key>& keys)
{
    auto& pending_acks = links_[runner]->pending_acks;
    pending_acks.insert(pending_acks.end(), keys.begin(), keys.end());
}

void agent_links::ping(link& to)
{
    auto request = KJ_ASSERT_NONNULL(to.current->session).pingRequest();
    write_acknowledgements(request, to.pending_acks);
    stats_.pings += 2;
    to.last_sent = to.ping_sent = clock_.now();
    const auto index = to.index;
    const auto generation = to.generation;
    to.current->calls.add(request.send().then(
        [this, index, generation](auto&& reply)
        {
            auto& from = *links_[index];
            if (from.generation != generation)
                return;
            from.ping_sent = {};
            owner_->report_load(
                index, update_load(from, agent_load::from(reply.getLoad())));
            on_events_();
        },
        [this, index, generation](kj::Exception&&)
        { on_link_broken(*links_[index], generation); }));
}

void agent_links::close()
{
    for (const auto& known : links_)
    {
        known->generation = ++last_generation_;
        known->current = nullptr;
    }
}

void agent_links::tick()
{
    const instant now = clock_.now();
    for (const auto& known : links_)
    {
        auto& target = *known;
        const bool awaiting_reply = target.ping_sent != instant{};
        if (awaiting_reply && (target.up || target.current) &&
            now - target.ping_sent > settings_.reply_timeout)
        {
            // Hello or ping timed out: the agent hangs or is unreachable.
            on_link_broken(target, target.generation);
            continue;
        }
        if (target.up && !awaiting_reply)
        {
            const bool silent =
                !target.outstanding.empty() &&
                now - target.last_received > settings_.probe_after &&
                now - target.last_sent > settings_.probe_after;
            const bool idle =
                now - target.last_received > settings_.heartbeat &&
                now - target.last_sent > settings_.heartbeat;
            if (silent || idle)
                ping(target);
        }
        if (!target.up && !target.outstanding.empty() &&
            target.broken_since != instant{} &&
            now - target.broken_since > settings_.resend_window)
            fail_outstanding(target, reason::link_broken);
        if (!target.up && !target.connecting && !target.current &&
            target.listed && now >= target.retry_at)
            connect(target);
    }
}

void agent_links::set_configuration(const configuration& newer)
{
    configuration_ = newer;
    for (const auto& known : links_)
    {
        if (known->up && known->config_version < newer.version())
            push_configuration(*known);
    }
}

void agent_links::push_configuration(link& to)
{
    // Only the first shard pushes, with one push in flight per link.
    if (to.configuring || settings_.shard != 0 || !to.current)
        return;
    to.configuring = true;
    stats_.configurations += 2;
    auto request = to.current->agent.configureRequest();
    fill(request.initConfiguration(), configuration_, to.config_version);
    const auto index = to.index;
    const auto generation = to.generation;
    to.current->calls.add(request.send().then(
        [this, index, generation](auto&& reply)
        {
            auto& from = *links_[index];
            if (from.generation != generation)
                return;
            from.configuring = false;
            from.config_version = reply.getVersion();
            if (from.config_version < configuration_.version())
                push_configuration(from);
        },
        [this, index, generation](kj::Exception&&)
        { on_link_broken(*links_[index], generation); }));
}

void agent_links::set_drains(const std::map<std::string, reason>& drains)
{
    drains_ = drains;
    for (const auto& [name, index] : by_name_)
    {
        const auto drained = drains_.find(name);
        if (drained != drains_.end())
            owner_->set_drained(index, true, drained->second);
        else
            owner_->set_drained(index, false, reason::operator_command);
    }
}

std::pair<std::uint64_t, std::string> agent_links::newest_agent() const
{
    std::pair<std::uint64_t, std::string> newest;
    for (const auto& [name, index] : by_name_)
    {
        if (links_[index]->up)
            newest = std::max(newest, {links_[index]->config_version, name});
    }
    return newest;
}

std::optional<runner_index> agent_links::index_of(const std::string& name) const
{
    const auto known = by_name_.find(name);
    if (known == by_name_.end())
        return std::nullopt;
    return known->second;
}

std::string agent_links::name_of(runner_index runner) const
{
    if (runner >= links_.size())
        return std::string(unknown_name);
    return links_[runner]->agent.name;
}

std::vector<runner_row> agent_links::rows() const
{
    std::vector<runner_row> rows;
    const auto& views = owner_->runners();
    for (const auto& [name, index] : by_name_)
    {
        const auto& known = *links_[index];
        runner_row row;
        row.name = name;
        row.hall = known.agent.hall;
        row.started = known.started;
        row.refused = known.refused;
        row.config_version = known.config_version;
        row.in_flight = static_cast<std::int32_t>(known.outstanding.size());
        row.state = "down";
        if (index < views.size())
        {
            const auto& view = views[index];
            row.slots = view.slots;
            row.state = !known.up       ? "down"
                        : view.draining ? "draining"
                        : view.shunned  ? "unreachable"
                        : view.ejected  ? "ejected"
                        : view.on_trial ? "on_trial"
                                        : "up";
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

void agent_links::apply(const agent_links_settings& settings)
{
    settings_.starts_per_call = settings.starts_per_call;
    settings_.heartbeat = settings.heartbeat;
    settings_.resend_window = settings.resend_window;
}

void agent_links::collect(metric_page& page) const
{
    constexpr std::string_view help = "Messages over agent links by kind";
    const auto add = [&](std::uint64_t value, std::string_view labels)
    {
        page.counter("link_messages_total", help, static_cast<double>(value),
                     labels);
    };
    add(stats_.start_calls, R"(kind="start",useful="1")");
    add(stats_.replies, R"(kind="result",useful="1")");
    add(stats_.pings, R"(kind="ping",useful="0")");
    add(stats_.hellos, R"(kind="hello",useful="0")");
    add(stats_.refused_starts, R"(kind="refused_start",useful="0")");
    add(stats_.repeated_starts, R"(kind="repeated_start",useful="0")");
    add(stats_.configurations, R"(kind="configuration",useful="0")");
    page.counter("link_breaks_total", "Links that broke",
                 static_cast<double>(stats_.breaks));
    page.counter("link_bytes_total", "Bytes over agent links by direction",
                 static_cast<double>(bytes_.bytes_in), R"(direction="in")");
    page.counter("link_bytes_total", "Bytes over agent links by direction",
                 static_cast<double>(bytes_.bytes_out), R"(direction="out")");
    std::size_t up = 0;
    for (const auto& known : links_)
        up += known->up ? 1 : 0;
    page.gauge("links_up", "Agent links that are up", static_cast<double>(up));
}

} // namespace glenhollow
