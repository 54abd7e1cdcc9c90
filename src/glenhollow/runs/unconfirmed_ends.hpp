#ifndef GLENHOLLOW_RUNS_UNCONFIRMED_ENDS_HPP
#define GLENHOLLOW_RUNS_UNCONFIRMED_ENDS_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/durable_job.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace glenhollow
{

/// The end of a run that the owner of its part has not confirmed.
struct unconfirmed_end
{
    run_end end;             ///< Number 0: concluded by the agent.
    std::uint32_t lease = 0; ///< Lease under which it ran.
    instant recorded_at{};   ///< Time when it was recorded.
    bool released = false; ///< No longer delays the confirmation of later ends.
    bool reported = false; ///< Sent to the current owner.
};

/// Ends of runs at one agent that are not in the journal yet. The backend
/// server numbers its ends; it may forget those up to `confirmed`, which grows
/// only as far as every listed end is confirmed or released.
class unconfirmed_ends final
{
public:
    /// Records an end.
    /// @param end End of a run.
    /// @param lease Lease under which it ran.
    /// @param now Current time.
    /// @return Whether the end is new.
    bool add(const run_end& end, std::uint32_t lease, instant now);

    /// Removes an end that is in the journal.
    void confirm(const run_end& end);

    /// Lets the backend server forget the end of a run before it is confirmed.
    void release(const run_ref& run);

    /// Releases all ends, because the hold has lapsed.
    void release_all();

    /// Forgets all end numbers, because a new incarnation starts its own
    /// numbering.
    void reset_numbers();

    /// @return The number up to which the backend server may forget ends.
    std::uint64_t confirmed() const { return confirmed_; }

    /// @return Whether a listed end is neither confirmed nor released.
    bool has_unsettled() const { return unsettled_ > 0; }

    /// @return Number of listed ends that the backend server still keeps.
    std::size_t kept_by_server() const { return listed_.size(); }

    /// @return Whether no end is unconfirmed.
    bool empty() const { return ends_.empty(); }

    /// @return Whether the end of the run is unconfirmed.
    bool contains(const run_ref& run) const { return ends_.contains(run); }

    /// @return All unconfirmed ends by run.
    std::unordered_map<run_ref, unconfirmed_end, run_ref_hash>& ends()
    {
        return ends_;
    }

    /// @return All unconfirmed ends by run.
    const std::unordered_map<run_ref, unconfirmed_end, run_ref_hash>&
    ends() const
    {
        return ends_;
    }

private:
    void settle(std::uint64_t number);

    std::unordered_map<run_ref, unconfirmed_end, run_ref_hash> ends_;
    /// Numbers above `confirmed_`, and whether their ends are settled. The
    /// backend server keeps listing an end until all earlier ones are settled.
    std::map<std::uint64_t, bool> listed_;
    std::uint64_t confirmed_ = 0; ///< All ends up to this number are settled.
    std::size_t unsettled_ = 0; ///< Number of listed ends that are not settled.
};

} // namespace glenhollow

#endif
