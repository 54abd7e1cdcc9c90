#include "soak/recovery_meter.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;
using namespace glenhollow::soak;

namespace
{

constexpr instant calm = seconds{100};

/// A job each 50 ms from the calm on; those that are sent before `well` take 3
/// s, and later ones 200 ms.
recovery_meter jobs(duration well, duration until = seconds{10})
{
    recovery_meter out;
    int number = 0;
    for (auto at = calm; at < calm + until; at += milliseconds{50})
    {
        const auto id = std::to_string(++number);
        out.sent(id, at, seconds{1});
        const auto takes = at < calm + well ? seconds{3} : milliseconds{200};
        out.served(id, at + takes);
    }
    return out;
}

} // namespace

TEST_CASE("recovery meter: at once where all jobs are in time")
{
    CHECK(jobs(duration{0}).recovered(calm, calm + seconds{10}) == duration{0});
}

TEST_CASE("recovery meter: from where nine tenths are in time")
{
    const auto found = jobs(seconds{4}).recovered(calm, calm + seconds{10});
    REQUIRE(found);
    CHECK(*found >= milliseconds{3800});
    CHECK(*found <= seconds{4});
}

TEST_CASE("recovery meter: nothing where jobs stay late, or none are sent")
{
    CHECK(!jobs(seconds{60}).recovered(calm, calm + seconds{10}));
    CHECK(!recovery_meter{}.recovered(calm, calm + seconds{10}));
}

TEST_CASE("recovery meter: jobs that were never served count")
{
    auto meter = jobs(duration{0});
    for (int i = 0; i < 100; ++i)
        meter.sent("open" + std::to_string(i), calm + milliseconds{100 * i},
                   seconds{1});
    CHECK(!meter.recovered(calm, calm + seconds{10}));
    for (int i = 0; i < 100; ++i)
        meter.left_out("open" + std::to_string(i));
    CHECK(meter.recovered(calm, calm + seconds{10}) == duration{0});
}
