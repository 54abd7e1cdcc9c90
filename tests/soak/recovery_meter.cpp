#include "soak/recovery_meter.hpp"

namespace glenhollow::soak
{

namespace
{

constexpr duration window = seconds{1};
constexpr duration step = milliseconds{100};
/// Of the jobs of a window, in tenths.
constexpr std::size_t needed = 9;
/// Fewer jobs say nothing.
constexpr std::size_t least_jobs = 5;

} // namespace

void recovery_meter::sent(const std::string& id, instant at, duration bound)
{
    jobs_[id] = {at, bound, false};
}

void recovery_meter::served(const std::string& id, instant at)
{
    const auto known = jobs_.find(id);
    if (known != jobs_.end())
        known->second.timely = at - known->second.sent <= known->second.bound;
}

void recovery_meter::left_out(const std::string& id)
{
    jobs_.erase(id);
}

std::optional<duration> recovery_meter::recovered(instant calm,
                                                  instant now) const
{
    for (auto from = calm; from + window <= now; from += step)
    {
        std::size_t all = 0;
        std::size_t timely = 0;
        bool open = false;
        for (const auto& [id, one] : jobs_)
        {
            if (one.sent < from || one.sent >= from + window)
                continue;
            ++all;
            timely += one.timely ? 1 : 0;
            open = open || (!one.timely && one.sent + one.bound > now);
        }
        if (!open && all >= least_jobs && 10 * timely >= needed * all)
            return from - calm;
    }
    return std::nullopt;
}

} // namespace glenhollow::soak
