// A backend server restarts under the same id while its agent is suspended. An
// acknowledgement meant for the previous incarnation must not reach the new
// one: it would forget ends that were never seen, and their tasks would run
// again.
#include "glenhollow/runs/run_manager.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace glenhollow;

namespace
{

constexpr lease_id entry_lease = memory_lease(0);
constexpr std::int64_t first_born = 1'750'000'000'000;
constexpr std::int64_t second_born = first_born + 60'000;

/// Delays the answers of a backend server while the agent is suspended.
class delayed_answers final : public backend_server_client
{
public:
    explicit delayed_answers(backend_server_client& server) : server_(server) {}

    void start(const run_start& start, const order_context& context,
               order_handler done) override
    {
        server_.start(start, context, deferred<order_result>(std::move(done)));
    }
    void stop(const run_ref& run, const order_context& context,
              order_handler done) override
    {
        server_.stop(run, context, deferred<order_result>(std::move(done)));
    }
    void hold(const hold_request& request, hold_handler done) override
    {
        server_.hold(request, deferred<hold_result>(std::move(done)));
    }

    void read()
    {
        for (auto& one : std::exchange(unread_, {}))
            one();
    }

    bool paused = false; ///< Answers are deferred.

private:
    template <class Answer>
    std::function<void(Answer)> deferred(std::function<void(Answer)> done)
    {
        return [this, done = std::move(done)](Answer answer)
        {
            if (!paused)
                return done(std::move(answer));
            unread_.push_back([done, answer = std::move(answer)]
                              { done(answer); });
        };
    }

    backend_server_client& server_;             ///< Receives the calls.
    std::vector<std::function<void()>> unread_; ///< Answers by arrival.
};

/// An agent that can be suspended, and a backend server with its own clock.
struct restart_fixture
{
    restart_fixture()
    {
        server.incarnation = "server-1";
        server.born_ms = first_born;
        server.clock_ahead = seconds{500};
        manager.begin();
    }

    void register_server(std::int64_t born, std::uint64_t sequence,
                         server_phase phase)
    {
        server_account account;
        account.service = "service-1";
        account.instance = "server-1";
        account.born_ms = born;
        account.sequence = sequence;
        account.zone = "hall-1";
        account.capacity = {4000, 1000, 0};
        account.phase = phase;
        manager.registered(account);
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds{1};
        for (duration passed{}; passed < length; passed += step)
        {
            manager.renew(entry_lease, 0, agent_loop.clock.now());
            manager.tick();
            server_loop.advance(step);
            agent_loop.advance(step);
            for (const auto& end : manager.take_ends(entry_lease))
            {
                received.push_back(end);
                manager.confirm(end);
            }
        }
    }

    /// Suspends the agent process; none of its timers runs.
    void pause(duration length)
    {
        port.paused = true;
        server_loop.advance(length);
        agent_loop.clock.advance(length);
        port.paused = false;
    }

    static run_ref ref(std::uint32_t index)
    {
        return {{42, 0, 0, index}, first_memory_run + 1};
    }

    void order(std::uint32_t index)
    {
        run_order order;
        order.run = ref(index);
        order.needs = {1000, 10, 0};
        manager.order(order, entry_lease);
    }

    /// Completes and confirms three tasks in the first incarnation.
    void complete_first_incarnation()
    {
        register_server(first_born, 40, server_phase::ready);
        run(milliseconds{50});
        for (std::uint32_t index = 0; index < 3; ++index)
            order(index);
        run(milliseconds{50});
        REQUIRE(server.running.size() == 3);
        for (std::uint32_t index = 0; index < 3; ++index)
            server.finish(ref(index), run_outcome::done);
        run(milliseconds{150});
        REQUIRE(received.size() == 3);
        REQUIRE(server.confirmed == 3);
        received.clear();
    }

    /// The server answers the pending poll, ends and restarts.
    void restart_unseen()
    {
        pause(milliseconds{150});
        server.restart(second_born);
        pause(milliseconds{500});
    }

    /// Reads the deferred answers; the next poll is sent before anything else
    /// is read.
    void reads_answers()
    {
        port.read();
        agent_loop.advance(duration{0});
    }
    void reads_sign_off() { manager.signed_off({"server-1", 0}); }
    void reads_registration()
    {
        register_server(second_born, 1, server_phase::ready);
    }

    /// Checks that the new incarnation gets work and its ends are reported.
    void check_new_incarnation()
    {
        run(milliseconds{300});
        CHECK(server.confirmed == 0);
        CHECK(manager.account().born_ms == second_born);
        CHECK(manager.account().phase == server_phase::ready);
        received.clear();
        order(3);
        run(milliseconds{50});
        REQUIRE(server.running.size() == 1);
        server.finish(ref(3), run_outcome::done);
        run(milliseconds{300});
        REQUIRE(received.size() == 1);
        CHECK(received[0].outcome == run_outcome::done);
        CHECK(manager.stats().runs_missing == 0);
        CHECK(manager.stats().misdelivered_acks == 0);
        CHECK(server.confirmed == 1);
    }

    manual_loop agent_loop;
    manual_loop server_loop;
    fake_backend_server server{server_loop};
    delayed_answers port{server};
    run_manager manager{agent_loop.clock, port, agent_loop.delay(), 1000, {}};
    std::vector<run_end>
        received; ///< Ends that the entry received and confirmed.
};

} // namespace

TEST_CASE("a server that restarts unseen after announcing its shutdown loses "
          "no end",
          "[returned_server]")
{
    restart_fixture fixture;
    fixture.complete_first_incarnation();
    fixture.register_server(first_born, 41, server_phase::draining);
    fixture.run(milliseconds{20});
    fixture.restart_unseen();
    SECTION("its last list is read first")
    {
        fixture.reads_answers();
        fixture.reads_sign_off();
        fixture.reads_registration();
    }
    SECTION("its sign-off is read first")
    {
        fixture.reads_sign_off();
        fixture.reads_answers();
        fixture.reads_registration();
    }
    SECTION("its last list is read after the new life's registration")
    {
        fixture.reads_sign_off();
        fixture.reads_registration();
        fixture.reads_answers();
    }
    fixture.check_new_incarnation();
}

TEST_CASE("a server that restarts unseen loses no end", "[returned_server]")
{
    restart_fixture fixture;
    fixture.complete_first_incarnation();
    fixture.run(milliseconds{20});
    fixture.restart_unseen();
    SECTION("its last list is read first")
    {
        fixture.reads_answers();
        fixture.reads_registration();
    }
    SECTION("its last list is read after the new life's registration")
    {
        fixture.reads_registration();
        fixture.reads_answers();
    }
    fixture.check_new_incarnation();
}

TEST_CASE("an end listed while the agent is suspended is reported once",
          "[returned_server]")
{
    restart_fixture fixture;
    fixture.complete_first_incarnation();
    fixture.order(3);
    fixture.run(milliseconds{50});
    REQUIRE(fixture.server.running.size() == 1);
    fixture.server.finish(fixture.ref(3), run_outcome::done);
    fixture.pause(milliseconds{150});
    fixture.server.restart(second_born);
    fixture.pause(milliseconds{500});
    fixture.reads_answers();
    fixture.reads_registration();
    fixture.run(milliseconds{300});
    REQUIRE(fixture.received.size() == 1);
    CHECK(fixture.received[0].outcome == run_outcome::done);
    CHECK(fixture.server.confirmed == 0);
}
