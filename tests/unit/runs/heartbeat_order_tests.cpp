#include "glenhollow/runs/heartbeat_order.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

const server_incarnation first{"server-1", 1000};
const server_incarnation second{"server-1", 2000};

} // namespace

TEST_CASE("a heartbeat is out of order only after a later one of its "
          "incarnation")
{
    heartbeat_order order;
    CHECK_FALSE(order.newer_sequence(first, 1));
    order.record(first, 7);
    CHECK_FALSE(order.newer_sequence(first, 7)); // A retransmission.
    CHECK_FALSE(order.newer_sequence(first, 8));
    REQUIRE(order.newer_sequence(first, 6));
    CHECK(*order.newer_sequence(first, 6) == 7);
}

TEST_CASE("a new incarnation with the same id has its own sequence")
{
    heartbeat_order order;
    order.record(first, 40);
    CHECK_FALSE(order.newer_sequence(second, 1));
    order.record(second, 2);
    CHECK(order.newer_sequence(second, 1));
    CHECK(order.newer_sequence(first, 39));
}

TEST_CASE("a heartbeat of another incarnation does not reset the order")
{
    heartbeat_order order;
    order.record(second, 5);
    order.record(first, 41);
    CHECK(order.newer_sequence(second, 4));
    order.record(second, 3); // The highest number stays.
    CHECK(order.newer_sequence(second, 4));
}

TEST_CASE("only the most recent incarnations are remembered")
{
    heartbeat_order order;
    order.record(first, 40);
    for (std::size_t i = 0; i < heartbeat_order::max_incarnations; ++i)
        order.record({"server-1", 3000 + static_cast<std::int64_t>(i)}, 1);
    CHECK_FALSE(order.newer_sequence(first, 1));
}
