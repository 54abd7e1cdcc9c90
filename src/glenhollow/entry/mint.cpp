#include "glenhollow/entry/mint.hpp"

namespace glenhollow
{

namespace
{

/// Numbers minted within this time share one entry of the mint's memory.
constexpr duration batch_length = milliseconds{100};

} // namespace

std::uint64_t mint::next(instant now)
{
    ++count_;
    if (batches_.empty() || now - batches_.back().at > batch_length)
        batches_.push_back({count_, now});
    // The batch keeps the time of its first number: all expire a little early
    // rather than late, never before their record.
    batches_.back().last = count_;
    return sequence_of(count_);
}

std::uint64_t mint::low_water(instant now)
{
    while (!batches_.empty() && now - batches_.front().at > lifetime_)
    {
        expired_ = batches_.front().last;
        batches_.pop_front();
    }
    return sequence_of(expired_ + 1);
}

mint_state mint::state_of(std::uint64_t sequence, instant now)
{
    const bool is_ours = sequence % shards_ == shard_;
    const std::uint64_t count = sequence / shards_;
    if (!is_ours || count == 0 || count > count_)
        return mint_state::never_minted;
    return sequence < low_water(now) ? mint_state::expired : mint_state::valid;
}

} // namespace glenhollow
