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

/// Weight of a new sample in a link's smoothed delay.
constexpr int delay_smoothing_divisor = 8;

/// Puts all waiting acknowledgements into a message.
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

/// A load as it came over a link.
struct agent_links::agent_load
{
    load_report report;               ///< But for what only the link knows.
    std::int64_t clock = 0;           ///< Of the agent, ns.
    std::uint64_t received = 0;       ///< Starts over this connection.
    std::uint64_t config_version = 0; ///< In force at the agent.

    /// @param load As it came.
    /// @return The same in our types.
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

/// One link with the starts that have no end yet.
struct agent_links::link
{
    /// A start that was sent.
    struct sent_start
    {
        outgoing_start start; ///< What was sent, to repeat it.
        instant begin_by{};   ///< On the agent's clock.
        instant sent{};       ///< On ours.
    };

    /// Everything that dies with the connection.
    struct connection
    {
        connection(tcp::socket socket, stream_stats& bytes)
            : rpc(std::move(socket), bytes),
              agent(rpc.bootstrap().castAs<wire::Agent>())
        {
        }

        rpc_connection rpc;                            ///< The RPC system.
        wire::Agent::Client agent;                     ///< Its bootstrap.
        kj::Maybe<wire::AgentSession::Client> session; ///< After hello.
        background_tasks calls;                        ///< In flight.
    };

    runner_index index = 0;        ///< Its place.
    member agent;                  ///< Whom it links to.
    bool listed = true;            ///< Still on the list.
    instant unlisted_since{};      ///< When it left the list.
    std::uint64_t generation = 0;  ///< Of the connection.
    kj::Own<connection> current;   ///< Null while there is none.
    bool connecting = false;       ///< A connection is being made.
    bool up = false;               ///< Hello was answered.
    std::uint64_t incarnation = 0; ///< Of the agent, 0 before hello.
    std::int64_t agent_clock = 0;  ///< Its last reading, ns.
    instant agent_clock_at{};      ///< When that came.
    std::unordered_map<task_key, sent_start, task_key_hash>
        outstanding;                    ///< Starts without an end.
    std::vector<task_key> pending_acks; ///< For the next message.
    std::uint64_t sent = 0;             ///< Starts sent over the connection.
    duration delay{};                   ///< Smoothed time there and back.
    instant last_received{};            ///< When the last message came.
    instant last_sent{};                ///< When the last message left.
    instant ping_sent{};                ///< Of the ping in flight, or 0.
    instant broken_since{};             ///< Of the break, or 0.
    instant retry_at{};                 ///< When to connect again.
    duration backoff{};                 ///< Before the next attempt.
    bool configuring = false;           ///< A configuration is on its way.
    std::uint64_t config_version = 0;   ///< In force at the agent.
    std::uint64_t started = 0;          ///< Starts sent ever.
    std::uint64_t refused = 0;          ///< Of them, answered not_run.

    /// @return A time on the agent's clock that is not after `within` from
    /// now, because its reading is older than its arrival here.
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
        // A link with tasks out there stays until they have ended.
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
    // An idle link has no call whose failure would tell.
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
            // Another incarnation knows nothing of what was sent before.
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

void agent_links::on_link_broken(link& at, std::uint64_t generation)
{
    if (at.generation != generation)
        return;
    const bool was_up = at.up;
    at.up = at.connecting = at.configuring = false;
    at.generation = ++last_generation_;
    at.ping_sent = {};
    // Calls in flight are dropped by the loop's next turn, not by themselves.
    if (at.current)
    {
        auto old =
            std::make_shared<kj::Own<link::connection>>(kj::mv(at.current));
        boost::asio::post(io_, [old] { *old = nullptr; });
    }
    const instant now = clock_.now();
    if (at.broken_since == instant{})
        at.broken_since = now;
    at.retry_at = now + at.backoff;
    at.backoff = std::min(at.backoff * 2, settings_.max_backoff);
    if (!was_up)
        return;
    ++stats_.breaks;
    log_change(log_level::warning, "link_broken",
               {{"runner", at.agent.name},
                {"shard", settings_.shard},
                {"outstanding_starts", at.outstanding.size()}});
    owner_->link_down(at.index);
    on_events_();
}

void agent_links::fail_outstanding(link& at, reason why)
{
    auto lost_starts = std::exchange(at.outstanding, {});
    for (auto& [key, sent] : lost_starts)
    {
        task_end end;
        end.key = key;
        end.end = {verdict::may_have_run, why};
        owner_->task_ended(at.index, std::move(end));
    }
    // Results of an incarnation that is gone need no acknowledgement.
    at.pending_acks.clear();
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
    // Only tasks of one job share a call: its answer waits for all of them.
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
    // A link that broke in this very turn repeats its starts when it is back.
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
        // An answer to a call before the break came with the repeat already.
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
        auto& at = *known;
        const bool awaiting_reply = at.ping_sent != instant{};
        if (awaiting_reply && (at.up || at.current) &&
            now - at.ping_sent > settings_.reply_timeout)
        {
            // Neither hello nor ping was answered: the agent hangs or is cut
            // off.
            on_link_broken(at, at.generation);
            continue;
        }
        if (at.up && !awaiting_reply)
        {
            const bool silent =
                !at.outstanding.empty() &&
                now - at.last_received > settings_.probe_after &&
                now - at.last_sent > settings_.probe_after;
            const bool idle = now - at.last_received > settings_.heartbeat &&
                              now - at.last_sent > settings_.heartbeat;
            if (silent || idle)
                ping(at);
        }
        if (!at.up && !at.outstanding.empty() && at.broken_since != instant{} &&
            now - at.broken_since > settings_.resend_window)
            fail_outstanding(at, reason::link_broken);
        if (!at.up && !at.connecting && !at.current && at.listed &&
            now >= at.retry_at)
            connect(at);
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
    // One shard of the entry is enough, and one message at a time.
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
    constexpr std::string_view help = "Messages over links by kind";
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
    page.counter("link_bytes_total", "Bytes over links",
                 static_cast<double>(bytes_.bytes_in), R"(direction="in")");
    page.counter("link_bytes_total", "Bytes over links",
                 static_cast<double>(bytes_.bytes_out), R"(direction="out")");
    std::size_t up = 0;
    for (const auto& known : links_)
        up += known->up ? 1 : 0;
    page.gauge("links_up", "Links to agents that are up",
               static_cast<double>(up));
}

} // namespace glenhollow
