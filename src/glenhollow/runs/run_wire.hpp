#ifndef GLENHOLLOW_RUNS_RUN_WIRE_HPP
#define GLENHOLLOW_RUNS_RUN_WIRE_HPP

#include "glenhollow/runs/run_manager.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

namespace glenhollow
{

/// @param out Gets the task.
/// @param task A task.
void fill(wire::TaskRef::Builder out, const task_ref& task);

/// @param in A task on the wire.
/// @return The task.
task_ref from_wire(wire::TaskRef::Reader in);

/// @param out Gets the run.
/// @param run A run.
void fill(wire::RunRef::Builder out, const run_ref& run);

/// @param in A run on the wire.
/// @return The run.
run_ref from_wire(wire::RunRef::Reader in);

/// @param out Gets the end.
/// @param end A run's end.
void fill(wire::RunEnd::Builder out, const run_end& end);

/// @param in An end on the wire.
/// @return The end.
run_end from_wire(wire::RunEnd::Reader in);

/// @param out Gets the order.
/// @param order A start.
void fill(wire::RunOrder::Builder out, const run_order& order);

/// @param in An order on the wire.
/// @return The order.
run_order from_wire(wire::RunOrder::Reader in);

/// @param out Gets the run.
/// @param run A run that has not ended.
void fill(wire::RunState::Builder out, const listed_run& run);

/// @param in A run on the wire.
/// @return The run.
listed_run from_wire(wire::RunState::Reader in);

/// A runner as its agent reports it to one session.
struct server_report
{
    server_account account;     ///< What it says of itself.
    server_load load;           ///< What is taken.
    std::uint64_t received = 0; ///< Order batches of the session seen.
    bool has_account = true;    ///< All of the account, not its phase alone.
    std::vector<std::uint32_t> granted; ///< Grants of the receiver whose
                                        ///< orders have come since.
    duration next_within{}; ///< The next report leaves within this time.
    instant sent_at{};      ///< By the agent's clock.
};

/// @param out Gets the report.
/// @param report A runner.
void fill(wire::RunnerState::Builder out, const server_report& report);

/// @param in A runner on the wire.
/// @return The report.
server_report from_wire(wire::RunnerState::Reader in);

/// A part and whose it is.
struct part_epoch
{
    part_number part = 0;    ///< The part.
    std::uint32_t epoch = 0; ///< Counts its owners.

    bool operator==(const part_epoch&) const = default;
};

/// @param out Gets the part.
/// @param part A part and whose it is.
void fill(wire::PartEpoch::Builder out, const part_epoch& part);

/// @param in A part on the wire.
/// @return The part.
part_epoch from_wire(wire::PartEpoch::Reader in);

/// Orders that go to one agent together.
struct order_batch
{
    std::vector<run_order> starts;  ///< To start.
    std::vector<run_ref> stops;     ///< To stop.
    std::vector<run_order> sizes;   ///< What found runs take.
    std::vector<run_end> confirmed; ///< Ends that are in the journal.
    instant leased_at{}; ///< The lease of the entry's jobs in memory begins
                         ///< then by the agent's clock; 0: not.

    /// @return Whether there is nothing to say.
    bool empty() const
    {
        return starts.empty() && stops.empty() && sizes.empty() &&
               confirmed.empty();
    }
};

/// @param out Gets the ends.
/// @param ends Ends of runs.
void fill(capnp::List<wire::RunEnd>::Builder out,
          const std::vector<run_end>& ends);

/// @param in Ends on the wire.
/// @return The ends.
std::vector<run_end> from_wire(capnp::List<wire::RunEnd>::Reader in);

/// @param out Gets the batch.
/// @param batch Orders.
void fill(wire::OrderBatch::Builder out, const order_batch& batch);

/// @param in A batch on the wire.
/// @return The orders.
order_batch from_wire(wire::OrderBatch::Reader in);

} // namespace glenhollow

#endif
