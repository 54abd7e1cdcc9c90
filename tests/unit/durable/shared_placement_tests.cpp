// Tests of an entry and its placer over real connections.
#include "glenhollow/core/run_after.hpp"
#include "glenhollow/durable/placement_groups.hpp"
#include "glenhollow/durable/placement_server.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "unit/support/idle_entry.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace glenhollow;

namespace
{

constexpr std::uint64_t placer_incarnation = 77;

/// A dispatcher with one agent that accepts all orders.
struct queue_fixture : order_sender, task_source
{
    queue_fixture() : placing(process_clock(), *this, *this, {})
    {
        server_report report;
        report.account.service = "service-1";
        report.account.capacity = {4000, 1000, 0};
        report.account.phase = server_phase::ready;
        placing.attached("agent-1", report);
        placing.adopted("agent-1", memory_part);
    }

    void send(const std::string&, order_batch batch) override
    {
        orders.insert(orders.end(), batch.starts.begin(), batch.starts.end());
    }

    std::optional<run_order> assign(const ready_task& task,
                                    const std::string&) override
    {
        run_order order;
        order.run = {task.task, first_memory_run + 1};
        order.needs = task.needs;
        return order;
    }

    static ready_task task(job_id job)
    {
        ready_task out;
        out.task.job = job;
        out.part = memory_part;
        out.service = "service-1";
        out.needs = {1000, 10, 0};
        out.estimate_ms = 60;
        out.start_by = process_clock().now() + seconds{600};
        return out;
    }

    std::vector<run_order> orders;
    dispatcher placing;
};

/// Whether the placer answers its calls.
enum class placer_behavior
{
    answers,
    silent
};

/// A session that never answers, like one of a frozen process.
class silent_session final : public wire::PlacementSession::Server
{
    kj::Promise<void> want(WantContext) override { return kj::NEVER_DONE; }
};

/// Serves the placer's side of the entry's connection.
class placer_peer final : public wire::EntryPeer::Server
{
public:
    placer_peer(placement_server& placements, placer_behavior behavior,
                std::string name = "placer")
        : placements_(placements), behavior_(behavior), name_(std::move(name))
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        context.getResults().initView().setName(name_);
        return kj::READY_NOW;
    }

    kj::Promise<void> place(PlaceContext context) override
    {
        auto params = context.getParams();
        auto out = context.getResults();
        out.setIncarnation(placer_incarnation);
        if (behavior_ == placer_behavior::silent)
            out.setSession(kj::heap<silent_session>());
        else
            out.setSession(
                placements_.open(params.getEntry(), params.getGrants()));
        return kj::READY_NOW;
    }

private:
    placement_server& placements_; ///< Must outlive the peer.
    placer_behavior behavior_;     ///< Whether it answers.
    std::string name_;             ///< Name in its view.
};

/// An entry that opens placement sessions which never answer.
struct idle_handler : idle_entry
{
    idle_handler() : idle_entry("entry") {}

    wire::PlacementSession::Client
    open_placement(const std::string&, wire::PlacementGrants::Client) override
    {
        return kj::heap<silent_session>();
    }
};

/// Runs an entry and a placer until a condition holds. The test's timeout ends
/// a deadlock.
struct placement_fixture
{
    explicit placement_fixture(placer_behavior behavior) : behavior(behavior)
    {
        placement_groups_settings limits;
        limits.client.entry = "entry";
        client = std::make_unique<placement_groups>(
            process_clock(), peers, entry.placing, [] {}, limits);
    }

    void until(
        const std::function<bool()>& holds,
        const std::function<void()>& at_each_step = [] {})
    {
        auto listener = rpc_listener::create(loop.io(), "127.0.0.1", 0);
        REQUIRE(listener);
        auto& links = *listener.value();
        std::function<void()> step = [&]
        {
            if (holds())
                return loop.stop();
            peers.tick();
            client->choose({{"placer", 250, 1, true, 0}});
            at_each_step();
            placer.placing.dispatch();
            entry.placing.dispatch();
            client->flush();
            run_after(loop.io(), milliseconds{2}, step);
        };
        loop.run(
            [&]
            {
                links.serve(kj::heap<placer_peer>(placements, behavior));
                peers.add("placer", {"127.0.0.1", links.port()});
                step();
            },
            [&]
            {
                client->close();
                placements.close();
                peers.close();
                links.close();
            });
    }

    placer_behavior behavior;
    rpc_loop loop;
    idle_handler handler;
    queue_fixture entry;
    queue_fixture placer;
    placement_server placements{process_clock(), placer.placing, [] {}};
    entry_peers peers{loop.io(), process_clock(), handler, {}};
    std::unique_ptr<placement_groups> client;
};

} // namespace

TEST_CASE("a delegated task is ordered once, by its own entry")
{
    placement_fixture fixture(placer_behavior::answers);
    bool enqueued = false;
    fixture.until([&] { return !fixture.entry.orders.empty(); },
                  [&]
                  {
                      if (!fixture.client->delegates() ||
                          std::exchange(enqueued, true))
                          return;
                      fixture.entry.placing.enqueue(queue_fixture::task(1));
                  });
    REQUIRE(fixture.entry.orders.size() == 1);
    CHECK(fixture.entry.orders[0].placer == placer_incarnation);
    CHECK(fixture.entry.orders[0].grant != 0);
    CHECK(fixture.placer.orders.empty());
    CHECK(fixture.placer.placing.stats().granted == 1);
    CHECK(fixture.client->stats().unused == 0);
}

TEST_CASE("an entry places its tasks itself if its placer does not answer")
{
    placement_fixture fixture(placer_behavior::silent);
    bool enqueued = false;
    fixture.until([&] { return !fixture.entry.orders.empty(); },
                  [&]
                  {
                      if (!fixture.client->delegates() ||
                          std::exchange(enqueued, true))
                          return;
                      fixture.entry.placing.enqueue(queue_fixture::task(1));
                  });
    REQUIRE(fixture.entry.orders.size() == 1);
    CHECK(fixture.entry.orders[0].grant == 0);
    CHECK(fixture.client->stats().failures >= 1);
}

TEST_CASE("the end of a session drops its waiting tasks at the placer")
{
    placement_fixture fixture(placer_behavior::answers);
    server_report full;
    full.account.service = "service-1";
    full.account.capacity = {4000, 1000, 0};
    full.account.phase = server_phase::ready;
    full.load.used = full.account.capacity;
    fixture.placer.placing.reported("agent-1", full);
    bool enqueued = false;
    fixture.until([&] { return fixture.placer.placing.waiting() == 1; },
                  [&]
                  {
                      if (!fixture.client->delegates() ||
                          std::exchange(enqueued, true))
                          return;
                      fixture.entry.placing.enqueue(queue_fixture::task(1));
                  });
    CHECK(fixture.placer.placing.waiting() == 0); // The connection was closed.
    CHECK(fixture.entry.placing.waiting() == 1);  // Its entry still has the
                                                  // task.
}

namespace
{

/// An entry with two placers, one of which never answers.
struct two_placers_fixture
{
    two_placers_fixture()
    {
        placement_groups_settings limits;
        limits.client.entry = "entry";
        limits.choice.group_agents = 1;
        client = std::make_unique<placement_groups>(
            process_clock(), peers, entry.placing, [] {}, limits);
    }

    /// @param agents The number of agents of each placer, which is the number
    /// of groups.
    void until(std::size_t agents, const std::function<bool()>& holds,
               const std::function<void()>& at_each_step)
    {
        auto silent_links = rpc_listener::create(loop.io(), "127.0.0.1", 0);
        auto links = rpc_listener::create(loop.io(), "127.0.0.1", 0);
        REQUIRE(silent_links);
        REQUIRE(links);
        std::function<void()> step = [&]
        {
            if (holds())
                return loop.stop();
            peers.tick();
            // The silent one is the most powerful, so that it is chosen first.
            client->choose({{"silent", 500, agents, true, 0},
                            {"placer", 250, agents, true, 0}});
            at_each_step();
            placer.placing.dispatch();
            entry.placing.dispatch();
            client->flush();
            run_after(loop.io(), milliseconds{2}, step);
        };
        loop.run(
            [&]
            {
                silent_links.value()->serve(kj::heap<placer_peer>(
                    placements, placer_behavior::silent, "silent"));
                links.value()->serve(kj::heap<placer_peer>(
                    placements, placer_behavior::answers, "placer"));
                peers.add("silent",
                          {"127.0.0.1", silent_links.value()->port()});
                peers.add("placer", {"127.0.0.1", links.value()->port()});
                step();
            },
            [&]
            {
                client->close();
                placements.close();
                peers.close();
                silent_links.value()->close();
                links.value()->close();
            });
    }

    /// Queues tasks once the session with the silent placer is open.
    void enqueue_once()
    {
        if (client->placers().find("silent") == std::string::npos ||
            std::exchange(enqueued, true))
            return;
        for (job_id job = 1; job <= jobs; ++job)
            entry.placing.enqueue(queue_fixture::task(job));
    }

    static constexpr job_id jobs = 4;
    bool enqueued = false;
    rpc_loop loop;
    idle_handler handler;
    queue_fixture entry;
    queue_fixture placer;
    placement_server placements{process_clock(), placer.placing, [] {}};
    entry_peers peers{loop.io(), process_clock(), handler, {}};
    std::unique_ptr<placement_groups> client;
};

} // namespace

TEST_CASE("tasks of a group whose placer is silent go to the other group")
{
    two_placers_fixture fixture;
    fixture.until(
        2,
        [&]
        { return fixture.entry.orders.size() == two_placers_fixture::jobs; },
        [&] { fixture.enqueue_once(); });
    CHECK(fixture.client->groups() == 2);
    CHECK(fixture.entry.placing.waiting() == 0);
    std::set<job_id> ordered;
    for (const auto& order : fixture.entry.orders)
        ordered.insert(order.run.task.job);
    // Each task was ordered once.
    CHECK(ordered.size() == two_placers_fixture::jobs);
}

TEST_CASE("with one group the next placer replaces a silent one")
{
    two_placers_fixture fixture;
    fixture.until(
        1, [&] { return fixture.client->placers() == "placer"; },
        [&] { fixture.enqueue_once(); });
    CHECK(fixture.client->groups() == 1);
    CHECK(fixture.client->stats().failures >= 1);
}
