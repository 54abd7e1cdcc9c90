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

/// What was decided.
enum class decision_kind : std::uint8_t
{
    admitted,  ///< A job was taken.
    refused,   ///< A job was refused before anything ran.
    joined,    ///< A resubmission joined its job or got its answer.
    placed,    ///< A task was sent to a runner.
    ended,     ///< A task's end came back.
    retried,   ///< A task will be sent again.
    completed, ///< A job was answered whole.
    failed,    ///< A job was marked failed.
    cancelled, ///< An operator cancelled a job.
    drained,   ///< A runner gets no more work.
    undrained, ///< A runner gets work again.
    ejected,   ///< Health took a runner out.
    returned,  ///< Health let a runner back.
    adopted,   ///< A dead entry's jobs were taken over.
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

/// One decision, in a fixed size.
struct decision_record
{
    std::int64_t wall = 0;         ///< When, ns since 1970.
    std::uint64_t sequence = 0;    ///< Submission, 0 where there is none.
    std::uint32_t task = 0;        ///< Task in it.
    std::uint32_t runner = 0;      ///< Runner by number, from 1; 0: none.
    std::uint32_t duration_us = 0; ///< A length of time that belongs to it.
    reason why = reason::none;     ///< Why it fell so.
    decision_kind kind = decision_kind::admitted; ///< What was decided.
    verdict what = verdict::not_run;              ///< For ends and failures.
};

static_assert(sizeof(decision_record) == 32);

/// The last decisions of one thread, the oldest overwritten. Bounded.
class decision_ring final
{
public:
    /// Told of decisions that must outlive the process.
    using notable_handler = std::function<void(const decision_record&)>;

    /// @param capacity Records kept; memory grows to that as needed.
    explicit decision_ring(std::size_t capacity) : capacity_(capacity) {}

    /// @param handler Told of refusals, failures, drains and ejections.
    void on_notable(notable_handler handler) { notable_ = std::move(handler); }

    /// @param record A decision just made; its time is filled in.
    void add(decision_record record);

    /// @param visit Called with each kept record, oldest first.
    void
    for_each(const std::function<void(const decision_record&)>& visit) const;

    /// @return Decisions made since the start.
    std::uint64_t total() const { return total_; }

    /// @return Records kept now.
    std::size_t size() const { return records_.size(); }

    /// @return Bytes of the records.
    std::size_t bytes() const
    {
        return records_.capacity() * sizeof(decision_record);
    }

private:
    std::size_t capacity_;                 ///< Most records.
    std::vector<decision_record> records_; ///< A ring once it is full.
    std::size_t next_ = 0;                 ///< Place of the next record.
    std::uint64_t total_ = 0;              ///< Since the start.
    notable_handler notable_;              ///< May be empty.
};

/// @param kind What was decided.
/// @return Whether the decision is kept in the object store.
bool is_notable(decision_kind kind);

} // namespace glenhollow

#endif
