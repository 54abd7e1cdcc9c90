#include "glenhollow/http/server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace glenhollow;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// A server that answers a POST when the test says so, all else at once.
struct intake_server
{
    explicit intake_server(
        const intake_settings& bounds,
        duration reclaim_after = http_server_settings{}.reclaim_after)
        : limits(std::make_shared<intake_limits>(clock, bounds))
    {
        http_server_settings settings;
        settings.reclaim_after = reclaim_after;
        settings.intake = limits;
        settings.max_connections = bounds.max_connections;
        settings.max_body_bytes = bounds.max_body_bytes;
        server = std::move(
            http_server::create(
                io, settings,
                [this](const http_request& request, http_responder done)
                {
                    if (request.method == "POST")
                    {
                        sizes.push_back(request.body.size());
                        held.push_back(std::move(done));
                    }
                    else
                    {
                        done({200, "text/plain", {}, request.method});
                    }
                })
                .value());
    }

    ~intake_server()
    {
        server.reset();
        io.poll();
    }

    /// Runs the server until something holds.
    template <class Condition>
    void until(Condition holds)
    {
        while (!holds())
            io.run_one_for(milliseconds{20});
    }

    /// Answers the request that has been in hand for longest.
    void answer_one()
    {
        auto done = std::move(held.front());
        held.erase(held.begin());
        done({200, "text/plain", {}, "done"});
    }

    manual_clock clock;
    asio::io_context io;
    std::shared_ptr<intake_limits> limits;
    std::vector<std::size_t> sizes;
    std::vector<http_responder> held;
    std::unique_ptr<http_server> server;
};

/// One caller's connection.
struct caller
{
    explicit caller(intake_server& to) : world(to), socket(client)
    {
        socket.connect(
            {asio::ip::make_address("127.0.0.1"), world.server->port()});
        socket.non_blocking(true);
    }

    void send(const std::string& text)
    {
        asio::write(socket, asio::buffer(text));
    }

    void post(std::size_t body)
    {
        send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
             std::to_string(body) + "\r\n\r\n" + std::string(body, 'x'));
    }

    /// @return The answer, whose body is its end.
    std::string answer()
    {
        std::string got;
        world.until(
            [&]
            {
                char part[4096];
                boost::system::error_code ec;
                const auto n = socket.read_some(asio::buffer(part), ec);
                got.append(part, n);
                return is_whole(got);
            });
        return got;
    }

    static bool is_whole(const std::string& text)
    {
        const auto end = text.find("\r\n\r\n");
        const auto length = text.find("Content-Length: ");
        return end != std::string::npos && length != std::string::npos &&
               text.size() >= end + 4 + std::stoul(text.substr(length + 16));
    }

    intake_server& world;
    asio::io_context client;
    tcp::socket socket;
};

bool starts_with(const std::string& text, std::string_view start)
{
    return text.rfind(start, 0) == 0;
}

} // namespace

TEST_CASE("at the bound work is refused, questions and answers pass")
{
    intake_settings bounds;
    bounds.max_requests = 1;
    intake_server world(bounds);
    caller first(world);
    first.post(9600);
    world.until([&] { return world.held.size() == 1; });
    caller second(world);
    second.post(9600);
    const auto refused = second.answer();
    CHECK(starts_with(refused, "HTTP/1.1 503"));
    CHECK(refused.find("Retry-After: 10\r\n") != std::string::npos);
    CHECK(refused.find(R"("reason":"requests")") != std::string::npos);
    CHECK(world.sizes.size() == 1);
    // On the connection that was kept.
    second.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(starts_with(second.answer(), "HTTP/1.1 200"));
    second.send("DELETE /x HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(starts_with(second.answer(), "HTTP/1.1 200"));
    // The answer leaves, however late.
    world.clock.advance(seconds{100});
    world.answer_one();
    CHECK(starts_with(first.answer(), "HTTP/1.1 200"));
    world.until([&] { return world.limits->requests() == 0; });
    second.post(9600);
    world.until([&] { return world.held.size() == 1; });
    CHECK(world.sizes.back() == 9600);
    world.answer_one();
    CHECK(starts_with(second.answer(), "HTTP/1.1 200"));
    world.until([&] { return world.limits->bytes() == 0; });
}

TEST_CASE("a refused body that is large is not read, and its connection ends")
{
    intake_settings bounds;
    bounds.max_requests = 0;
    intake_server world(bounds);
    caller one(world);
    one.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n");
    const auto refused = one.answer();
    CHECK(starts_with(refused, "HTTP/1.1 503"));
    CHECK(refused.find("Connection: close") != std::string::npos);
    CHECK(world.limits->bytes() == 0);
}

TEST_CASE("a body that waits for the link is read when there is room")
{
    intake_settings bounds;
    bounds.max_reading = 10'000;
    bounds.link_patience = seconds{600};
    intake_server world(bounds);
    caller slow(world);
    // All but the body.
    slow.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n");
    world.until([&] { return world.limits->requests() == 1; });
    caller next(world);
    next.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n");
    world.until([&] { return world.limits->stats().waited == 1; });
    CHECK(world.limits->requests() == 1);
    slow.send(std::string(9000, 'x'));
    world.until([&] { return world.limits->requests() == 2; });
    next.send(std::string(5000, 'x'));
    world.until([&] { return world.held.size() == 2; });
    CHECK(world.sizes == std::vector<std::size_t>{9000, 5000});
    world.answer_one();
    world.answer_one();
    CHECK(starts_with(slow.answer(), "HTTP/1.1 200"));
    CHECK(starts_with(next.answer(), "HTTP/1.1 200"));
}

TEST_CASE("a body that finds no place on the link is turned away")
{
    intake_settings bounds;
    bounds.max_reading = 10'000;
    bounds.link_patience = milliseconds{1};
    intake_server world(bounds);
    caller slow(world);
    slow.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n");
    world.until([&] { return world.limits->requests() == 1; });
    caller next(world);
    next.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n");
    const auto refused = next.answer();
    CHECK(starts_with(refused, "HTTP/1.1 503"));
    CHECK(refused.find(R"("reason":"link")") != std::string::npos);
    CHECK(world.limits->requests() == 1);
}

TEST_CASE("connections beyond their bound are closed and counted")
{
    intake_settings bounds;
    bounds.max_connections = 1;
    intake_server world(bounds);
    caller first(world);
    first.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(starts_with(first.answer(), "HTTP/1.1 200"));
    caller second(world);
    const auto refused = [&world] { return world.limits->stats().refused[0]; };
    world.until([&] { return refused() == 1; });
    first.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(starts_with(first.answer(), "HTTP/1.1 200"));
}

TEST_CASE("a body in pieces of no told length is bounded")
{
    intake_server world(intake_settings{});
    caller one(world);
    one.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
             "5\r\nhello\r\n0\r\n\r\n");
    world.until([&] { return world.held.size() == 1; });
    CHECK(world.sizes.back() == 5);
    CHECK(world.limits->bytes() == intake_limits::cost_of(256UL << 10));
    world.answer_one();
    CHECK(starts_with(one.answer(), "HTTP/1.1 200"));
    one.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
             "50000\r\n");
    CHECK(starts_with(one.answer(), "HTTP/1.1 413"));
}

TEST_CASE("a question with a large body is refused, for it passes all bounds")
{
    intake_server world(intake_settings{});
    caller one(world);
    one.send("GET /x HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n");
    CHECK(starts_with(one.answer(), "HTTP/1.1 413"));
}

// Guards against a process that runs out of memory: trailers and extensions of
// chunks belong neither to the header nor to the body, whose limits they pass.
TEST_CASE("a chunked body with endless trailers or extensions is refused")
{
    intake_server world(intake_settings{});
    caller one(world);
    one.send(
        "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    one.send(GENERATE(as<std::string>(), "0\r\n", "1;a="));
    const std::string piece(1024, 'a');
    for (int i = 0; i < 40; ++i)
        one.send(piece);
    CHECK(starts_with(one.answer(), "HTTP/1.1 431"));
    CHECK(world.sizes.empty());
    CHECK(world.limits->requests() == 0);
}

// Guards against a process that runs out of memory: a parsed field takes ten
// times the bytes of a short one.
TEST_CASE("a header with too many fields is refused")
{
    intake_server world(intake_settings{});
    caller one(world);
    std::string fields;
    for (int i = 0; i < 99; ++i)
        fields += "A:\r\n";
    one.send("GET /x HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n");
    CHECK(starts_with(one.answer(), "HTTP/1.1 200"));
    one.send("GET /x HTTP/1.1\r\nHost: a\r\nA:\r\n" + fields + "\r\n");
    CHECK(starts_with(one.answer(), "HTTP/1.1 431"));
}

TEST_CASE("a header that arrives byte by byte is read whole")
{
    intake_server world(intake_settings{});
    caller one(world);
    for (const char byte :
         std::string("GET /x HTTP/1.1\r\nHost: a\r\nA: b\r\n\r\n"))
    {
        one.send(std::string(1, byte));
        world.io.poll();
    }
    CHECK(starts_with(one.answer(), "HTTP/1.1 200"));
}

TEST_CASE("all requests that are sent ahead are answered")
{
    intake_server world(intake_settings{});
    caller one(world);
    constexpr std::size_t count = 3000; // More than the buffer holds.
    std::string ahead;
    for (std::size_t i = 0; i < count; ++i)
        ahead += "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    std::size_t sent = 0;
    std::string got;
    const auto answers = [&got]
    {
        std::size_t found = 0;
        for (auto at = got.find("HTTP/1.1 200"); at != std::string::npos;
             at = got.find("HTTP/1.1 200", at + 1))
            ++found;
        return found;
    };
    world.until(
        [&]
        {
            boost::system::error_code ec;
            sent += one.socket.write_some(
                asio::buffer(ahead.data() + sent, ahead.size() - sent), ec);
            char part[65536];
            got.append(part, one.socket.read_some(asio::buffer(part), ec));
            return ec == asio::error::eof || answers() == count;
        });
    CHECK(answers() == count);
}

// Guards against callers without answers while others hold all connections and
// send nothing.
TEST_CASE("a connection that waits for long gives way to a new one")
{
    intake_settings bounds;
    bounds.max_connections = 2;
    intake_server world(bounds, duration{0});
    caller silent(world);
    caller busy(world);
    busy.post(100);
    world.until([&] { return world.held.size() == 1; });
    caller next(world);
    next.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(starts_with(next.answer(), "HTTP/1.1 200"));
    world.answer_one();
    CHECK(starts_with(busy.answer(), "HTTP/1.1 200"));
}
