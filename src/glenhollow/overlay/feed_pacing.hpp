#ifndef GLENHOLLOW_OVERLAY_FEED_PACING_HPP
#define GLENHOLLOW_OVERLAY_FEED_PACING_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace glenhollow
{

/// How often processes read the changes of a table that all of them follow.
struct feed_pacing_settings
{
    duration interval_per_reader = milliseconds{5}; ///< Between two reads of
                                                    ///< all readers together.
    duration min_interval = milliseconds{20}; ///< Between two reads of one.
    duration max_interval = seconds{5}; ///< However many readers there are.
};

/// Each change of a table answers each reader that waits for one. While rows
/// change all the time, as at the start of a deployment, readers must rather
/// collect changes, or the store's calls grow with readers times changes.
/// @param settings Limits.
/// @param readers Processes that follow the table.
/// @return The least time between two reads of one of them.
inline duration feed_interval(const feed_pacing_settings& settings,
                              std::size_t readers)
{
    return std::clamp(settings.interval_per_reader *
                          static_cast<duration::rep>(readers),
                      settings.min_interval, settings.max_interval);
}

} // namespace glenhollow

#endif
