// A start that was meant for one life of a backend server began at the next one
// under its id, and held it by the last one's clock: what a request expects is
// the process at the other end, and a connection leads to one process alone.
#include "glenhollow/http/client.hpp"
#include "glenhollow/http/server.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace glenhollow;
namespace asio = boost::asio;

namespace
{

/// A server that tells its name when asked, and can end and run again.
struct named_server
{
    void begin(const std::string& as)
    {
        name = as;
        http_server_settings settings;
        settings.port = port;
        server = std::move(
            http_server::create(
                io, settings,
                [this](const http_request& request, const http_responder& done)
                {
                    calls.push_back(request.target);
                    done({200, "text/plain", {}, name});
                })
                .value());
        port = server->port();
    }

    void end()
    {
        server->stop_accepting();
        server->close_idle();
        io.poll();
        server.reset();
        io.poll();
        io.restart();
    }

    std::unique_ptr<http_client> client()
    {
        http_client_settings settings;
        settings.server = {"127.0.0.1", port};
        auto out = http_client::create(io, settings);
        out->introduce({[]
                        {
                            http_request ask;
                            ask.target = "/name";
                            return ask;
                        },
                        [](const http_response& answer)
                        { return answer.body; }});
        return out;
    }

    http_result call(http_client& by, const std::string& expected)
    {
        http_result out;
        bool over = false;
        http_request request;
        request.target = "/order";
        request.expected_peer = expected;
        by.send(std::move(request),
                [&](const http_result& got)
                {
                    out = got;
                    over = true;
                });
        constexpr int most_steps = 200;
        for (int step = 0; step < most_steps && !over; ++step)
            io.run_one_for(milliseconds{20});
        REQUIRE(over);
        return out;
    }

    asio::io_context io;
    std::uint16_t port = 0;
    std::string name;
    std::vector<std::string> calls;
    std::unique_ptr<http_server> server;
};

using texts = std::vector<std::string>;

} // namespace

TEST_CASE("a connection is introduced once, before its first call that expects "
          "somebody",
          "[client_introduction]")
{
    named_server world;
    world.begin("one");
    auto client = world.client();
    CHECK(world.call(*client, "").answered);
    CHECK(world.calls == texts{"/order"});
    CHECK(world.call(*client, "one").answered);
    CHECK(world.call(*client, "one").answered);
    CHECK(world.calls == texts{"/order", "/name", "/order", "/order"});
    client.reset();
    world.end();
}

TEST_CASE("what is for an ended process is not sent to the next one",
          "[client_introduction]")
{
    named_server world;
    world.begin("one");
    auto client = world.client();
    CHECK(world.call(*client, "one").answered);
    world.end();
    world.begin("two");
    world.calls.clear();
    const auto got = world.call(*client, "one");
    CHECK_FALSE(got.answered);
    CHECK(got.other_peer);
    CHECK(got.progress == send_progress::nothing_sent);
    CHECK(world.calls == texts{"/name"});
    CHECK(world.call(*client, "two").answered);
    CHECK(world.calls == texts{"/name", "/order"});
    client.reset();
    world.end();
}

TEST_CASE("one that does not introduce itself gets nothing that expects "
          "somebody",
          "[client_introduction]")
{
    named_server world;
    world.begin("");
    auto client = world.client();
    const auto got = world.call(*client, "one");
    CHECK(got.other_peer);
    CHECK_FALSE(got.answered);
    CHECK(world.calls == texts{"/name"});
    client.reset();
    world.end();
}
