#ifndef GLENHOLLOW_RUNS_RUN_WIRE_HPP
#define GLENHOLLOW_RUNS_RUN_WIRE_HPP

#include "glenhollow/runs/run_manager.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

namespace glenhollow
{

/// Writes the task to a message.
void fill(wire::TaskRef::Builder out, const task_ref& task);

/// @return The task in the message.
task_ref from_wire(wire::TaskRef::Reader in);

/// Writes the run to a message.
void fill(wire::RunRef::Builder out, const run_ref& run);

/// @return The run in the message.
run_ref from_wire(wire::RunRef::Reader in);

/// Writes the end of a run to a message.
void fill(wire::RunEnd::Builder out, const run_end& end);

/// @return The end of a run in the message.
run_end from_wire(wire::RunEnd::Reader in);

/// Writes the order to a message.
void fill(wire::RunOrder::Builder out, const run_order& order);

/// @return The order in the message.
run_order from_wire(wire::RunOrder::Reader in);

/// Writes the listed run to a message.
void fill(wire::RunState::Builder out, const listed_run& run);

/// @return The listed run in the message.
listed_run from_wire(wire::RunState::Reader in);

/// State of a backend server as its agent reports it to one session.
struct server_report
{
    server_account account;
    server_load load;
    /// Number of order batches received in the session.
    std::uint64_t received = 0;
    bool has_account = true; ///< False: only the phase of the account is sent.
    /// Grants of the receiver whose orders have arrived since the last report.
    std::vector<std::uint32_t> granted;
    duration next_within{}; ///< Maximum time until the next report.
    instant sent_at{};      ///< Time of sending by the agent's clock.
    /// Number of the backend server's incarnation; see
    /// run_manager::incarnation_number(). 0: unknown.
    std::uint32_t incarnation_number = 0;
};

/// Writes the report to a message.
void fill(wire::RunnerState::Builder out, const server_report& report);

/// @return The report in the message.
server_report from_wire(wire::RunnerState::Reader in);

/// A part of the journal and the epoch of its owner.
struct part_epoch
{
    part_number part = 0;
    std::uint32_t epoch = 0; ///< Increases with each new owner.

    bool operator==(const part_epoch&) const = default;
};

/// Writes the part to a message.
void fill(wire::PartEpoch::Builder out, const part_epoch& part);

/// @return The part in the message.
part_epoch from_wire(wire::PartEpoch::Reader in);

/// Start of the lease of an entry that submitted jobs to a job host.
struct submitter_lease
{
    submitter_id submitter = no_submitter;
    instant leased_at{}; ///< By the agent's clock.
};

/// Writes the lease to a message.
void fill(wire::SubmitterLease::Builder out, const submitter_lease& lease);

/// @return The lease in the message.
submitter_lease from_wire(wire::SubmitterLease::Reader in);

/// Orders that are sent to an agent together.
struct order_batch
{
    std::vector<run_order> starts; ///< Runs to start.
    std::vector<run_ref> stops;    ///< Runs to stop.
    /// Resources of runs that were found running.
    std::vector<run_order> sizes;
    std::vector<run_end> confirmed; ///< Ends that are in the journal.
    /// Start of the lease on the entry's in-memory jobs, by the agent's clock;
    /// 0: not renewed.
    instant leased_at{};
    std::vector<submitter_lease> submitters; ///< Renewals by a job host.

    /// @return Whether the batch has no orders and confirmations.
    bool empty() const
    {
        return starts.empty() && stops.empty() && sizes.empty() &&
               confirmed.empty();
    }
};

/// Writes ends of runs to a message.
void fill(capnp::List<wire::RunEnd>::Builder out,
          const std::vector<run_end>& ends);

/// @return The ends in the message.
std::vector<run_end> from_wire(capnp::List<wire::RunEnd>::Reader in);

/// Writes leases of submitters to a message.
void fill(capnp::List<wire::SubmitterLease>::Builder out,
          const std::vector<submitter_lease>& leases);

/// @return The leases in the message.
std::vector<submitter_lease>
from_wire(capnp::List<wire::SubmitterLease>::Reader in);

/// Writes the batch of orders to a message.
void fill(wire::OrderBatch::Builder out, const order_batch& batch);

/// @return The batch of orders in the message.
order_batch from_wire(wire::OrderBatch::Reader in);

} // namespace glenhollow

#endif
