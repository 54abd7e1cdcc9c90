#ifndef GLENHOLLOW_HTTP_BLOCKING_CALL_HPP
#define GLENHOLLOW_HTTP_BLOCKING_CALL_HPP

#include "glenhollow/http/client.hpp"

namespace glenhollow
{

/// Makes one call and waits for its end; for command lines and tests.
/// @param server Whom to call.
/// @param request What to send.
/// @param timeout From first byte to answer.
/// @return How the call ended.
http_result call_and_wait(const host_port& server, http_request request,
                          duration timeout);

} // namespace glenhollow

#endif
