// Tests of the waits between connection attempts of a link.
#include "glenhollow/rpc/link_backoff.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// @return The waits, in milliseconds, of a link whose attempts all fail
/// immediately.
std::vector<std::int64_t> retry_delays(link_backoff& backoff, bool refused,
                                       duration period)
{
    std::vector<std::int64_t> delays;
    for (instant now = seconds{100}; now < seconds{100} + period;)
    {
        const auto wait = backoff.failed(now, refused);
        delays.push_back(
            std::chrono::duration_cast<milliseconds>(wait).count());
        now += wait;
    }
    return delays;
}

} // namespace

TEST_CASE(
    "the backoff of a link to an unresponsive VM doubles up to the maximum")
{
    link_backoff backoff{rpc_link_settings{}};
    CHECK(retry_delays(backoff, false, seconds{1}) ==
          std::vector<std::int64_t>{40, 80, 160, 320, 400});
}

TEST_CASE(
    "a refused link retries at the restart backoff within the restart window")
{
    // Guards against a late reconnect to an agent that has restarted.
    link_backoff backoff{rpc_link_settings{}};
    const auto delays = retry_delays(backoff, true, milliseconds{3200});
    const std::vector<std::int64_t> first_delays(delays.begin(),
                                                 delays.begin() + 6);
    CHECK(first_delays ==
          std::vector<std::int64_t>{40, 80, 160, 160, 160, 160});
    CHECK(delays.back() == 400); // The restart window has passed.
    CHECK(delays.size() < 20);
    backoff.connected();
    CHECK(retry_delays(backoff, true, milliseconds{100}).front() == 40);
}
