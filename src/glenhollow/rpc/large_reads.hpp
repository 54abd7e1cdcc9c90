#ifndef GLENHOLLOW_RPC_LARGE_READS_HPP
#define GLENHOLLOW_RPC_LARGE_READS_HPP

#include "glenhollow/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace glenhollow
{

/// Limits of large_reads.
struct large_reads_settings
{
    std::size_t max_bytes = 16UL << 20; ///< Bytes of all large reads at once.
    /// Age from which a read gives way to a new one.
    duration patience = seconds{1};
};

/// Bounds the memory of messages that are still arriving on the connections of
/// a listener. The memory of a message is taken when its length is known, and a
/// peer may never send the rest. Not thread-safe.
class large_reads final
{
public:
    /// Reads of less are not counted.
    static constexpr std::size_t threshold_bytes = 64UL << 10;

    /// @param clock Must outlive this object.
    large_reads(const clock_source& clock, const large_reads_settings& settings)
        : clock_(clock), settings_(settings)
    {
    }

    /// Starts a read. The oldest reads are aborted if there is no room and they
    /// have taken longer than the patience.
    /// @param bytes Length of the read.
    /// @param abort Ends the connection of the read; must not call back.
    /// @return Number of the read for end(); 0 if there is no room.
    std::uint64_t begin(std::size_t bytes, std::function<void()> abort);

    /// Ends a read.
    /// @param number As returned by begin(); unknown ones are ignored.
    void end(std::uint64_t number);

private:
    struct read
    {
        std::size_t bytes = 0;
        instant since{};
        std::function<void()> abort;
    };

    const clock_source& clock_;
    large_reads_settings settings_;
    std::map<std::uint64_t, read> reads_; ///< The oldest first.
    std::uint64_t last_ = 0;              ///< Number of the latest read.
    std::size_t bytes_ = 0;               ///< Sum over all reads.
};

} // namespace glenhollow

#endif
