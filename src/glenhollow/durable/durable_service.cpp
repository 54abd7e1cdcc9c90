#include "glenhollow/durable/durable_service.hpp"

#include "glenhollow/core/run_after.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

constexpr duration tick_interval = milliseconds{50};
constexpr duration probe_interval = milliseconds{300};
constexpr duration load_log_interval = seconds{2};

std::int64_t wall_milliseconds()
{
    return wall_nanoseconds() / 1'000'000;
}

template <class Settings>
Settings with_identity(Settings settings, const durable_service_settings& of)
{
    settings.entry = of.entry;
    settings.incarnation = of.incarnation;
    return settings;
}

part_ownership_settings
make_ownership_settings(const durable_service_settings& of)
{
    auto settings = with_identity(of.ownership, of);
    settings.parts = of.parts;
    settings.jobs.entry = of.entry;
    settings.jobs.parts = of.parts;
    return settings;
}

job_coordinator_settings
make_memory_settings(const durable_service_settings& of)
{
    auto settings = memory_job_settings(of.memory);
    settings.entry = of.entry;
    settings.parts = of.parts;
    return settings;
}

entry_peers_settings make_peer_settings(const durable_service_settings& of)
{
    auto settings = of.peers;
    settings.gossip.seed = of.incarnation;
    return settings;
}

placement_groups_settings
make_group_settings(const durable_service_settings& of)
{
    auto settings = of.placement;
    settings.client = with_identity(settings.client, of);
    return settings;
}

dispatcher_settings make_dispatch_settings(const durable_service_settings& of)
{
    auto settings = of.dispatch;
    settings.seed = of.incarnation;
    return settings;
}

std::uint32_t own_millicores(const durable_service_settings& of)
{
    return static_cast<std::uint32_t>(of.cpu_cores * millicores_per_core);
}

configuration_tracker_settings
make_configuration_settings(const durable_service_settings& of)
{
    auto settings = of.configuration;
    settings.seed = of.incarnation;
    return settings;
}

job_router_settings make_router_settings(const durable_service_settings& of)
{
    auto settings = of.router;
    settings.parts = of.parts;
    return settings;
}

} // namespace

durable_service::durable_service(boost::asio::io_context& io,
                                 const clock_source& clock, row_store& store,
                                 catalog_parser parse,
                                 const durable_service_settings& settings)
    : io_(io), clock_(clock), settings_(settings),
      store_(clock, store, settings.store_timeout),
      configuration_tracker_(configuration_dependencies(std::move(parse)),
                             make_configuration_settings(settings)),
      agents_(io, clock, *this, with_identity(settings.agents, settings)),
      peers_(io, clock, *this, make_peer_settings(settings)),
      dispatcher_(clock, agents_, *this, make_dispatch_settings(settings)),
      reports_(settings.reports), placer_reports_(settings.placer_reports),
      placements_(clock, dispatcher_, [this] { schedule_dispatch(); }),
      groups_(
          clock, peers_, dispatcher_, [this] { schedule_dispatch(); },
          make_group_settings(settings)),
      ownership_(dependencies(), peers_, *this,
                 make_ownership_settings(settings)),
      memory_(dependencies(), make_memory_settings(settings)),
      handover_(handover_dependencies(), settings.handover),
      router_(clock, delay(), ownership_, peers_,
              make_router_settings(settings)),
      cancellation_(clock, *this, *this, cancel_journalled(),
                    settings.cancellation),
      member_rows_(
          store_, delay(), std::string(members_table), settings.follower,
          [this](const stored_row& row) { apply_member_row(row); },
          [this](std::uint64_t) { members_read_ = true; }),
      operator_rows_(
          store_, delay(), settings.catalog.table, settings.follower,
          [this](const stored_row& row) { apply_operator_row(row); },
          [this](std::uint64_t version) { operator_rows_current(version); }),
      announcer_(store_, delay(),
                 {settings.entry,
                  member_role::entry,
                  settings.where,
                  {},
                  own_millicores(settings)})
{
}

durable_service::~durable_service() noexcept
{
    *alive_ = false;
}

journal_chain::delay durable_service::delay()
{
    return
        [&io = io_, alive = alive_](duration wait, std::function<void()> work)
    {
        auto guarded = [alive, work = std::move(work)]
        {
            if (*alive)
                work();
        };
        if (wait.count() == 0)
            boost::asio::post(io, std::move(guarded));
        else
            run_after(io, wait, std::move(guarded));
    };
}

job_coordinator::dependencies durable_service::dependencies()
{
    return {
        clock_,
        wall_milliseconds,
        store_,
        dispatcher_,
        delay(),
        [this](const std::string& agent) { return is_live(agent); },
        [this](job_id id)
        { return cancellation_.reject_if_cancelled(id).has_value(); },
        [this](job_id id) { cancellation_.remember(id); },
        [this] { return memory_.open_tasks() + ownership_.open_tasks(); },
    };
}

job_handover::dependencies durable_service::handover_dependencies()
{
    return {settings_.entry,
            clock_,
            wall_milliseconds,
            directory_,
            agents_,
            [later = delay()](std::function<void()> work)
            { later(duration{0}, std::move(work)); },
            [this](const std::string& agent, const std::string& label)
            {
                const auto known = dispatcher_.agents().find(agent);
                return label.empty() || (known != dispatcher_.agents().end() &&
                                         known->second.has_label(label));
            }};
}

void durable_service::begin()
{
    announcer_.begin();
    operator_rows_.begin();
    member_rows_.begin();
    tick();
}

void durable_service::add_seeds(const std::vector<host_port>& seeds)
{
    for (const auto& seed : seeds)
    {
        if (seed.to_string() != settings_.where.to_string())
            peers_.add("seed-" + seed.to_string(), seed);
    }
}

void durable_service::tick()
{
    const auto now = clock_.now();
    stalls_.ticked(now);
    if (tick_due_.count() != 0)
        record_timer_lag(now - tick_due_);
    tick_due_ = now + tick_interval;
    peers_.tick();
    agents_.tick();
    ownership_.tick(store_.reachable());
    check_agents();
    probe_store();
    configuration_tracker_.tick(store_.reachable());
    log_load();
    memory_.tick();
    cancellation_.tick();
    dispatcher_.set_owners(peers_.live().size() + 1);
    handover_.tick({entries_.size() + 1, std::max(max_entry_millicores_,
                                                  own_millicores(settings_))});
    update_sessions();
    member_rows_.set_min_gap(
        feed_interval(settings_.member_feed, entries_.size() + 1));
    choose_placer();
    schedule_dispatch();
    delay()(tick_interval, [this] { tick(); });
}

/// Ends the runs of agents that have been silent for too long. Their leases
/// have expired by then.
void durable_service::check_agents()
{
    const auto now = clock_.now();
    const auto limit = settings_.ownership.jobs.agent_timeout;
    for (auto& [agent, silence] : agent_silence_)
    {
        const auto length = now - silence.since;
        if (!silence.memory_runs_expired && length > memory_agent_timeout)
        {
            silence.memory_runs_expired = true;
            memory_.on_agent_lost(agent);
        }
        if (silence.journal_runs_expired || length <= limit)
            continue;
        silence.journal_runs_expired = true;
        log_change(log_level::warning, "agent_given_up", {{"agent", agent}});
        ownership_.for_each([&agent = agent](job_coordinator& part)
                            { part.on_agent_lost(agent); });
    }
}

/// Logs at intervals what limits placement, for operators.
void durable_service::log_load()
{
    const auto now = clock_.now();
    if (now - last_load_log_ < load_log_interval)
        return;
    last_load_log_ = now;
    std::size_t linked = 0;
    std::size_t ready = 0;
    std::size_t ejected = 0;
    double free_cores = 0;
    for (const auto& [name, agent] : dispatcher_.agents())
    {
        linked += agent.linked() ? 1 : 0;
        if (!agent.linked() || agent.account().phase != server_phase::ready)
            continue;
        ++ready;
        ejected += agent.ejected(now) ? 1 : 0;
        free_cores += agent.free_cores();
    }
    log_change(log_level::info, "placement_load",
               {{"jobs", memory_.open_jobs()},
                {"tasks_waiting", dispatcher_.waiting()},
                {"groups", groups_.groups()},
                {"placers", groups_.placers()},
                {"places_for_others", placements_.active()},
                {"reports_per_s", static_cast<std::int64_t>(reports_.rate())},
                {"agents_linked", linked},
                {"runners_ready", ready},
                {"runners_ejected", ejected},
                {"free_cores", static_cast<std::int64_t>(free_cores)}});
}

/// Probes an unreachable store. An entry without parts sends it no requests and
/// would not notice that it answers again.
void durable_service::probe_store()
{
    const auto now = clock_.now();
    if (store_.reachable() || now - last_probe_ < probe_interval)
        return;
    last_probe_ = now;
    store_.read({settings_.catalog.table, {}, settings_.catalog.key, {}, 1},
                [this, alive = alive_](const read_result& got)
                {
                    if (!*alive || !got.answered)
                        return;
                    for (const auto& row : got.rows)
                        apply_operator_row(row);
                });
}

void durable_service::schedule_dispatch()
{
    if (std::exchange(dispatching_, true))
        return;
    delay()(duration{0},
            [this]
            {
                dispatching_ = false;
                dispatcher_.dispatch();
                groups_.flush();
            });
}

void durable_service::stop()
{
    stopping_ = true;
    ownership_.stop();
    peers_.exchange_all();
}

void durable_service::give_up_all()
{
    handover_.give_up_all();
    memory_.give_up_all();
    dispatcher_.dispatch();
}

void durable_service::close()
{
    *alive_ = false;
    groups_.close();
    placements_.close();
    handover_.close();
    agents_.close();
    peers_.close();
}

bool durable_service::ready() const
{
    return !stopping_ && configuration_tracker_.catalog().version != 0;
}

// Configuration.

void durable_service::apply_operator_row(const stored_row& row)
{
    const auto& place = settings_.catalog;
    if (row.key.key == place.key && !row.gone)
        return configuration_tracker_.offer_from_store(row.value);
    const auto& prefix = place.evacuation_prefix;
    if (!prefix.empty() && row.key.key.starts_with(prefix))
        evacuated_.note(row.key.key.substr(prefix.size()), !row.gone);
}

void durable_service::operator_rows_current(std::uint64_t version)
{
    if (evacuated_.complete(version))
        log_evacuations("store");
}

/// Logs the evacuated halls and announces them to other entries, since the
/// store may be unreachable for some of them. Agents learn them from replies to
/// their reports.
void durable_service::log_evacuations(std::string_view source)
{
    std::string halls;
    for (const auto& hall : evacuated_.halls())
        halls += (halls.empty() ? "" : ",") + hall;
    log_change(log_level::warning, "halls_evacuated",
               {{"halls", halls},
                {"version", evacuated_.version()},
                {"source", source}});
    peers_.gossip();
}

hall_evacuation durable_service::evacuation_of(const std::string& agent) const
{
    const auto known = dispatcher_.agents().find(agent);
    if (known == dispatcher_.agents().end())
        return {};
    return evacuated_.of(known->second.account().zone);
}

configuration_tracker::dependencies
durable_service::configuration_dependencies(catalog_parser parse)
{
    return {clock_, std::move(parse),
            [later = delay()](std::function<void()> work)
            { later(duration{0}, std::move(work)); },
            [this](const std::string& peer,
                   configuration_tracker::copy_handler done)
            {
                peers_.fetch_catalog(peer,
                                     [alive = alive_, done = std::move(done)](
                                         std::optional<configuration_copy> copy)
                                     {
                                         if (*alive)
                                             done(std::move(copy));
                                     });
            },
            [this] { peers_.gossip(); }};
}

// Agents.

void durable_service::agent_attached(const std::string& agent,
                                     const server_report& report)
{
    dispatcher_.attached(agent, report);
    agent_silence_[agent] = {clock_.now(), false, false};
}

void durable_service::agent_detached(const std::string& agent)
{
    dispatcher_.detached(agent);
}

/// Starts the agent's silence timeout with the order, unless it has started
/// earlier, so that the ordered run is given up neither too early nor too late.
void durable_service::agent_ordered(const std::string& agent)
{
    auto& since = agent_silence_[agent].since;
    since = std::min(since, clock_.now());
}

void durable_service::agent_adopted(const std::string& agent, part_epoch part,
                                    const lease_account& account)
{
    auto* jobs =
        part.part == memory_part ? &memory_ : ownership_.find(part.part);
    if (jobs == nullptr || jobs->epoch() != part)
        return;
    if (account.declined)
    {
        log_change(
            log_level::warning, "adoption_declined",
            {{"agent", agent}, {"part", part.part}, {"epoch", part.epoch}});
        return jobs->verify_ownership();
    }
    dispatcher_.adopted(agent, part.part);
    jobs->reconcile_agent(agent, account);
    schedule_dispatch();
}

void durable_service::agent_reported(const std::string& agent,
                                     const server_report& report,
                                     const std::vector<run_end>& ends,
                                     const std::vector<run_ref>& begun)
{
    agent_silence_[agent] = {silent_since(clock_.now(), report.next_within),
                             false, false};
    dispatcher_.reported(agent, report);
    for (const auto& run : begun)
    {
        if (auto* jobs = coordinator_of(run))
            jobs->began(run);
    }
    for (const auto& end : ends)
    {
        if (auto* jobs = coordinator_of(end.run))
            jobs->ended(agent, end);
    }
    schedule_dispatch();
}

std::vector<part_epoch> durable_service::owned_parts() const
{
    auto parts = ownership_.owned();
    parts.push_back(memory_.epoch());
    return parts;
}

std::vector<part_epoch> durable_service::renewed_parts() const
{
    auto parts = ownership_.renewable();
    parts.push_back(memory_.epoch());
    return parts;
}

job_coordinator* durable_service::coordinator_of(const run_ref& run)
{
    if (run.in_memory())
        return &memory_;
    return ownership_.find(part_of(run.task.job, settings_.parts));
}

// Other entries.

entry_view durable_service::own_view()
{
    entry_view view;
    view.name = settings_.entry;
    view.incarnation = settings_.incarnation;
    view.parts = ownership_.owned();
    view.released = ownership_.released();
    view.store_reachable = store_.reachable();
    view.stopping = stopping_;
    view.catalog_version = configuration_tracker_.catalog().version;
    view.millicores = own_millicores(settings_);
    view.timers_on_time = timers_on_time_;
    view.agents = static_cast<std::uint32_t>(agents_.attached());
    view.started = start_time_s_;
    view.evacuated = evacuated_;
    ownership_.for_each(
        [&view](job_coordinator& part)
        {
            for (const auto& [queue, count] : part.pending())
                view.pending.push_back({queue, part.epoch().part, count});
        });
    return view;
}

void durable_service::peer_view_received(const entry_view& view)
{
    if (evacuated_.take(view.evacuated))
        log_evacuations("peer");
    configuration_tracker_.peer_has_version(view.name, view.catalog_version);
}

void durable_service::serve(const job_call& call, job_reply_handler done)
{
    if (call.verb == job_verb::cancel_in_memory)
        cancellation_.on_peer_cancel(call.id, call.forward_to, std::move(done));
    else
        router_.serve_locally(call, std::move(done));
    schedule_dispatch();
}

// Parts.

void durable_service::ownership_acquired(part_epoch part)
{
    agents_.adopt(part);
    cancel_remembered(part.part);
    peers_.exchange_all();
}

void durable_service::ownership_ended(part_number part)
{
    dispatcher_.release(part);
    peers_.exchange_all();
}

std::optional<run_order> durable_service::assign(const ready_task& task,
                                                 const std::string& agent)
{
    auto* jobs =
        task.part == memory_part ? &memory_ : ownership_.find(task.part);
    if (jobs == nullptr)
        return std::nullopt;
    return jobs->assign(task, agent);
}

// Callers.

/// @return Whether job hosts place all tasks, so that this entry needs few
/// capacity reports of agents. Journalled jobs are always placed by this entry.
bool durable_service::delegates_all_jobs() const
{
    return handover_.active() && dispatcher_.waiting() == 0;
}

void durable_service::state(job_id id, job_reply_handler done)
{
    router_.route({job_verb::state, id, {}}, std::move(done));
}

std::uint32_t durable_service::pending(const std::string& queue) const
{
    std::uint32_t total = 0;
    const auto in_memory = memory_.pending();
    const auto here = in_memory.find(queue);
    total += here == in_memory.end() ? 0 : here->second;
    const auto add = [&](const entry_view& view)
    {
        for (const auto& count : view.pending)
        {
            if (count.queue == queue)
                total += count.pending;
        }
    };
    for (const auto* view : peers_.live())
        add(*view);
    add(const_cast<durable_service*>(this)->own_view());
    return total;
}

} // namespace glenhollow
