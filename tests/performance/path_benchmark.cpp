// Times one task through entry and agent against the same call straight to the
// runner, in turn, with background load: CSV of milliseconds.
#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/http/client.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>
#include <vector>

using namespace glenhollow;
namespace json = boost::json;

namespace
{

/// Times calls to one server, one after the other.
class timed_caller
{
public:
    timed_caller(boost::asio::io_context& io, const host_port& server) : io_(io)
    {
        http_client_settings settings;
        settings.server = server;
        client_ = http_client::create(io, settings);
    }

    http_result call(const http_request& request)
    {
        http_result got;
        bool done = false;
        client_->send(request,
                      [&](http_result end)
                      {
                          got = std::move(end);
                          done = true;
                      });
        while (!done)
            io_.run_one();
        return got;
    }

    double time_ms(const http_request& request)
    {
        const auto start = process_clock().now();
        const auto end = call(request);
        if (!end.answered || end.response.status != 200)
            std::cerr << "failed: " << end.error << end.response.body << "\n";
        return std::chrono::duration<double, std::milli>(process_clock().now() -
                                                         start)
            .count();
    }

private:
    boost::asio::io_context& io_;         ///< Runs the calls.
    std::unique_ptr<http_client> client_; ///< Its connections.
};

double quantile(std::vector<double> values, double q)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        q * static_cast<double>(values.size() - 1))];
}

host_port parse(const std::string& flag, const std::string& text)
{
    const auto parsed = host_port::parse(text);
    if (parsed)
        return parsed.value();
    std::cerr << "--" << flag << " " << parsed.error().text << "\n";
    std::exit(exit_usage);
}

} // namespace

int main(int argc, char** argv)
{
    std::string entry;
    std::string runner;
    std::size_t calls = 2000;
    command_line line("path_benchmark", "times the path against a direct call");
    line.text("entry", entry, "IP:PORT of an entry", true);
    line.text("runner", runner, "IP:PORT of a stand-in runner", true);
    line.number<std::size_t>("calls", calls, 10, 1'000'000, "calls",
                             "of each kind");
    parse_or_exit(line, argc, argv);

    boost::asio::io_context io{1};
    const auto guard = boost::asio::make_work_guard(io);
    timed_caller to_entry(io, parse("entry", entry));
    timed_caller to_runner(io, parse("runner", runner));
    std::vector<std::string> ids;
    std::vector<double> direct;
    std::vector<double> path;
    std::vector<double> added;
    for (std::size_t i = 0; i < calls; ++i)
    {
        if (ids.empty())
        {
            http_request mint;
            mint.method = "POST";
            mint.target = "/v1/submissions?count=1000";
            const auto got = json::parse(to_entry.call(mint).response.body);
            for (const auto& id : got.at("submissions").as_array())
                ids.push_back(id.as_string().c_str());
        }
        http_request task;
        task.method = "POST";
        task.target = "/task";
        task.headers = {{"Glenhollow-Task", "direct/" + std::to_string(i)}};
        task.body = R"({"echo":1})";
        direct.push_back(to_runner.time_ms(task));
        http_request job;
        job.method = "PUT";
        job.target = "/v1/jobs/" + ids.back();
        job.body = R"({"team":"bench","tasks":[{"payload":{"echo":1}}]})";
        ids.pop_back();
        path.push_back(to_entry.time_ms(job));
        added.push_back(path.back() - direct.back());
    }
    std::printf("kind,calls,p50_ms,p99_ms\n");
    const auto print = [calls](const char* kind, const std::vector<double>& all)
    {
        std::printf("%s,%zu,%.3f,%.3f\n", kind, calls, quantile(all, 0.5),
                    quantile(all, 0.99));
    };
    print("direct", direct);
    print("path", path);
    print("added", added);
    return 0;
}
