#include "glenhollow/hosting/job_handover.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

/// Share of the ready cores that counts as free even if none is, so that full
/// groups still get jobs when all groups are full.
constexpr double min_free_share = 0.05;

/// Waiting time in ms that halves a host's weight; about a third of the slack
/// of a short task.
constexpr double half_weight_wait_ms = 30.0;

/// Weight factor of a host that is late with its answer; it gets jobs only if
/// all hosts are late.
constexpr double unresponsive_weight_factor = 1e-6;

/// Time for which a label that no sampled group has counts as needed.
constexpr duration missing_label_retention = seconds{10};

} // namespace

std::size_t groups_per_entry(const job_handover_settings& settings,
                             std::size_t groups, std::size_t entries)
{
    const auto covering_count =
        (settings.entries_per_group * groups + entries - 1) / entries;
    return std::max(settings.sampled_groups, covering_count);
}

job_handover::job_handover(dependencies dependencies,
                           const job_handover_settings& settings)
    : dependencies_(std::move(dependencies)), settings_(settings),
      ended_(settings.ends)
{
}

job_handover::~job_handover() = default;

bool job_handover::should_hand_over(const entry_statistics& entries) const
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
    return entries.max_millicores < settings_.strong_entry_millicores *
                                        dependencies_.directory.agents().size();
}

void job_handover::tick(const entry_statistics& entries)
{
    const bool should_hand_over = this->should_hand_over(entries);
    if (should_hand_over)
        update_groups(entries);
    else
        clear_groups();
    update_links();
    ended_.expire(dependencies_.clock.now());
    const bool now_active = should_hand_over && hosts() > 0;
    if (now_active != active_)
        log_change(log_level::info, "job_handover_changed",
                   {{"active", now_active},
                    {"groups", groups_.size()},
                    {"max_entry_millicores", entries.max_millicores}});
    active_ = now_active;
}

/// Divides all agents and samples the groups of this entry. Detached agents are
/// included, so that all entries get the same groups and the groups do not
/// change when an agent restarts.
void job_handover::update_groups(const entry_statistics& entries)
{
    const auto& directory = dependencies_.directory;
    if (sample_ && divided_revision_ == directory.revision() &&
        divided_entry_count_ == entries.count)
        return;
    divided_revision_ = directory.revision();
    divided_entry_count_ = entries.count;
    std::vector<std::string> names;
    for (const auto& [name, where] : directory.agents())
        names.push_back(name);
    auto all_groups =
        divide_agents(std::move(names), settings_.agents_per_group);
    std::set<std::string> sample;
    groups_.clear();
    for (const auto index : sample_groups(
             dependencies_.entry, all_groups.size(),
             groups_per_entry(settings_, all_groups.size(), entries.count)))
    {
        hosted_group group;
        for (const auto& agent : all_groups[index].agents)
        {
            group.agents.push_back({agent, directory.agents().at(agent)});
            sample.insert(agent);
        }
        group.names = std::move(all_groups[index]);
        groups_.push_back(std::move(group));
    }
    if (sample_ == sample)
        return;
    sample_ = std::move(sample);
    ++sample_revision_;
}

void job_handover::clear_groups()
{
    groups_.clear();
    if (!sample_)
        return;
    sample_.reset();
    ++sample_revision_;
}

/// Chooses the host of each group and ticks its link. The link to a host that
/// is no longer chosen is kept until its jobs have ended.
void job_handover::update_links()
{
    for (auto& group : groups_)
    {
        group.host = choose_host(
            group.names,
            [this](const std::string& agent)
            {
                const auto link = links_.find(agent);
                return dependencies_.agents.is_attached(agent) &&
                       (link == links_.end() || !link->second->is_avoided());
            });
        if (group.host.empty())
            continue;
        auto& link = links_[group.host];
        if (!link)
            link = std::make_unique<host_link>(
                dependencies_.clock, dependencies_.agents, dependencies_.post,
                group.host, settings_.link);
        link->tick(group.agents, check_interval());
    }
    for (auto at = links_.begin(); at != links_.end();)
    {
        const auto current = at++;
        auto& link = *current->second;
        const bool chosen = std::any_of(groups_.begin(), groups_.end(),
                                        [&current](const hosted_group& group) {
                                            return group.host == current->first;
                                        });
        if (chosen)
            continue;
        // A stopping host is ticked until its session ends; otherwise its agent
        // would be avoided forever.
        if (link.open_jobs() > 0 || link.is_avoided())
            link.tick({}, check_interval());
        else
            links_.erase(current);
    }
}

/// Checks are spaced out as the number of hosts grows, to limit their total
/// rate, up to the interval that the hosts' silence timeout allows.
duration job_handover::check_interval() const
{
    constexpr duration interval_per_group = milliseconds{12};
    return std::clamp(
        interval_per_group * static_cast<duration::rep>(groups_.size()),
        settings_.link.check_interval, settings_.link.max_check_interval);
}

std::size_t job_handover::hosts() const
{
    return static_cast<std::size_t>(
        std::count_if(links_.begin(), links_.end(),
                      [](const auto& one) { return one.second->is_open(); }));
}

double job_handover::free_cores(const host_link& host,
                                const job_definition& job) const
{
    const auto* load = host.load(job.service);
    if (!host.is_responsive() || load == nullptr)
        return 0;
    return std::max(0.0, load->free_cores - host.sent_cores());
}

/// Weights hosts by their free cores, reduced by the time that work waits.
double job_handover::weight(const host_link& host,
                            const job_definition& job) const
{
    const auto* load = host.load(job.service);
    if (!host.is_open() || load == nullptr || load->ready_cores <= 0)
        return 0;
    const double free = free_cores(host, job);
    const double wait_ms = load->waiting_work / load->ready_cores;
    const double share = (free + min_free_share * load->ready_cores) /
                         (1 + wait_ms / half_weight_wait_ms);
    return host.is_responsive() ? share : share * unresponsive_weight_factor;
}

bool job_handover::has_label(const hosted_group& group,
                             const std::string& label) const
{
    return label.empty() ||
           std::any_of(group.agents.begin(), group.agents.end(),
                       [this, &label](const agent_address& agent)
                       { return dependencies_.has_label(agent.name, label); });
}

job_handover::label_match
job_handover::match_labels(const hosted_group& group,
                           const job_definition& job) const
{
    auto best = label_match::all_present;
    for (const auto& step : job.steps)
    {
        if (!has_label(group, step.label))
            return label_match::missing_required;
        if (!has_label(group, step.preferred_label))
            best = label_match::missing_preferred;
    }
    return best;
}

bool job_handover::lacks_label() const
{
    return label_missed_at_ && dependencies_.clock.now() - *label_missed_at_ <
                                   missing_label_retention;
}

/// Remembers a label that no sampled group has. Labels are known only where
/// hosts are linked, so nothing is noted until that is at least half of them.
void job_handover::note_missing_label(const job_definition& job)
{
    const bool labels_known = 2 * hosts() >= groups_.size();
    const auto misses_label = [this, &job](const hosted_group& group)
    { return match_labels(group, job) == label_match::missing_required; };
    if (labels_known &&
        std::all_of(groups_.begin(), groups_.end(), misses_label))
        label_missed_at_ = dependencies_.clock.now();
}

host_link* job_handover::choose_link(const job_definition& job,
                                     const std::string& excluded_host)
{
    std::vector<host_choice> choices;
    auto best = label_match::missing_preferred;
    for (const auto& group : groups_)
    {
        const auto link = links_.find(group.host);
        if (link == links_.end() || group.host == excluded_host)
            continue;
        const host_choice choice{group.host, weight(*link->second, job)};
        const auto match = match_labels(group, job);
        if (choice.weight <= 0 || match < best)
            continue;
        if (match > best)
            choices.clear(); // Better label matches take precedence.
        best = match;
        choices.push_back(choice);
    }
    if (choices.empty())
        note_missing_label(job);
    const auto choice_index = draw_host(job.id, choices);
    return choice_index == choices.size()
               ? nullptr
               : links_.at(choices[choice_index].host).get();
}

/// @return The host with the most free cores, if they suffice for the whole
/// job; null otherwise.
host_link* job_handover::link_with_room(const job_definition& job,
                                        const std::string& excluded_host)
{
    host_link* best = nullptr;
    double max_free_cores = job.peak_cores();
    for (const auto& group : groups_)
    {
        const auto link = links_.find(group.host);
        if (link == links_.end() || group.host == excluded_host ||
            match_labels(group, job) != label_match::all_present)
            continue;
        const double free = free_cores(*link->second, job);
        if (free < max_free_cores)
            continue;
        best = link->second.get();
        max_free_cores = free;
    }
    return best;
}

bool job_handover::submit(const job_definition& job, job_reply_handler done,
                          local_submit run_locally)
{
    const auto found = jobs_.find(job.id);
    if (found != jobs_.end())
    {
        ++stats_.repeated;
        found->second.done.push_back(std::move(done));
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
    auto* target = choose_link(job, {});
    if (target == nullptr)
    {
        ++stats_.without_host;
        return false;
    }
    handed_job handed;
    handed.job = job;
    handed.done.push_back(std::move(done));
    handed.run_locally = std::move(run_locally);
    const bool other_has_room = link_with_room(job, target->host()) != nullptr;
    send(*target, jobs_.emplace(job.id, std::move(handed)).first->second,
         other_has_room);
    return true;
}

void job_handover::send(host_link& target, handed_job& job, bool only_with_room)
{
    ++stats_.handed;
    job.host = target.host();
    target.submit(job.job, only_with_room, dependencies_.wall_ms(),
                  [this, id = job.job.id](const std::optional<job_reply>& reply)
                  { handle_reply(id, reply); });
}

void job_handover::handle_reply(job_id id,
                                const std::optional<job_reply>& reply)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    if (!reply)
    {
        ++stats_.lost;
        return finish(id, {job_outcome::unknown, job_state::queued, {}});
    }
    if (reply->outcome != job_outcome::not_owner)
        return finish(id, *reply);
    // The host has no room or takes no more jobs; it has done nothing.
    auto& job = found->second;
    host_link* target = nullptr;
    if (job.attempts++ < settings_.max_hosts_per_job)
        target = link_with_room(job.job, job.host);
    if (target == nullptr && job.attempts <= settings_.max_hosts_per_job)
        target = choose_link(job.job, {});
    if (target != nullptr)
    {
        ++stats_.reassigned;
        return send(*target, job, false);
    }
    ++stats_.without_host;
    auto moved = std::move(job);
    jobs_.erase(found);
    for (auto& done : moved.done)
        moved.run_locally(moved.job, std::move(done));
}

void job_handover::finish(job_id id, const job_reply& reply)
{
    const auto found = jobs_.find(id);
    const auto waiters = std::move(found->second.done);
    jobs_.erase(found);
    if (reply.outcome == job_outcome::done)
        ended_.record(id, reply.state, dependencies_.clock.now());
    for (const auto& waiter : waiters)
        waiter(reply);
}

bool job_handover::withdraw(job_id id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return false;
    const auto link = links_.find(found->second.host);
    if (link != links_.end())
        link->second->withdraw(id);
    // The caller has left; any other waiter may resubmit the job.
    finish(id, {job_outcome::unknown, job_state::queued, {}});
    return true;
}

bool job_handover::cancel(job_id id, job_reply_handler done)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
    {
        const auto ended = ended_.find(id);
        if (ended)
            done({job_outcome::done, *ended, {}});
        return ended.has_value();
    }
    const auto link = links_.find(found->second.host);
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
    count("jobs_handed_over_total", "Jobs handed to hosts, resends included",
          stats_.handed);
    count("jobs_lost_with_host_total", "Jobs whose host was lost", stats_.lost);
    count("jobs_handed_again_total", "Jobs handed to a second host",
          stats_.reassigned);
    count("jobs_without_host_total", "Jobs for which no host was found",
          stats_.without_host);
    count("jobs_handed_repeated_total",
          "Submissions of a job that is at a host or ended there recently",
          stats_.repeated);
    page.gauge("job_hosts", "Hosts with an open session",
               static_cast<double>(hosts()));
    page.gauge("jobs_at_hosts", "Jobs at hosts",
               static_cast<double>(jobs_.size()));
}

} // namespace glenhollow
