#ifndef GLENHOLLOW_TESTS_UNIT_HTTP_RETURNING_SERVER_HPP
#define GLENHOLLOW_TESTS_UNIT_HTTP_RETURNING_SERVER_HPP

#include "glenhollow/http/client.hpp"
#include "glenhollow/http/server.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace glenhollow
{

/// A server that can end and run again at its port, and what it was asked.
struct returning_server
{
    /// @param as What it answers.
    void begin(const std::string& as = "done")
    {
        answer = as;
        http_server_settings settings;
        settings.port = port;
        server = std::move(
            http_server::create(
                io, settings,
                [this](const http_request& request, const http_responder& done)
                {
                    targets.push_back(request.target);
                    bodies.push_back(request.body);
                    done({200, "text/plain", {}, answer});
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

    /// @return A client of it.
    std::unique_ptr<http_client> client()
    {
        http_client_settings settings;
        settings.server = {"127.0.0.1", port};
        return http_client::create(io, settings);
    }

    /// @return The end of a call.
    http_result send(http_client& by, http_request request)
    {
        http_result end;
        bool over = false;
        by.send(std::move(request),
                [&](const http_result& got)
                {
                    end = got;
                    over = true;
                });
        constexpr int most_steps = 200;
        for (int step = 0; step < most_steps && !over; ++step)
            io.run_one_for(milliseconds{20});
        REQUIRE(over);
        return end;
    }

    boost::asio::io_context io;
    std::uint16_t port = 0;
    std::string answer;
    std::vector<std::string> targets;
    std::vector<std::string> bodies;
    std::unique_ptr<http_server> server;
};

} // namespace glenhollow

#endif
