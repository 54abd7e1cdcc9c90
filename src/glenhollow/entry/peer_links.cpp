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
    /// Everything that dies with the connection.
    struct connection
    {
        connection(tcp::socket socket, stream_stats& bytes)
            : rpc(std::move(socket), bytes),
              peer(rpc.bootstrap().castAs<wire::Peer>())
        {
        }

        rpc_connection rpc;      ///< The RPC system.
        wire::Peer::Client peer; ///< Its bootstrap.
        background_tasks calls;  ///< In flight.
    };

    member entry;                 ///< Whom it links to.
    std::uint64_t generation = 0; ///< Of the connection.
    kj::Own<connection> current;  ///< Null while there is none.
    bool connecting = false;      ///< A connection is being made.
    bool up = false;              ///< An exchange was answered.
    bool exchanging = false;      ///< One is under way.
    std::shared_ptr<int> pending = std::make_shared<int>(0); ///< Calls.
    instant exchanged{}; ///< When the last one left.
    instant retry_at{};  ///< When to connect again.
    duration backoff{};  ///< Before the next attempt.
    peer_report report;  ///< The last one.
};

peer_links::peer_links(boost::asio::io_context& io, const clock_source& clock,
                       const peer_links_settings& settings)
    : io_(io), clock_(clock), settings_(settings)
{
}

peer_links::~peer_links() = default;

void peer_links::set_entries(const std::vector<member>& entries)
{
    std::map<std::string, const member*> wanted;
    for (const auto& one : entries)
    {
        if (one.name != settings_.entry)
            wanted.emplace(one.name, &one);
    }
    std::erase_if(links_,
                  [&](const auto& known)
                  {
                      const auto still = wanted.find(known.first);
                      return still == wanted.end() ||
                             still->second->rpc.to_string() !=
                                 known.second->entry.rpc.to_string();
                  });
    for (const auto& [name, one] : wanted)
    {
        if (links_.contains(name))
            continue;
        auto fresh = std::make_unique<link>();
        fresh->entry = *one;
        fresh->backoff = settings_.first_backoff;
        auto& added = *links_.emplace(name, std::move(fresh)).first->second;
        connect(added);
    }
}

void peer_links::connect(link& to)
{
    to.connecting = true;
    const auto generation = to.generation = ++generations_;
    connect_rpc(io_, to.entry.rpc,
                [this, name = to.entry.name, generation](connect_result got)
                {
                    const auto known = links_.find(name);
                    if (known == links_.end() ||
                        known->second->generation != generation)
                        return;
                    auto& to = *known->second;
                    to.connecting = false;
                    if (!got.socket)
                        return broken(to, generation);
                    connected(to, std::move(*got.socket));
                });
}

void peer_links::connected(link& to, tcp::socket socket)
{
    to.current = kj::heap<link::connection>(std::move(socket), bytes_);
    const auto name = to.entry.name;
    const auto generation = to.generation;
    // An idle link has no call whose failure would tell.
    to.current->calls.add(to.current->rpc.on_disconnect().then(
        [this, name, generation] { lost(name, generation); }));
    exchange(to);
}

void peer_links::lost(const std::string& entry, std::uint64_t generation)
{
    const auto known = links_.find(entry);
    if (known != links_.end())
        broken(*known->second, generation);
}

void peer_links::broken(link& at, std::uint64_t generation)
{
    if (at.generation != generation)
        return;
    if (at.up)
        log_change(log_level::warning, "peer_down", {{"entry", at.entry.name}});
    at.up = at.connecting = at.exchanging = false;
    at.generation = ++generations_;
    if (at.current)
    {
        auto old =
            std::make_shared<kj::Own<link::connection>>(kj::mv(at.current));
        boost::asio::post(io_, [old] { *old = nullptr; });
    }
    at.retry_at = clock_.now() + at.backoff;
    at.backoff = std::min(at.backoff * 2, settings_.longest_backoff);
}

void peer_links::exchange(link& to)
{
    if (to.exchanging || !to.current)
        return;
    to.exchanging = true;
    to.exchanged = clock_.now();
    stats_.exchanges += 2;
    auto request = to.current->peer.exchangeRequest();
    request.setEntry(settings_.entry);
    request.setIncarnation(own_.incarnation);
    request.setConfigVersion(own_.config_version);
    request.setStopping(own_.stopping);
    request.setHeir(own_.heir);
    fill(request.initDemand(static_cast<unsigned>(own_.demand.size())),
         own_.demand);
    const auto name = to.entry.name;
    const auto generation = to.generation;
    to.current->calls.add(request.send().then(
        [this, name, generation](auto&& reply)
        {
            const auto known = links_.find(name);
            if (known == links_.end() ||
                known->second->generation != generation)
                return;
            auto& from = *known->second;
            from.exchanging = false;
            from.backoff = settings_.first_backoff;
            if (!std::exchange(from.up, true))
                log_change(log_level::info, "peer_up", {{"entry", name}});
            from.report = {reply.getIncarnation(), reply.getConfigVersion(),
                           to_demand(reply.getDemand()), reply.getStopping(),
                           reply.getHeir().cStr()};
            reported_(name, from.report);
        },
        [this, name, generation](kj::Exception&&) { lost(name, generation); }));
}

void peer_links::set_own(peer_report own)
{
    // Demand that moved by little is no news.
    const auto moved = [](const std::vector<team_demand>& before,
                          const std::vector<team_demand>& after)
    {
        if (before.size() != after.size())
            return true;
        for (std::size_t i = 0; i < before.size(); ++i)
        {
            constexpr double share = 0.1;
            constexpr double least = 0.5;
            const double change = std::abs(before[i].rate - after[i].rate);
            if (before[i].team != after[i].team ||
                change > std::max(least, share * before[i].rate))
                return true;
        }
        return false;
    };
    const bool other = own.config_version != own_.config_version ||
                       own.stopping != own_.stopping || own.heir != own_.heir;
    if (!other && !moved(own_.demand, own.demand))
        return;
    own_ = std::move(own);
    news_ = true;
}

void peer_links::announce()
{
    for (auto& [name, known] : links_)
    {
        known->exchanging = false;
        exchange(*known);
    }
    news_ = false;
}

void peer_links::tick()
{
    const instant now = clock_.now();
    // News costs a message to each peer, so with many peers it goes out less
    // often and the bytes of a node stay flat.
    const auto quick = std::max<duration>(settings_.quick,
                                          settings_.quick_per_peer *
                                              static_cast<int>(links_.size()));
    bool news_left = false;
    for (auto& [name, known] : links_)
    {
        auto& at = *known;
        if (at.exchanging && now - at.exchanged > settings_.reply_limit)
        {
            broken(at, at.generation);
            continue;
        }
        if (!at.current && !at.connecting && now >= at.retry_at)
            connect(at);
        if (!at.up || at.exchanging)
            continue;
        const auto since = now - at.exchanged;
        // News is told to each peer once, a little later than it came, so
        // that the reply brings the peer's own.
        // A call that waits at a peer that hangs must not wait for ever.
        const bool waits = *at.pending > 0 && since > settings_.probe_after;
        const bool quiet = waits || since > heartbeat_of(name);
        if (quiet || (news_ && since > quick))
            exchange(at);
        else
            news_left |= news_;
    }
    news_ = news_left;
}

duration peer_links::heartbeat_of(const std::string& entry) const
{
    // An exchange tells both ends, so one end of a pair is enough; the other
    // steps in when it hears nothing.
    constexpr int patience = 3;
    return settings_.entry < entry ? settings_.heartbeat
                                   : settings_.heartbeat * patience;
}

void peer_links::close()
{
    links_.clear();
}

const peer_report* peer_links::report_of(const std::string& entry) const
{
    const auto known = links_.find(entry);
    return known == links_.end() || !known->second->up ? nullptr
                                                       : &known->second->report;
}

std::vector<std::string> peer_links::reachable() const
{
    std::vector<std::string> names;
    for (const auto& [name, known] : links_)
    {
        if (known->up && !known->report.stopping)
            names.push_back(name);
    }
    return names;
}

std::map<std::string, std::vector<double>> peer_links::demand() const
{
    std::map<std::string, std::vector<double>> by_team;
    for (const auto& [name, known] : links_)
    {
        if (!known->up)
            continue;
        for (const auto& one : known->report.demand)
            by_team[one.team].push_back(one.rate);
    }
    return by_team;
}

peer_links::link* peer_links::usable(const std::string& entry)
{
    const auto known = links_.find(entry);
    return known == links_.end() || !known->second->up ? nullptr
                                                       : known->second.get();
}

namespace
{

/// Counts a call as waiting until its handler is called.
template <class Result>
once_handler<Result> counted(const std::shared_ptr<int>& pending,
                             std::function<void(Result)> handler,
                             Result fallback)
{
    ++*pending;
    return once_handler<Result>(
        [pending, handler = std::move(handler)](Result result)
        {
            --*pending;
            handler(std::move(result));
        },
        std::move(fallback));
}

/// Sends a call whose reply has an answer and tells it.
template <class Request>
kj::Promise<void> send_for_answer(Request&& request,
                                  const std::shared_ptr<int>& pending,
                                  peer_links::answer_handler handler)
{
    const auto done = counted<std::optional<job_answer>>(
        pending, std::move(handler), std::nullopt);
    return request.send().then([done](auto&& reply)
                               { done(to_answer(reply.getAnswer())); },
                               [done](kj::Exception&&) { done(std::nullopt); });
}

} // namespace

void peer_links::submit(const std::string& entry, const std::string& id,
                        const std::string& body, const std::string& traceparent,
                        bool adopt, answer_handler done)
{
    auto* to = usable(entry);
    if (!to)
        return done(std::nullopt);
    stats_.submissions += 2;
    auto request = to->current->peer.submitRequest();
    request.setId(id);
    request.setBody(as_bytes(body));
    request.setTraceparent(traceparent);
    request.setAdopt(adopt);
    to->current->calls.add(
        send_for_answer(kj::mv(request), to->pending, std::move(done)));
}

void peer_links::lookup(const std::string& entry, const std::string& id,
                        bool adopt, answer_handler done)
{
    auto* to = usable(entry);
    if (!to)
        return done(std::nullopt);
    stats_.submissions += 2;
    auto request = to->current->peer.lookupRequest();
    request.setId(id);
    request.setAdopt(adopt);
    to->current->calls.add(
        send_for_answer(kj::mv(request), to->pending, std::move(done)));
}

void peer_links::operate(const std::string& entry, const std::string& statement,
                         const std::string& by, answer_handler done)
{
    auto* to = usable(entry);
    if (!to)
        return done(std::nullopt);
    auto request = to->current->peer.operateRequest();
    request.setStatement(statement);
    request.setBy(by);
    to->current->calls.add(
        send_for_answer(kj::mv(request), to->pending, std::move(done)));
}

void peer_links::holds(const std::string& entry, std::uint64_t incarnation,
                       std::function<void(bool)> handler)
{
    auto* to = usable(entry);
    if (!to)
        return handler(false);
    const once_handler<bool> done =
        counted<bool>(to->pending, std::move(handler), false);
    auto request = to->current->peer.holdsRequest();
    request.setIncarnation(incarnation);
    to->current->calls.add(
        request.send().then([done](auto&& reply) { done(reply.getHeld()); },
                            [done](kj::Exception&&) { done(false); }));
}

void peer_links::keep(const std::string& entry, std::uint64_t incarnation,
                      const std::vector<coordinator::kept_answer>& answers,
                      std::function<void(bool)> handler)
{
    auto* to = usable(entry);
    if (!to)
        return handler(false);
    const once_handler<bool> done =
        counted<bool>(to->pending, std::move(handler), false);
    ++stats_.handovers;
    auto request = to->current->peer.keepRequest();
    request.setEntry(settings_.entry);
    request.setIncarnation(incarnation);
    auto list = request.initAnswers(static_cast<unsigned>(answers.size()));
    for (unsigned i = 0; i < answers.size(); ++i)
    {
        list[i].setSequence(answers[i].sequence);
        list[i].setBodyHash(answers[i].body_hash);
        fill(list[i].initAnswer(), answers[i].answer);
    }
    to->current->calls.add(request.send().then([done](auto&&) { done(true); },
                                               [done](kj::Exception&&)
                                               { done(false); }));
}

void peer_links::fetch_configuration(
    const std::string& entry, const configuration& known,
    std::function<void(const configuration&)> done)
{
    auto* to = usable(entry);
    if (!to)
        return;
    stats_.pulls += 2;
    auto request = to->current->peer.configurationRequest();
    request.setSince(known.version());
    to->current->calls.add(request.send().then(
        [newer = configuration(known), done](auto&& reply) mutable
        {
            if (merge(newer, reply.getConfiguration()))
                done(newer);
        },
        [](kj::Exception&&) {}));
}

void peer_links::ask_members(const host_port& where,
                             std::function<void(std::vector<member>)> done)
{
    connect_rpc(
        io_, where,
        [this, done](connect_result got)
        {
            if (!got.socket)
                return done({});
            auto once = std::make_shared<kj::Own<link::connection>>(
                kj::heap<link::connection>(std::move(*got.socket), bytes_));
            const auto end = [this, once, done](std::vector<member> members)
            {
                // Not from inside the connection's own call.
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
    add(stats_.pulls, R"(kind="configuration",useful="0")");
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
