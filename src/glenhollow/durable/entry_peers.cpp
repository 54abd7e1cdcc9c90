#include "glenhollow/durable/entry_peers.hpp"

#include "glenhollow/durable/job_wire.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace glenhollow
{

namespace
{

void fill_view(wire::EntryView::Builder out, const entry_view& view)
{
    out.setName(view.name);
    out.setIncarnation(view.incarnation);
    auto parts = out.initParts(static_cast<unsigned>(view.parts.size()));
    for (unsigned i = 0; i < parts.size(); ++i)
        fill(parts[i], view.parts[i]);
    out.setStoreReachable(view.store_reachable);
    out.setStopping(view.stopping);
    out.setCatalogVersion(view.catalog_version);
    auto counts = out.initPending(static_cast<unsigned>(view.pending.size()));
    for (unsigned i = 0; i < counts.size(); ++i)
    {
        counts[i].setQueue(view.pending[i].queue);
        counts[i].setPart(view.pending[i].part);
        counts[i].setPending(view.pending[i].pending);
    }
    auto free = out.initReleased(static_cast<unsigned>(view.released.size()));
    for (unsigned i = 0; i < free.size(); ++i)
        fill(free[i], view.released[i]);
    out.setPower(view.millicores);
    out.setTimely(view.timers_on_time);
    out.setAgents(view.agents);
    out.setStarted(view.started);
    const auto& halls = view.evacuated.halls();
    auto evacuated = out.initEvacuated(static_cast<unsigned>(halls.size()));
    unsigned at = 0;
    for (const auto& hall : halls)
        evacuated.set(at++, hall);
    out.setEvacuatedAt(view.evacuated.version());
}

entry_view view_from(wire::EntryView::Reader in)
{
    entry_view view;
    view.name = in.getName();
    view.incarnation = in.getIncarnation();
    for (auto part : in.getParts())
        view.parts.push_back(from_wire(part));
    view.store_reachable = in.getStoreReachable();
    view.stopping = in.getStopping();
    view.catalog_version = in.getCatalogVersion();
    for (auto count : in.getPending())
        view.pending.push_back(
            {count.getQueue(), count.getPart(), count.getPending()});
    for (auto part : in.getReleased())
        view.released.push_back(from_wire(part));
    view.millicores = in.getPower();
    view.timers_on_time = in.getTimely();
    view.agents = in.getAgents();
    view.started = in.getStarted();
    std::set<std::string> halls;
    for (auto hall : in.getEvacuated())
        halls.insert(hall);
    view.evacuated.take(in.getEvacuatedAt(), halls);
    return view;
}

kj::ArrayPtr<const kj::byte> bytes_of(const std::string& text)
{
    return kj::ArrayPtr<const char>(text.data(), text.size()).asBytes();
}

std::string text_of(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

void fill_cancelled(wire::CancelledJob::Builder out, const cancel_record& known)
{
    out.setJob(known.id);
    out.setState(static_cast<std::uint8_t>(known.state));
    out.setFound(known.found);
    out.setAgeMs(static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(known.age).count()));
}

cancel_record cancelled_from(wire::CancelledJob::Reader in)
{
    return {in.getJob(), from_index(in.getState(), job_state::cancelled),
            in.getFound(), milliseconds{in.getAgeMs()}};
}

} // namespace

bool entry_view::owns(part_number part) const
{
    return std::any_of(parts.begin(), parts.end(),
                       [part](const part_epoch& one)
                       { return one.part == part; });
}

bool entry_view::has_later_claim(part_epoch claim) const
{
    const auto is_later = [claim](const part_epoch& one)
    { return one.part == claim.part && one.epoch > claim.epoch; };
    return std::any_of(parts.begin(), parts.end(), is_later) ||
           std::any_of(released.begin(), released.end(), is_later);
}

/// State of one other entry.
struct entry_peers::peer
{
    std::string name;
    std::unique_ptr<rpc_link> link;
    kj::Maybe<wire::EntryPeer::Client> remote; ///< Set while connected.
    bool exchanging = false;                   ///< An exchange is in progress.
    bool exchange_pending = false;             ///< Another exchange follows it.
    bool was_live = false;                     ///< Last state that was logged.
    instant exchange_sent{};          ///< Send time of the latest exchange.
    instant view_received_at{};       ///< Arrival time of the latest view.
    instant answered_exchange_sent{}; ///< Send time of the latest answered
                                      ///< exchange.
    instant down_since{};             ///< Zero while connected.
    instant added{};
    entry_view view; ///< Latest view.
};

/// RPC interface offered to other entries.
class entry_peers::peer_server final : public wire::EntryPeer::Server
{
public:
    explicit peer_server(entry_peers& peers) : peers_(peers) {}

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        const auto view = view_from(context.getParams().getView());
        peers_.view_received(view.name, view);
        fill_view(context.getResults().initView(), peers_.handler_.own_view());
        return kj::READY_NOW;
    }

    kj::Promise<void> call(CallContext context) override
    {
        auto request = context.getParams().getCall();
        job_call call;
        // An unknown verb, sent by a newer version, is not run. The default
        // reply states an unknown outcome.
        if (request.getVerb() >= name_table<job_verb>::names.size())
        {
            fill(context.getResults().initAnswer(), job_reply{});
            return kj::READY_NOW;
        }
        call.verb = static_cast<job_verb>(request.getVerb());
        call.id = request.getJob();
        call.forward_to = request.getOnward();
        if (call.verb == job_verb::submit)
        {
            auto job = decode_definition(text_of(request.getBody()));
            if (!job || job.value().id != call.id)
            {
                fill(context.getResults().initAnswer(), job_reply{});
                return kj::READY_NOW;
            }
            call.job = std::move(job.value());
        }
        auto paf = kj::newPromiseAndFulfiller<job_reply>();
        auto fulfiller =
            std::make_shared<kj::Own<kj::PromiseFulfiller<job_reply>>>(
                kj::mv(paf.fulfiller));
        peers_.handler_.serve(call, [fulfiller](const job_reply& reply)
                              { (*fulfiller)->fulfill(job_reply(reply)); });
        return paf.promise.then(
            [context](const job_reply& reply) mutable
            { fill(context.getResults().initAnswer(), reply); });
    }

    kj::Promise<void> place(PlaceContext context) override
    {
        auto params = context.getParams();
        auto session = peers_.handler_.open_placement(params.getEntry(),
                                                      params.getGrants());
        auto out = context.getResults();
        out.setSession(kj::mv(session));
        out.setIncarnation(peers_.handler_.own_view().incarnation);
        return kj::READY_NOW;
    }

    kj::Promise<void> cancelled(CancelledContext context) override
    {
        const auto known = peers_.handler_.cancelled_jobs();
        auto out =
            context.getResults().initJobs(static_cast<unsigned>(known.size()));
        for (unsigned i = 0; i < out.size(); ++i)
            fill_cancelled(out[i], known[i]);
        return kj::READY_NOW;
    }

    kj::Promise<void> catalog(CatalogContext context) override
    {
        const auto document = peers_.handler_.catalog_document();
        auto out = context.getResults();
        out.setVersion(peers_.handler_.own_view().catalog_version);
        out.setDocument(bytes_of(document));
        return kj::READY_NOW;
    }

private:
    entry_peers& peers_; ///< Outlives the server.
};

entry_peers::entry_peers(boost::asio::io_context& io, const clock_source& clock,
                         entry_peer_handler& handler,
                         const entry_peers_settings& settings)
    : io_(io), clock_(clock), handler_(handler), settings_(settings),
      pacing_(settings.exchange), fanout_(settings.gossip)
{
    connects_.configure(settings.connects.per_s, settings.connects.burst,
                        clock.now());
}

entry_peers::~entry_peers() = default;

wire::EntryPeer::Client entry_peers::bootstrap()
{
    return kj::heap<peer_server>(*this);
}

void entry_peers::close()
{
    peers_.clear();
}

void entry_peers::add(const std::string& name, const host_port& where)
{
    auto& one = peers_[name];
    if (one && one->link->where().to_string() == where.to_string())
        return;
    one = std::make_unique<peer>();
    one->name = name;
    one->down_since = one->added = clock_.now();
    one->link = std::make_unique<rpc_link>(
        io_, clock_, where, settings_.link,
        [this, name](capnp::Capability::Client server)
        { connected(*peers_.at(name), server.castAs<wire::EntryPeer>()); },
        [this, name] { link_lost(name); });
}

void entry_peers::connected(peer& to, wire::EntryPeer::Client interface)
{
    to.remote = kj::mv(interface);
    to.exchanging = false;
    exchange(to);
}

void entry_peers::link_lost(const std::string& name)
{
    const auto known = peers_.find(name);
    if (known == peers_.end())
        return;
    auto& gone = *known->second;
    gone.remote = nullptr;
    gone.exchanging = false;
    if (gone.down_since.count() == 0)
        gone.down_since = clock_.now();
}

void entry_peers::exchange(peer& to)
{
    KJ_IF_MAYBE (remote, to.remote)
    {
        if (to.exchanging)
        {
            to.exchange_pending = true;
            return;
        }
        to.exchanging = true;
        to.exchange_pending = false;
        to.exchange_sent = clock_.now();
        auto request = remote->exchangeRequest();
        fill_view(request.initView(), handler_.own_view());
        to.link->add(request.send().then(
            [this, name = to.name,
             exchange_sent = to.exchange_sent](auto&& answer)
            {
                const auto known = peers_.find(name);
                if (known == peers_.end())
                    return;
                auto& from = *known->second;
                from.exchanging = false;
                from.answered_exchange_sent = exchange_sent;
                from.down_since = {};
                view_received(name, view_from(answer.getView()));
                if (from.view.name != name)
                    return rename(name, from.view.name);
                if (from.exchange_pending)
                    exchange(from);
            },
            [](kj::Exception&&) {}));
    }
}

void entry_peers::view_received(const std::string& name, const entry_view& view)
{
    const auto known = peers_.find(name);
    if (known != peers_.end())
    {
        auto& from = *known->second;
        from.view_received_at = clock_.now();
        from.view = view;
        if (!std::exchange(from.was_live, true))
            log_change(log_level::info, "peer_live",
                       {{"entry", name}, {"incarnation", view.incarnation}});
    }
    handler_.peer_view_received(view);
}

/// Replaces a seed address by the entry that answered there.
void entry_peers::rename(const std::string& from, const std::string& to)
{
    boost::asio::post(io_,
                      [this, from, to]
                      {
                          const auto known = peers_.find(from);
                          if (known == peers_.end())
                              return;
                          const auto where = known->second->link->where();
                          peers_.erase(known);
                          if (!peers_.contains(to) &&
                              to != handler_.own_view().name)
                              add(to, where);
                      });
}

bool entry_peers::is_due(const peer& one) const
{
    if (one.exchanging)
        return false;
    return pacing_.is_due(own_name_ < one.name,
                          std::max(one.exchange_sent, one.view_received_at),
                          peers_.size(), clock_.now());
}

bool entry_peers::is_live(const peer& one) const
{
    const auto now = clock_.now();
    if (one.view_received_at.count() == 0 ||
        now - one.view_received_at > pacing_.silence(peers_.size()))
        return false;
    return one.down_since.count() == 0 ||
           now - one.down_since < settings_.down_grace;
}

/// Connects in turns, so that unreachable peers do not use up the attempts of
/// the others.
void entry_peers::connect_due()
{
    auto at = peers_.upper_bound(last_connect_name_);
    for (std::size_t i = 0; i < peers_.size(); ++i, ++at)
    {
        if (at == peers_.end())
            at = peers_.begin();
        auto& link = *at->second->link;
        if (!link.due())
            continue;
        if (!connects_.take(1, clock_.now()))
            return;
        ++attempts_;
        last_connect_name_ = at->first;
        link.tick();
    }
}

void entry_peers::tick()
{
    std::vector<peer*> silent;
    if (own_name_.empty())
        own_name_ = handler_.own_view().name;
    connect_due();
    for (auto& [name, one] : peers_)
    {
        const auto now = clock_.now();
        if (one->link->up() && one->exchanging &&
            now - one->exchange_sent > pacing_.silence(peers_.size()))
            silent.push_back(one.get());
        else if (is_due(*one))
            exchange(*one);
        if (one->was_live && !is_live(*one))
        {
            one->was_live = false;
            log_change(log_level::warning, "peer_lost", {{"entry", name}});
        }
    }
    for (auto* one : silent)
        one->link->drop();
}

void entry_peers::exchange_all()
{
    for (auto& [name, one] : peers_)
        exchange(*one);
}

void entry_peers::gossip()
{
    std::vector<peer*> connected;
    for (auto& [name, one] : peers_)
    {
        if (one->remote != nullptr)
            connected.push_back(one.get());
    }
    for (auto* one : fanout_.draw(connected))
        exchange(*one);
}

std::vector<const entry_view*> entry_peers::live() const
{
    std::vector<const entry_view*> views;
    views.reserve(peers_.size());
    for (const auto& [name, one] : peers_)
    {
        if (is_live(*one))
            views.push_back(&one->view);
    }
    return views;
}

const entry_view* entry_peers::find(const std::string& name) const
{
    const auto known = peers_.find(name);
    if (known == peers_.end() || !is_live(*known->second))
        return nullptr;
    return &known->second->view;
}

void entry_peers::refresh(duration max_age)
{
    const auto now = clock_.now();
    for (auto& [name, one] : peers_)
    {
        if (!one->exchanging && now - one->answered_exchange_sent >= max_age)
            exchange(*one);
    }
}

instant entry_peers::oldest_confirmation(part_epoch claim,
                                         instant active_since) const
{
    auto oldest = clock_.now();
    for (const auto& [name, one] : peers_)
    {
        if (std::max(one->view_received_at, one->added) < active_since)
            continue;
        if (one->view.has_later_claim(claim))
            return {};
        oldest = std::min(oldest, one->answered_exchange_sent);
    }
    return oldest;
}

bool entry_peers::refuses_connections(const std::string& name) const
{
    const auto known = peers_.find(name);
    return known != peers_.end() && known->second->link->refused();
}

void entry_peers::call(const std::string& name, const job_call& call,
                       answer_handler done)
{
    const auto known = peers_.find(name);
    if (known == peers_.end())
        return done(std::nullopt);
    KJ_IF_MAYBE (remote, known->second->remote)
    {
        auto request = remote->callRequest();
        auto out = request.initCall();
        out.setVerb(static_cast<std::uint8_t>(call.verb));
        out.setJob(call.id);
        if (!call.forward_to.empty())
            out.setOnward(call.forward_to);
        if (call.verb == job_verb::submit)
            out.setBody(bytes_of(encode_definition(call.job)));
        auto shared = std::make_shared<answer_handler>(std::move(done));
        known->second->link->add(request.send().then(
            [shared](auto&& answer)
            {
                if (const auto told = std::exchange(*shared, nullptr))
                    told(from_wire(answer.getAnswer()));
            },
            [shared](kj::Exception&&)
            {
                if (const auto told = std::exchange(*shared, nullptr))
                    told(std::nullopt);
            }));
        return;
    }
    done(std::nullopt);
}

std::vector<peer_status> entry_peers::connection_states() const
{
    std::vector<peer_status> out;
    out.reserve(peers_.size());
    for (const auto& [name, one] : peers_)
        out.push_back({name, one->remote != nullptr,
                       std::max(one->view_received_at, one->added)});
    return out;
}

void entry_peers::fetch_cancelled(const std::string& name,
                                  cancel_peers::cancel_records_handler done)
{
    const auto known = peers_.find(name);
    if (known == peers_.end())
        return done(std::nullopt);
    KJ_IF_MAYBE (remote, known->second->remote)
    {
        auto shared = std::make_shared<cancel_peers::cancel_records_handler>(
            std::move(done));
        known->second->link->add(remote->cancelledRequest().send().then(
            [shared](auto&& answer)
            {
                std::vector<cancel_record> jobs;
                for (auto job : answer.getJobs())
                    jobs.push_back(cancelled_from(job));
                (*shared)(std::move(jobs));
            },
            [shared](kj::Exception&&) { (*shared)(std::nullopt); }));
        return;
    }
    done(std::nullopt);
}

bool entry_peers::connected(const std::string& name) const
{
    const auto known = peers_.find(name);
    return known != peers_.end() && known->second->remote != nullptr;
}

bool entry_peers::open_placement(const std::string& name,
                                 const std::string& entry,
                                 std::uint64_t incarnation,
                                 wire::PlacementGrants::Client grants,
                                 placement_handler done)
{
    const auto known = peers_.find(name);
    if (known == peers_.end())
        return false;
    KJ_IF_MAYBE (remote, known->second->remote)
    {
        auto request = remote->placeRequest();
        request.setEntry(entry);
        request.setIncarnation(incarnation);
        request.setGrants(kj::mv(grants));
        known->second->link->add(request.send().then(
            [done = std::move(done)](auto&& answer)
            { done(answer.getIncarnation(), answer.getSession()); },
            [](kj::Exception&&) {}));
        return true;
    }
    return false;
}

void entry_peers::later(std::function<void()> work)
{
    boost::asio::post(io_, std::move(work));
}

void entry_peers::fetch_catalog(const std::string& name,
                                configuration_tracker::copy_handler done)
{
    const auto known = peers_.find(name);
    if (known == peers_.end())
        return done(std::nullopt);
    KJ_IF_MAYBE (remote, known->second->remote)
    {
        known->second->link->add(remote->catalogRequest().send().then(
            [done](auto&& answer)
            {
                done(configuration_copy{answer.getVersion(),
                                        text_of(answer.getDocument())});
            },
            [done](kj::Exception&&) { done(std::nullopt); }));
        return;
    }
    done(std::nullopt);
}

} // namespace glenhollow
