// What the cases share: processes, HTTP calls, a record, a small deployment.
// The deployment consists of the project's own programs, with the commands and
// templates of deploy/, and of its stand-ins for the store and the backend
// servers. Each machine has a loopback address of its own.
#ifndef GLENHOLLOW_REVIEW_HARNESS_HPP
#define GLENHOLLOW_REVIEW_HARNESS_HPP

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review
{

namespace json = boost::json;

/// Exit codes of a case.
inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int could_not_run = 2;

/// @return Time in ms on the clock that the stand-ins record with.
inline double now_ms()
{
    timespec at{};
    ::clock_gettime(CLOCK_BOOTTIME, &at);
    return static_cast<double>(at.tv_sec) * 1e3 +
           static_cast<double>(at.tv_nsec) / 1e6;
}

inline void sleep_ms(double length)
{
    if (length > 0)
        std::this_thread::sleep_for(
            std::chrono::microseconds(static_cast<long>(length * 1e3)));
}

/// @return Whether the case plays its disruption.
inline bool with_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// Writes what was sent, answered and run to record.txt. Thread-safe.
class record final
{
public:
    explicit record(const std::string& file) : out_(file), start_(now_ms()) {}

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f s  ",
                      (now_ms() - start_) / 1e3);
        out_ << time << text << std::endl;
    }

    /// @return A time as seconds since the start of the record.
    std::string at(double time) const
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.3f s", (time - start_) / 1e3);
        return text;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    double start_;
};

struct address
{
    std::string host;
    int port = 0;

    std::string text() const { return host + ":" + std::to_string(port); }
};

/// Answer to an HTTP call; status 0: none.
struct answer
{
    int status = 0;
    std::string body;
    double at = 0; ///< Time of the answer or of the end of the wait.
};

/// One HTTP call on a connection of its own, which is closed afterwards.
inline answer call(const address& to, const std::string& method,
                   const std::string& path, const std::string& host,
                   const std::string& body, double timeout_ms)
{
    answer out;
    const double end = now_ms() + timeout_ms;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto done = [&]() -> answer&
    {
        if (fd >= 0)
            ::close(fd);
        out.at = now_ms();
        return out;
    };
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
    const auto wait = [&](short what)
    {
        pollfd one{fd, what, 0};
        const double left = end - now_ms();
        return left > 0 && ::poll(&one, 1, static_cast<int>(left) + 1) > 0;
    };
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(to.port));
    ::inet_pton(AF_INET, to.host.c_str(), &where.sin_addr);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof where) != 0)
    {
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || !wait(POLLOUT) ||
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
            error != 0)
            return done();
    }
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                          "\r\nContent-Type: application/json\r\n";
    if (method == "POST" || !body.empty())
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    request += "\r\n" + body;
    std::size_t sent = 0;
    while (sent < request.size())
    {
        const auto n = ::send(fd, request.data() + sent, request.size() - sent,
                              MSG_NOSIGNAL);
        if (n > 0)
            sent += static_cast<std::size_t>(n);
        else if (errno != EAGAIN || !wait(POLLOUT))
            return done();
    }
    std::string got;
    for (;;)
    {
        const auto head = got.find("\r\n\r\n");
        if (head != std::string::npos)
        {
            std::size_t length = 0;
            std::string lower = got.substr(0, head);
            std::transform(lower.begin(), lower.end(), lower.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            const auto field = lower.find("content-length:");
            if (field != std::string::npos)
                length = std::strtoul(lower.c_str() + field + 15, nullptr, 10);
            if (got.size() >= head + 4 + length)
            {
                out.status = std::atoi(got.c_str() + 9);
                out.body = got.substr(head + 4, length);
                return done();
            }
        }
        char bytes[16384];
        const auto n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n > 0)
            got.append(bytes, static_cast<std::size_t>(n));
        else if (n == 0 || errno != EAGAIN || !wait(POLLIN))
            return done();
    }
}

/// A process that the case starts and ends.
class process final
{
public:
    process(std::string name, std::vector<std::string> command,
            std::map<std::string, std::string> variables, std::string log)
        : name_(std::move(name)), command_(std::move(command)),
          variables_(std::move(variables)), log_(std::move(log))
    {
    }

    ~process() { kill(); }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    const std::string& name() const { return name_; }

    void start()
    {
        pid_ = ::fork();
        if (pid_ < 0)
            throw std::runtime_error("fork failed");
        if (pid_ > 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out =
            ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        for (const auto& [key, value] : variables_)
            ::setenv(key.c_str(), value.c_str(), 1);
        std::vector<char*> words;
        for (auto& word : command_)
            words.push_back(word.data());
        words.push_back(nullptr);
        ::execv(words[0], words.data());
        ::_exit(127);
    }

    void signal(int number)
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }

    /// Ends the process at once and waits for its end.
    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }

    /// @return Whether the process has ended by itself.
    bool ended()
    {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
            pid_ = 0;
        return pid_ <= 0;
    }

private:
    std::string name_;
    std::vector<std::string> command_;
    std::map<std::string, std::string> variables_;
    std::string log_;
    pid_t pid_ = 0;
};

inline std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream all;
    all << in.rdbuf();
    return all.str();
}

/// Fills a template of deploy/: {{name}}, and {{#name}} .. {{/name}} where the
/// name is given.
inline std::string fill(std::string text,
                        const std::map<std::string, std::string>& values)
{
    const auto replace = [&text](const std::string& what, const std::string& by)
    {
        for (auto at = text.find(what); at != std::string::npos;
             at = text.find(what, at + by.size()))
            text.replace(at, what.size(), by);
    };
    for (const auto& [name, value] : values)
    {
        replace("{{#" + name + "}}", "");
        replace("{{/" + name + "}}", "");
        replace("{{" + name + "}}", value);
    }
    if (text.find("{{") != std::string::npos)
        throw std::runtime_error("a template has a gap without a value: " +
                                 text);
    return text;
}

/// One run of a task, as its backend server has seen it.
struct seen_run
{
    std::string server;
    std::string task;
    std::uint64_t run = 0;
    double begin = 0;
    double end = 0; ///< 0: still running.
    std::string how;
};

struct deployment_settings
{
    std::size_t entries = 3;
    std::size_t agents = 4;
    int cpu = 4000;          ///< Millicores of a backend server.
    bool relabelled = false; ///< Heartbeats go by way of the case.
    bool linked = false;     ///< Links go by way of the case.
    std::vector<json::object> routes;
};

/// A small deployment on loopback addresses. The program's folder is the
/// repository's root.
class deployment final
{
public:
    static constexpr const char* host = "case.example";
    static constexpr const char* service = "service";

    explicit deployment(const deployment_settings& settings)
        : settings_(settings)
    {
        char name[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(name) == nullptr)
            throw std::runtime_error("no temporary folder");
        folder_ = name;
        const int id = ::getpid();
        network_ = "127." + std::to_string(20 + id % 200) + "." +
                   std::to_string(1 + id / 200 % 250) + ".";
        link_port_ = free_port();
        store_ = {network_ + "1", free_port()};
        std::string views;
        for (std::size_t i = 0; i < settings_.entries; ++i)
        {
            link_ports_.push_back(settings_.linked ? free_port() : link_port_);
            views_.push_back(settings_.linked ? free_port() : store_.port);
            shown_.push_back(free_port());
            if (settings_.linked)
                views += (i == 0 ? "" : ",") + std::to_string(views_[i]) + "=" +
                         network_ + std::to_string(10 + i) + ":" +
                         std::to_string(shown_[i]);
        }
        // Whoever reads the store by a view is shown the others at a port of
        // its own, where the case passes its links on.
        add("store", {"target/bin/standin-store", "--address", store_.host,
                      "--port", std::to_string(store_.port), "--views", views});
        for (std::size_t i = 0; i < settings_.entries; ++i)
        {
            const auto ip = network_ + std::to_string(10 + i);
            callers_.push_back({ip, free_port()});
            readiness_.push_back({ip, free_port()});
        }
        for (std::size_t i = 0; i < settings_.entries; ++i)
            add_entry(i);
        for (std::size_t i = 0; i < settings_.agents; ++i)
            add_agent(i);
    }

    ~deployment()
    {
        processes_.clear();
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(folder_, ignored);
        else
            std::cerr << "logs: " << folder_ << "\n";
    }

    /// Starts all processes; returns once the entries are ready.
    void start()
    {
        at("store").start();
        for (std::size_t i = 0; i < settings_.agents; ++i)
            at("server" + std::to_string(i)).start();
        write_configuration(1);
        for (std::size_t i = 0; i < settings_.agents; ++i)
            at("agent" + std::to_string(i)).start();
        for (std::size_t i = 0; i < settings_.entries; ++i)
            at("entry" + std::to_string(i)).start();
        for (std::size_t i = 0; i < settings_.entries; ++i)
            await_ready(i);
    }

    process& at(const std::string& name) { return *processes_.at(name); }
    const address& callers(std::size_t entry) const
    {
        return callers_.at(entry);
    }
    const address& readiness(std::size_t entry) const
    {
        return readiness_.at(entry);
    }
    const address& store() const { return store_; }
    /// @return Where a backend server answers.
    const address& server(std::size_t i) const { return servers_.at(i); }
    /// @return Where an agent takes heartbeats.
    const address& control(std::size_t i) const { return controls_.at(i); }
    /// @return Where a backend server sends them, if not to the agent.
    const address& heartbeats(std::size_t i) const { return heartbeats_.at(i); }
    const std::string& folder() const { return folder_; }
    std::size_t entries() const { return settings_.entries; }

    /// Lists the links of an entry to the other machines.
    /// @param visit Gets the other machine, where the entry calls, and where
    /// the other machine listens.
    void each_link(std::size_t entry,
                   const std::function<void(const std::string&, const address&,
                                            const address&)>& visit) const
    {
        for (std::size_t i = 0; i < settings_.entries; ++i)
        {
            const auto& ip = callers_[i].host;
            if (i != entry)
                visit("entry" + std::to_string(i), {ip, shown_[entry]},
                      {ip, link_ports_[i]});
        }
        for (std::size_t i = 0; i < settings_.agents; ++i)
        {
            const auto ip = network_ + std::to_string(100 + i);
            visit("agent" + std::to_string(i), {ip, shown_[entry]},
                  {ip, link_port_});
        }
    }

    void await_ready(std::size_t entry)
    {
        const double until = now_ms() + 20e3;
        while (
            call(readiness_[entry], "GET", "/ready", "ready", "", 500).status !=
            200)
        {
            if (now_ms() > until)
                throw std::runtime_error("an entry is not ready");
            sleep_ms(50);
        }
    }

    /// Writes the operator's configuration, as the operator does.
    void write_configuration(int version)
    {
        json::array routes;
        for (const auto& one : settings_.routes)
            routes.push_back(one);
        const auto text = json::serialize(json::object{
            {"version", version},
            {"routes", routes},
            {"services", json::array{json::object{{"name", service},
                                                  {"admission_check", false}}}},
            {"limits", json::object{{"max_body_bytes", 262144}}}});
        const auto body = json::serialize(json::object{
            {"expected_revision", json::array{}},
            {"put", json::array{json::object{{"table", "op"},
                                             {"part", ""},
                                             {"key", "config"},
                                             {"value", base64(text)}}}},
            {"remove", json::array{}}});
        const double until = now_ms() + 10e3;
        while (call(store_, "POST", "/rows-tx", "store", body, 1000).status !=
               200)
        {
            if (now_ms() > until)
                throw std::runtime_error("the store takes no configuration");
            sleep_ms(50);
        }
    }

    /// @return All runs that the backend servers have seen.
    std::vector<seen_run> runs() const
    {
        std::vector<seen_run> out;
        for (std::size_t i = 0; i < servers_.size(); ++i)
        {
            const auto got =
                call(servers_[i], "GET", "/record", "server", "", 3000);
            if (got.status != 200)
                throw std::runtime_error("a backend server tells no record");
            const auto whole = json::parse(got.body).as_object();
            for (const auto& one : whole.at("runs").as_array())
            {
                const auto& run = one.as_object();
                seen_run seen;
                seen.server = "server" + std::to_string(i);
                seen.task = run.at("task").as_string().c_str();
                seen.run = run.at("run").to_number<std::uint64_t>();
                seen.begin = run.at("begin").to_number<double>() / 1e6;
                seen.end = run.at("end").to_number<double>() / 1e6;
                seen.how = run.at("how").as_string().c_str();
                out.push_back(seen);
            }
        }
        std::sort(out.begin(), out.end(),
                  [](const auto& a, const auto& b)
                  { return a.begin < b.begin; });
        return out;
    }

private:
    static int free_port()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof where);
        socklen_t size = sizeof where;
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size);
        ::close(fd);
        return ntohs(where.sin_port);
    }

    static std::string base64(const std::string& text)
    {
        static constexpr char signs[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < text.size(); i += 3)
        {
            std::uint32_t bits = 0;
            for (std::size_t k = 0; k < 3; ++k)
                bits =
                    bits << 8U | (i + k < text.size()
                                      ? static_cast<unsigned char>(text[i + k])
                                      : 0U);
            for (std::size_t k = 0; k < 4; ++k)
                out += i + k > text.size() ? '='
                                           : signs[bits >> (18 - 6 * k) & 63U];
        }
        return out;
    }

    void add(const std::string& name, std::vector<std::string> command,
             std::map<std::string, std::string> variables = {})
    {
        processes_[name] = std::make_unique<process>(
            name, std::move(command), std::move(variables),
            folder_ + "/" + name + ".log");
    }

    std::string node_file(const std::string& name, const std::string& of,
                          std::map<std::string, std::string> values)
    {
        const auto path = folder_ + "/" + name + ".conf";
        std::ofstream(path) << fill(read_file(of), values);
        return path;
    }

    void add_entry(std::size_t i)
    {
        const auto name = "entry" + std::to_string(i);
        std::string seeds;
        for (const auto& one : callers_)
            seeds += (seeds.empty() ? "" : ",") + one.host + ":1";
        add(name, {"target/bin/glenhollow-durable-entry"},
            {{"GLENHOLLOW_NODE_FILE",
              node_file(
                  name, "deploy/entry.conf",
                  {{"node", name},
                   {"zone", "zone"},
                   {"ip", callers_[i].host},
                   {"port_range.0", std::to_string(link_ports_[i])},
                   {"listen.front", callers_[i].text()},
                   {"listen.ready", readiness_[i].text()},
                   {"platform.address", address{store_.host, views_[i]}.text()},
                   {"seeds", seeds},
                   {"bounds.far_factor", "1.5"},
                   {"limits.cpu_share", "0.25"},
                   {"limits.cores", "1"},
                   {"limits.memory_mb", "260"},
                   {"limits.max_fds", "4100"},
                   {"limits.link_mbps", "1000"}})}});
    }

    void add_agent(std::size_t i)
    {
        const auto number = std::to_string(i);
        const auto ip = network_ + std::to_string(100 + i);
        const address control{ip, free_port()};
        controls_.push_back(control);
        heartbeats_.push_back(settings_.relabelled ? address{ip, free_port()}
                                                   : control);
        servers_.push_back({ip, free_port()});
        const auto& server = servers_.back();
        add("agent" + number, {"target/bin/glenhollow-durable-agent"},
            {{"GLENHOLLOW_NODE_FILE",
              node_file("agent" + number, "deploy/agent.conf",
                        {{"node", "agent" + number},
                         {"zone", "zone"},
                         {"ip", ip},
                         {"port_range.0", std::to_string(link_port_)},
                         {"listen.control", control.text()},
                         {"app", server.text()},
                         {"service", service},
                         {"platform.address", store_.text()},
                         {"bounds.max_hold_ms", "1000"}})}});
        add("server" + number,
            {"target/bin/standin-backend", "--name", "b" + number, "--address",
             ip, "--port", std::to_string(server.port), "--agent",
             heartbeats_.back().text(), "--service", service, "--zone", "zone",
             "--cpu", std::to_string(settings_.cpu), "--seed", number});
    }

    deployment_settings settings_;
    std::string folder_;
    std::string network_;
    int link_port_ = 0;           ///< For links, of all machines ..
    std::vector<int> link_ports_; ///< .. unless they go by way of the case.
    std::vector<int> views_;      ///< Ports of the store, by entry.
    std::vector<int> shown_;      ///< Where an entry is shown the others.
    address store_;
    std::vector<address> callers_;
    std::vector<address> readiness_;
    std::vector<address> servers_;
    std::vector<address> controls_;
    std::vector<address> heartbeats_;
    std::map<std::string, std::unique_ptr<process>> processes_;
};

/// @return A route as the operator writes it.
inline json::object route(const std::string& name, int target_ms = 60000)
{
    return {{"name", name},
            {"host", deployment::host},
            {"path_prefix", "/" + name + "/"},
            {"service", deployment::service},
            {"priority", 1},
            {"max_attempts", 3},
            {"stretch", 2.0},
            {"target_latency_ms", target_ms}};
}

/// @return A step with that many tasks of one length.
inline json::object step(int count, int cpu, int work_ms)
{
    return {{"count", count},
            {"cpu", cpu},
            {"mem_mb", 64},
            {"estimate_ms", work_ms}};
}

/// Runs a case; what it throws means that it could not run.
inline int run_case(const std::function<int(record&)>& play,
                    const std::string& folder)
{
    record out(folder + "/record.txt");
    try
    {
        const int verdict = play(out);
        out.line(verdict == held     ? "held"
                 : verdict == broken ? "BROKEN"
                                     : "could not run");
        return verdict;
    }
    catch (const std::exception& error)
    {
        out.line(std::string("could not run: ") + error.what());
        std::cerr << error.what() << "\n";
        return could_not_run;
    }
}

} // namespace review

#endif
