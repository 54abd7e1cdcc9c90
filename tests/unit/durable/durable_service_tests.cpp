#include "glenhollow/core/run_after.hpp"
#include "glenhollow/durable/durable_service.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "unit/support/fake_row_store.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// A peer that only answers exchanges.
class exchange_only_peer final : public wire::EntryPeer::Server
{
public:
    explicit exchange_only_peer(std::function<void()> on_call)
        : on_call_(std::move(on_call))
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        context.getResults().initView().setName("peer");
        on_call_();
        return kj::READY_NOW;
    }

private:
    std::function<void()> on_call_; ///< Called for each exchange.
};

/// A peer with one in-memory job and one cached cancel.
class peer_with_jobs final : public wire::EntryPeer::Server
{
public:
    explicit peer_with_jobs(std::function<void()> on_call)
        : on_call_(std::move(on_call))
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        context.getResults().initView().setName("peer");
        return kj::READY_NOW;
    }

    kj::Promise<void> call(CallContext context) override
    {
        const auto asked = context.getParams().getCall();
        const auto verb = static_cast<job_verb>(asked.getVerb());
        const bool found =
            verb == job_verb::cancel_in_memory && asked.getJob() == 7;
        auto answer = context.getResults().initAnswer();
        answer.setOutcome(static_cast<std::uint8_t>(
            found ? job_outcome::done : job_outcome::missing));
        answer.setState(static_cast<std::uint8_t>(job_state::cancelled));
        return kj::READY_NOW;
    }

    kj::Promise<void> cancelled(CancelledContext context) override
    {
        auto jobs = context.getResults().initJobs(1);
        jobs[0].setJob(9);
        jobs[0].setState(static_cast<std::uint8_t>(job_state::cancelled));
        on_call_();
        return kj::READY_NOW;
    }

private:
    std::function<void()> on_call_; ///< Called when its cancels are fetched.
};

/// A peer that claims part 0 with a newer epoch once it sees another owner.
class newer_owner final : public wire::EntryPeer::Server
{
public:
    /// Observations, read by the test after the loop has ended.
    struct observations
    {
        std::uint32_t epoch = 0; ///< Epoch of its claim; 0: none yet.
        bool owned = false; ///< Whether the entry reports the part as owned.
        bool shows_released =
            false;         ///< Whether the peer shows its claim as released.
        int exchanges = 0; ///< Number of exchanges.
    };

    newer_owner(observations& observations, std::function<void()> on_end)
        : observations_(observations), on_end_(std::move(on_end))
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        constexpr int max_exchanges = 100; // A few seconds.
        const auto peer_parts = context.getParams().getView().getParts();
        observations_.owned = false;
        for (const auto part : peer_parts)
        {
            if (part.getPart() != 0)
                continue;
            observations_.owned = true;
            observations_.epoch =
                std::max(observations_.epoch, part.getEpoch() + 1);
        }
        auto own_view = context.getResults().initView();
        own_view.setName("peer");
        own_view.setIncarnation(1);
        if (observations_.epoch > 0)
        {
            auto claim = observations_.shows_released
                             ? own_view.initReleased(1)[0]
                             : own_view.initParts(1)[0];
            claim.setPart(0);
            claim.setEpoch(observations_.epoch);
        }
        if (++observations_.exchanges == max_exchanges ||
            (observations_.epoch > 0 && !observations_.owned))
            on_end_();
        return kj::READY_NOW;
    }

private:
    observations& observations_;   ///< Observations.
    std::function<void()> on_end_; ///< Called when the test is done.
};

} // namespace

TEST_CASE("an entry gives up a part that a live entry owns with a newer epoch")
{
    // Otherwise a resumed entry reports jobs of the part as missing while the
    // store is unavailable.
    rpc_loop loop;
    manual_loop store_loop;
    fake_row_store store(store_loop);
    durable_service_settings settings;
    settings.entry = "entry";
    settings.where = {"127.0.0.1", 1};
    settings.parts = 1;
    durable_service service(
        loop.io(), process_clock(), store,
        [](std::string_view) -> std::unique_ptr<catalog_reader>
        { return nullptr; },
        settings);
    auto listener = rpc_listener::create(loop.io(), "127.0.0.1", 0);
    REQUIRE(listener);
    auto& links = *listener.value();
    newer_owner::observations observations;
    observations.shows_released = GENERATE(false, true);
    std::function<void()> serve_store = [&]
    {
        store_loop.advance(milliseconds{10});
        run_after(loop.io(), milliseconds{10}, serve_store);
    };
    loop.run(
        [&]
        {
            links.serve(
                kj::heap<newer_owner>(observations, [&] { loop.stop(); }));
            service.add_seeds({{"127.0.0.1", links.port()}});
            service.begin();
            serve_store();
        },
        [&]
        {
            service.close();
            links.close();
        });
    CHECK(observations.epoch > 0);
    CHECK_FALSE(observations.owned);
}

TEST_CASE(
    "a resumed entry verifies its ownership before it reports a job missing")
{
    rpc_loop loop;
    manual_loop store_loop;
    fake_row_store store(store_loop);
    durable_service_settings settings;
    settings.entry = "entry";
    settings.where = {"127.0.0.1", 1};
    settings.parts = 1;
    durable_service service(
        loop.io(), store_loop.clock, store,
        [](std::string_view) -> std::unique_ptr<catalog_reader>
        { return nullptr; },
        settings);
    std::function<void()> serve_store = [&]
    {
        store_loop.advance(milliseconds{10});
        run_after(loop.io(), milliseconds{10}, serve_store);
    };
    std::vector<job_outcome> outcomes;
    bool at_once = false;
    const auto suspend_process = [&]
    {
        store_loop.clock.advance(seconds{3});
        service.state(42,
                      [&](const job_reply& reply)
                      {
                          outcomes.push_back(reply.outcome);
                          loop.stop();
                      });
        at_once = outcomes.size() > 1;
    };
    loop.run(
        [&]
        {
            service.begin();
            serve_store();
            // Answered once the entry owns the part.
            service.state(42,
                          [&](const job_reply& reply)
                          {
                              outcomes.push_back(reply.outcome);
                              run_after(loop.io(), duration{0},
                                        suspend_process);
                          });
        },
        [&] { service.close(); });
    CHECK_FALSE(at_once);
    CHECK(outcomes ==
          std::vector<job_outcome>{job_outcome::missing, job_outcome::missing});
}

TEST_CASE("an entry with open links shuts down cleanly")
{
    // Calls on open links must not outlive the event loop.
    rpc_loop loop;
    manual_loop store_loop;
    fake_row_store store(store_loop);
    durable_service_settings settings;
    settings.entry = "entry";
    settings.where = {"127.0.0.1", 1};
    durable_service service(
        loop.io(), process_clock(), store,
        [](std::string_view) -> std::unique_ptr<catalog_reader>
        { return nullptr; },
        settings);
    auto listener = rpc_listener::create(loop.io(), "127.0.0.1", 0);
    REQUIRE(listener);
    auto& links = *listener.value();
    int exchanges = 0;
    loop.run(
        [&]
        {
            links.serve(kj::heap<exchange_only_peer>(
                [&]
                {
                    if (++exchanges == 3) // The last exchange stays unanswered.
                        loop.stop();
                }));
            service.add_seeds({{"127.0.0.1", links.port()}});
            service.begin();
        },
        [&]
        {
            service.close();
            links.close();
        });
    CHECK(exchanges >= 3);
}

TEST_CASE("an in-memory job is cancelled over the link to its entry")
{
    rpc_loop loop;
    manual_loop store_loop;
    fake_row_store store(store_loop);
    durable_service_settings settings;
    settings.entry = "entry";
    settings.where = {"127.0.0.1", 1};
    durable_service service(
        loop.io(), process_clock(), store,
        [](std::string_view) -> std::unique_ptr<catalog_reader>
        { return nullptr; },
        settings);
    auto listener = rpc_listener::create(loop.io(), "127.0.0.1", 0);
    REQUIRE(listener);
    auto& links = *listener.value();
    std::optional<job_reply> cancelled;
    std::optional<job_reply> again;
    const auto resubmit = [&](job_id id)
    {
        job_definition job;
        job.id = id;
        job.durability_class = durability::in_memory;
        service.submit(job, [&](const job_reply& reply) { again = reply; });
        loop.stop();
    };
    loop.run(
        [&]
        {
            links.serve(kj::heap<peer_with_jobs>(
                [&]
                {
                    service.cancel(7,
                                   [&](const job_reply& reply)
                                   {
                                       cancelled = reply;
                                       // Its cancel was fetched from the peer.
                                       resubmit(9);
                                   });
                }));
            service.add_seeds({{"127.0.0.1", links.port()}});
            service.begin();
        },
        [&]
        {
            service.close();
            links.close();
        });
    REQUIRE(cancelled);
    CHECK(cancelled->outcome == job_outcome::done);
    CHECK(cancelled->state == job_state::cancelled);
    REQUIRE(again);
    CHECK(again->outcome == job_outcome::done);
    CHECK(again->state == job_state::cancelled);
}

// Guards against a cancelled job that runs on at a new owner, which was told of
// the cancel while the former owner accepted the job without knowing of it.
TEST_CASE("a new owner cancels the loaded jobs whose cancel it remembers")
{
    rpc_loop loop;
    manual_loop store_loop;
    fake_row_store store(store_loop);
    job_definition job;
    job.id = 9; // Its cancel is fetched from the peer.
    job.queue = "queue-1";
    job.service = "service-1";
    job.steps.resize(1);
    store.put({std::string(jobs_table), part_name(0), to_text(job.id)},
              encode_definition(job));
    durable_service_settings settings;
    settings.entry = "entry";
    settings.where = {"127.0.0.1", 1};
    settings.parts = 1;
    durable_service service(
        loop.io(), process_clock(), store,
        [](std::string_view) -> std::unique_ptr<catalog_reader>
        { return nullptr; },
        settings);
    auto listener = rpc_listener::create(loop.io(), "127.0.0.1", 0);
    REQUIRE(listener);
    auto& links = *listener.value();
    std::optional<job_reply> state;
    std::function<void()> serve_store = [&]
    {
        store_loop.advance(milliseconds{10});
        run_after(loop.io(), milliseconds{10}, serve_store);
    };
    const auto query = [&]
    {
        service.state(job.id,
                      [&](const job_reply& reply)
                      {
                          state = reply;
                          loop.stop();
                      });
    };
    loop.run(
        [&]
        {
            // The store answers only once the cancels were fetched, so that the
            // part is loaded after them.
            links.serve(kj::heap<peer_with_jobs>(
                [&]
                {
                    run_after(loop.io(), milliseconds{100},
                              [&]
                              {
                                  serve_store();
                                  query();
                              });
                }));
            service.add_seeds({{"127.0.0.1", links.port()}});
            service.begin();
        },
        [&]
        {
            service.close();
            links.close();
        });
    REQUIRE(state);
    CHECK(state->outcome == job_outcome::done);
    CHECK(state->state == job_state::cancelled);
}
