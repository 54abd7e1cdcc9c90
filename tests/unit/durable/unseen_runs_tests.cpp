// Guards against a task that runs at two backend servers at once: a restarted
// agent must not account for a part's runs before its backend server has shown
// which runs it still has.
#include "glenhollow/core/run_after.hpp"
#include "glenhollow/durable/agent_sessions.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "glenhollow/rpc/rpc_loop.hpp"
#include "glenhollow/runs/run_agent_service.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>

using namespace glenhollow;

namespace
{

/// Entry that keeps the first lease account of each part, and confirms the ends
/// that it is reported.
struct recording_entry : agent_session_listener
{
    void agent_attached(const std::string&, const server_report&) override
    {
        attached = true;
    }
    void agent_detached(const std::string&) override {}
    void agent_ordered(const std::string&) override {}
    void agent_adopted(const std::string&, part_epoch part,
                       const lease_account& account) override
    {
        accounts.emplace(part.part, account);
    }
    void agent_reported(const std::string&, const server_report&,
                        const std::vector<run_end>& ends,
                        const std::vector<run_ref>&) override
    {
        reported.insert(reported.end(), ends.begin(), ends.end());
        unconfirmed.insert(unconfirmed.end(), ends.begin(), ends.end());
    }
    std::vector<run_end> take_confirmed(const std::string&) override
    {
        return std::exchange(unconfirmed, {});
    }
    std::vector<part_epoch> owned_parts() const override
    {
        return {{0, 1}, {memory_part, 0}};
    }
    duration room_report_interval(const std::string&,
                                  std::size_t) const override
    {
        return milliseconds{1};
    }
    bool places_for_others(const std::string&) const override { return false; }
    bool places_at(const std::string&) const override { return true; }
    hall_evacuation evacuation_of(const std::string&) const override
    {
        return {};
    }

    /// @return Whether a report or the account of part 0 names the end.
    bool knows_end(const run_ref& run) const
    {
        const auto is_end = [&run](const run_end& end)
        { return end.run == run; };
        const auto account = accounts.find(0);
        return std::any_of(reported.begin(), reported.end(), is_end) ||
               (account != accounts.end() &&
                std::any_of(account->second.ends.begin(),
                            account->second.ends.end(), is_end));
    }

    bool attached = false;
    std::map<part_number, lease_account> accounts;
    std::vector<run_end> reported;    ///< Ends in reports.
    std::vector<run_end> unconfirmed; ///< Those not confirmed yet.
};

run_manager_settings one_part()
{
    run_manager_settings out;
    out.parts = 1;
    return out;
}

agent_sessions_settings entry_settings()
{
    agent_sessions_settings out;
    out.entry = "entry";
    out.incarnation = 1;
    return out;
}

/// Restarted agent beside a backend server that still runs two tasks, and an
/// entry that attaches.
struct restarted_agent_fixture
{
    restarted_agent_fixture()
    {
        server.running = {kept, in_memory};
        server.held_until = server.now_ms() + 1000;
        sessions.add("agent", {"127.0.0.1", links().port()});
    }

    rpc_listener& links() { return *listener.value(); }

    /// Runs the event loop.
    /// @param step Called every 2 ms of real time; returns false to stop.
    void play(std::function<bool()> step)
    {
        std::function<void()> again = [&]
        {
            sessions.tick();
            agent->tick();
            manager.tick();
            if (!step())
                return loop.stop();
            run_after(loop.io(), milliseconds{2}, again);
        };
        loop.run(
            [&]
            {
                links().serve(agent->bootstrap());
                manager.begin();
                again();
            },
            [&]
            {
                sessions.close();
                agent.reset();
                links().close();
            });
    }

    bool told() const { return entry.accounts.size() == 2; }

    const run_ref kept{{42, 0, 0, 0}, 4097};
    const run_ref in_memory{{43, 0, 0, 0}, first_memory_run + 1};
    rpc_loop loop;
    manual_loop time;
    fake_backend_server server{time};
    run_manager manager{time.clock, server, time.delay(), 1000, one_part()};
    std::unique_ptr<run_agent_service> agent =
        std::make_unique<run_agent_service>(loop.io(), process_clock(), manager,
                                            1, report_pacing_settings{});
    recording_entry entry;
    agent_sessions sessions{loop.io(), process_clock(), entry,
                            entry_settings()};
    result<std::unique_ptr<rpc_listener>> listener =
        rpc_listener::create(loop.io(), "127.0.0.1", 0);
};

/// Steps that allow for some round trips between two processes of one VM.
constexpr int enough_steps = 50;

} // namespace

TEST_CASE("an agent accounts for runs once its backend server has shown them",
          "[unseen_runs]")
{
    restarted_agent_fixture fixture;
    fixture.server.silent = true;
    int steps = 0;
    fixture.play(
        [&]
        {
            if (fixture.entry.attached && ++steps == enough_steps)
                fixture.server.silent = false;
            if (steps > enough_steps)
                fixture.time.advance(milliseconds{10});
            return !fixture.told() && steps < 20 * enough_steps;
        });
    REQUIRE(fixture.told());
    const auto& parts = fixture.entry.accounts.at(0).runs;
    REQUIRE(parts.size() == 1);
    CHECK(parts.front().run == fixture.kept);
    const auto& memory = fixture.entry.accounts.at(memory_part).runs;
    REQUIRE(memory.size() == 1);
    CHECK(memory.front().run == fixture.in_memory);
}

TEST_CASE("an agent beside a silent backend server accounts for no runs once "
          "all leases have expired",
          "[unseen_runs]")
{
    restarted_agent_fixture fixture;
    fixture.server.silent = true;
    int steps = 0;
    instant told_at{};
    const auto begun_at = fixture.time.clock.now();
    fixture.play(
        [&]
        {
            if (fixture.entry.attached && ++steps > enough_steps)
                fixture.time.advance(milliseconds{10});
            told_at = fixture.time.clock.now();
            return !fixture.told() && steps < 20 * enough_steps;
        });
    REQUIRE(fixture.told());
    CHECK(told_at - begun_at > max_hold);
    CHECK(fixture.entry.accounts.at(0).runs.empty());
}

// Guards against a task that runs again although it has ended: a restarted
// agent accounted for a part's runs from a list of ends that was cut.
TEST_CASE("a restarted agent accounts for runs once all ends were listed",
          "[unseen_runs]")
{
    restarted_agent_fixture fixture;
    fixture.server.running.clear();
    fixture.server.max_listed_ends = 2;
    std::vector<run_ref> ended;
    for (std::uint32_t index = 0; index < 5; ++index)
    {
        ended.push_back({{42, 0, 0, index}, 4097});
        fixture.server.running.push_back(ended.back());
        fixture.server.finish(ended.back(), run_outcome::done);
    }
    int steps = 0;
    fixture.play(
        [&]
        {
            fixture.time.advance(milliseconds{10});
            return !fixture.told() && ++steps < 20 * enough_steps;
        });
    REQUIRE(fixture.told());
    for (const auto& run : ended)
        CHECK(fixture.entry.knows_end(run));
}

// Guards against an entry that starts a part's tasks again because it got an
// empty account: a delayed attach call of the entry's previous process has
// replaced its session.
TEST_CASE("an entry with a replaced session gets no empty lease account",
          "[unseen_runs]")
{
    restarted_agent_fixture fixture;
    recording_entry stale_entry;
    auto stale_settings = entry_settings();
    stale_settings.incarnation = 2;
    agent_sessions stale_sessions(fixture.loop.io(), process_clock(),
                                  stale_entry, stale_settings);
    bool replaced = false;
    int steps = 0;
    constexpr int max_steps = 2500; // About 5 s; the session times out before.
    fixture.play(
        [&]
        {
            fixture.time.advance(milliseconds{1});
            if (fixture.told() && !replaced && !stale_entry.attached)
                stale_sessions.add("agent",
                                   {"127.0.0.1", fixture.links().port()});
            if (stale_entry.attached && !std::exchange(replaced, true))
            {
                fixture.entry.accounts.clear();
                fixture.sessions.adopt({0, 2});
            }
            const bool over = replaced && fixture.entry.accounts.contains(0);
            if (over || ++steps == max_steps)
                stale_sessions.close();
            return !over && steps < max_steps;
        });
    REQUIRE(replaced);
    REQUIRE(fixture.entry.accounts.contains(0));
    const auto& runs = fixture.entry.accounts.at(0).runs;
    REQUIRE(runs.size() == 1);
    CHECK(runs.front().run == fixture.kept);
}
