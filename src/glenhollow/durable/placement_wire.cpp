#include "glenhollow/durable/placement_wire.hpp"

#include "glenhollow/core/wire_bounds.hpp"
#include "glenhollow/durable/queue_catalog.hpp"
#include "glenhollow/runs/run_wire.hpp"

#include <utility>

namespace glenhollow
{

namespace
{

constexpr std::int64_t micros_per_ms = 1000;

/// Tasks that differ only in their index share one record.
bool same_group(const ready_task& a, const ready_task& b)
{
    return a.task.job == b.task.job && a.task.occurrence == b.task.occurrence &&
           a.task.step == b.task.step && a.avoid == b.avoid &&
           a.begun == b.begun;
}

using task_group = std::pair<const ready_task*, std::vector<std::uint32_t>>;

std::vector<task_group> grouped(const std::vector<ready_task>& tasks)
{
    std::vector<task_group> groups;
    for (const auto& task : tasks)
    {
        if (groups.empty() || !same_group(*groups.back().first, task))
            groups.emplace_back(&task, std::vector<std::uint32_t>{});
        groups.back().second.push_back(task.task.index);
    }
    return groups;
}

void fill_group(wire::WantedTasks::Builder out, const task_group& group,
                instant now)
{
    const auto& task = *group.first;
    out.setJob(task.task.job);
    out.setOccurrence(task.task.occurrence);
    out.setStep(task.task.step);
    auto indices = out.initIndices(static_cast<unsigned>(group.second.size()));
    for (unsigned i = 0; i < indices.size(); ++i)
        indices.set(i, group.second[i]);
    out.setService(task.service);
    out.setLabel(task.label);
    out.setPreferredLabel(task.preferred_label);
    out.setCpu(task.needs.cpu);
    out.setMemory(task.needs.memory);
    out.setGpu(task.needs.gpu);
    out.setPriority(task.priority);
    out.setSlackMicros(
        std::chrono::duration_cast<microseconds>(task.start_by - now).count());
    out.setEstimateMs(task.estimate_ms);
    out.setAvoid(task.avoid);
    out.setBegun(task.begun);
}

/// Skips records with more tasks than a job may have: they are invalid, and
/// would use many times their size here.
void read_group(wire::WantedTasks::Reader in, instant now,
                std::vector<ready_task>& tasks)
{
    if (in.getIndices().size() > max_job_tasks)
        return;
    ready_task task;
    task.task = {in.getJob(), in.getOccurrence(), in.getStep(), 0};
    task.service = in.getService();
    task.label = in.getLabel();
    task.preferred_label = in.getPreferredLabel();
    task.needs = {in.getCpu(), in.getMemory(), in.getGpu()};
    task.priority = in.getPriority();
    const auto slack_ms = told_length_ms(in.getSlackMicros() / micros_per_ms);
    task.start_by = now + milliseconds{slack_ms} +
                    microseconds{in.getSlackMicros() % micros_per_ms};
    task.estimate_ms = in.getEstimateMs();
    task.avoid = in.getAvoid();
    task.begun = in.getBegun();
    for (const auto index : in.getIndices())
    {
        task.task.index = index;
        tasks.push_back(task);
    }
}

} // namespace

void fill(wire::PlacementSession::WantParams::Builder out,
          const placement_update& message, instant now)
{
    out.setRestart(message.restart);
    const auto groups = grouped(message.changes.added);
    auto tasks = out.initTasks(static_cast<unsigned>(groups.size()));
    for (unsigned i = 0; i < tasks.size(); ++i)
        fill_group(tasks[i], groups[i], now);
    const auto& gone = message.changes.withdrawn;
    auto withdrawn = out.initWithdrawn(static_cast<unsigned>(gone.size()));
    for (unsigned i = 0; i < withdrawn.size(); ++i)
        fill(withdrawn[i], gone[i]);
    const auto& refused = message.declined;
    auto declined = out.initDeclined(static_cast<unsigned>(refused.size()));
    for (unsigned i = 0; i < declined.size(); ++i)
    {
        declined[i].setAgent(refused[i].agent);
        declined[i].setNumber(refused[i].number);
        declined[i].setUnreachable(refused[i].unreachable);
    }
}

placement_update from_wire(wire::PlacementSession::WantParams::Reader in,
                           instant now)
{
    placement_update message;
    message.restart = in.getRestart();
    for (auto group : in.getTasks())
        read_group(group, now, message.changes.added);
    for (auto task : in.getWithdrawn())
        message.changes.withdrawn.push_back(from_wire(task));
    for (auto grant : in.getDeclined())
        message.declined.push_back(
            {grant.getAgent(), grant.getNumber(), grant.getUnreachable()});
    return message;
}

void fill(wire::PlacementSession::WantResults::Builder out,
          const std::map<std::string, placement_load>& loads)
{
    auto list = out.initLoads(static_cast<unsigned>(loads.size()));
    unsigned at = 0;
    for (const auto& [service, load] : loads)
    {
        auto one = list[at++];
        one.setService(service);
        one.setReadyCores(load.ready_cores);
        one.setFreeCores(load.free_cores);
        one.setWaitingWork(load.waiting_work);
    }
}

placement_load load_from(wire::PlacementLoad::Reader in)
{
    return {told_amount(in.getReadyCores()), told_amount(in.getFreeCores()),
            told_amount(in.getWaitingWork())};
}

std::map<std::string, placement_load>
from_wire(wire::PlacementSession::WantResults::Reader in)
{
    std::map<std::string, placement_load> loads;
    for (auto one : in.getLoads())
        loads[one.getService()] = load_from(one);
    return loads;
}

void fill(wire::TaskGrant::Builder out, const task_grant& grant)
{
    fill(out.initTask(), grant.task);
    out.setAgent(grant.agent);
    out.setNumber(grant.number);
}

task_grant from_wire(wire::TaskGrant::Reader in)
{
    return {from_wire(in.getTask()), in.getAgent(), in.getNumber()};
}

} // namespace glenhollow
