#include "glenhollow/rpc/rpc_loop.hpp"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

using namespace glenhollow;

// Guards against a process that hangs: clients that send requests ahead keep
// some handler ready at any time, and no RPC call got its turn.
TEST_CASE("handlers that are always ready do not hold up promises")
{
    constexpr int max_handled = 200'000;
    rpc_loop loop;
    int handled = 0;
    int handled_before_promise = max_handled;
    background_tasks tasks;
    std::function<void()> handle = [&]
    {
        if (handled == 0)
            tasks.add(kj::evalLater(
                [&]
                {
                    handled_before_promise = handled;
                    loop.stop();
                }));
        if (++handled < max_handled)
            boost::asio::post(loop.io(), handle);
    };
    loop.run([&] { boost::asio::post(loop.io(), handle); }, [] {});
    CHECK(handled_before_promise < max_handled);
}
