#include "glenhollow/runs/run_wire.hpp"

#include "glenhollow/core/wire_bounds.hpp"

namespace glenhollow
{

namespace
{

std::string text(capnp::Text::Reader in)
{
    return {in.cStr(), in.size()};
}

void fill_account(wire::RunnerState::Builder out, const server_account& account)
{
    out.setService(account.service);
    out.setInstance(account.instance);
    out.setBorn(account.born_ms);
    out.setZone(account.zone);
    auto labels = out.initLabels(static_cast<unsigned>(account.labels.size()));
    for (unsigned i = 0; i < labels.size(); ++i)
        labels.set(i, account.labels[i].c_str());
    out.setCpu(account.capacity.cpu);
    out.setMemory(account.capacity.memory);
    out.setGpu(account.capacity.gpu);
}

server_account account_from(wire::RunnerState::Reader in)
{
    server_account account;
    account.service = text(in.getService());
    account.instance = text(in.getInstance());
    account.born_ms = in.getBorn();
    account.zone = text(in.getZone());
    for (auto label : in.getLabels())
        account.labels.push_back(text(label));
    account.capacity = {in.getCpu(), in.getMemory(), in.getGpu()};
    return account;
}

constexpr double per_thousand = 1000.0;

std::uint32_t to_ms(duration length)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(length).count());
}

void fill_room(wire::RunnerState::Builder out, const server_load& load)
{
    out.setUsedCpu(load.used.cpu);
    out.setUsedMemory(load.used.memory);
    out.setUsedGpu(load.used.gpu);
    out.setWaiting(load.waiting);
    if (load.leaves_in)
        out.setLeavesIn(1 + to_ms(*load.leaves_in));
    out.setColdMs(to_ms(load.cold));
    out.setPaceMilli(static_cast<std::uint32_t>(load.pace * per_thousand));
}

server_load room_from(wire::RunnerState::Reader in)
{
    server_load load;
    load.used = {in.getUsedCpu(), in.getUsedMemory(), in.getUsedGpu()};
    load.waiting = in.getWaiting();
    if (in.getLeavesIn() > 0)
        load.leaves_in = milliseconds{in.getLeavesIn() - 1};
    load.cold = milliseconds{in.getColdMs()};
    load.pace = in.getPaceMilli() / per_thousand;
    return load;
}

template <class List, class Items>
void fill_all(List list, const Items& items)
{
    unsigned at = 0;
    for (const auto& item : items)
        fill(list[at++], item);
}

template <class Item, class List>
std::vector<Item> all_from(List list)
{
    std::vector<Item> items;
    items.reserve(list.size());
    for (auto item : list)
        items.push_back(from_wire(item));
    return items;
}

} // namespace

void fill(wire::TaskRef::Builder out, const task_ref& task)
{
    out.setJob(task.job);
    out.setOccurrence(task.occurrence);
    out.setStep(task.step);
    out.setIndex(task.index);
}

task_ref from_wire(wire::TaskRef::Reader in)
{
    return {in.getJob(), in.getOccurrence(), in.getStep(), in.getIndex()};
}

void fill(wire::RunRef::Builder out, const run_ref& run)
{
    fill(out.initTask(), run.task);
    out.setRun(run.run);
}

run_ref from_wire(wire::RunRef::Reader in)
{
    return {from_wire(in.getTask()), in.getRun()};
}

void fill(wire::RunEnd::Builder out, const run_end& end)
{
    fill(out.initTask(), end.run.task);
    out.setRun(end.run.run);
    out.setHow(static_cast<std::uint8_t>(end.outcome));
    out.setNumber(end.number);
    out.setMicros(end.duration_us);
    out.setClaimed(end.claimed);
}

/// Reads an outcome unknown to this version as `lapsed`, which does not count
/// as an attempt.
run_end from_wire(wire::RunEnd::Reader in)
{
    return {{from_wire(in.getTask()), in.getRun()},
            from_index(in.getHow(), run_outcome::lapsed),
            in.getNumber(),
            in.getMicros(),
            in.getClaimed()};
}

void fill(wire::RunOrder::Builder out, const run_order& order)
{
    fill(out.initTask(), order.run.task);
    out.setRun(order.run.run);
    out.setEpoch(order.epoch);
    out.setCpu(order.needs.cpu);
    out.setMemory(order.needs.memory);
    out.setGpu(order.needs.gpu);
    out.setUrgency(order.urgency);
    out.setSpec(order.spec);
    out.setEstimateMs(order.estimate_ms);
    out.setPlacer(order.placer);
    out.setGrant(order.grant);
    out.setExpectedMs(order.expected_ms);
    out.setUsefulMs(order.useful_ms);
    out.setSubmitter(order.submitter);
    out.setServerLife(order.incarnation_number);
}

run_order from_wire(wire::RunOrder::Reader in)
{
    run_order order;
    order.run = {from_wire(in.getTask()), in.getRun()};
    order.epoch = in.getEpoch();
    order.needs = {in.getCpu(), in.getMemory(), in.getGpu()};
    order.urgency = in.getUrgency();
    order.spec = text(in.getSpec());
    order.estimate_ms = in.getEstimateMs();
    order.placer = in.getPlacer();
    order.grant = in.getGrant();
    order.expected_ms = in.getExpectedMs();
    order.useful_ms = in.getUsefulMs();
    order.submitter = in.getSubmitter();
    order.incarnation_number = in.getServerLife();
    return order;
}

void fill(wire::RunState::Builder out, const listed_run& run)
{
    fill(out.initTask(), run.run.task);
    out.setRun(run.run.run);
    out.setPhase(static_cast<std::uint8_t>(run.phase));
    out.setSized(run.are_needs_known);
}

listed_run from_wire(wire::RunState::Reader in)
{
    return {{from_wire(in.getTask()), in.getRun()},
            from_index(in.getPhase(), run_phase::running),
            in.getSized()};
}

void fill(wire::RunnerState::Builder out, const server_report& report)
{
    out.setWhole(report.has_account);
    if (report.has_account)
        fill_account(out, report.account);
    out.setPhase(static_cast<std::uint8_t>(report.account.phase));
    fill_room(out, report.load);
    out.setReceived(report.received);
    out.setLife(report.incarnation_number);
}

server_report from_wire(wire::RunnerState::Reader in)
{
    server_report report;
    report.has_account = in.getWhole();
    if (report.has_account)
        report.account = account_from(in);
    report.account.phase = from_index(in.getPhase(), server_phase::absent);
    report.load = room_from(in);
    report.received = in.getReceived();
    report.incarnation_number = in.getLife();
    return report;
}

void fill(wire::PartEpoch::Builder out, const part_epoch& part)
{
    out.setPart(part.part);
    out.setEpoch(part.epoch);
}

part_epoch from_wire(wire::PartEpoch::Reader in)
{
    return {in.getPart(), in.getEpoch()};
}

void fill(capnp::List<wire::RunEnd>::Builder out,
          const std::vector<run_end>& ends)
{
    fill_all(out, ends);
}

std::vector<run_end> from_wire(capnp::List<wire::RunEnd>::Reader in)
{
    return all_from<run_end>(in);
}

void fill(wire::SubmitterLease::Builder out, const submitter_lease& lease)
{
    out.setSubmitter(lease.submitter);
    out.setLeasedAt(lease.leased_at.count());
}

submitter_lease from_wire(wire::SubmitterLease::Reader in)
{
    return {in.getSubmitter(), told_instant(in.getLeasedAt())};
}

void fill(capnp::List<wire::SubmitterLease>::Builder out,
          const std::vector<submitter_lease>& leases)
{
    fill_all(out, leases);
}

std::vector<submitter_lease>
from_wire(capnp::List<wire::SubmitterLease>::Reader in)
{
    return all_from<submitter_lease>(in);
}

void fill(wire::OrderBatch::Builder out, const order_batch& batch)
{
    const auto size = [](const auto& items)
    { return static_cast<unsigned>(items.size()); };
    fill_all(out.initStarts(size(batch.starts)), batch.starts);
    fill_all(out.initStops(size(batch.stops)), batch.stops);
    fill_all(out.initSizes(size(batch.sizes)), batch.sizes);
    fill_all(out.initConfirmed(size(batch.confirmed)), batch.confirmed);
    out.setLeasedAt(batch.leased_at.count());
    fill_all(out.initSubmitters(size(batch.submitters)), batch.submitters);
}

order_batch from_wire(wire::OrderBatch::Reader in)
{
    return {all_from<run_order>(in.getStarts()),
            all_from<run_ref>(in.getStops()),
            all_from<run_order>(in.getSizes()),
            all_from<run_end>(in.getConfirmed()),
            told_instant(in.getLeasedAt()),
            all_from<submitter_lease>(in.getSubmitters())};
}

} // namespace glenhollow
