// Incarnations of a backend server, and evacuated halls.
#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

constexpr lease_id entry_lease = memory_lease(0);

/// A run manager with a backend server that checks the expected id.
struct incarnation_fixture
{
    incarnation_fixture()
    {
        server.incarnation = "life-1";
        make();
    }

    void make()
    {
        manager = std::make_unique<run_manager>(
            loop.clock, server, loop.delay(), 1000, run_manager_settings{});
        manager->begin();
    }

    static server_account account_of(const std::string& incarnation)
    {
        server_account account;
        account.service = "service-1";
        account.instance = incarnation;
        account.zone = "hall-1";
        account.capacity = {4000, 1000, 0};
        account.phase = server_phase::ready;
        return account;
    }

    void register_server(const std::string& incarnation)
    {
        manager->registered(account_of(incarnation));
    }

    void restore_server(const std::string& incarnation,
                        server_phase phase = server_phase::ready)
    {
        auto account = account_of(incarnation);
        account.phase = phase;
        manager->restored(account);
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds{10};
        for (duration passed{}; passed < length; passed += step)
        {
            manager->renew(entry_lease, 0, loop.clock.now());
            manager->tick();
            loop.advance(step);
        }
    }

    /// @param number Incarnation that the order is for; 0: any.
    void order(std::uint32_t index, std::uint32_t number = 0,
               std::uint32_t cpu = 1000)
    {
        run_order order;
        order.run = {{42, 0, 0, index}, first_memory_run + 1};
        order.needs = {cpu, 10, 0};
        order.incarnation_number = number;
        manager->order(order, entry_lease);
    }

    /// Replaces the server by another one.
    void replace_server(const std::string& incarnation, std::uint32_t cpu)
    {
        server.running.clear();
        server.incarnation = incarnation;
        auto account = account_of(incarnation);
        account.capacity.cpu = cpu;
        manager->registered(account);
        run(milliseconds{20});
        REQUIRE(manager->account().phase == server_phase::ready);
    }

    /// Registers the first incarnation and starts one run.
    void run_one()
    {
        register_server("life-1");
        run(milliseconds{20});
        order(0);
        run(milliseconds{20});
        REQUIRE(server.running.size() == 1);
    }

    std::vector<run_end> ends() { return manager->take_ends(entry_lease); }

    manual_loop loop;
    fake_backend_server server{loop};
    std::unique_ptr<run_manager> manager;
};

} // namespace

TEST_CASE("a delayed heartbeat of an ended incarnation ends no runs")
{
    incarnation_fixture fixture;
    fixture.run_one();
    fixture.register_server("life-0"); // Delayed by the network.
    fixture.run(milliseconds{200});
    CHECK(fixture.manager->account().instance == "life-1");
    CHECK(fixture.manager->account().phase == server_phase::ready);
    CHECK(fixture.ends().empty());
    CHECK(fixture.server.running.size() == 1);
    CHECK(fixture.manager->stats().stale_registrations == 1);
    fixture.order(1);
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.size() == 2);
}

TEST_CASE("a new incarnation is accepted once it refuses a poll for the last "
          "one")
{
    incarnation_fixture fixture;
    fixture.run_one();
    fixture.server.running.clear();
    fixture.server.incarnation = "life-2";
    fixture.register_server("life-2");
    fixture.run(milliseconds{20});
    CHECK(fixture.manager->account().instance == "life-2");
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::lapsed);
    fixture.order(1);
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.size() == 1);
}

TEST_CASE("a new incarnation is accepted if the server stays silent")
{
    incarnation_fixture fixture;
    fixture.register_server("life-1");
    fixture.run(milliseconds{20});
    fixture.server.silent = true;
    fixture.register_server("life-2");
    fixture.run(milliseconds{500});
    CHECK(fixture.manager->account().instance ==
          "life-1"); // It may be running.
    fixture.run(milliseconds{1500});
    CHECK(fixture.manager->account().instance == "life-2");
}

TEST_CASE("a restarted agent ends no runs on a heartbeat of an ended "
          "incarnation")
{
    incarnation_fixture fixture;
    fixture.run_one();
    fixture.make(); // The agent learns its runs from polls alone.
    fixture.run(milliseconds{20});
    fixture.register_server("life-0");
    fixture.run(milliseconds{50});
    CHECK(fixture.manager->account().phase != server_phase::ready);
    fixture.register_server("life-1");
    fixture.run(milliseconds{50});
    CHECK(fixture.manager->account().instance == "life-1");
    CHECK(fixture.manager->account().phase == server_phase::ready);
    const auto known = fixture.manager->adopt(entry_lease, 0);
    CHECK(known.ends.empty());
    CHECK(known.runs.size() == 1);
    CHECK(fixture.server.running.size() == 1);
}

TEST_CASE("in an evacuated hall nothing starts and runs continue")
{
    incarnation_fixture fixture;
    fixture.run_one();
    fixture.manager->evacuate(true);
    CHECK(fixture.manager->account().phase == server_phase::draining);
    fixture.order(1);
    fixture.run(milliseconds{200});
    CHECK(fixture.server.running.size() == 1);
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::not_begun);
    fixture.register_server("life-1"); // The heartbeat reports it as ready.
    fixture.run(milliseconds{20});
    CHECK(fixture.manager->account().phase == server_phase::draining);
    fixture.manager->evacuate(false);
    fixture.order(2);
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.size() == 2);
}

TEST_CASE("a draining agent stays draining when its hall is no longer "
          "evacuated")
{
    incarnation_fixture fixture;
    fixture.register_server("life-1");
    fixture.run(milliseconds{20});
    fixture.manager->evacuate(true);
    fixture.manager->drain();
    fixture.manager->evacuate(false);
    CHECK(fixture.manager->account().phase == server_phase::draining);
}

TEST_CASE("a restarted agent polls the restored incarnation and accepts work")
{
    // Waiting for the next heartbeat would take up to 1.5 s.
    incarnation_fixture fixture;
    fixture.make();
    fixture.run(milliseconds{20});
    CHECK(fixture.manager->account().phase != server_phase::ready);
    fixture.restore_server("life-1");
    fixture.run(milliseconds{20});
    CHECK(fixture.manager->account().phase == server_phase::ready);
    CHECK(fixture.manager->account().capacity.cpu == 4000);
    fixture.order(0);
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.size() == 1);
    fixture.register_server("life-1"); // The heartbeat changes nothing.
    fixture.run(milliseconds{20});
    CHECK(fixture.manager->account().phase == server_phase::ready);
    CHECK(fixture.server.running.size() == 1);
    CHECK(fixture.manager->stats().restored_ended == 0);
}

TEST_CASE("a restored incarnation that has ended gets no work")
{
    incarnation_fixture fixture;
    fixture.server.incarnation = "life-2";
    fixture.make();
    fixture.restore_server("life-1");
    fixture.run(milliseconds{50});
    CHECK(fixture.manager->account().phase == server_phase::absent);
    CHECK(fixture.manager->account().instance.empty());
    CHECK(fixture.manager->stats().restored_ended == 1);
    fixture.register_server("life-2");
    fixture.run(milliseconds{20});
    CHECK(fixture.manager->account().phase == server_phase::ready);
}

TEST_CASE("a restored incarnation that was draining gets no work")
{
    incarnation_fixture fixture;
    fixture.make();
    fixture.restore_server("life-1", server_phase::draining);
    fixture.run(milliseconds{50});
    CHECK(fixture.manager->account().phase == server_phase::draining);
}

TEST_CASE("a registration overrides a restored account")
{
    incarnation_fixture fixture;
    fixture.make();
    fixture.register_server("life-1");
    fixture.restore_server("life-0");
    fixture.run(milliseconds{20});
    CHECK(fixture.manager->account().instance == "life-1");
    fixture.manager->departed("life-1");
    fixture.restore_server("life-1");
    fixture.run(milliseconds{20});
    CHECK(fixture.manager->account().instance.empty());
}

TEST_CASE("a restored backend server that is silent gets no work")
{
    incarnation_fixture fixture;
    fixture.server.silent = true;
    fixture.make();
    fixture.restore_server("life-1");
    fixture.run(milliseconds{500});
    CHECK(fixture.manager->account().phase == server_phase::absent);
    fixture.register_server("life-2"); // No poll has confirmed the other.
    CHECK(fixture.manager->account().instance == "life-2");
}

// Guards against jobs that never start: their delayed order waits for room that
// the server's next incarnation doesn't have.
TEST_CASE("an order for the last incarnation is given back by a smaller one",
          "[order_incarnation]")
{
    incarnation_fixture fixture;
    fixture.run_one();
    const auto last = fixture.manager->incarnation_number();
    fixture.replace_server("life-2", 500);
    fixture.ends();
    fixture.order(1, last);
    fixture.run(milliseconds{20});
    const auto received = fixture.ends();
    REQUIRE(received.size() == 1);
    CHECK(received[0].outcome == run_outcome::not_begun);
    CHECK(fixture.manager->load().waiting == 0);
    CHECK(fixture.manager->stats().refused_by_incarnation == 1);
}

// Guards against tasks that start at a server of another kind.
TEST_CASE("an order for the last incarnation does not start at the next one",
          "[order_incarnation]")
{
    incarnation_fixture fixture;
    fixture.run_one();
    const auto last = fixture.manager->incarnation_number();
    fixture.replace_server("life-2", 4000);
    fixture.order(1, last);
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.empty());
    fixture.order(2, fixture.manager->incarnation_number());
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.size() == 1);
}

TEST_CASE("a heartbeat of the same incarnation keeps its number",
          "[order_incarnation]")
{
    incarnation_fixture fixture;
    fixture.run_one();
    const auto number = fixture.manager->incarnation_number();
    fixture.register_server("life-1");
    fixture.run(milliseconds{20});
    CHECK(fixture.manager->incarnation_number() == number);
}

TEST_CASE("an order without an incarnation starts at any",
          "[order_incarnation]")
{
    incarnation_fixture fixture;
    fixture.run_one();
    fixture.replace_server("life-2", 4000);
    fixture.order(1);
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.size() == 1);
}

// Guards against jobs that never start: an order that the server can't hold
// waits for good.
TEST_CASE("an order beyond the whole capacity is given back",
          "[order_capacity]")
{
    incarnation_fixture fixture;
    fixture.run_one();
    fixture.order(1, 0, 4000); // Waits for the end of the first run.
    fixture.run(milliseconds{20});
    REQUIRE(fixture.manager->load().waiting == 1);
    auto account = incarnation_fixture::account_of("life-1");
    account.capacity.cpu = 2000;
    account.sequence = 1;
    fixture.manager->registered(account);
    fixture.order(2, 0, 4000);
    fixture.run(milliseconds{20});
    CHECK(fixture.manager->load().waiting == 0);
    const auto received = fixture.ends();
    REQUIRE(received.size() == 2);
    for (const auto& end : received)
        CHECK(end.outcome == run_outcome::not_begun);
    CHECK(fixture.server.running.size() == 1);
    fixture.order(3, 0, 1000);
    fixture.run(milliseconds{20});
    CHECK(fixture.server.running.size() == 2);
}
