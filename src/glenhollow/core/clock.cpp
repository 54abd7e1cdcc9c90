#include "glenhollow/core/clock.hpp"

#include <ctime>

namespace glenhollow
{

instant system_clock::now() const
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
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
