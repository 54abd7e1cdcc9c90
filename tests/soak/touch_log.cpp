#include "soak/touch_log.hpp"

#include <algorithm>

namespace glenhollow::soak
{

namespace
{

/// A process knows what it was told, if it ran undisturbed for so long: longer
/// than any lease and than the wait before a lost call is made again.
constexpr duration contact = seconds{4};

} // namespace

void touch_log::disturb(std::uint32_t process, instant from, instant to)
{
    spans_[process].push_back({from, to});
}

void touch_log::disturb_all(instant from, instant to)
{
    of_all_.push_back({from, to});
}

bool touch_log::in_touch(std::uint32_t process, instant at) const
{
    const auto its = spans_.find(process);
    return clear(of_all_, at) &&
           (its == spans_.end() || clear(its->second, at));
}

bool touch_log::clear(const std::vector<span>& spans, instant at)
{
    return std::none_of(spans.begin(), spans.end(),
                        [at](const span& one)
                        { return one.from <= at && one.to > at - contact; });
}

} // namespace glenhollow::soak
