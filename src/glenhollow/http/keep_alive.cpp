#include "glenhollow/http/keep_alive.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace glenhollow
{

namespace
{

bool set_number(int socket, int level, int option, int value)
{
    return ::setsockopt(socket, level, option, &value, sizeof value) == 0;
}

} // namespace

bool keep_alive(int socket, const keep_alive_settings& settings)
{
    const auto idle = static_cast<int>(settings.idle.count());
    const auto interval = static_cast<int>(settings.interval.count());
    const auto unsent = static_cast<int>(settings.unsent.count());
    return set_number(socket, SOL_SOCKET, SO_KEEPALIVE, 1) &&
           set_number(socket, IPPROTO_TCP, TCP_KEEPIDLE, idle) &&
           set_number(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval) &&
           set_number(socket, IPPROTO_TCP, TCP_KEEPCNT, settings.probes) &&
           set_number(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unsent);
}

} // namespace glenhollow
