// What is said to one process over its connection must not reach the next one
// at the same address: a connection ends with its process.
#include "unit/http/returning_server.hpp"

using namespace glenhollow;

namespace
{

/// @return The connection that a call took.
std::uint64_t call(returning_server& world, http_client& client)
{
    http_request request;
    request.method = "POST";
    request.body_on = [](std::uint64_t taken)
    { return "on " + std::to_string(taken); };
    const auto got = world.send(client, std::move(request));
    CHECK(got.answered);
    return got.link;
}

} // namespace

TEST_CASE("a body is made for the connection that takes it, "
          "and another process is another connection",
          "[returned_server]")
{
    returning_server world;
    world.begin();
    auto client = world.client();
    const auto first = call(world, *client);
    CHECK(first != 0);
    CHECK(call(world, *client) == first);
    world.end();
    world.begin();
    const auto next = call(world, *client);
    CHECK(next != first);
    CHECK(world.bodies ==
          std::vector<std::string>{"on " + std::to_string(first),
                                   "on " + std::to_string(first),
                                   "on " + std::to_string(next)});
    client.reset();
    world.end();
}
