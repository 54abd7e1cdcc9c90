// A start that was meant for one life of a backend server began at the next one
// under its id, and held it by the last one's clock: what a request expects is
// the process at the other end, and a connection leads to one process alone.
#include "unit/http/returning_server.hpp"

using namespace glenhollow;

namespace
{

/// @return A client whose connections are introduced by the server's answer.
std::unique_ptr<http_client> introduced(returning_server& world)
{
    auto out = world.client();
    out->introduce({[]
                    {
                        http_request ask;
                        ask.target = "/name";
                        return ask;
                    },
                    [](const http_response& answer) { return answer.body; }});
    return out;
}

http_result call(returning_server& world, http_client& by,
                 const std::string& expected)
{
    http_request request;
    request.target = "/order";
    request.expected_peer = expected;
    return world.send(by, std::move(request));
}

using texts = std::vector<std::string>;

} // namespace

TEST_CASE("a connection is introduced once, before its first call that expects "
          "somebody",
          "[client_introduction]")
{
    returning_server world;
    world.begin("one");
    auto client = introduced(world);
    CHECK(call(world, *client, "").answered);
    CHECK(world.targets == texts{"/order"});
    CHECK(call(world, *client, "one").answered);
    CHECK(call(world, *client, "one").answered);
    CHECK(world.targets == texts{"/order", "/name", "/order", "/order"});
    client.reset();
    world.end();
}

TEST_CASE("what is for an ended process is not sent to the next one",
          "[client_introduction]")
{
    returning_server world;
    world.begin("one");
    auto client = introduced(world);
    CHECK(call(world, *client, "one").answered);
    world.end();
    world.begin("two");
    world.targets.clear();
    const auto got = call(world, *client, "one");
    CHECK_FALSE(got.answered);
    CHECK(got.other_peer);
    CHECK(got.progress == send_progress::nothing_sent);
    CHECK(world.targets == texts{"/name"});
    CHECK(call(world, *client, "two").answered);
    CHECK(world.targets == texts{"/name", "/order"});
    client.reset();
    world.end();
}

TEST_CASE("one that does not introduce itself gets nothing that expects "
          "somebody",
          "[client_introduction]")
{
    returning_server world;
    world.begin("");
    auto client = introduced(world);
    const auto got = call(world, *client, "one");
    CHECK(got.other_peer);
    CHECK_FALSE(got.answered);
    CHECK(world.targets == texts{"/name"});
    client.reset();
    world.end();
}
