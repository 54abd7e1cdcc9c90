// standin-runner: replaces a backend server in tests and the demo. It sleeps or
// echoes as the payload says and counts all starts.
#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/port_file.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>
#include <iostream>
#include <map>

using namespace glenhollow;
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Settings of the stand-in.
struct standin_runner_settings
{
    std::string address = "127.0.0.1"; ///< Listening address.
    std::uint16_t port = 0;            ///< 0: the kernel picks.
    std::string port_file;             ///< Gets the port.
    double slow_share = 0;             ///< Share of slow tasks.
    double slow_factor = 10;           ///< Work factor of slow tasks.
    double fail_share = 0;             ///< Share of tasks answered with 500.
    double hang_share = 0;             ///< Share of tasks never answered.
    double refuse_share = 0;           ///< Share of tasks answered not_run.
    std::uint64_t seed = 1;            ///< Seed of the random faults.
};

/// State of the stand-in. Not thread-safe.
class standin_runner
{
public:
    standin_runner(asio::io_context& io, const standin_runner_settings& s)
        : io_(io), settings_(s), random_(s.seed)
    {
    }

    void handle(const http_request& request, const http_responder& done)
    {
        if (request.method == "POST" && request.target == "/task")
            return run_task(request, done);
        if (request.target == "/starts")
            return done({200, "application/json", {}, starts_text()});
        if (request.method == "POST" && request.target == "/faults")
            return set_faults(request, done);
        done({404, "text/plain", {}, "not found\n"});
    }

private:
    void run_task(const http_request& request, const http_responder& done)
    {
        if (chance(settings_.refuse_share))
            return done({503,
                         "text/plain",
                         {{"Glenhollow-Verdict", "not_run"}},
                         "busy\n"});
        ++starts_[std::string(
            header_value(request.headers, "Glenhollow-Task"))];
        boost::system::error_code ec;
        const auto payload = json::parse(request.body, ec);
        double work_ms = 0;
        json::object answer;
        if (!ec && payload.is_object())
        {
            const auto& fields = payload.get_object();
            if (const auto* work = fields.if_contains("work_ms"))
                work_ms = work->is_number() ? work->to_number<double>() : 0;
            if (const auto* echo = fields.if_contains("echo"))
                answer["echo"] = *echo;
        }
        if (chance(settings_.hang_share))
            return hung_.push_back(done);
        if (chance(settings_.slow_share))
            work_ms *= settings_.slow_factor;
        http_response response{
            200, "application/json", {}, json::serialize(answer)};
        if (chance(settings_.fail_share))
            response = {500, "text/plain", {}, "failed\n"};
        if (work_ms <= 0)
            return done(std::move(response));
        auto timer = std::make_shared<asio::steady_timer>(
            io_, microseconds{static_cast<long>(work_ms * 1000)});
        timer->async_wait([timer, done, response](auto) { done(response); });
    }

    void set_faults(const http_request& request, const http_responder& done)
    {
        boost::system::error_code ec;
        const auto given = json::parse(request.body, ec);
        if (ec || !given.is_object())
            return done({400, "text/plain", {}, "an object is needed\n"});
        const auto set = [&](std::string_view name, double& target)
        {
            const auto* value = given.get_object().if_contains(name);
            if (value && value->is_number())
                target = value->to_number<double>();
        };
        set("slow_share", settings_.slow_share);
        set("slow_factor", settings_.slow_factor);
        set("fail_share", settings_.fail_share);
        set("hang_share", settings_.hang_share);
        set("refuse_share", settings_.refuse_share);
        done({200, "application/json", {}, "{}"});
    }

    std::string starts_text() const
    {
        json::object counts;
        for (const auto& [task, count] : starts_)
            counts[task] = count;
        return json::serialize(json::object{{"starts", std::move(counts)}});
    }

    bool chance(double share) { return share > 0 && uniform(random_) < share; }

    asio::io_context& io_;             ///< Runs the timers.
    standin_runner_settings settings_; ///< Settings, including faults.
    random_engine random_;             ///< Draws the faults.
    std::map<std::string, std::uint64_t> starts_; ///< Starts by task.
    std::vector<http_responder> hung_; ///< Tasks that are never answered.
};

} // namespace

int main(int argc, char** argv)
{
    standin_runner_settings settings;
    command_line line("standin-runner", "stand-in for a backend server");
    line.text("address", settings.address, "IP number to listen on", true);
    line.number<std::uint16_t>("port", settings.port, 0, 65535, "",
                               "0 lets the kernel pick");
    line.text("port-file", settings.port_file, "file that gets the port");
    line.number("slow-share", settings.slow_share, 0.0, 1.0, "",
                "share of tasks that take longer");
    line.number("slow-factor", settings.slow_factor, 1.0, 1000.0, "",
                "how much longer those take");
    line.number("fail-share", settings.fail_share, 0.0, 1.0, "",
                "share of tasks answered with 500 after they ran");
    line.number("hang-share", settings.hang_share, 0.0, 1.0, "",
                "share of tasks never answered");
    line.number("refuse-share", settings.refuse_share, 0.0, 1.0, "",
                "share of tasks answered not_run");
    line.number<std::uint64_t>("seed", settings.seed, 0, 1ULL << 53, "",
                               "seed of the shares");
    parse_or_exit(line, argc, argv);

    asio::io_context io{1};
    standin_runner runner(io, settings);
    http_server_settings limits;
    limits.address = settings.address;
    limits.port = settings.port;
    auto server = http_server::create(
        io, limits,
        [&](http_request request, const http_responder& done)
        { runner.handle(request, done); });
    if (!server)
    {
        std::cerr << server.error().text << "\n";
        return 1;
    }
    const auto written =
        write_port_file(settings.port_file, {server.value()->port()});
    if (!written)
    {
        std::cerr << written.error().text << "\n";
        return 1;
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { io.stop(); });
    io.run();
    return 0;
}
