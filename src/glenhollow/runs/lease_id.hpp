#ifndef GLENHOLLOW_RUNS_LEASE_ID_HPP
#define GLENHOLLOW_RUNS_LEASE_ID_HPP

#include <cstdint>

namespace glenhollow
{

/// Identifies a lease on runs: the lease of a part of the journal, or the lease
/// of an entry process for its in-memory jobs.
using lease_id = std::uint32_t;

/// Lease of in-memory runs that no entry has claimed yet.
inline constexpr lease_id unclaimed_lease = 0xFFFF'FFFF;

/// @param number Index of the entry process at this agent, from 0.
/// @return The lease of its in-memory jobs.
constexpr lease_id memory_lease(std::uint32_t number)
{
    return 0x1'0000U + number;
}

/// @return Whether the lease belongs to a part of the journal.
constexpr bool is_part_lease(lease_id lease)
{
    return lease < 0x1'0000U;
}

/// Identifies the entry that submitted a job to a job host: the number of the
/// host's session with it.
using submitter_id = std::uint64_t;

/// Submitter of the jobs that a sender of orders runs for itself.
inline constexpr submitter_id no_submitter = 0;

} // namespace glenhollow

#endif
