#ifndef GLENHOLLOW_ENTRY_SEQUENCE_GENERATOR_HPP
#define GLENHOLLOW_ENTRY_SEQUENCE_GENERATOR_HPP

#include "glenhollow/core/clock.hpp"

#include <cstdint>
#include <deque>

namespace glenhollow
{

/// What a sequence number says of itself.
enum class sequence_state : std::uint8_t
{
    never_issued, ///< Nobody was given this number.
    valid,        ///< A submission may run under it.
    expired       ///< Below the low-water mark: refused for good.
};

/// Gives out the sequence numbers of one shard and remembers when, so that
/// old ones can be refused without a record of each. Pure state.
class sequence_generator final
{
public:
    /// @param shard This shard's number, from 0.
    /// @param shards Shards of the entry; numbers of a shard differ by that.
    /// @param lifetime How long a number is good for.
    sequence_generator(std::uint32_t shard, std::uint32_t shards,
                       duration lifetime)
        : shard_(shard), shards_(shards), lifetime_(lifetime)
    {
    }

    /// @param now The time.
    /// @return A fresh number of this shard, never 0.
    std::uint64_t next(instant now);

    /// @param sequence A number that a caller brought.
    /// @param now The time.
    /// @return Whether a submission may run under it.
    sequence_state state_of(std::uint64_t sequence, instant now);

    /// @param now The time.
    /// @return The smallest number that is still good.
    std::uint64_t low_water(instant now);

    /// @param lifetime How long a number is good for from now on.
    void set_lifetime(duration lifetime) { lifetime_ = lifetime; }

private:
    /// Numbers minted at nearly one time.
    struct batch
    {
        std::uint64_t last = 0; ///< Highest count in it.
        instant at{};           ///< When the last was minted.
    };

    std::uint64_t sequence_of(std::uint64_t count) const
    {
        return count * shards_ + shard_;
    }

    std::uint32_t shard_;             ///< This shard.
    std::uint32_t shards_;            ///< All shards.
    duration lifetime_;               ///< Of a number.
    std::uint64_t count_ = 0;         ///< Numbers minted.
    std::uint64_t expired_count_ = 0; ///< Counts up to this are expired.
    std::deque<batch> batches_;       ///< Oldest first.
};

} // namespace glenhollow

#endif
