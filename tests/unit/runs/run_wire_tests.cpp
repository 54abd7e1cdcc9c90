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

TEST_CASE("times and pace of a server travel with reports of room alone")
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

TEST_CASE("a server that leaves at once is told apart from one that stays")
{
    server_report report;
    CHECK_FALSE(over_wire(report).load.leaves_in);
    report.load.leaves_in = duration{0};
    REQUIRE(over_wire(report).load.leaves_in);
    CHECK(over_wire(report).load.leaves_in->count() == 0);
}

TEST_CASE("what an order expects and how long it is of use travel with it")
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

TEST_CASE("which life of its id a server is in travels with its account")
{
    server_report report;
    report.has_account = true;
    report.account.instance = "server-1";
    report.account.born_ms = 1'750'000'000'123;
    CHECK(over_wire(report).account.incarnation() ==
          report.account.incarnation());
}
