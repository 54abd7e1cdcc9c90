#ifndef GLENHOLLOW_ENTRY_SEQUENCE_GENERATOR_HPP
#define GLENHOLLOW_ENTRY_SEQUENCE_GENERATOR_HPP

#include "glenhollow/core/clock.hpp"

#include <cstdint>
#include <deque>

namespace glenhollow
{

/// State of a sequence number.
enum class sequence_state : std::uint8_t
{
    never_issued, ///< No caller was given this number.
    valid,        ///< A submission may run under it.
    expired       ///< Below the low-water mark; always refused.
};

/// Issues the sequence numbers of one shard and records their times in batches,
/// so that expired numbers can be refused without a record of each. Pure state.
class sequence_generator final
{
public:
    /// @param shard Index of this shard, from 0.
    /// @param shards Number of shards of the entry, the step between numbers.
    /// @param lifetime Lifetime of a number.
    sequence_generator(std::uint32_t shard, std::uint32_t shards,
                       duration lifetime)
        : shard_(shard), shards_(shards), lifetime_(lifetime)
    {
    }

    /// @param now Current time.
    /// @return A new number of this shard, never 0.
    std::uint64_t next(instant now);

    /// @param sequence A number sent by a caller.
    /// @param now Current time.
    /// @return Whether a submission may run under the number.
    sequence_state state_of(std::uint64_t sequence, instant now);

    /// @param now Current time.
    /// @return The smallest number that has not expired.
    std::uint64_t low_water(instant now);

    /// Sets the lifetime of numbers that have not expired.
    /// @param lifetime The new lifetime.
    void set_lifetime(duration lifetime) { lifetime_ = lifetime; }

private:
    /// Numbers issued within one batch interval.
    struct batch
    {
        std::uint64_t last = 0; ///< Highest count in the batch.
        instant at{};           ///< Time of the first number.
    };

    std::uint64_t sequence_of(std::uint64_t count) const
    {
        return count * shards_ + shard_;
    }

    std::uint32_t shard_;             ///< Index of this shard.
    std::uint32_t shards_;            ///< Number of shards.
    duration lifetime_;               ///< Lifetime of a number.
    std::uint64_t count_ = 0;         ///< Numbers issued.
    std::uint64_t expired_count_ = 0; ///< Counts up to this have expired.
    std::deque<batch> batches_;       ///< Oldest first.
};

} // namespace glenhollow

#endif
