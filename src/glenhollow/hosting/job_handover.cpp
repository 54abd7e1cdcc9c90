#include "glenhollow/hosting/job_handover.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

/// Cores that count as free where none is: a full group still gets its share
/// of the jobs if all are full.
constexpr double least_free = 0.05;

/// A group whose work waits so long gets half as many jobs as one with as much
/// room where none waits; about a third of a short task's slack.
constexpr double long_wait_ms = 30.0;

/// A host that is late with its answer gets this share of its jobs: none,
/// unless all are late.
constexpr double late_share = 1e-6;

/// A label that no sampled group has is believed to be needed again for so
/// long.
constexpr duration label_need = seconds{10};

} // namespace

std::size_t groups_per_entry(const job_handover_settings& settings,
                             std::size_t groups, std::size_t entries)
{
    const auto covering =
        (settings.entries_per_group * groups + entries - 1) / entries;
    return std::max(settings.sampled_groups, covering);
}

job_handover::job_handover(surroundings around,
                           const job_handover_settings& settings)
    : around_(std::move(around)), settings_(settings), ended_(settings.ends)
{
}

job_handover::~job_handover() = default;

bool job_handover::wanted(const entry_census& entries) const
{
    switch (settings_.mode)
    {
    case hosting_mode::always:
        return true;
    case hosting_mode::never:
        return false;
    case hosting_mode::automatic:
        break;
    }
    return entries.strongest <
           settings_.strong * around_.directory.agents().size();
}

void job_handover::tick(const entry_census& entries)
{
    const bool wanted = this->wanted(entries);
    if (wanted)
        divide(entries);
    else
        forget_groups();
    follow();
    ended_.forget_old(around_.clock.now());
    const bool now_active = wanted && hosts() > 0;
    if (now_active != active_)
        log_change(log_level::info, "jobs_handed_over",
                   {{"active", now_active},
                    {"groups", groups_.size()},
                    {"strongest_entry", entries.strongest}});
    active_ = now_active;
}

/// Agents that are away count as well: all entries know the same names, and
/// a group's cuts do not move when one of them restarts.
void job_handover::divide(const entry_census& entries)
{
    const auto& directory = around_.directory;
    if (sample_ && divided_ == directory.revision() &&
        divided_for_ == entries.count)
        return;
    divided_ = directory.revision();
    divided_for_ = entries.count;
    std::vector<std::string> names;
    for (const auto& [name, where] : directory.agents())
        names.push_back(name);
    auto all = divide_agents(std::move(names), settings_.group_agents);
    std::set<std::string> sample;
    groups_.clear();
    for (const auto index :
         sample_groups(around_.entry, all.size(),
                       groups_per_entry(settings_, all.size(), entries.count)))
    {
        hosted_group one;
        for (const auto& agent : all[index].agents)
        {
            one.agents.push_back({agent, directory.agents().at(agent)});
            sample.insert(agent);
        }
        one.names = std::move(all[index]);
        groups_.push_back(std::move(one));
    }
    if (sample_ == sample)
        return;
    sample_ = std::move(sample);
    ++sample_revision_;
}

void job_handover::forget_groups()
{
    groups_.clear();
    if (!sample_)
        return;
    sample_.reset();
    ++sample_revision_;
}

/// A host that is not chosen any more is followed until its jobs have ended.
void job_handover::follow()
{
    for (auto& group : groups_)
    {
        group.host = choose_host(group.names,
                                 [this](const std::string& agent)
                                 {
                                     const auto link = links_.find(agent);
                                     return around_.agents.is_attached(agent) &&
                                            (link == links_.end() ||
                                             !link->second->avoided());
                                 });
        if (group.host.empty())
            continue;
        auto& link = links_[group.host];
        if (!link)
            link = std::make_unique<host_link>(around_.clock, around_.agents,
                                               around_.later, group.host,
                                               settings_.link);
        link->tick(group.agents, check_interval());
    }
    for (auto at = links_.begin(); at != links_.end();)
    {
        const auto here = at++;
        auto& link = *here->second;
        const bool chosen = std::any_of(groups_.begin(), groups_.end(),
                                        [&here](const hosted_group& group)
                                        { return group.host == here->first; });
        if (chosen)
            continue;
        // One that stops is followed to its end, or its agent would be avoided
        // for good.
        if (link.open_jobs() > 0 || link.avoided())
            link.tick({}, check_interval());
        else
            links_.erase(here);
    }
}

/// Many hosts are each checked more rarely: an entry makes at most some 80
/// checks a second, up to the interval that silence leaves.
duration job_handover::check_interval() const
{
    constexpr duration share = milliseconds{12};
    return std::clamp(share * static_cast<duration::rep>(groups_.size()),
                      settings_.link.check, settings_.link.longest_check);
}

std::size_t job_handover::hosts() const
{
    return static_cast<std::size_t>(
        std::count_if(links_.begin(), links_.end(),
                      [](const auto& one) { return one.second->open(); }));
}

double job_handover::free_cores(const host_link& host,
                                const job_definition& job) const
{
    const auto* load = host.load(job.service);
    if (!host.prompt() || load == nullptr)
        return 0;
    return std::max(0.0, load->free_cores - host.sent_cores());
}

/// Jobs go where room is free, and where least waits for it.
double job_handover::weight(const host_link& host,
                            const job_definition& job) const
{
    const auto* load = host.load(job.service);
    if (!host.open() || load == nullptr || load->ready_cores <= 0)
        return 0;
    const double free = free_cores(host, job);
    const double wait_ms = load->waiting_work / load->ready_cores;
    const double share =
        (free + least_free * load->ready_cores) / (1 + wait_ms / long_wait_ms);
    return host.prompt() ? share : share * late_share;
}

bool job_handover::has_label(const hosted_group& group,
                             const std::string& label) const
{
    return label.empty() ||
           std::any_of(group.agents.begin(), group.agents.end(),
                       [this, &label](const agent_address& agent)
                       { return around_.has_label(agent.name, label); });
}

job_handover::label_fit job_handover::fit(const hosted_group& group,
                                          const job_definition& job) const
{
    auto best = label_fit::suitable;
    for (const auto& step : job.steps)
    {
        if (!has_label(group, step.label))
            return label_fit::none;
        if (!has_label(group, step.preferred_label))
            best = label_fit::far;
    }
    return best;
}

bool job_handover::lacks_label() const
{
    return label_missed_ && around_.clock.now() - *label_missed_ < label_need;
}

/// While most hosts are not followed yet, their labels are not known either.
void job_handover::note_missing_label(const job_definition& job)
{
    const bool known = 2 * hosts() >= groups_.size();
    const auto misses = [this, &job](const hosted_group& group)
    { return fit(group, job) == label_fit::none; };
    if (known && std::all_of(groups_.begin(), groups_.end(), misses))
        label_missed_ = around_.clock.now();
}

host_link* job_handover::choose(const job_definition& job,
                                const std::string& not_at)
{
    std::vector<host_choice> choices;
    auto best = label_fit::far;
    for (const auto& group : groups_)
    {
        const auto link = links_.find(group.host);
        if (link == links_.end() || group.host == not_at)
            continue;
        const host_choice one{group.host, weight(*link->second, job)};
        const auto suits = fit(group, job);
        if (one.weight <= 0 || suits < best)
            continue;
        if (suits > best)
            choices.clear(); // Groups with all labels go first.
        best = suits;
        choices.push_back(one);
    }
    if (choices.empty())
        note_missing_label(job);
    const auto drawn = draw_host(job.id, choices);
    return drawn == choices.size() ? nullptr
                                   : links_.at(choices[drawn].host).get();
}

/// @return The host with most room, if that is enough for the whole job.
host_link* job_handover::roomy(const job_definition& job,
                               const std::string& not_at)
{
    host_link* best = nullptr;
    double most = job.widest_cores();
    for (const auto& group : groups_)
    {
        const auto link = links_.find(group.host);
        if (link == links_.end() || group.host == not_at ||
            fit(group, job) != label_fit::suitable)
            continue;
        const double free = free_cores(*link->second, job);
        if (free < most)
            continue;
        best = link->second.get();
        most = free;
    }
    return best;
}

bool job_handover::submit(const job_definition& job, job_reply_handler done,
                          local_submit here)
{
    const auto known = jobs_.find(job.id);
    if (known != jobs_.end())
    {
        ++stats_.repeated;
        known->second.done.push_back(std::move(done));
        return true;
    }
    if (const auto ended = ended_.find(job.id))
    {
        ++stats_.repeated;
        done({job_outcome::done, *ended, {}});
        return true;
    }
    if (!active_)
        return false;
    auto* to = choose(job, {});
    if (to == nullptr)
    {
        ++stats_.no_host;
        return false;
    }
    handed_job handed;
    handed.job = job;
    handed.done.push_back(std::move(done));
    handed.here = std::move(here);
    const bool elsewhere = roomy(job, to->host()) != nullptr;
    hand(*to, jobs_.emplace(job.id, std::move(handed)).first->second,
         elsewhere);
    return true;
}

void job_handover::hand(host_link& to, handed_job& job, bool only_with_room)
{
    ++stats_.handed;
    job.host = to.host();
    to.submit(job.job, only_with_room, around_.wall_ms(),
              [this, id = job.job.id](const std::optional<job_reply>& reply)
              { answered(id, reply); });
}

void job_handover::answered(job_id id, const std::optional<job_reply>& reply)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
        return;
    if (!reply)
    {
        ++stats_.lost;
        return finish(id, {job_outcome::unknown, job_state::queued, {}});
    }
    if (reply->outcome != job_outcome::not_owner)
        return finish(id, *reply);
    // The host has no room, or takes no more jobs, and has done nothing.
    auto& job = known->second;
    host_link* to = nullptr;
    if (job.tries++ < settings_.tries)
        to = roomy(job.job, job.host);
    if (to == nullptr && job.tries <= settings_.tries)
        to = choose(job.job, {});
    if (to != nullptr)
    {
        ++stats_.again;
        return hand(*to, job, false);
    }
    ++stats_.no_host;
    auto moved = std::move(job);
    jobs_.erase(known);
    for (auto& done : moved.done)
        moved.here(moved.job, std::move(done));
}

void job_handover::finish(job_id id, const job_reply& reply)
{
    const auto known = jobs_.find(id);
    const auto waiters = std::move(known->second.done);
    jobs_.erase(known);
    if (reply.outcome == job_outcome::done)
        ended_.note(id, reply.state, around_.clock.now());
    for (const auto& waiter : waiters)
        waiter(reply);
}

bool job_handover::withdraw(job_id id)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
        return false;
    const auto link = links_.find(known->second.host);
    if (link != links_.end())
        link->second->withdraw(id);
    // Its caller has gone, and whoever else waits for it may ask again.
    finish(id, {job_outcome::unknown, job_state::queued, {}});
    return true;
}

bool job_handover::cancel(job_id id, job_reply_handler done)
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
    {
        const auto ended = ended_.find(id);
        if (ended)
            done({job_outcome::done, *ended, {}});
        return ended.has_value();
    }
    const auto link = links_.find(known->second.host);
    if (link == links_.end())
        return false;
    link->second->cancel(
        id,
        [done = std::move(done)](const std::optional<job_reply>& reply)
        {
            done(reply.value_or(
                job_reply{job_outcome::unknown, job_state::queued, {}}));
        });
    return true;
}

void job_handover::give_up_all()
{
    for (auto& [name, link] : links_)
    {
        for (const auto& [id, job] : jobs_)
        {
            if (job.host == name)
                link->withdraw(id);
        }
    }
    while (!jobs_.empty())
        finish(jobs_.begin()->first,
               {job_outcome::unknown, job_state::queued, {}});
}

void job_handover::close()
{
    for (auto& [name, link] : links_)
        link->close();
}

void job_handover::collect(metric_page& page) const
{
    const auto count = [&page](std::string_view name, std::string_view help,
                               std::uint64_t value)
    { page.counter(name, help, static_cast<double>(value)); };
    count("jobs_handed_over_total", "Jobs handed to hosts", stats_.handed);
    count("jobs_lost_with_host_total", "Of these, lost with their host",
          stats_.lost);
    count("jobs_handed_again_total", "Of these, to a second host",
          stats_.again);
    count("jobs_without_host_total", "Jobs for which no host was found",
          stats_.no_host);
    count("jobs_handed_repeated_total",
          "Submissions of a job that hosts have, or had until lately",
          stats_.repeated);
    page.gauge("job_hosts", "Hosts with an open session",
               static_cast<double>(hosts()));
    page.gauge("jobs_at_hosts", "Jobs that hosts have",
               static_cast<double>(jobs_.size()));
}

} // namespace glenhollow
