#include "glenhollow/core/clock.hpp"

#include <ctime>

namespace glenhollow
{

namespace
{

instant read(clockid_t clock)
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

} // namespace

instant system_clock::now() const
{
    return read(CLOCK_BOOTTIME);
}

instant system_clock::running() const
{
    return read(CLOCK_MONOTONIC);
}

const clock_source& process_clock()
{
    static const system_clock instance;
    return instance;
}

std::int64_t wall_nanoseconds()
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace glenhollow
