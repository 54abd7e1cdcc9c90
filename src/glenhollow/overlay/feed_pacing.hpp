#ifndef GLENHOLLOW_OVERLAY_FEED_PACING_HPP
#define GLENHOLLOW_OVERLAY_FEED_PACING_HPP

#include "glenhollow/core/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace glenhollow
{

/// Intervals at which processes read the changes of a shared table.
struct feed_pacing_settings
{
    /// Average time between two reads of the table by any reader.
    duration interval_per_reader = milliseconds{5};
    /// Minimum time between two reads by one reader.
    duration min_interval = milliseconds{20};
    /// Maximum time between two reads by one reader, for any number of readers.
    duration max_interval = seconds{5};
};

/// Calculates how often one process may read the changes of a shared table. A
/// feed answers all waiting readers at each change; without a minimum interval,
/// a burst of changes would cost one store call per change and reader.
/// @param settings Intervals between reads.
/// @param readers Number of processes that follow the table.
/// @return Minimum time between two reads by one process.
inline duration feed_interval(const feed_pacing_settings& settings,
                              std::size_t readers)
{
    return std::clamp(settings.interval_per_reader *
                          static_cast<duration::rep>(readers),
                      settings.min_interval, settings.max_interval);
}

} // namespace glenhollow

#endif
