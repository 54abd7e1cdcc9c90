#include "glenhollow/durable/lease_timing.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

std::string cause(const lease_timing& timing)
{
    const auto checked = check_lease_timing(timing);
    return checked ? "" : checked.error().text;
}

} // namespace

TEST_CASE("the defaults satisfy all bounds", "[margins]")
{
    CHECK(cause(default_lease_timing()) == "");
}

TEST_CASE("the error of a violated bound names both settings", "[margins]")
{
    auto longer = default_lease_timing();
    longer.memory_lease = milliseconds{950};
    CHECK(cause(longer).find("memory_lease and stop_time") == 0);
    CHECK(cause(longer).find("before callers_wait") != std::string::npos);

    auto early = default_lease_timing();
    early.memory_silence = milliseconds{1210};
    CHECK(cause(early).find("before memory_silence") != std::string::npos);

    auto cancel = default_lease_timing();
    cancel.cancel_lapse = milliseconds{1200};
    CHECK(cause(cancel).find("before cancel_lapse") != std::string::npos);

    auto start = default_lease_timing();
    start.held_past_lease = milliseconds{430};
    CHECK(cause(start).find("memory_lease and held_past_lease") == 0);
    CHECK(cause(start).find("before callers_wait") != std::string::npos);

    auto part = default_lease_timing();
    part.part_lease = milliseconds{2900};
    CHECK(cause(part).find("part_lease and stop_time") == 0);
    CHECK(cause(part).find("before part_silence") != std::string::npos);

    auto hold = default_lease_timing();
    hold.hold = milliseconds{1260};
    CHECK(cause(hold).find("hold") == 0);

    auto session = default_lease_timing();
    session.session_silence = milliseconds{1950};
    CHECK(cause(session).find("session_silence") == 0);
}

TEST_CASE("a bound includes the clock drift on both sides", "[margins]")
{
    // The lease of 0.8 s and the stop time of 0.35 s last up to 1,173 ms on a
    // slow clock, plus 20 ms for a slow server; the bound runs on a fast clock.
    auto one = default_lease_timing();
    one.held_past_lease = milliseconds{350};
    one.callers_wait = milliseconds{1219};
    CHECK(cause(one) == "");
    one.callers_wait = milliseconds{1217};
    CHECK(cause(one) != "");
}
