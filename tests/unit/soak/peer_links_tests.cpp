#include "soak/peer_links.hpp"

#include <catch2/catch.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <set>

using namespace glenhollow;
using namespace glenhollow::soak;
using boost::asio::ip::tcp;

namespace
{

using numbers = std::vector<std::uint32_t>;

std::uint16_t free_port()
{
    boost::asio::io_context io;
    const tcp::acceptor probe(
        io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return probe.local_endpoint().port();
}

/// Two entries in halls 0 and 1, two agents in halls 0 and 1.
std::vector<peer_place> four_places()
{
    std::set<std::uint16_t> ports;
    while (ports.size() < 4)
        ports.insert(free_port());
    std::vector<peer_place> out;
    for (const auto port : ports)
    {
        const auto i = static_cast<std::uint32_t>(out.size());
        out.push_back({{"127.0.73." + std::to_string(1 + i), port}, i % 2});
    }
    return out;
}

planned_fault fault(fault_kind kind, std::uint32_t target,
                    duration lasts = milliseconds{400})
{
    planned_fault out;
    out.kind = kind;
    out.target = target;
    out.lasts = lasts;
    return out;
}

/// A link with a server that answers each byte with one byte.
struct echo
{
    echo()
        : acceptor(io,
                   tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          link(io, {"127.0.0.1", 0},
               {"127.0.0.1", acceptor.local_endpoint().port()}),
          near(io), far(io)
    {
        connect();
    }

    void connect()
    {
        near = tcp::socket(io);
        far = tcp::socket(io);
        near.connect({boost::asio::ip::make_address(link.where().host),
                      link.where().port});
        bool there = false;
        acceptor.async_accept(far, [&](auto) { there = true; });
        while (!there)
            io.run_one();
    }

    /// @return Whether a byte of one end comes to the other one in time.
    bool passes(tcp::socket& from, tcp::socket& to)
    {
        from.send(boost::asio::buffer("x", 1));
        std::array<char, 8> got{};
        bool there = false;
        to.async_receive(boost::asio::buffer(got),
                         [&](boost::system::error_code ec, std::size_t size)
                         { there = !ec && size > 0; });
        const auto until = process_clock().now() + milliseconds{100};
        while (!there && process_clock().now() < until)
            io.run_one_for(std::chrono::milliseconds{10});
        if (!there)
            to.cancel();
        io.poll();
        return there;
    }

    boost::asio::io_context io; ///< Runs all.
    tcp::acceptor acceptor;     ///< Of the server.
    faulty_link link;           ///< To it.
    tcp::socket near;           ///< The caller's end.
    tcp::socket far;            ///< The server's end.
};

} // namespace

TEST_CASE("peer links: faults touch the processes that they name")
{
    boost::asio::io_context io;
    const peer_links links(io, four_places(), 2);
    // From 0 to 1, 2, 3, then from 1 to 0, 2, 3.
    CHECK(links.touched(fault(fault_kind::peer_silent, 1)) == numbers{0, 2});
    CHECK(links.touched(fault(fault_kind::peer_lost, 5)) == numbers{1, 3});
    CHECK(links.touched(fault(fault_kind::process_cut, 3)) == numbers{0, 1, 3});
    CHECK(links.touched(fault(fault_kind::hall_cut, 0)) == numbers{0, 1, 2, 3});
}

TEST_CASE("peer links: calm again when the last fault has ended")
{
    boost::asio::io_context io;
    peer_links links(io, four_places(), 2);
    CHECK(links.calm());
    links.harm(fault(fault_kind::process_cut, 0, milliseconds{20}));
    links.harm(fault(fault_kind::peer_slow, 0, milliseconds{40}));
    CHECK(!links.calm());
    io.run_for(std::chrono::milliseconds{200});
    CHECK(links.calm());
}

TEST_CASE("faulty link: each direction can be silent alone")
{
    echo both;
    CHECK(both.passes(both.near, both.far));
    CHECK(both.passes(both.far, both.near));
    SECTION("calls")
    {
        both.link.harm(link_state::mute, seconds{60});
        CHECK(!both.passes(both.near, both.far));
        CHECK(both.passes(both.far, both.near));
    }
    SECTION("answers")
    {
        both.link.harm(link_state::deaf, seconds{60});
        CHECK(both.passes(both.near, both.far));
        CHECK(!both.passes(both.far, both.near));
    }
    SECTION("both, whatever comes after a cut")
    {
        both.link.harm(link_state::cut, seconds{60});
        both.link.harm(link_state::slow, seconds{60});
        CHECK(!both.passes(both.near, both.far));
        CHECK(!both.passes(both.far, both.near));
    }
}

TEST_CASE("faulty link: a connection that is lost stays so, new ones work")
{
    echo both;
    both.link.strand();
    CHECK(!both.passes(both.near, both.far));
    CHECK(!both.passes(both.far, both.near));
    both.connect();
    CHECK(both.passes(both.near, both.far));
    CHECK(both.passes(both.far, both.near));
}
