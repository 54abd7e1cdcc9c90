#ifndef GLENHOLLOW_EXPLAIN_NIGHT_REPORT_HPP
#define GLENHOLLOW_EXPLAIN_NIGHT_REPORT_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/verdict.hpp"
#include "glenhollow/explain/decision_ring.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow
{

/// A decision as stored in the object store, with names instead of numbers.
struct report_line
{
    std::int64_t wall = 0; ///< Time, ns since the Unix epoch.
    std::string entry;     ///< Name of the entry that decided.
    decision_kind kind = decision_kind::refused; ///< Kind of the decision.
    reason why = reason::none;                   ///< Reason for it.
    verdict what = verdict::not_run;             ///< Outcome of a failure.
    std::string submission;                      ///< Empty if none.
    std::string runner;                          ///< Empty if none.
    std::string by;     ///< Name of the operator; empty if none.
    std::string detail; ///< Free text, such as a statement; may be empty.

    /// @return The line as one JSON object.
    std::string to_json() const;

    /// Parses the result of to_json().
    /// @return The line, or nothing if the text is malformed.
    static std::optional<report_line> from_json(const std::string& text);
};

/// Limits on the size of the report.
struct night_report_settings
{
    std::size_t max_lines = 20'000;           ///< Pending lines kept.
    std::size_t max_lines_per_object = 5'000; ///< Lines in one object.
};

/// A queue of report lines to be written to the object store. While the store
/// is unavailable, lines are kept up to a limit; beyond it, the oldest lines
/// are replaced by counts per kind and reason. Performs no I/O.
class night_report final
{
public:
    explicit night_report(const night_report_settings& settings = {})
        : settings_(settings)
    {
    }

    /// Appends a line; beyond the limit, the oldest line is only counted.
    void add(report_line line);

    /// Adds the pending lines and the summaries of another thread's report.
    void merge(const night_report& other);

    /// @return Whether no line and no summary is pending, apart from the batch
    /// being written.
    bool empty() const { return lines_.empty() && summaries_.empty(); }

    /// Moves pending lines into a batch that fills one object.
    /// @return The object's content, one JSON object per line.
    std::string take_batch();

    /// Discards the last batch after it was written.
    void written();

    /// Returns the last batch to the queue after its write failed.
    void failed();

    /// @return The number of lines held, excluding summarized ones.
    std::size_t size() const { return lines_.size() + batch_.size(); }

    /// @return The number of lines replaced by counts so far.
    std::uint64_t summarized_lines() const { return summarized_lines_; }

    /// Calls `visit` with each line held, oldest first.
    void for_each(const std::function<void(const report_line&)>& visit) const;

private:
    /// The properties by which old lines are counted.
    struct summary_key
    {
        decision_kind kind = decision_kind::refused;
        reason why = reason::none;

        auto operator<=>(const summary_key&) const = default;
    };

    void enforce_limit();

    night_report_settings settings_;
    std::deque<report_line> lines_; ///< Pending lines, oldest first.
    std::deque<report_line> batch_; ///< Lines being written.
    std::map<summary_key, std::uint64_t> summaries_; ///< Pending counts.
    /// Counts being written.
    std::map<summary_key, std::uint64_t> batch_summaries_;
    std::uint64_t summarized_lines_ = 0; ///< All lines ever counted.
};

} // namespace glenhollow

#endif
