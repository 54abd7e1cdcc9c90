#include "glenhollow/entry/peer_links.hpp"

#include "glenhollow/configuration/configuration_wire.hpp"
#include "glenhollow/core/once_handler.hpp"
#include "glenhollow/entry/peer_wire.hpp"
#include "glenhollow/rpc/rpc_connection.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace glenhollow
{

using boost::asio::ip::tcp;

/// One link to another entry.
struct peer_links::link
{
    /// State that is destroyed with the connection.
    struct connection
    {
        connection(tcp::socket socket, stream_stats& bytes)
            : rpc(std::move(socket), bytes),
              peer(rpc.bootstrap().castAs<wire::Peer>())
        {
        }

        rpc_connection rpc;      ///< RPC system on the socket.
        wire::Peer::Client peer; ///< Bootstrap capability of the peer.
        background_tasks calls;  ///< Calls in flight.
    };

    member entry;                 ///< The peer.
    std::uint64_t generation = 0; ///< Number of the connection.
    kj::Own<connection> current;  ///< Null while disconnected.
    bool connecting = false;      ///< A connection attempt is in progress.
    bool up = false;              ///< The peer has answered an exchange.
    bool exchanging = false;      ///< An exchange is in flight.
    std::shared_ptr<int> pending_calls = std::make_shared<int>(0);
    instant last_exchange{}; ///< Time the last exchange was sent.
    instant retry_at{};      ///< Time of the next connection attempt.
    duration backoff{};      ///< Delay after the next failure.
    peer_report report;      ///< Last report of the peer.
};

peer_links::peer_links(boost::asio::io_context& io, const clock_source& clock,
                       const peer_links_settings& settings)
    : io_(io), clock_(clock), settings_(settings)
{
}

peer_links::~peer_links() = default;

void peer_links::set_entries(const std::vector<member>& entries)
{
    std::map<std::string, const member*> listed;
    for (const auto& one : entries)
    {
        if (one.name != settings_.entry)
            listed.emplace(one.name, &one);
    }
    std::erase_if(links_,
                  [&](const auto& existing)
                  {
                      const auto listed_entry = listed.find(existing.first);
                      return listed_entry == listed.end() ||
                             listed_entry->second->rpc.to_string() !=
                                 existing.second->entry.rpc.to_string();
                  });
    for (const auto& [name, one] : listed)
    {
        if (links_.contains(name))
            continue;
        auto new_link = std::make_unique<link>();
        new_link->entry = *one;
        new_link->backoff = settings_.initial_backoff;
        auto& added = *links_.emplace(name, std::move(new_link)).first->second;
        connect(added);
    }
}

void peer_links::connect(link& peer_link)
{
    peer_link.connecting = true;
    const auto generation = peer_link.generation = ++last_generation_;
    connect_rpc(
        io_, peer_link.entry.rpc,
        [this, name = peer_link.entry.name, generation](connect_result attempt)
        {
            const auto found = links_.find(name);
            if (found == links_.end() ||
                found->second->generation != generation)
                return;
            auto& peer_link = *found->second;
            peer_link.connecting = false;
            if (!attempt.socket)
                return on_link_broken(peer_link, generation);
            on_connected(peer_link, std::move(*attempt.socket));
        });
}

void peer_links::on_connected(link& peer_link, tcp::socket socket)
{
    peer_link.current = kj::heap<link::connection>(std::move(socket), bytes_);
    const auto name = peer_link.entry.name;
    const auto generation = peer_link.generation;
    // An idle link has no call whose failure would show the disconnect.
    peer_link.current->calls.add(peer_link.current->rpc.on_disconnect().then(
        [this, name, generation] { on_disconnected(name, generation); }));
    exchange(peer_link);
}

void peer_links::on_disconnected(const std::string& entry,
                                 std::uint64_t generation)
{
    const auto found = links_.find(entry);
    if (found != links_.end())
        on_link_broken(*found->second, generation);
}

void peer_links::on_link_broken(link& peer_link, std::uint64_t generation)
{
    if (peer_link.generation != generation)
        return;
    if (peer_link.up)
        log_change(log_level::warning, "peer_down",
                   {{"entry", peer_link.entry.name}});
    peer_link.up = peer_link.connecting = peer_link.exchanging = false;
    peer_link.generation = ++last_generation_;
    if (peer_link.current)
    {
        auto old = std::make_shared<kj::Own<link::connection>>(
            kj::mv(peer_link.current));
        boost::asio::post(io_, [old] { *old = nullptr; });
    }
    peer_link.retry_at = clock_.now() + peer_link.backoff;
    peer_link.backoff = std::min(peer_link.backoff * 2, settings_.max_backoff);
}

void peer_links::exchange(link& peer_link)
{
    if (peer_link.exchanging || !peer_link.current)
        return;
    peer_link.exchanging = true;
    peer_link.last_exchange = clock_.now();
    stats_.exchanges += 2;
    auto request = peer_link.current->peer.exchangeRequest();
    request.setEntry(settings_.entry);
    request.setIncarnation(own_report_.incarnation);
    request.setConfigVersion(own_report_.config_version);
    request.setStopping(own_report_.stopping);
    request.setHeir(own_report_.holder);
    fill(request.initDemand(static_cast<unsigned>(own_report_.demand.size())),
         own_report_.demand);
    const auto name = peer_link.entry.name;
    const auto generation = peer_link.generation;
    peer_link.current->calls.add(request.send().then(
        [this, name, generation](auto&& reply)
        {
            const auto found = links_.find(name);
            if (found == links_.end() ||
                found->second->generation != generation)
                return;
            auto& from = *found->second;
            from.exchanging = false;
            from.backoff = settings_.initial_backoff;
            if (!std::exchange(from.up, true))
                log_change(log_level::info, "peer_up", {{"entry", name}});
            from.report = {reply.getIncarnation(), reply.getConfigVersion(),
                           to_demand(reply.getDemand()), reply.getStopping(),
                           reply.getHeir().cStr()};
            on_report_(name, from.report);
        },
        [this, name, generation](kj::Exception&&)
        { on_disconnected(name, generation); }));
}

void peer_links::set_own_report(peer_report own_report)
{
    // Small changes of demand do not cause an exchange.
    const auto demand_changed = [](const std::vector<team_demand>& before,
                                   const std::vector<team_demand>& after)
    {
        if (before.size() != after.size())
            return true;
        for (std::size_t i = 0; i < before.size(); ++i)
        {
            constexpr double relative_change = 0.1;
            constexpr double min_change = 0.5;
            const double change = std::abs(before[i].rate - after[i].rate);
            if (before[i].team != after[i].team ||
                change > std::max(min_change, relative_change * before[i].rate))
                return true;
        }
        return false;
    };
    const bool state_changed =
        own_report.config_version != own_report_.config_version ||
        own_report.stopping != own_report_.stopping ||
        own_report.holder != own_report_.holder;
    if (!state_changed &&
        !demand_changed(own_report_.demand, own_report.demand))
        return;
    own_report_ = std::move(own_report);
    report_changed_ = true;
}

void peer_links::announce()
{
    for (auto& [name, link_ptr] : links_)
    {
        link_ptr->exchanging = false;
        exchange(*link_ptr);
    }
    report_changed_ = false;
}

void peer_links::tick()
{
    const instant now = clock_.now();
    // A changed report costs one exchange per peer, so the interval grows with
    // the number of peers to bound the traffic of a node.
    const auto min_exchange_interval = std::max<duration>(
        settings_.min_exchange_interval,
        settings_.exchange_interval_per_peer * static_cast<int>(links_.size()));
    bool report_pending = false;
    for (auto& [name, link_ptr] : links_)
    {
        auto& peer_link = *link_ptr;
        if (peer_link.exchanging &&
            now - peer_link.last_exchange > settings_.reply_timeout)
        {
            on_link_broken(peer_link, peer_link.generation);
            continue;
        }
        if (!peer_link.current && !peer_link.connecting &&
            now >= peer_link.retry_at)
            connect(peer_link);
        if (!peer_link.up || peer_link.exchanging)
            continue;
        const auto since = now - peer_link.last_exchange;
        // An exchange with its timeout detects a peer that hangs while calls to
        // it are pending.
        const bool awaiting_reply =
            *peer_link.pending_calls > 0 && since > settings_.probe_after;
        const bool is_heartbeat_due =
            awaiting_reply || since > heartbeat_interval(name);
        if (is_heartbeat_due ||
            (report_changed_ && since > min_exchange_interval))
            exchange(peer_link);
        else
            report_pending |= report_changed_;
    }
    report_changed_ = report_pending;
}

duration peer_links::heartbeat_interval(const std::string& entry) const
{
    // An exchange informs both ends, so only the end with the lower name sends
    // heartbeats; the other end takes over if they stop.
    constexpr int passive_end_factor = 3;
    return settings_.entry < entry ? settings_.heartbeat
                                   : settings_.heartbeat * passive_end_factor;
}

void peer_links::close()
{
    links_.clear();
}

const peer_report* peer_links::report_of(const std::string& entry) const
{
    const auto found = links_.find(entry);
    return found == links_.end() || !found->second->up ? nullptr
                                                       : &found->second->report;
}

std::vector<std::string> peer_links::reachable() const
{
    std::vector<std::string> names;
    for (const auto& [name, link_ptr] : links_)
    {
        if (link_ptr->up && !link_ptr->report.stopping)
            names.push_back(name);
    }
    return names;
}

std::map<std::string, std::vector<double>> peer_links::demand() const
{
    std::map<std::string, std::vector<double>> by_team;
    for (const auto& [name, link_ptr] : links_)
    {
        if (!link_ptr->up)
            continue;
        for (const auto& one : link_ptr->report.demand)
            by_team[one.team].push_back(one.rate);
    }
    return by_team;
}

peer_links::link* peer_links::find_up_link(const std::string& entry)
{
    const auto found = links_.find(entry);
    return found == links_.end() || !found->second->up ? nullptr
                                                       : found->second.get();
}

namespace
{

/// Wraps a handler so that the call counts as pending until it is called.
template <class Result>
once_handler<Result> count_as_pending(const std::shared_ptr<int>& pending_calls,
                                      std::function<void(Result)> handler,
                                      Result fallback)
{
    ++*pending_calls;
    return once_handler<Result>(
        [pending_calls, handler = std::move(handler)](Result result)
        {
            --*pending_calls;
            handler(std::move(result));
        },
        std::move(fallback));
}

/// Sends a request and passes the answer of the reply to a handler.
template <class Request>
kj::Promise<void>
send_expecting_answer(Request&& request,
                      const std::shared_ptr<int>& pending_calls,
                      peer_links::answer_handler handler)
{
    const auto done = count_as_pending<std::optional<job_answer>>(
        pending_calls, std::move(handler), std::nullopt);
    return request.send().then([done](auto&& reply)
                               { done(to_answer(reply.getAnswer())); },
                               [done](kj::Exception&&) { done(std::nullopt); });
}

} // namespace

void peer_links::submit(const std::string& entry, const std::string& id,
                        const std::string& body, const std::string& traceparent,
                        bool adopt, answer_handler done)
{
    auto* peer_link = find_up_link(entry);
    if (!peer_link)
        return done(std::nullopt);
    stats_.submissions += 2;
    auto request = peer_link->current->peer.submitRequest();
    request.setId(id);
    request.setBody(as_bytes(body));
    request.setTraceparent(traceparent);
    request.setAdopt(adopt);
    peer_link->current->calls.add(send_expecting_answer(
        kj::mv(request), peer_link->pending_calls, std::move(done)));
}

void peer_links::lookup(const std::string& entry, const std::string& id,
                        bool adopt, answer_handler done)
{
    auto* peer_link = find_up_link(entry);
    if (!peer_link)
        return done(std::nullopt);
    stats_.submissions += 2;
    auto request = peer_link->current->peer.lookupRequest();
    request.setId(id);
    request.setAdopt(adopt);
    peer_link->current->calls.add(send_expecting_answer(
        kj::mv(request), peer_link->pending_calls, std::move(done)));
}

void peer_links::operate(const std::string& entry, const std::string& statement,
                         const std::string& by, answer_handler done)
{
    auto* peer_link = find_up_link(entry);
    if (!peer_link)
        return done(std::nullopt);
    auto request = peer_link->current->peer.operateRequest();
    request.setStatement(statement);
    request.setBy(by);
    peer_link->current->calls.add(send_expecting_answer(
        kj::mv(request), peer_link->pending_calls, std::move(done)));
}

void peer_links::holds(const std::string& entry, std::uint64_t incarnation,
                       std::function<void(bool)> handler)
{
    auto* peer_link = find_up_link(entry);
    if (!peer_link)
        return handler(false);
    const once_handler<bool> done = count_as_pending<bool>(
        peer_link->pending_calls, std::move(handler), false);
    auto request = peer_link->current->peer.holdsRequest();
    request.setIncarnation(incarnation);
    peer_link->current->calls.add(
        request.send().then([done](auto&& reply) { done(reply.getHeld()); },
                            [done](kj::Exception&&) { done(false); }));
}

void peer_links::send_kept_answers(
    const std::string& entry, std::uint64_t incarnation,
    const std::vector<coordinator::kept_answer>& answers,
    std::function<void(bool)> handler)
{
    auto* peer_link = find_up_link(entry);
    if (!peer_link)
        return handler(false);
    const once_handler<bool> done = count_as_pending<bool>(
        peer_link->pending_calls, std::move(handler), false);
    ++stats_.handovers;
    auto request = peer_link->current->peer.keepRequest();
    request.setEntry(settings_.entry);
    request.setIncarnation(incarnation);
    auto list = request.initAnswers(static_cast<unsigned>(answers.size()));
    for (unsigned i = 0; i < answers.size(); ++i)
    {
        list[i].setSequence(answers[i].sequence);
        list[i].setBodyHash(answers[i].body_hash);
        fill(list[i].initAnswer(), answers[i].answer);
    }
    peer_link->current->calls.add(
        request.send().then([done](auto&&) { done(true); },
                            [done](kj::Exception&&) { done(false); }));
}

void peer_links::fetch_configuration(
    const std::string& entry, const configuration& known,
    std::function<void(const configuration&)> done)
{
    auto* peer_link = find_up_link(entry);
    if (!peer_link)
        return;
    stats_.configuration_fetches += 2;
    auto request = peer_link->current->peer.configurationRequest();
    request.setSince(known.version());
    peer_link->current->calls.add(request.send().then(
        [newer = configuration(known), done](auto&& reply) mutable
        {
            if (merge(newer, reply.getConfiguration()))
                done(newer);
        },
        [](kj::Exception&&) {}));
}

void peer_links::request_members(const host_port& address,
                                 std::function<void(std::vector<member>)> done)
{
    connect_rpc(
        io_, address,
        [this, done](connect_result attempt)
        {
            if (!attempt.socket)
                return done({});
            auto once = std::make_shared<kj::Own<link::connection>>(
                kj::heap<link::connection>(std::move(*attempt.socket), bytes_));
            const auto end = [this, once, done](std::vector<member> members)
            {
                // The connection must not be destroyed inside its own callback.
                boost::asio::post(io_, [once] { *once = nullptr; });
                done(std::move(members));
            };
            (*once)->calls.add((*once)->peer.membersRequest().send().then(
                [end](auto&& reply) { end(to_members(reply.getMembers())); },
                [end](kj::Exception&&) { end({}); }));
        });
}

void peer_links::collect(metric_page& page) const
{
    constexpr std::string_view help = "Messages between entries by kind";
    const auto add = [&](std::uint64_t value, std::string_view labels)
    {
        page.counter("peer_messages_total", help, static_cast<double>(value),
                     labels);
    };
    add(stats_.exchanges, R"(kind="exchange",useful="0")");
    add(stats_.configuration_fetches, R"(kind="configuration",useful="0")");
    add(stats_.handovers, R"(kind="handover",useful="0")");
    add(stats_.submissions, R"(kind="submission",useful="1")");
    page.counter("peer_bytes_total", "Bytes over links between entries",
                 static_cast<double>(bytes_.bytes_in), R"(direction="in")");
    page.counter("peer_bytes_total", "Bytes over links between entries",
                 static_cast<double>(bytes_.bytes_out), R"(direction="out")");
    page.gauge("peers_up", "Links to other entries that are up",
               static_cast<double>(std::count_if(links_.begin(), links_.end(),
                                                 [](const auto& one)
                                                 { return one.second->up; })));
}

} // namespace glenhollow
