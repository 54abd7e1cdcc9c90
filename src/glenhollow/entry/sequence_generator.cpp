#include "glenhollow/entry/sequence_generator.hpp"

namespace glenhollow
{

namespace
{

/// Numbers issued within this interval share one batch.
constexpr duration batch_interval = milliseconds{100};

} // namespace

std::uint64_t sequence_generator::next(instant now)
{
    ++count_;
    if (batches_.empty() || now - batches_.back().at > batch_interval)
        batches_.push_back({count_, now});
    // A batch keeps the time of its first number, so its numbers expire
    // slightly early rather than late.
    batches_.back().last = count_;
    return sequence_of(count_);
}

std::uint64_t sequence_generator::low_water(instant now)
{
    while (!batches_.empty() && now - batches_.front().at > lifetime_)
    {
        expired_count_ = batches_.front().last;
        batches_.pop_front();
    }
    return sequence_of(expired_count_ + 1);
}

sequence_state sequence_generator::state_of(std::uint64_t sequence, instant now)
{
    const bool is_ours = sequence % shards_ == shard_;
    const std::uint64_t count = sequence / shards_;
    if (!is_ours || count == 0 || count > count_)
        return sequence_state::never_issued;
    return sequence < low_water(now) ? sequence_state::expired
                                     : sequence_state::valid;
}

} // namespace glenhollow
