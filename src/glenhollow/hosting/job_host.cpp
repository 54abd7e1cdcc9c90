#include "glenhollow/hosting/job_host.hpp"

#include "glenhollow/core/run_after.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

constexpr duration load_log_interval = seconds{2};

/// Time without a tick after which the process counts as suspended. It is
/// shorter than the time after which entries give up a silent host, so that a
/// resumed host takes no job that its entry has reported as lost.
constexpr duration pause_limit = milliseconds{400};

std::int64_t wall_milliseconds()
{
    return wall_nanoseconds() / 1'000'000;
}

job_coordinator_settings
coordinator_settings(const job_host_settings& host_settings)
{
    auto settings = memory_job_settings(host_settings.jobs);
    settings.entry = host_settings.name;
    return settings;
}

agent_sessions_settings session_settings(const job_host_settings& host_settings)
{
    auto settings = host_settings.agents;
    settings.entry = host_settings.name;
    settings.incarnation = host_settings.incarnation;
    return settings;
}

dispatcher_settings dispatch_settings(const job_host_settings& host_settings)
{
    auto settings = host_settings.dispatch;
    settings.seed = host_settings.incarnation;
    return settings;
}

} // namespace

job_host::job_host(boost::asio::io_context& io, const clock_source& clock,
                   row_store& store, const job_host_settings& settings)
    : io_(io), clock_(clock), store_(store), settings_(settings),
      agents_(io, clock, *this, session_settings(settings)),
      dispatcher_(clock, agents_, *this, dispatch_settings(settings)),
      jobs_(dependencies(), coordinator_settings(settings)),
      last_tick_(clock.now())
{
    dispatcher_.place_only_at([this](const std::string& agent)
                              { return group_.contains(agent); });
}

job_host::~job_host() noexcept
{
    *alive_ = false;
}

journal_chain::delay job_host::delay()
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

job_coordinator::dependencies job_host::dependencies()
{
    return {clock_, wall_milliseconds, store_, dispatcher_, delay()};
}

void job_host::set_group(const std::vector<agent_address>& agents)
{
    std::set<std::string> new_group;
    for (const auto& agent : agents)
    {
        new_group.insert(agent.name);
        departed_.erase(agent.name);
        agents_.add(agent.name, agent.where);
    }
    if (new_group == group_)
        return;
    for (const auto& agent : group_)
    {
        if (!new_group.contains(agent))
            departed_.emplace(agent, clock_.now());
    }
    group_ = std::move(new_group);
    dispatcher_.place_only_at([this](const std::string& agent)
                              { return group_.contains(agent); });
    log_change(log_level::info, "host_group_changed",
               {{"host", settings_.name}, {"agents", group_.size()}});
    schedule_dispatch();
}

bool job_host::paused() const
{
    return resumed_after_pause_ || clock_.now() - last_tick_ > pause_limit;
}

std::size_t job_host::attached() const
{
    return static_cast<std::size_t>(
        std::count_if(group_.begin(), group_.end(),
                      [this](const std::string& agent)
                      {
                          const auto found = dispatcher_.agents().find(agent);
                          return found != dispatcher_.agents().end() &&
                                 found->second.linked();
                      }));
}

void job_host::submit(const job_definition& job, submitter_id submitter,
                      job_reply_handler done)
{
    if (refusing_ && !jobs_.knows(job.id))
        return done({job_outcome::not_owner, job_state::queued, {}});
    jobs_.submit(job, std::move(done));
    jobs_.set_submitter(job.id, submitter);
    schedule_dispatch();
}

/// Waiting tasks take precedence, so there is no room while any wait.
bool job_host::has_room(const job_definition& job) const
{
    return dispatcher_.waiting() == 0 &&
           dispatcher_.free_cores(job.service) >= job.peak_cores();
}

std::vector<submitter_lease> job_host::submitters() const
{
    std::vector<submitter_lease> leases;
    for (const auto& [submitter, alive_at] : submitters_)
        leases.push_back({submitter, alive_at});
    return leases;
}

void job_host::withdraw(job_id id)
{
    jobs_.withdraw(id);
    schedule_dispatch();
}

void job_host::cancel(job_id id, job_reply_handler done)
{
    jobs_.cancel(id, std::move(done));
    schedule_dispatch();
}

void job_host::give_up_all()
{
    refusing_ = true;
    jobs_.give_up_all();
    dispatcher_.dispatch();
}

void job_host::close()
{
    *alive_ = false;
    agents_.close();
}

void job_host::tick()
{
    const auto now = clock_.now();
    // Calls that arrived during a suspension are handled after this tick.
    resumed_after_pause_ = now - last_tick_ > pause_limit;
    last_tick_ = now;
    agents_.tick();
    expire_silent_agents();
    remove_departed_agents();
    log_load();
    jobs_.tick();
    schedule_dispatch();
}

void job_host::expire_silent_agents()
{
    const auto now = clock_.now();
    for (auto& [agent, silence] : silences_)
    {
        if (silence.ended || now - silence.since <= memory_agent_timeout)
            continue;
        silence.ended = true;
        jobs_.on_agent_lost(agent);
    }
}

/// Closes the sessions of agents that left the group. Their runs are given up
/// only after the silence timeout, when they have ended for certain.
void job_host::remove_departed_agents()
{
    const auto now = clock_.now();
    for (auto at = departed_.begin(); at != departed_.end();)
    {
        const auto current = at++;
        if (now - current->second < settings_.departed_agent_retention)
            continue;
        const auto silence = silences_.find(current->first);
        if (agents_.is_attached(current->first))
        {
            silences_[current->first] = {now, false};
            agents_.remove(current->first);
            continue;
        }
        if (silence != silences_.end() && !silence->second.ended)
            continue;
        agents_.remove(current->first);
        dispatcher_.forget(current->first);
        silences_.erase(current->first);
        departed_.erase(current);
    }
}

/// Logs the load and the capacity of the group at a fixed interval.
void job_host::log_load()
{
    const auto now = clock_.now();
    if (now - load_logged_at_ < load_log_interval)
        return;
    load_logged_at_ = now;
    double free_cores = 0;
    double ready_cores = 0;
    for (const auto& [service, load] : dispatcher_.loads())
    {
        free_cores += load.free_cores;
        ready_cores += load.ready_cores;
    }
    log_change(log_level::info, "host_load",
               {{"jobs", jobs_.open_jobs()},
                {"tasks_waiting", dispatcher_.waiting()},
                {"agents", group_.size()},
                {"agents_linked", attached()},
                {"ready_cores", static_cast<std::int64_t>(ready_cores)},
                {"free_cores", static_cast<std::int64_t>(free_cores)}});
}

void job_host::schedule_dispatch()
{
    if (std::exchange(dispatching_, true))
        return;
    delay()(duration{0},
            [this]
            {
                dispatching_ = false;
                dispatcher_.dispatch();
            });
}

void job_host::collect(metric_page& page) const
{
    const auto& jobs = jobs_.stats();
    const auto& placed = dispatcher_.stats();
    const auto count = [&page](std::string_view name, std::string_view help,
                               std::uint64_t value)
    { page.counter(name, help, static_cast<double>(value)); };
    count("host_jobs_accepted_total", "Jobs accepted from entries",
          jobs.accepted);
    count("host_jobs_refused_total", "Jobs refused", jobs.refused);
    count("host_jobs_succeeded_total", "Jobs that succeeded", jobs.succeeded);
    count("host_jobs_failed_total", "Jobs that failed", jobs.failed);
    count("host_jobs_late_total", "Jobs ended after their objective",
          jobs.late);
    count("host_jobs_given_up_total",
          "Jobs given up because a result would be useless", jobs.given_up);
    count("host_jobs_withdrawn_total", "Jobs whose caller left",
          jobs.withdrawn);
    count("host_tasks_placed_total", "Start orders to agents", placed.placed);
    count("host_tasks_stopped_total", "Stop orders to agents", placed.stopped);
    count("host_order_batches_total", "Order batches sent to agents",
          placed.batches);
    count("host_jobs_demoted_total", "Jobs demoted under overload",
          placed.demoted);
    page.gauge("host_jobs_open", "Open jobs",
               static_cast<double>(jobs_.open_jobs()));
    page.gauge("host_agents", "Agents that this host places at",
               static_cast<double>(group_.size()));
    page.gauge("host_agents_linked", "Agents of the group with a session",
               static_cast<double>(attached()));
}

void job_host::agent_attached(const std::string& agent,
                              const server_report& report)
{
    dispatcher_.attached(agent, report);
    silences_[agent] = {clock_.now(), false};
}

void job_host::agent_detached(const std::string& agent)
{
    dispatcher_.detached(agent);
}

/// Counts the agent's silence from now at the latest, like the lease that is
/// sent with the order. The runs it starts have then ended by the time a silent
/// agent is given up.
void job_host::agent_ordered(const std::string& agent)
{
    auto& since = silences_[agent].since;
    since = std::min(since, clock_.now());
}

void job_host::agent_adopted(const std::string& agent, part_epoch part,
                             const lease_account& account)
{
    if (account.declined)
        return;
    dispatcher_.adopted(agent, part.part);
    jobs_.reconcile_agent(agent, account);
    schedule_dispatch();
}

void job_host::agent_reported(const std::string& agent,
                              const server_report& report,
                              const std::vector<run_end>& ends,
                              const std::vector<run_ref>& begun)
{
    silences_[agent] = {silent_since(clock_.now(), report.next_within), false};
    dispatcher_.reported(agent, report);
    for (const auto& run : begun)
        jobs_.began(run);
    for (const auto& end : ends)
        jobs_.ended(agent, end);
    schedule_dispatch();
}

} // namespace glenhollow
