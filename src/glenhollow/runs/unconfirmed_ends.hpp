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

/// An end that its part's owner has not confirmed.
struct unconfirmed_end
{
    run_end end;             ///< As the runner listed it, or as concluded.
    std::uint32_t lease = 0; ///< Under which it ran.
    instant recorded_at{};   ///< When it was noted.
    bool released =
        false; ///< The hold lapsed after it: no owner is waited for.
    bool reported = false; ///< Sent to the present owner.
};

/// The ends at one agent that are not in the journal yet, and up to which of
/// the runner's numbers the runner may forget: only as far as every listed end
/// is confirmed or excused.
class unconfirmed_ends final
{
public:
    /// @param end A run's end.
    /// @param lease Under which it ran.
    /// @param now The time.
    /// @return Whether it is news.
    bool add(const run_end& end, std::uint32_t lease, instant now);

    /// @param end An end that is in the journal.
    void confirm(const run_end& end);

    /// @param run Its end does not hold back the runner any more.
    void release(const run_ref& run);

    /// The hold has lapsed: no end listed so far holds back the runner.
    void release_all();

    /// Another life of the runner: its numbers begin anew.
    void reset_numbers();

    /// @return The runner may forget ends up to this number.
    std::uint64_t confirmed() const { return confirmed_; }

    /// @return Whether listed ends wait for an owner.
    bool has_unsettled() const { return unsettled_ > 0; }

    /// @return Whether no end is kept.
    bool empty() const { return ends_.empty(); }

    /// @param run A run.
    /// @return Whether its end is kept.
    bool contains(const run_ref& run) const { return ends_.contains(run); }

    /// @return All kept ends.
    std::unordered_map<run_ref, unconfirmed_end, run_ref_hash>& ends()
    {
        return ends_;
    }

    /// @return All kept ends.
    const std::unordered_map<run_ref, unconfirmed_end, run_ref_hash>&
    ends() const
    {
        return ends_;
    }

private:
    void settle(std::uint64_t number);

    std::unordered_map<run_ref, unconfirmed_end, run_ref_hash>
        ends_; ///< By run.
    /// Numbers above `confirmed_` and whether they are settled: the runner
    /// lists them again until all before them are.
    std::map<std::uint64_t, bool> listed_;
    std::uint64_t confirmed_ = 0; ///< All up to here are settled.
    std::size_t unsettled_ = 0;   ///< Of the listed.
};

} // namespace glenhollow

#endif
