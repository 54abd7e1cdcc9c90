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

/// A decision as it is kept in the object store: names in place of numbers.
struct report_line
{
    std::int64_t wall = 0;                       ///< When, ns since 1970.
    std::string entry;                           ///< Who decided.
    decision_kind kind = decision_kind::refused; ///< What.
    reason why = reason::none;                   ///< Why.
    verdict what = verdict::not_run;             ///< For failures.
    std::string submission;                      ///< May be empty.
    std::string runner;                          ///< May be empty.
    std::string by;     ///< Which operator, may be empty.
    std::string detail; ///< Such as a statement, may be empty.

    /// @return One JSON object.
    std::string to_json() const;

    /// @param text What to_json() gave.
    /// @return The line, or nothing.
    static std::optional<report_line> from_json(const std::string& text);
};

/// Limits of the report.
struct night_report_settings
{
    std::size_t max_lines = 20'000; ///< Waiting; older ones are summed up.
    std::size_t max_lines_per_object = 5'000; ///< In one object.
};

/// Lines that wait to be written to the object store. While the store is away
/// they are kept up to a limit; beyond it the oldest are summed up by kind and
/// reason, never dropped without a trace. Pure state.
class night_report final
{
public:
    /// @param settings Limits.
    explicit night_report(const night_report_settings& settings = {})
        : settings_(settings)
    {
    }

    /// @param line A decision to keep.
    void add(report_line line);

    /// Adds all that waits in another report, its sums too.
    /// @param other The report of another thread.
    void merge(const night_report& other);

    /// @return Whether there is anything to write.
    bool empty() const { return lines_.empty() && summaries_.empty(); }

    /// Takes lines for one object.
    /// @return Its content, one JSON object a line.
    std::string take_batch();

    /// The last batch was written.
    void written();

    /// The last batch was not written; its lines wait again.
    void failed();

    /// @return Lines that wait, without summed up ones.
    std::size_t size() const { return lines_.size() + batch_.size(); }

    /// @return Lines summed up so far.
    std::uint64_t summarized_lines() const { return summarized_lines_; }

    /// @param visit Called with each line that waits.
    void for_each(const std::function<void(const report_line&)>& visit) const;

private:
    /// What summed up lines had in common.
    struct summary_key
    {
        decision_kind kind = decision_kind::refused; ///< What.
        reason why = reason::none;                   ///< Why.

        auto operator<=>(const summary_key&) const = default;
    };

    void enforce_limit();

    night_report_settings settings_;                 ///< Limits.
    std::deque<report_line> lines_;                  ///< Oldest first.
    std::deque<report_line> batch_;                  ///< Being written.
    std::map<summary_key, std::uint64_t> summaries_; ///< Counts of the oldest.
    std::map<summary_key, std::uint64_t> batch_summaries_; ///< Being written.
    std::uint64_t summarized_lines_ = 0; ///< Lines in all sums.
};

} // namespace glenhollow

#endif
