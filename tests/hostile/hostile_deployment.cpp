#include "hostile/hostile_deployment.hpp"

#include "hostile/connection.hpp"
#include "platform/http_row_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace glenhollow::hostile
{

namespace json = boost::json;

namespace
{

constexpr std::string_view service = "service";
constexpr std::string_view queue_host = "hostile.example";
constexpr std::size_t store_at = 0;
constexpr std::size_t agent_at = 2;
constexpr std::size_t entry_at = 3;
constexpr auto retry_pause = std::chrono::milliseconds{100};

std::string configuration()
{
    const json::object route{
        {"name", "hostile"},       {"host", queue_host},
        {"path_prefix", "/jobs/"}, {"service", service},
        {"priority", 0},           {"max_attempts", 3},
        {"stretch", 2.0},          {"target_latency_ms", 60'000}};
    return json::serialize(json::object{
        {"version", 1},
        {"routes", json::array{route}},
        {"services", json::array{json::object{{"name", service},
                                              {"admission_check", false}}}}});
}

/// @return A number from /proc/<pid>/status, in kB.
std::size_t status_kb(pid_t pid, std::string_view field)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line))
    {
        if (line.starts_with(field))
            return std::stoul(line.substr(field.size() + 1));
    }
    throw std::runtime_error("no " + std::string(field) + " in /proc");
}

} // namespace

hostile_deployment::hostile_deployment(const std::string& programs,
                                       const std::string& folder,
                                       const process_limits& limits)
    : limits_(limits)
{
    constexpr int networks = 200;
    const auto pid = ::getpid();
    host_ = "127." + std::to_string(20 + pid % networks) + "." +
            std::to_string(pid / networks % networks) + ".1";
    std::vector<std::uint16_t> taken;
    const auto next = [&]
    {
        for (;;)
        {
            const auto port = free_port(host_);
            if (std::find(taken.begin(), taken.end(), port) != taken.end())
                continue;
            taken.push_back(port);
            return host_port{host_, port};
        }
    };
    store_address_ = next();
    callers_ = next();
    readiness_ = next();
    registration_ = next();
    entry_metrics_ = next();
    agent_metrics_ = next();
    entry_links_ = next();
    agent_links_ = next();
    const auto runner = next();
    std::filesystem::create_directories(folder);
    const auto add = [&](const std::string& name, const std::string& program,
                         std::vector<std::string> flags)
    {
        std::vector<std::string> words{"/usr/bin/prlimit",
                                       "--nofile=" +
                                           std::to_string(limits_.descriptors),
                                       programs + "/" + program};
        words.insert(words.end(), flags.begin(), flags.end());
        const auto log = folder + "/" + name + ".log";
        std::filesystem::remove(log);
        children_.push_back(
            std::make_unique<soak::child_process>(std::move(words), log));
    };
    const auto port = [](const host_port& at)
    { return std::to_string(at.port); };
    add("store", "standin-store",
        {"--address", host_, "--port", port(store_address_)});
    add("backend", "standin-backend",
        {"--name", "b", "--address", host_, "--port", port(runner), "--agent",
         registration_.to_string(), "--service", std::string(service), "--zone",
         "z", "--cpu", "4000", "--hold", "2000"});
    add("agent", "glenhollow-durable-agent",
        {"--name", "agent", "--zone", "z", "--address", host_, "--rpc-port",
         port(agent_links_), "--metrics-port", port(agent_metrics_),
         "--registration", registration_.to_string(), "--runner",
         runner.to_string(), "--store", store_address_.to_string(), "--hold",
         "1000"});
    add("entry", "glenhollow-durable-entry",
        {"--name",         "entry",
         "--zone",         "z",
         "--address",      host_,
         "--rpc-port",     port(entry_links_),
         "--metrics-port", port(entry_metrics_),
         "--callers",      callers_.to_string(),
         "--readiness",    readiness_.to_string(),
         "--store",        store_address_.to_string(),
         "--seeds",        entry_links_.to_string(),
         "--memory-mb",    std::to_string(limits_.memory_mb),
         "--max-fds",      std::to_string(limits_.descriptors)});
}

void hostile_deployment::begin()
{
    children_[store_at]->start();
    write_configuration();
    for (auto& one : children_)
        one->start();
    while (submit_job() != 200U)
        std::this_thread::sleep_for(retry_pause);
}

/// The store may not listen yet.
void hostile_deployment::write_configuration()
{
    boost::asio::io_context io;
    platform::http_row_store store(
        io, platform::row_store_settings{store_address_});
    row_transaction change;
    change.puts.push_back({{"op", "", "config"}, configuration()});
    bool written = false;
    while (!written)
    {
        bool answered = false;
        store.commit(change,
                     [&](const commit_result& got)
                     {
                         answered = true;
                         written = got.outcome == store_outcome::done;
                     });
        while (!answered)
            io.run_one();
        if (!written)
            std::this_thread::sleep_for(retry_pause);
    }
}

host_port hostile_deployment::address(target_process process,
                                      target_port port) const
{
    const bool entry = process == target_process::entry;
    switch (port)
    {
    case target_port::callers:
        return callers_;
    case target_port::readiness:
        return readiness_;
    case target_port::registration:
        return registration_;
    case target_port::metrics:
        return entry ? entry_metrics_ : agent_metrics_;
    case target_port::links:
        return entry ? entry_links_ : agent_links_;
    }
    throw std::logic_error("no such port");
}

soak::child_process& hostile_deployment::child(target_process process)
{
    return *children_[process == target_process::entry ? entry_at : agent_at];
}

const soak::child_process&
hostile_deployment::child(target_process process) const
{
    return *children_[process == target_process::entry ? entry_at : agent_at];
}

bool hostile_deployment::lives(target_process process)
{
    auto& one = child(process);
    return !one.ended() && one.runs();
}

process_usage hostile_deployment::usage(target_process process) const
{
    constexpr std::size_t kb_per_mb = 1024;
    const auto pid = child(process).pid();
    process_usage out;
    out.peak_memory_mb = status_kb(pid, "VmHWM") / kb_per_mb;
    const std::filesystem::directory_iterator open("/proc/" +
                                                   std::to_string(pid) + "/fd");
    out.descriptors = static_cast<std::size_t>(
        std::distance(open, std::filesystem::directory_iterator{}));
    return out;
}

std::optional<unsigned> hostile_deployment::submit_job()
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016llx",
                  static_cast<unsigned long long>(++jobs_));
    const std::string body =
        R"({"best_effort":true,"spec":"work_ms=20",)"
        R"("steps":[{"count":2,"cpu":500,"mem_mb":1,"estimate_ms":20}]})";
    return status_of(callers_,
                     "POST /jobs/" + std::string(id.data()) +
                         " HTTP/1.1\r\nHost: " + std::string(queue_host) +
                         "\r\nContent-Type: application/json\r\n"
                         "Glenhollow-Timeout-Ms: 60000\r\n"
                         "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
}

} // namespace glenhollow::hostile
