#include "platform/server_registration.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// Accounts as they come in, to a manager that has not looked yet.
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

TEST_CASE("a server that leaves tells how long it stays at least")
{
    registration_fixture world;
    CHECK(world.put(R"("state":"draining","remaining_ms":1800)") == 200);
    REQUIRE(world.manager.load().leaves_in);
    CHECK(*world.manager.load().leaves_in == milliseconds{1800});
    CHECK(world.put(R"("state":"ready")") == 200);
    CHECK_FALSE(world.manager.load().leaves_in);
}

TEST_CASE("a server that stays has no notice, whatever else is told")
{
    registration_fixture world;
    world.put(R"("state":"ready","remaining_ms":1800)");
    CHECK_FALSE(world.manager.load().leaves_in);
}

TEST_CASE("a server that leaves and does not say when gives no notice")
{
    registration_fixture world;
    world.put(R"("state":"draining")");
    CHECK_FALSE(world.manager.load().leaves_in);
    CHECK(world.manager.stats().leaving_notices == 0);
}

TEST_CASE("a server tells how long it stays slow from its start")
{
    registration_fixture world;
    world.put(R"("state":"ready","cold_remaining_ms":700)");
    CHECK(world.manager.load().cold == milliseconds{700});
    world.loop.advance(milliseconds{500});
    CHECK(world.manager.load().cold == milliseconds{200});
}

TEST_CASE("times without measure are an hour at most")
{
    registration_fixture world;
    world.put(R"("state":"draining","remaining_ms":18446744073709551615)");
    REQUIRE(world.manager.load().leaves_in);
    CHECK(*world.manager.load().leaves_in == seconds{3600});
}
