#include "deployment.hpp"

#include "glenhollow/http/blocking_call.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace glenhollow
{

namespace
{

constexpr auto pause = std::chrono::milliseconds(20);
constexpr int most_pauses = 1500; // 30 s, for a state that must come

/// Waits until a state has come; a test that waits in vain fails.
template <class State>
void wait_for(const std::string& what, State state)
{
    for (int i = 0; i < most_pauses; ++i)
    {
        if (state())
            return;
        std::this_thread::sleep_for(pause);
    }
    throw std::runtime_error("waited in vain for " + what);
}

double metric(const std::string& page, const std::string& name)
{
    const auto at = page.find("\nglenhollow_" + name + " ");
    if (at == std::string::npos)
        return -1;
    return std::strtod(page.c_str() + at + name.size() + 13, nullptr);
}

} // namespace

deployment::deployment(std::string programs, std::string folder)
    : programs_(std::move(programs)), folder_(std::move(folder))
{
}

deployment::~deployment()
{
    for (auto& [name, one] : processes_)
    {
        if (one.pid < 0)
            continue;
        ::kill(one.pid, SIGKILL);
        ::waitpid(one.pid, nullptr, 0);
    }
}

void deployment::launch(const std::string& name)
{
    auto& one = processes_.at(name);
    const std::string ports = folder_ + "/" + name + ".port";
    std::filesystem::remove(ports);
    std::vector<std::string> words = one.command;
    words.front() = programs_ + "/" + words.front();
    words.insert(words.end(), {"--port-file", ports});
    std::vector<char*> argv;
    for (auto& word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    ++one.starts;
    const std::string log =
        folder_ + "/" + name + "." + std::to_string(one.starts) + ".log";
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                       O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const int failed =
        ::posix_spawn(&one.pid, argv[0], &files, nullptr, argv.data(), environ);
    ::posix_spawn_file_actions_destroy(&files);
    if (failed != 0)
        throw std::runtime_error("cannot start " + words.front() + ": " +
                                 std::strerror(failed));
    wait_for("the ports of " + name,
             [&] { return std::filesystem::exists(ports); });
    std::ifstream in(ports);
    one.ports.clear();
    std::uint16_t port = 0;
    while (in >> port)
        one.ports.push_back(port);
}

void deployment::announce(const std::string& name)
{
    const bool is_entry = name.front() == 'e';
    const std::string vm = is_entry ? name : "r" + name.substr(1);
    const auto port = processes_.at(name).ports.at(is_entry ? 1 : 0);
    http_request request;
    request.method = "PUT";
    request.target = "/vms/" + vm;
    request.body = std::string(R"({"role":")") +
                   (is_entry ? "entry" : "runner") +
                   R"(","hall":"h1","state":"live","rpc":"127.0.0.1:)" +
                   std::to_string(port) + R"("})";
    if (!call_and_wait(http("platform"), std::move(request), seconds{5})
             .answered)
        throw std::runtime_error("the platform did not take " + vm);
}

void deployment::start(std::size_t entries, std::size_t runners)
{
    processes_["platform"].command = {"standin-platform"};
    launch("platform");
    const std::string platform = http("platform").to_string();
    for (std::size_t i = 1; i <= runners; ++i)
    {
        const auto number = std::to_string(i);
        processes_["r" + number].command = {"standin-runner"};
        launch("r" + number);
        processes_["a" + number].command = {"glenhollow-agent",
                                            "--name",
                                            "r" + number,
                                            "--hall",
                                            "h1",
                                            "--runner",
                                            http("r" + number).to_string(),
                                            "--slots",
                                            "2"};
        launch("a" + number);
        announce("a" + number);
    }
    ::setenv("GLENHOLLOW_OPERATOR_TOKEN", ("anna:" + token()).c_str(), 1);
    for (std::size_t i = 1; i <= entries; ++i)
    {
        const auto name = "e" + std::to_string(i);
        processes_[name].command = {"glenhollow-entry",
                                    "--name",
                                    name,
                                    "--hall",
                                    "h1",
                                    "--platform",
                                    platform,
                                    "--report-interval",
                                    "0.5",
                                    "--platform-reads",
                                    "500",
                                    "--platform-writes",
                                    "100"};
        launch(name);
        announce(name);
    }
    wait_for_links();
}

void deployment::wait_for_links() const
{
    const auto runner_count = static_cast<double>(runners().size());
    const auto entry_names = entries();
    for (const auto& name : entry_names)
    {
        wait_for(
            "the links of " + name,
            [&]
            {
                http_request request;
                request.target = "/metrics";
                const auto end =
                    call_and_wait(http(name), std::move(request), seconds{5});
                return metric(end.response.body, "links_up") == runner_count &&
                       metric(end.response.body, "peers_up") ==
                           static_cast<double>(entry_names.size() - 1);
            });
    }
}

void deployment::wait_for_end(process& one) const
{
    wait_for("the end of a process", [&one]
             { return ::waitpid(one.pid, nullptr, WNOHANG) == one.pid; });
    one.pid = -1;
}

void deployment::act(process_action action, const std::string& name)
{
    const auto known = processes_.find(name);
    if (known == processes_.end())
        throw std::runtime_error("there is no process " + name);
    auto& one = known->second;
    switch (action)
    {
    case process_action::start:
        launch(name);
        if (name.front() == 'e' || name.front() == 'a')
            announce(name);
        return;
    case process_action::stop:
        ::kill(one.pid, SIGTERM);
        return wait_for_end(one);
    case process_action::kill:
        ::kill(one.pid, SIGKILL);
        return wait_for_end(one);
    case process_action::pause:
        ::kill(one.pid, SIGSTOP);
        return;
    case process_action::resume:
        ::kill(one.pid, SIGCONT);
        return;
    }
}

host_port deployment::http(const std::string& process) const
{
    return {"127.0.0.1", processes_.at(process).ports.at(0)};
}

std::vector<std::string> deployment::entries() const
{
    std::vector<std::string> names;
    for (const auto& [name, one] : processes_)
    {
        if (name.front() == 'e')
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> deployment::runners() const
{
    std::vector<std::string> names;
    for (const auto& [name, one] : processes_)
    {
        if (name.front() == 'r')
            names.push_back(name);
    }
    return names;
}

} // namespace glenhollow
