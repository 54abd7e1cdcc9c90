// A restarted agent must assume that the previous process renewed the hold.
// Otherwise it releases an end `done` that is still unconfirmed, and the task
// runs again.
#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"
#include "unit/support/ready_account.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("a restarted agent waits for the hold of its previous process",
          "[inherited_hold]")
{
    manual_loop loop;
    fake_backend_server server{loop};
    const run_ref durable_run{{1, 0, 0, 0}, 1};
    // The previous process renewed the hold just before it ended.
    server.running.push_back(durable_run);
    server.held_until = server.now_ms() + 1000;
    run_manager manager{loop.clock, server, loop.delay(), 1000, {}};
    manager.registered(ready_account(8000));
    manager.begin();
    const auto run = [&](duration length)
    {
        constexpr duration step = milliseconds{10};
        for (duration passed{}; passed < length; passed += step)
        {
            manager.tick();
            loop.advance(step);
        }
    };
    run(milliseconds{300});
    server.finish(durable_run, run_outcome::done);
    run(milliseconds{300});
    CHECK(server.confirmed == 0);
    run(milliseconds{200});
    CHECK(server.confirmed == 0);
    // No owner confirms the end; it is released once the hold has lapsed.
    run(milliseconds{600});
    CHECK(server.confirmed == 1);
}
