// A restarted backend server has a new clock. A hold requested by the clock of
// the previous incarnation would end seconds too late, and the runs would
// continue after their task was started elsewhere.
#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("a restarted server is not asked for a hold by its previous clock",
          "[clock_of_life]")
{
    manual_loop loop;
    fake_backend_server server{loop};
    server.born_ms = 1;
    run_manager manager{loop.clock, server, loop.delay(), 1000, {}};
    server_account account;
    account.service = "service-1";
    account.instance = "life-1";
    account.born_ms = 1;
    account.capacity = {8000, 1000, 0};
    account.phase = server_phase::ready;
    manager.registered(account);
    manager.begin();
    loop.advance(seconds{5});
    CHECK(server.held_until > server.now_ms());
    server.unreachable = true;
    loop.advance(milliseconds{300});
    server.unreachable = false;
    server.restart(2);
    for (int i = 0; i < 50; ++i)
    {
        loop.advance(milliseconds{10});
        manager.tick();
        CHECK(server.held_until <=
              server.now_ms() + run_manager_settings{}.hold / milliseconds{1});
    }
    CHECK(server.held_until > server.now_ms()); // The hold is renewed.
}
