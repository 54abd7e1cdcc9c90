#include "glenhollow/core/run_after.hpp"
#include "glenhollow/durable/durable_service.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "unit/support/fake_row_store.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

/// Another entry that only answers exchanges.
class polite_peer final : public wire::EntryPeer::Server
{
public:
    explicit polite_peer(std::function<void()> on_met)
        : on_met_(std::move(on_met))
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        context.getResults().initView().setName("peer");
        on_met_();
        return kj::READY_NOW;
    }

private:
    std::function<void()> on_met_; ///< Told of each exchange.
};

/// Another entry that has one job in memory and remembers a cancelled one.
class holding_peer final : public wire::EntryPeer::Server
{
public:
    explicit holding_peer(std::function<void()> on_met)
        : on_met_(std::move(on_met))
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
        on_met_();
        return kj::READY_NOW;
    }

private:
    std::function<void()> on_met_; ///< Told that it was asked what it knows.
};

/// An entry that claims the first part from the moment at which it sees that
/// another owns it, by a newer claim.
class newer_owner final : public wire::EntryPeer::Server
{
public:
    /// What it saw, read by the test when the loop has ended.
    struct seen
    {
        std::uint32_t epoch = 0; ///< Claimed; 0: nothing yet.
        bool owned = false;      ///< The other says that it owns the part.
        bool gives = false;      ///< Shows the claim as given away again.
        int met = 0;             ///< Exchanges.
    };

    newer_owner(seen& seen, std::function<void()> on_end)
        : seen_(seen), on_end_(std::move(on_end))
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        constexpr int patience = 100; // Exchanges, some seconds.
        const auto theirs = context.getParams().getView().getParts();
        seen_.owned = false;
        for (const auto part : theirs)
        {
            if (part.getPart() != 0)
                continue;
            seen_.owned = true;
            seen_.epoch = std::max(seen_.epoch, part.getEpoch() + 1);
        }
        auto mine = context.getResults().initView();
        mine.setName("peer");
        mine.setIncarnation(1);
        if (seen_.epoch > 0)
        {
            auto claim =
                seen_.gives ? mine.initReleased(1)[0] : mine.initParts(1)[0];
            claim.setPart(0);
            claim.setEpoch(seen_.epoch);
        }
        if (++seen_.met == patience || (seen_.epoch > 0 && !seen_.owned))
            on_end_();
        return kj::READY_NOW;
    }

private:
    seen& seen_;                   ///< What it saw.
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
    newer_owner::seen seen;
    seen.gives = GENERATE(false, true);
    std::function<void()> serve_store = [&]
    {
        store_loop.advance(milliseconds{10});
        run_after(loop.io(), milliseconds{10}, serve_store);
    };
    loop.run(
        [&]
        {
            links.serve(kj::heap<newer_owner>(seen, [&] { loop.stop(); }));
            service.add_seeds({{"127.0.0.1", links.port()}});
            service.begin();
            serve_store();
        },
        [&]
        {
            service.close();
            links.close();
        });
    CHECK(seen.epoch > 0);
    CHECK_FALSE(seen.owned);
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
    std::vector<job_outcome> told;
    bool at_once = false;
    const auto stand_still = [&]
    {
        store_loop.clock.advance(seconds{3});
        service.state(42,
                      [&](const job_reply& reply)
                      {
                          told.push_back(reply.outcome);
                          loop.stop();
                      });
        at_once = told.size() > 1;
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
                              told.push_back(reply.outcome);
                              run_after(loop.io(), duration{0}, stand_still);
                          });
        },
        [&] { service.close(); });
    CHECK_FALSE(at_once);
    CHECK(told ==
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
    int met = 0;
    loop.run(
        [&]
        {
            links.serve(kj::heap<polite_peer>(
                [&]
                {
                    if (++met == 3) // The last one stays unanswered.
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
    CHECK(met >= 3);
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
        job.lasts = durability::in_memory;
        service.submit(job, [&](const job_reply& reply) { again = reply; });
        loop.stop();
    };
    loop.run(
        [&]
        {
            links.serve(kj::heap<holding_peer>(
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
