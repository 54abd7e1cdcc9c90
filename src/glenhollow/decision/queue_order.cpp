#include "glenhollow/decision/queue_order.hpp"

#include <algorithm>

namespace glenhollow
{

namespace
{

double in_seconds(instant time)
{
    return std::chrono::duration<double>(time).count();
}

/// Work of a task whose length nobody knows yet, s.
constexpr double assumed_task_seconds = 0.3;

} // namespace

double job_queue::key_of(const queued_job& job) const
{
    switch (settings_.order)
    {
    case queue_order_kind::first_come:
        return in_seconds(job.arrived);
    case queue_order_kind::earliest_deadline:
        return in_seconds(job.deadline);
    case queue_order_kind::least_work:
        break;
    }
    const double task =
        job.seconds_per_task > 0 ? job.seconds_per_task : assumed_task_seconds;
    return static_cast<double>(job.tasks_left) * task +
           settings_.aging * in_seconds(job.arrived);
}

void job_queue::insert(const queued_job& job)
{
    auto& team = teams_[job.team];
    // A team that was idle starts at the present, without credit.
    if (team.order.empty())
        team.finish = std::max(team.finish, virtual_time_);
    team.order.insert({key_of(job), job.sequence});
}

void job_queue::erase_place(const queued_job& job)
{
    teams_[job.team].order.erase({key_of(job), job.sequence});
}

void job_queue::push(const queued_job& job)
{
    jobs_.emplace(job.sequence, job);
    tasks_ += job.tasks_left;
    seconds_ += static_cast<double>(job.tasks_left) * job.seconds_per_task;
    insert(job);
}

void job_queue::demote(const queued_job& job)
{
    const auto known = jobs_.find(job.sequence);
    if (known == jobs_.end())
        return push(job);
    erase_place(known->second);
    ++known->second.tasks_left;
    ++tasks_;
    seconds_ += known->second.seconds_per_task;
    insert(known->second);
}

std::optional<std::uint64_t> job_queue::front() const
{
    const team_queue* best = nullptr;
    for (const auto& [name, team] : teams_)
    {
        if (!team.order.empty() && (!best || team.finish < best->finish))
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
    erase_place(job);
    virtual_time_ = std::max(virtual_time_, team.finish);
    team.finish += 1.0 / team.weight;
    --job.tasks_left;
    --tasks_;
    seconds_ -= job.seconds_per_task;
    if (job.tasks_left > 0)
    {
        team.order.insert({key_of(job), sequence});
        return;
    }
    jobs_.erase(sequence);
    if (jobs_.empty())
        seconds_ = 0;
}

void job_queue::remove(std::uint64_t sequence)
{
    const auto known = jobs_.find(sequence);
    if (known == jobs_.end())
        return;
    const auto& job = known->second;
    erase_place(job);
    tasks_ -= job.tasks_left;
    seconds_ -= static_cast<double>(job.tasks_left) * job.seconds_per_task;
    jobs_.erase(known);
}

void job_queue::apply(const job_queue_settings& settings)
{
    if (settings.order == settings_.order && settings.aging == settings_.aging)
        return;
    settings_ = settings;
    for (auto& [name, team] : teams_)
        team.order.clear();
    for (const auto& [sequence, job] : jobs_)
        teams_[job.team].order.insert({key_of(job), sequence});
}

void job_queue::set_weight(const std::string& team, double weight)
{
    teams_[team].weight = weight;
}

} // namespace glenhollow
