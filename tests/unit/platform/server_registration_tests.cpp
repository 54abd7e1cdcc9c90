#include "platform/server_registration.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// Sends heartbeats to a manager that has not polled the server yet.
struct registration_fixture
{
    unsigned put(const std::string& times)
    {
        http_request request;
        request.method = "PUT";
        request.target = "/instances/life-1";
        request.body = R"({"service":"service-1","zone":"hall-1",)"
                       R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
                       R"("sequence":)" +
                       std::to_string(++sequence) + "," + times + "}";
        unsigned status = 0;
        registration.handle(request, [&status](const http_response& answer)
                            { status = answer.status; });
        return status;
    }

    std::uint64_t sequence = 0;
    manual_loop loop;
    fake_backend_server runner{loop};
    run_manager manager{loop.clock, runner, loop.delay(), 1000, {}};
    platform::server_registration registration{manager};
};

} // namespace

TEST_CASE("the remaining time of a draining server is used")
{
    registration_fixture world;
    CHECK(world.put(R"("state":"draining","remaining_ms":1800)") == 200);
    REQUIRE(world.manager.load().leaves_in);
    CHECK(*world.manager.load().leaves_in == milliseconds{1800});
    CHECK(world.put(R"("state":"ready")") == 200);
    CHECK_FALSE(world.manager.load().leaves_in);
}

TEST_CASE("the remaining time of a ready server is ignored")
{
    registration_fixture world;
    world.put(R"("state":"ready","remaining_ms":1800)");
    CHECK_FALSE(world.manager.load().leaves_in);
}

TEST_CASE("a draining server without a remaining time gives no notice")
{
    registration_fixture world;
    world.put(R"("state":"draining")");
    CHECK_FALSE(world.manager.load().leaves_in);
    CHECK(world.manager.stats().leaving_notices == 0);
}

TEST_CASE("the reported cold time counts down")
{
    registration_fixture world;
    world.put(R"("state":"ready","cold_remaining_ms":700)");
    CHECK(world.manager.load().cold == milliseconds{700});
    world.loop.advance(milliseconds{500});
    CHECK(world.manager.load().cold == milliseconds{200});
}

TEST_CASE("reported times are capped at one hour")
{
    registration_fixture world;
    world.put(R"("state":"draining","remaining_ms":18446744073709551615)");
    REQUIRE(world.manager.load().leaves_in);
    CHECK(*world.manager.load().leaves_in == seconds{3600});
}
