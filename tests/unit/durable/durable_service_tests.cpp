#include "glenhollow/core/run_after.hpp"
#include "glenhollow/durable/durable_service.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "unit/support/fake_row_store.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// Another entry that only answers exchanges.
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
    std::function<void()> on_call_; ///< Told of each exchange.
};

/// Another entry that has one job in memory and remembers a cancelled one.
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
    std::function<void()> on_call_; ///< Told that it was asked what it knows.
};

/// An entry that claims the first part from the moment at which it sees that
/// another owns it, by a newer claim.
class newer_owner final : public wire::EntryPeer::Server
{
public:
    /// What it saw, read by the test when the loop has ended.
    struct observations
    {
        std::uint32_t epoch = 0;     ///< Claimed; 0: nothing yet.
        bool owned = false;          ///< The other says that it owns the part.
        bool shows_released = false; ///< Shows the claim as given away again.
        int exchanges = 0;           ///< Exchanges.
    };

    newer_owner(observations& observations, std::function<void()> on_end)
        : observations_(observations), on_end_(std::move(on_end))
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        constexpr int max_exchanges = 100; // Exchanges, some seconds.
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
    observations& observations_;   ///< What it saw.
    std::function<void()> on_end_; ///< Told when there is no more to see.
};

} // namespace

TEST_CASE("an entry gives up a part that a live entry owns by a newer claim")
{
    // An entry that was paused until others had taken its parts answered 410
    // for their jobs, for as long as the store was down.
    rpc_loop loop;
    manual_loop store_loop;
    fake_row_store store(store_loop);
    durable_service_settings settings;
    settings.entry = "entry";
    settings.where = {"127.0.0.1", 1};
    settings.parts = 1;
    durable_service service(
        loop.io(), process_clock(), store,
        [](std::string_view) -> std::unique_ptr<catalog_reading>
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
    "an entry that stood still does not say at once that a job is missing")
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
        [](std::string_view) -> std::unique_ptr<catalog_reading>
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
            // Answered once the part is owned.
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

TEST_CASE("an entry with open links ends without a trace of them")
{
    // Found on a deployment: each entry that was stopped while it had links
    // ended with std::terminate, for their calls outlived the event loop.
    rpc_loop loop;
    manual_loop store_loop;
    fake_row_store store(store_loop);
    durable_service_settings settings;
    settings.entry = "entry";
    settings.where = {"127.0.0.1", 1};
    durable_service service(
        loop.io(), process_clock(), store,
        [](std::string_view) -> std::unique_ptr<catalog_reading>
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
                    if (++exchanges == 3) // The last one stays unanswered.
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

TEST_CASE("a job in memory is cancelled over the link to its entry")
{
    rpc_loop loop;
    manual_loop store_loop;
    fake_row_store store(store_loop);
    durable_service_settings settings;
    settings.entry = "entry";
    settings.where = {"127.0.0.1", 1};
    durable_service service(
        loop.io(), process_clock(), store,
        [](std::string_view) -> std::unique_ptr<catalog_reading>
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
                                       resubmit(9); // Told by the other one.
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
