#include "glenhollow/decision/queue_order.hpp"

#include <algorithm>

namespace glenhollow
{

namespace
{

double to_seconds(instant time)
{
    return std::chrono::duration<double>(time).count();
}

/// Assumed duration of a task whose expected duration is unknown, s.
constexpr double default_task_seconds = 0.3;

} // namespace

double job_queue::sort_key(const queued_job& job) const
{
    switch (settings_.order)
    {
    case queue_order_kind::first_come:
        return to_seconds(job.arrived);
    case queue_order_kind::earliest_deadline:
        return to_seconds(job.deadline);
    case queue_order_kind::least_work:
        break;
    }
    const double task_seconds =
        job.seconds_per_task > 0 ? job.seconds_per_task : default_task_seconds;
    return static_cast<double>(job.tasks_left) * task_seconds +
           settings_.aging * to_seconds(job.arrived);
}

void job_queue::insert(const queued_job& job)
{
    auto& team = teams_[job.team];
    // An account that was idle gets no credit for the time without jobs.
    if (team.order.empty())
        team.virtual_finish = std::max(team.virtual_finish, virtual_time_);
    team.order.insert({sort_key(job), job.sequence});
}

void job_queue::erase_position(const queued_job& job)
{
    teams_[job.team].order.erase({sort_key(job), job.sequence});
}

void job_queue::push(const queued_job& job)
{
    jobs_.emplace(job.sequence, job);
    task_count_ += job.tasks_left;
    work_seconds_ += static_cast<double>(job.tasks_left) * job.seconds_per_task;
    insert(job);
}

void job_queue::requeue_task(const queued_job& job)
{
    const auto found = jobs_.find(job.sequence);
    if (found == jobs_.end())
        return push(job);
    erase_position(found->second);
    ++found->second.tasks_left;
    ++task_count_;
    work_seconds_ += found->second.seconds_per_task;
    insert(found->second);
}

std::optional<std::uint64_t> job_queue::front() const
{
    const team_queue* best = nullptr;
    for (const auto& [name, team] : teams_)
    {
        if (!team.order.empty() &&
            (!best || team.virtual_finish < best->virtual_finish))
            best = &team;
    }
    if (!best)
        return std::nullopt;
    return best->order.begin()->sequence;
}

void job_queue::take_task(std::uint64_t sequence)
{
    auto& job = jobs_.at(sequence);
    auto& team = teams_[job.team];
    erase_position(job);
    virtual_time_ = std::max(virtual_time_, team.virtual_finish);
    team.virtual_finish += 1.0 / team.weight;
    --job.tasks_left;
    --task_count_;
    work_seconds_ -= job.seconds_per_task;
    if (job.tasks_left > 0)
    {
        team.order.insert({sort_key(job), sequence});
        return;
    }
    jobs_.erase(sequence);
    if (jobs_.empty())
        work_seconds_ = 0;
}

void job_queue::remove(std::uint64_t sequence)
{
    const auto found = jobs_.find(sequence);
    if (found == jobs_.end())
        return;
    const auto& job = found->second;
    erase_position(job);
    task_count_ -= job.tasks_left;
    work_seconds_ -= static_cast<double>(job.tasks_left) * job.seconds_per_task;
    jobs_.erase(found);
}

void job_queue::apply(const job_queue_settings& settings)
{
    if (settings.order == settings_.order && settings.aging == settings_.aging)
        return;
    settings_ = settings;
    for (auto& [name, team] : teams_)
        team.order.clear();
    for (const auto& [sequence, job] : jobs_)
        teams_[job.team].order.insert({sort_key(job), sequence});
}

void job_queue::set_weight(const std::string& team, double weight)
{
    teams_[team].weight = weight;
}

} // namespace glenhollow
