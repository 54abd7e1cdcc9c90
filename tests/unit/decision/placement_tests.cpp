#include "glenhollow/decision/placement.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

runner_view view(std::int32_t slots, std::int32_t busy, bool own_hall = true)
{
    runner_view result;
    result.connected = true;
    result.slots = slots;
    result.peer_tasks = busy - 1;
    result.own_hall = own_hall;
    result.outstanding = 1;
    return result;
}

placement_choice choose(placement_kind kind, std::vector<runner_view> views,
                        placement_request request = {})
{
    random_engine random(1);
    request.runners = views;
    return placement::create(kind, {})->choose(request, random);
}

} // namespace

TEST_CASE("no strategy chooses an unusable runner")
{
    for (std::size_t i = 0; i < name_table<placement_kind>::names.size(); ++i)
    {
        const auto kind = static_cast<placement_kind>(i);
        std::vector<runner_view> views(6, view(8, 0));
        views[0].connected = false;
        views[1].draining = true;
        views[2].shunned = true;
        views[3].ejected = true;
        views[4].on_trial = true;
        for (int seed = 0; seed < 20; ++seed)
        {
            random_engine random(seed);
            placement_request request;
            request.runners = views;
            REQUIRE(
                placement::create(kind, {})->choose(request, random).runner ==
                runner_index{5});
        }
        views[5].connected = false;
        REQUIRE(choose(kind, views).why == reason::no_runner);
    }
}

TEST_CASE("late binding prefers a free slot in the own hall")
{
    REQUIRE(choose(placement_kind::late_binding,
                   {view(8, 8), view(8, 6), view(8, 0, false)})
                .runner == runner_index{1});
}

TEST_CASE("late binding uses another hall after a wait of its round-trip time")
{
    auto other_hall_runner = view(8, 0, false);
    other_hall_runner.delay = milliseconds{3};
    placement_request request;
    request.waited = milliseconds{1};
    REQUIRE_FALSE(choose(placement_kind::late_binding,
                         {view(8, 8), other_hall_runner}, request)
                      .runner);
    request.waited = milliseconds{4};
    REQUIRE(choose(placement_kind::late_binding,
                   {view(8, 8), other_hall_runner}, request)
                .runner == runner_index{1});
}

TEST_CASE("late binding waits when all slots are busy if tasks are outstanding")
{
    REQUIRE_FALSE(
        choose(placement_kind::late_binding, {view(8, 8), view(8, 9)}).runner);
    auto idle = view(8, 9);
    idle.outstanding = 0;
    REQUIRE(choose(placement_kind::late_binding, {idle}).runner ==
            runner_index{0});
}

TEST_CASE("outstanding tasks count as busy before the next report")
{
    auto full_runner = view(2, 1);
    full_runner.outstanding = 2;
    REQUIRE_FALSE(choose(placement_kind::late_binding, {full_runner}).runner);
}

TEST_CASE("long tasks leave the reserved slots free")
{
    placement_request request;
    request.long_task = true;
    REQUIRE_FALSE(
        choose(placement_kind::late_binding, {view(10, 9)}, request).runner);
    REQUIRE(
        choose(placement_kind::late_binding, {view(10, 8)}, request).runner);
    REQUIRE(choose(placement_kind::late_binding, {view(10, 9)}).runner);
}

TEST_CASE("a slow runner offers fewer slots")
{
    auto slow = view(8, 2);
    slow.speed = 0.25;
    REQUIRE(slow.effective_slots() == 2);
    REQUIRE(choose(placement_kind::late_binding, {slow, view(8, 7)}).runner ==
            runner_index{1});
}

TEST_CASE("a runner to avoid is chosen only if no other is usable")
{
    const runner_index refused = 0;
    placement_request request;
    request.avoid = {&refused, 1};
    REQUIRE(
        choose(placement_kind::late_binding, {view(8, 0), view(8, 7)}, request)
            .runner == runner_index{1});
    REQUIRE(
        choose(placement_kind::late_binding, {view(8, 0)}, request).runner ==
        runner_index{0});
}

TEST_CASE("two_choices takes the less loaded of two random runners")
{
    std::vector<runner_view> views{view(8, 8), view(8, 0)};
    int worse = 0;
    for (int seed = 0; seed < 200; ++seed)
    {
        random_engine random(seed);
        placement_request request;
        request.runners = views;
        const auto choice = placement::create(placement_kind::two_choices, {})
                                ->choose(request, random);
        worse += *choice.runner == 0 ? 1 : 0;
    }
    // The busier runner is taken only if both draws choose it, which has a
    // probability of 1/4.
    REQUIRE(worse > 20);
    REQUIRE(worse < 90);
}
