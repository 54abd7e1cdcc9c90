#include "soak/touch_log.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;
using namespace glenhollow::soak;

TEST_CASE("touch log: a process is out of touch during a fault and after it")
{
    touch_log log;
    log.disturb(2, seconds{10}, seconds{12});
    CHECK(log.in_touch(2, seconds{9}));
    CHECK(!log.in_touch(2, seconds{10}));
    CHECK(!log.in_touch(2, seconds{15}));
    CHECK(log.in_touch(2, seconds{16}));
    CHECK(log.in_touch(1, seconds{11}));
    log.disturb_all(seconds{20}, seconds{21});
    CHECK(!log.in_touch(1, seconds{20}));
    CHECK(!log.in_touch(2, seconds{24}));
}
