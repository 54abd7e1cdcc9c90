#include "glenhollow/runs/run_wire.hpp"

#include <capnp/message.h>
#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

server_report over_wire(const server_report& report)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::RunnerState>();
    fill(out, report);
    return from_wire(out.asReader());
}

} // namespace

TEST_CASE("reports without an account contain the times and pace of the "
          "server")
{
    server_report report;
    report.has_account = false;
    report.load.leaves_in = milliseconds{1800};
    report.load.cold = milliseconds{250};
    report.load.pace = 1.625;
    const auto got = over_wire(report);
    REQUIRE(got.load.leaves_in);
    CHECK(*got.load.leaves_in == milliseconds{1800});
    CHECK(got.load.cold == milliseconds{250});
    CHECK(got.load.pace == Approx(1.625));
}

TEST_CASE("a shutdown in 0 ms differs from no announced shutdown")
{
    server_report report;
    CHECK_FALSE(over_wire(report).load.leaves_in);
    report.load.leaves_in = duration{0};
    REQUIRE(over_wire(report).load.leaves_in);
    CHECK(over_wire(report).load.leaves_in->count() == 0);
}

TEST_CASE("an order contains the expected run time and the deadline")
{
    run_order order;
    order.expected_ms = 90;
    order.useful_ms = 2900;
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::RunOrder>();
    fill(out, order);
    const auto got = from_wire(out.asReader());
    CHECK(got.expected_ms == 90);
    CHECK(got.useful_ms == 2900);
}

TEST_CASE("reports and orders contain the number of the incarnation",
          "[order_incarnation]")
{
    server_report report;
    report.incarnation_number = 3;
    CHECK(over_wire(report).incarnation_number == 3);
    run_order order;
    order.incarnation_number = 3;
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::RunOrder>();
    fill(out, order);
    CHECK(from_wire(out.asReader()).incarnation_number == 3);
}

TEST_CASE("an account contains the start time of the incarnation")
{
    server_report report;
    report.has_account = true;
    report.account.instance = "server-1";
    report.account.born_ms = 1'750'000'000'123;
    CHECK(over_wire(report).account.incarnation() ==
          report.account.incarnation());
}
