#ifndef GLENHOLLOW_EXPLAIN_DECISION_RING_HPP
#define GLENHOLLOW_EXPLAIN_DECISION_RING_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"
#include "glenhollow/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace glenhollow
{

/// The kinds of decisions that are recorded.
enum class decision_kind : std::uint8_t
{
    admitted,  ///< A job was accepted.
    refused,   ///< A job was refused before any task ran.
    joined,    ///< A resubmission was attached to its job or answered.
    placed,    ///< A task was sent to a backend server.
    ended,     ///< The end of a task was reported.
    retried,   ///< A task was scheduled for a retry.
    completed, ///< A job was answered completely.
    failed,    ///< A job was marked as failed.
    cancelled, ///< An operator cancelled a job.
    drained,   ///< A backend server was closed to new tasks.
    undrained, ///< A backend server was reopened to tasks.
    ejected,   ///< Health checks ejected a backend server.
    returned,  ///< Health checks readmitted a backend server.
    adopted,   ///< The jobs of a failed entry were taken over.
    changed    ///< An operator changed the configuration.
};

template <>
struct name_table<decision_kind>
{
    static constexpr std::array<std::string_view, 15> names{
        "admitted",  "refused",   "joined",   "placed",    "ended",
        "retried",   "completed", "failed",   "cancelled", "drained",
        "undrained", "ejected",   "returned", "adopted",   "changed"};
};

/// The fixed-size record of one decision.
struct decision_record
{
    std::int64_t wall = 0;         ///< Time, ns since the Unix epoch.
    std::uint64_t sequence = 0;    ///< Submission number; 0 if none.
    std::uint32_t task = 0;        ///< Task index within the submission.
    std::uint32_t runner = 0;      ///< Backend server number from 1; 0 if none.
    std::uint32_t duration_us = 0; ///< Duration related to the decision, us.
    reason why = reason::none;     ///< Reason for the decision.
    decision_kind kind = decision_kind::admitted;
    verdict what = verdict::not_run; ///< Outcome of a task or job.
};

static_assert(sizeof(decision_record) == 32);

/// A ring buffer of the latest decisions of one thread. Once it is full, each
/// new record overwrites the oldest one.
class decision_ring final
{
public:
    /// Receives the decisions that must outlive the process.
    using notable_handler = std::function<void(const decision_record&)>;

    /// @param capacity The maximum number of records; memory grows up to it
    /// on demand.
    explicit decision_ring(std::size_t capacity) : capacity_(capacity) {}

    /// @param handler Called with each decision for which is_notable() holds.
    void on_notable(notable_handler handler) { notable_ = std::move(handler); }

    /// Records a decision and sets its time to the current time.
    void add(decision_record record);

    /// Calls `visit` with each record, oldest first.
    void
    for_each(const std::function<void(const decision_record&)>& visit) const;

    /// @return The number of decisions added so far, including overwritten
    /// ones.
    std::uint64_t total() const { return total_; }

    /// @return The number of records in the buffer.
    std::size_t size() const { return records_.size(); }

    /// @return The memory allocated for records, in bytes.
    std::size_t bytes() const
    {
        return records_.capacity() * sizeof(decision_record);
    }

private:
    std::size_t capacity_;
    std::vector<decision_record> records_; ///< Used as a ring once it is full.
    std::size_t next_ = 0;                 ///< Index of the next overwrite.
    std::uint64_t total_ = 0;              ///< All decisions added.
    notable_handler notable_;              ///< May be empty.
};

/// @return Whether decisions of this kind are written to the object store.
bool is_notable(decision_kind kind);

} // namespace glenhollow

#endif
