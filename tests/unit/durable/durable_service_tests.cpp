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

} // namespace

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
