// Tests of the connection attempts to peers that are unreachable.
#include "glenhollow/durable/entry_peers.hpp"
#include "unit/support/idle_entry.hpp"
#include "unit/support/manual_loop.hpp"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

using namespace glenhollow;

namespace
{

constexpr duration tick_interval = milliseconds{50};

/// An entry whose peers all refuse connections.
struct isolated_entry
{
    explicit isolated_entry(std::size_t count)
    {
        constexpr std::uint16_t closed_port = 1;
        for (std::size_t i = 0; i < count; ++i)
            peers.add("peer-" + std::to_string(i), {"127.0.0.1", closed_port});
    }

    void run_for(duration length)
    {
        const auto end = clock.now() + length;
        while (clock.now() < end)
        {
            peers.tick();
            io.restart();
            io.run(); // Each attempt is refused at once.
            clock.advance(tick_interval);
        }
    }

    boost::asio::io_context io;
    manual_clock clock;
    idle_entry entry{"entry"};
    entry_peers peers{io, clock, entry, {}};
};

} // namespace

// Guards against a rate of attempts that grows with the number of lost peers.
TEST_CASE("connection attempts do not grow with the unreachable entries")
{
    constexpr auto length = seconds{10};
    const connect_budget budget;
    for (const std::size_t unreachable : {23, 92, 367, 734})
    {
        isolated_entry entry(unreachable);
        entry.run_for(length);
        CHECK(static_cast<double>(entry.peers.connect_attempts()) <=
              budget.burst + budget.per_s * 10);
    }
}

TEST_CASE("each unreachable entry is tried in turn")
{
    constexpr std::size_t unreachable = 367;
    isolated_entry entry(unreachable);
    entry.run_for(seconds{5});
    for (std::size_t i = 0; i < unreachable; ++i)
        CHECK(entry.peers.refuses_connections("peer-" + std::to_string(i)));
}
