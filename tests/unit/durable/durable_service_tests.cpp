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
