#include "glenhollow/http/intake_limits.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace glenhollow;

namespace
{

/// Limits on a clock that the test moves.
struct intake_world
{
    explicit intake_world(const intake_settings& settings)
        : limits(std::make_shared<intake_limits>(clock, settings))
    {
    }

    /// @return Whether it was taken in; its place is kept.
    bool take(std::size_t body_bytes)
    {
        auto got = limits->admit(body_bytes);
        if (const auto* refused = std::get_if<intake_refusal>(&got))
        {
            refusal = *refused;
            return false;
        }
        places.push_back(std::move(std::get<intake_place>(got)));
        return true;
    }

    std::uint64_t refused(intake_bound bound) const
    {
        return limits->stats().refused[static_cast<std::size_t>(bound)];
    }

    manual_clock clock;
    std::shared_ptr<intake_limits> limits;
    std::vector<intake_place> places;
    intake_refusal refusal{};
};

constexpr std::size_t usual_body = 9600;

} // namespace

TEST_CASE("bounds follow from what the machine gives")
{
    const auto small = intake_settings::within({160, 4100, 25});
    CHECK(small.max_bytes == 48UL << 20);
    CHECK(small.max_body_bytes == 3UL << 20);
    CHECK(small.max_connections == 3600);
    CHECK(small.max_reading == 1'562'500);
    const auto least = intake_settings::within({32, 64, 0.1});
    CHECK(least.max_bytes == 4UL << 20);
    CHECK(least.max_connections == 32);
    CHECK(least.max_reading == 6250);
    const auto unsaid = intake_settings::within({});
    CHECK(unsaid.max_bytes == intake_settings{}.max_bytes);
    CHECK(unsaid.max_reading == intake_settings{}.max_reading);
}

TEST_CASE("memory at its bound: refused at once, and taken in again")
{
    intake_world world(intake_settings::within({160, 4100, 25}));
    std::size_t taken = 0;
    while (world.take(usual_body))
        ++taken;
    // Two seconds of 600 requests a second.
    CHECK(taken > 1200);
    CHECK(world.limits->bytes() <= world.limits->settings().max_bytes);
    CHECK(world.refusal.bound == intake_bound::memory);
    CHECK(world.refused(intake_bound::memory) == 1);
    CHECK(world.limits->stands_against(usual_body));
    world.places.pop_back();
    CHECK_FALSE(world.limits->stands_against(usual_body));
    CHECK(world.take(usual_body));
    world.places.clear();
    CHECK(world.limits->bytes() == 0);
    CHECK(world.limits->requests() == 0);
}

TEST_CASE("a request that is larger than all memory is still taken in alone")
{
    intake_settings settings;
    settings.max_bytes = 1000;
    intake_world world(settings);
    CHECK(world.take(5000));
    CHECK_FALSE(world.take(1));
}

TEST_CASE("a caller is told to come back by the rate at which requests end")
{
    intake_settings settings;
    settings.max_requests = 160;
    intake_world world(settings);
    const auto fill = [&world]
    {
        while (world.take(usual_body))
        {
        }
        return world.refusal.retry_after;
    };
    // Nothing ends: the longest wait.
    CHECK(fill() == seconds{10});
    // Two a second: eleven places take five and a half seconds.
    for (int i = 0; i < 8; ++i)
    {
        world.clock.advance(milliseconds{500});
        world.places.pop_back();
    }
    const auto slow = fill();
    CHECK(slow > seconds{4});
    CHECK(slow < seconds{7});
    // A hundred a second: at once, in whole seconds.
    for (int i = 0; i < 150; ++i)
    {
        world.clock.advance(milliseconds{10});
        world.places.pop_back();
    }
    CHECK(fill() == seconds{1});
}

TEST_CASE("the link full: bodies wait in turn, then are turned away")
{
    intake_settings settings;
    settings.max_reading = 25'000;
    intake_world world(settings);
    auto first = world.limits->want_link(usual_body);
    auto second = world.limits->want_link(usual_body);
    auto third = world.limits->want_link(usual_body);
    auto small = world.limits->want_link(100);
    CHECK(first->granted());
    CHECK(second->granted());
    CHECK_FALSE(third->granted());
    // It would fit, and does not go before the one that came earlier.
    CHECK_FALSE(small->granted());
    CHECK(world.limits->stats().waited == 2);
    bool told = false;
    third->on_granted([&told] { told = true; });
    first.reset();
    CHECK(told);
    CHECK(third->granted());
    CHECK(small->granted());
    // One that leaves while it waits is in nobody's way.
    auto fifth = world.limits->want_link(usual_body);
    auto sixth = world.limits->want_link(usual_body);
    fifth.reset();
    CHECK_FALSE(sixth->granted());
    third.reset();
    CHECK(sixth->granted());
    CHECK(world.limits->refuse(intake_bound::link).retry_after >= seconds{1});
    CHECK(world.refused(intake_bound::link) == 1);
}

TEST_CASE("senders that stand still do not keep the link from others")
{
    intake_settings settings;
    settings.max_reading = 25'000;
    intake_world world(settings);
    auto first = world.limits->want_link(12'000);
    auto second = world.limits->want_link(12'000);
    auto third = world.limits->want_link(12'000);
    CHECK_FALSE(third->granted());
    world.clock.advance(settings.link_patience);
    world.limits->review_link();
    CHECK_FALSE(third->granted());
    world.clock.advance(settings.link_hold - settings.link_patience);
    world.limits->review_link();
    CHECK(third->granted());
    first.reset();
    second.reset();
    third.reset();
    CHECK(world.limits->want_link(24'000)->granted());
}

TEST_CASE("a body larger than half a second of the link is read alone")
{
    intake_settings settings;
    settings.max_reading = 1000;
    intake_world world(settings);
    auto first = world.limits->want_link(50'000);
    CHECK(first->granted());
    auto second = world.limits->want_link(10);
    CHECK_FALSE(second->granted());
    first.reset();
    CHECK(second->granted());
}
