#include "glenhollow/durable/configuration_tracker.hpp"
#include "platform/catalog_format.hpp"
#include "platform/client_request_handler.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace glenhollow;

namespace
{

/// @return A document of that version with that number of routes.
std::string document_of(std::uint64_t version, std::size_t routes)
{
    std::string text =
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (std::size_t i = 0; i < routes; ++i)
    {
        const auto n = std::to_string(i);
        text += (i == 0 ? "" : ",");
        text += R"({"name":"v)" + std::to_string(version) + "-" + n +
                R"(","host":"h)" + std::to_string(i % 40) +
                R"(.example","path_prefix":"/p)" + n +
                R"(/","target_latency_ms":60,"service":"desk",)"
                R"("max_attempts":3,"stretch":1.6})";
    }
    return text + R"(],"services":[]})";
}

/// A configuration tracker and a request handler on one thread.
struct entry_fixture final : durable_jobs
{
    const queue_catalog& catalog() const override { return tracker.catalog(); }

    std::function<void()> submit(const job_definition& job,
                                 job_reply_handler done) override
    {
        queue = job.queue;
        done({job_outcome::done, job_state::running, {}});
        return {};
    }

    void cancel(job_id, job_reply_handler) override {}
    void state(job_id, job_reply_handler) override {}
    std::uint32_t pending(const std::string&) const override { return 0; }

    /// Runs the work that is queued now, in order.
    void round()
    {
        auto ready = std::exchange(later, {});
        for (auto& work : ready)
            work();
    }

    /// @return The status of a request to a route.
    unsigned ask(std::size_t route)
    {
        http_request request;
        request.method = "POST";
        request.target = "/p" + std::to_string(route) + "/5c0e7a21d94b36f8";
        request.headers = {
            {"Host", "h" + std::to_string(route % 40) + ".example"}};
        request.body = R"({"spec":"s","steps":[{"count":1,"cpu":100}],)"
                       R"("best_effort":true})";
        unsigned status = 0;
        front.handle(std::move(request), [&status](const http_response& got)
                     { status = got.status; });
        return status;
    }

    manual_clock clock;
    std::deque<std::function<void()>> later;
    std::string queue;
    configuration_tracker tracker{
        {clock, platform::make_catalog_reader,
         [this](std::function<void()> work)
         { later.push_back(std::move(work)); },
         [](const std::string&, const configuration_tracker::copy_handler&) {},
         [] {}},
        {}};
    platform::client_request_handler front{*this};
};

} // namespace

TEST_CASE("requests are served while a large configuration is read")
{
    entry_fixture world;
    world.tracker.offer_from_store(document_of(4, 45));
    while (!world.later.empty())
        world.round();
    std::minstd_rand random(7);
    std::uniform_int_distribution<std::size_t> old_route(0, 44);
    std::uniform_int_distribution<std::size_t> new_route(45, 1444);
    // The store and two peers deliver the document at the same time.
    const auto document = document_of(7, 1445);
    for (int i = 0; i < 3; ++i)
        world.tracker.offer_from_store(document);
    std::size_t rounds = 0;
    std::uint64_t before = 4;
    while (!world.later.empty())
    {
        world.round();
        ++rounds;
        const auto version = world.tracker.catalog().version;
        CHECK(version >= before);
        before = version;
        for (int i = 0; i < 20; ++i)
        {
            CHECK(world.ask(old_route(random)) == 200);
            CHECK(world.queue.rfind("v" + std::to_string(version), 0) == 0);
            CHECK(world.ask(new_route(random)) == (version == 7 ? 200 : 404));
        }
    }
    CHECK(world.tracker.catalog().version == 7);
    CHECK(rounds >= 16);
    CHECK(world.tracker.stats().applied == 2);
    CHECK(world.tracker.stats().repeated == 2);
    // An older document that arrives late is ignored.
    world.tracker.offer_from_store(document_of(6, 45));
    while (!world.later.empty())
        world.round();
    CHECK(world.ask(1444) == 200);
}
