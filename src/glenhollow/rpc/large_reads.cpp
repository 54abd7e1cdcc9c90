#include "glenhollow/rpc/large_reads.hpp"

#include <utility>

namespace glenhollow
{

/// A single read always has room.
std::uint64_t large_reads::begin(std::size_t bytes, std::function<void()> abort)
{
    const auto now = clock_.now();
    while (!reads_.empty() && bytes_ + bytes > settings_.max_bytes)
    {
        const auto oldest = reads_.begin();
        if (now - oldest->second.since < settings_.patience)
            return 0;
        const auto end_connection = std::move(oldest->second.abort);
        end(oldest->first);
        end_connection();
    }
    bytes_ += bytes;
    reads_.emplace(++last_, read{bytes, now, std::move(abort)});
    return last_;
}

void large_reads::end(std::uint64_t number)
{
    const auto known = reads_.find(number);
    if (known == reads_.end())
        return;
    bytes_ -= known->second.bytes;
    reads_.erase(known);
}

} // namespace glenhollow
