// What is said to one process over its connection must not reach the next one
// at the same address: a connection ends with its process.
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

/// A server that can end and run again at its port.
struct returning_server
{
    void begin()
    {
        http_server_settings settings;
        settings.port = port;
        server = std::move(
            http_server::create(
                io, settings,
                [this](const http_request& request, const http_responder& done)
                {
                    bodies.push_back(request.body);
                    done({200, "text/plain", {}, "done"});
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
        io.restart(); // It stops where nothing is left to do.
    }

    /// @return The connection that the call took.
    std::uint64_t call(http_client& client)
    {
        std::uint64_t link = 0;
        bool over = false;
        http_request request;
        request.method = "POST";
        request.body_on = [](std::uint64_t taken)
        { return "on " + std::to_string(taken); };
        client.send(std::move(request),
                    [&](const http_result& got)
                    {
                        CHECK(got.answered);
                        link = got.link;
                        over = true;
                    });
        constexpr int most_steps = 200;
        for (int step = 0; step < most_steps && !over; ++step)
            io.run_one_for(milliseconds{20});
        REQUIRE(over);
        return link;
    }

    asio::io_context io;
    std::uint16_t port = 0;
    std::vector<std::string> bodies;
    std::unique_ptr<http_server> server;
};

} // namespace

TEST_CASE("a body is made for the connection that takes it, "
          "and another process is another connection",
          "[returned_server]")
{
    returning_server world;
    world.begin();
    http_client_settings settings;
    settings.server = {"127.0.0.1", world.port};
    auto client = http_client::create(world.io, settings);
    const auto first = world.call(*client);
    CHECK(first != 0);
    CHECK(world.call(*client) == first);
    world.end();
    world.begin();
    const auto next = world.call(*client);
    CHECK(next != first);
    CHECK(world.bodies ==
          std::vector<std::string>{"on " + std::to_string(first),
                                   "on " + std::to_string(first),
                                   "on " + std::to_string(next)});
    client.reset();
    world.end();
}
