// A small deployment of the project's own programs on loopback addresses.
#ifndef REVIEW_DEPLOYMENT_HPP
#define REVIEW_DEPLOYMENT_HPP

#include "runner.hpp"
#include "store.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

/// The case could not run: exit status 2.
struct cannot_run : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Writes what was sent, answered and run.
class record
{
public:
    explicit record(const std::string& path) : out_(path)
    {
        if (!out_)
            throw cannot_run("cannot write " + path);
    }

    template <class... Parts>
    void line(const Parts&... parts)
    {
        std::ostringstream text;
        text.setf(std::ios::fixed);
        text.precision(1);
        text << now_ms();
        ((text << ' ' << parts), ...);
        out_ << text.str() << '\n';
        out_.flush();
    }

private:
    std::ofstream out_;
};

/// A process of the system, as the deploy file runs it.
class process
{
public:
    process(std::string name, std::string program, std::string node_file,
            std::string log)
        : name_(std::move(name)), program_(std::move(program)),
          node_file_(std::move(node_file)), log_(std::move(log))
    {
    }
    ~process() { kill_hard(); }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void start()
    {
        const auto parent = ::getpid();
        pid_ = ::fork();
        if (pid_ < 0)
            throw cannot_run("fork failed");
        if (pid_ > 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(127);
        const int log =
            ::open(log_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::close_range(3, ~0U, 0); // No socket of the stand-ins.
        ::setenv("GLENHOLLOW_NODE_FILE", node_file_.c_str(), 1);
        ::execl(program_.c_str(), program_.c_str(), nullptr);
        ::_exit(127);
    }

    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }

    /// Kills the process and waits for its end.
    void kill_hard()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }

    /// @return Whether it ended by itself.
    bool has_ended()
    {
        if (pid_ <= 0 || ::waitpid(pid_, nullptr, WNOHANG) == 0)
            return false;
        pid_ = 0;
        return true;
    }

    const std::string& name() const { return name_; }

private:
    std::string name_;
    std::string program_;
    std::string node_file_;
    std::string log_;
    pid_t pid_ = 0;
};

using fields = std::map<std::string, std::string>;

/// Fills a template of the settings as DEPLOY.md says, as far as the project's
/// templates use its forms.
inline std::string render(std::string text, const fields& given)
{
    const auto value = [&given](const std::string& name)
    {
        const auto known = given.find(name);
        return known == given.end() ? std::string() : known->second;
    };
    for (auto at = text.find("{{#"); at != std::string::npos;
         at = text.find("{{#"))
    {
        const auto name_end = text.find("}}", at);
        const auto name = text.substr(at + 3, name_end - at - 3);
        const std::string closing = "{{/" + name + "}}";
        const auto end = text.find(closing, at);
        if (name_end == std::string::npos || end == std::string::npos)
            throw cannot_run("a template of the settings cannot be read");
        const auto inner = text.substr(name_end + 2, end - name_end - 2);
        text.replace(at, end + closing.size() - at,
                     value(name).empty() ? "" : inner);
    }
    for (auto at = text.find("{{"); at != std::string::npos;
         at = text.find("{{", at))
    {
        const auto end = text.find("}}", at);
        if (end == std::string::npos)
            throw cannot_run("a template of the settings cannot be read");
        const auto found = value(text.substr(at + 2, end - at - 2));
        text.replace(at, end + 2 - at, found);
        at += found.size();
    }
    return text;
}

struct runner_kind
{
    std::vector<std::string> labels;
    std::int64_t cpu = 64000;
    std::int64_t mem_mb = 262144;
};

struct deployment_settings
{
    std::size_t entries = 3;
    std::vector<runner_kind> runners;
    std::int64_t max_attempts = 3;
    double stretch = 1.6;
    std::int64_t target_latency_ms = 60;
    std::string entry_cpu_share = "0.25";
    std::string entry_memory_mb = "260";
    std::function<double(const std::string&, const std::string&)> work_ms;
};

/// The machines, the platform and the programs.
class deployment
{
public:
    deployment(asio::io_context& io, const deployment_settings& settings)
        : io_(io)
    {
        choose_network();
        choose_folder();
        std::random_device seed;
        random_.seed(seed());
        service_ = "svc" + word();
        host_ = "h" + word() + ".example";
        prefix_ = "/q" + word() + "/";
        store_ = std::make_unique<store>(io_, at(1, store_port));
        store_->operator_put("config", configuration(settings));
        for (std::size_t i = 0; i < settings.entries; ++i)
            add_entry(i, settings);
        for (std::size_t i = 0; i < settings.runners.size(); ++i)
            add_agent(i, settings);
    }

    ~deployment()
    {
        entries_.clear();
        agents_.clear();
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(folder_, ignored);
        else
            std::cerr << "logs: " << folder_ << "\n";
    }

    void start()
    {
        for (const auto& one : entries_)
            one->start();
        for (const auto& one : agents_)
            one->start();
    }

    /// Waits until all entries are ready, then as long as traffic waits.
    asio::awaitable<void> await_ready(double traffic_after_ms)
    {
        const double begin = now_ms();
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            for (;;)
            {
                const auto got =
                    co_await call(ready(i), "GET", "/ready", "ready", "", 500);
                if (got.status == 200)
                    break;
                if (now_ms() - begin > 20'000)
                    throw cannot_run("an entry is not ready");
                co_await sleep_ms(100);
            }
        }
        const double left = traffic_after_ms - (now_ms() - begin);
        if (left > 0)
            co_await sleep_ms(left);
    }

    void check_own_ends()
    {
        for (const auto* group : {&entries_, &agents_})
        {
            for (const auto& one : *group)
            {
                if (one->has_ended())
                    throw cannot_run(one->name() + " ended by itself");
            }
        }
    }

    store& platform() { return *store_; }
    process& entry(std::size_t i) { return *entries_.at(i); }
    process& agent(std::size_t i) { return *agents_.at(i); }
    runner& backend(std::size_t i) { return *runners_.at(i); }
    std::size_t entries() const { return entries_.size(); }
    std::size_t runners() const { return runners_.size(); }
    std::size_t agents() const { return agents_.size(); }
    const std::vector<run_record>& runs() const { return runs_; }
    const std::string& host() const { return host_; }
    const std::string& prefix() const { return prefix_; }
    tcp::endpoint front(std::size_t i) const
    {
        return at(10 + static_cast<int>(i), front_port);
    }

    tcp::endpoint agent_metrics(std::size_t i) const
    {
        return at(20 + static_cast<int>(i), metrics_port);
    }

    std::string new_job_id()
    {
        char text[17];
        std::snprintf(text, sizeof text, "%016llx",
                      static_cast<unsigned long long>(random_()));
        return text;
    }

private:
    static constexpr std::uint16_t rpc_port = 7720;
    static constexpr std::uint16_t front_port = 8161;
    static constexpr std::uint16_t app_port = 8165;
    static constexpr std::uint16_t control_port = 8166;
    static constexpr std::uint16_t ready_port = 8167;
    static constexpr std::uint16_t store_port = 8169;
    static constexpr std::uint16_t metrics_port = 9464;

    tcp::endpoint ready(std::size_t i) const
    {
        return at(10 + static_cast<int>(i), ready_port);
    }

    /// The store's machine, those of entries and those of agents.
    static constexpr std::array machines_in_use{1,  10, 11, 12, 20, 21, 22, 23,
                                                24, 25, 26, 27, 28, 29, 30};

    std::string ip(int machine) const
    {
        return network_ + std::to_string(machine);
    }

    tcp::endpoint at(int machine, std::uint16_t port) const
    {
        return {asio::ip::make_address(ip(machine)), port};
    }

    static std::string shown(const tcp::endpoint& where)
    {
        return where.address().to_string() + ":" + std::to_string(where.port());
    }

    bool is_free(int machine) const
    {
        for (const auto port : {rpc_port, front_port, app_port, control_port,
                                ready_port, store_port, metrics_port})
        {
            tcp::acceptor probe(io_);
            error_code ec;
            probe.open(tcp::v4(), ec);
            probe.set_option(tcp::acceptor::reuse_address(true), ec);
            probe.bind(at(machine, port), ec);
            if (!ec)
                probe.listen(1, ec);
            if (ec)
                return false;
        }
        return true;
    }

    /// Every machine has an address of its own, all ports are alike.
    void choose_network()
    {
        std::random_device seed;
        for (int tries = 0; tries < 200; ++tries)
        {
            network_ = "127." + std::to_string(20 + seed() % 200) + "." +
                       std::to_string(1 + seed() % 250) + ".";
            bool free = true;
            for (const int machine : machines_in_use)
                free = free && is_free(machine);
            if (free)
                return;
        }
        throw cannot_run("no free ports");
    }

    void choose_folder()
    {
        auto path =
            (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(path.data()) == nullptr)
            throw cannot_run("no temporary folder");
        folder_ = path;
    }

    std::string word()
    {
        std::string out;
        for (int i = 0; i < 5; ++i)
            out += static_cast<char>('a' + random_() % 26);
        return out;
    }

    static std::string contents(const std::string& path)
    {
        std::ifstream in(path);
        if (!in)
            throw cannot_run("cannot read " + path);
        std::ostringstream all;
        all << in.rdbuf();
        return all.str();
    }

    std::string configuration(const deployment_settings& settings) const
    {
        const json::object route{
            {"name", "r-" + service_},
            {"host", host_},
            {"path_prefix", prefix_},
            {"kind", "unsafe"},
            {"timeout_ms", 1500},
            {"target_latency_ms", settings.target_latency_ms},
            {"priority", 1},
            {"service", service_},
            {"max_attempts", settings.max_attempts},
            {"stretch", settings.stretch}};
        const json::object service{
            {"name", service_},      {"health_path", "/health"},
            {"max_connections", 64}, {"protocol", "h1"},
            {"tls", false},          {"admission_check", false},
            {"headroom", false}};
        const json::object limits{{"max_header_bytes", 16384},
                                  {"max_body_bytes", 262144},
                                  {"header_timeout_ms", 3000},
                                  {"idle_timeout_ms", 15000}};
        return json::serialize(json::object{{"version", 7},
                                            {"routes", json::array{route}},
                                            {"services", json::array{service}},
                                            {"limits", limits}});
    }

    std::unique_ptr<process> make(const std::string& name,
                                  const std::string& program,
                                  const std::string& settings, const fields& of)
    {
        if (::access(program.c_str(), X_OK) != 0)
            throw cannot_run(program + " is not built");
        const auto file = folder_ + "/" + name + ".conf";
        std::ofstream(file) << render(contents(settings), of);
        return std::make_unique<process>(name, program, file,
                                         folder_ + "/" + name + ".log");
    }

    void add_entry(std::size_t i, const deployment_settings& settings)
    {
        const int machine = 10 + static_cast<int>(i);
        const auto zone = zones[i % zones.size()];
        const auto name = "front-" + zone + "-" + std::to_string(1 + i / 3);
        entries_.push_back(make(
            name, "target/bin/glenhollow-durable-entry", "deploy/entry.conf",
            {{"node", name},
             {"zone", zone},
             {"ip", ip(machine)},
             {"port_range.0", std::to_string(rpc_port)},
             {"listen.front", shown(at(machine, front_port))},
             {"listen.ready", shown(at(machine, ready_port))},
             {"platform.address", shown(at(1, store_port))},
             {"seeds", ""},
             {"bounds.far_factor", "1.5"},
             {"limits.cpu_share", settings.entry_cpu_share},
             {"limits.cores", "1"},
             {"limits.memory_mb", settings.entry_memory_mb},
             {"limits.max_fds", "4100"},
             {"limits.link_mbps", "1000.0"}}));
    }

    void add_agent(std::size_t i, const deployment_settings& settings)
    {
        const int machine = 20 + static_cast<int>(i);
        const auto zone = zones[i % zones.size()];
        const auto name = "side-" + zone + "-" + std::to_string(1 + i / 3);
        agents_.push_back(make(
            name, "target/bin/glenhollow-durable-agent", "deploy/agent.conf",
            {{"node", name},
             {"zone", zone},
             {"ip", ip(machine)},
             {"port_range.0", std::to_string(rpc_port)},
             {"listen.control", shown(at(machine, control_port))},
             {"app", shown(at(machine, app_port))},
             {"service", service_},
             {"platform.address", shown(at(1, store_port))},
             {"bounds.max_hold_ms", "1000"}}));
        runner_settings one;
        one.name = std::to_string(i);
        one.service = service_;
        one.zone = zone;
        one.labels = settings.runners[i].labels;
        one.cpu = settings.runners[i].cpu;
        one.mem_mb = settings.runners[i].mem_mb;
        one.app = at(machine, app_port);
        one.control = at(machine, control_port);
        runners_.push_back(
            std::make_unique<runner>(io_, one, settings.work_ms, runs_));
    }

    inline static const std::vector<std::string> zones{"zone-a", "zone-b",
                                                       "zone-c"};

    asio::io_context& io_;
    std::mt19937_64 random_;
    std::string network_;
    std::string folder_;
    std::string service_;
    std::string host_;
    std::string prefix_;
    std::unique_ptr<store> store_;
    std::vector<run_record> runs_;
    std::vector<std::unique_ptr<process>> entries_;
    std::vector<std::unique_ptr<process>> agents_;
    std::vector<std::unique_ptr<runner>> runners_;
};

/// A job as its client sees it.
struct job
{
    std::string id;
    std::string kind;
    std::string body;
    std::size_t tasks = 0;
    double sent = 0;
    double accepted = 0; ///< When it got its 2xx; 0: not.
    unsigned last_status = 0;
    std::string final_state; ///< When asked at the end.
};

/// Submits a job as PROTOCOL.md says: after no response, 502 or 504 the same
/// job arrives again at any node; 429 and 503 mean that it is not taken.
inline asio::awaitable<void> submit(deployment& system, job& one,
                                    std::size_t entry, record& log)
{
    one.sent = now_ms();
    for (int attempt = 0; attempt < 10; ++attempt, ++entry)
    {
        const auto node = entry % system.entries();
        log.line("client POST", one.id, one.kind, "node", node);
        const auto got =
            co_await call(system.front(node), "POST", system.prefix() + one.id,
                          system.host(), one.body, 1500);
        one.last_status = got.status;
        log.line("client POST", one.id, "->", got.status);
        if (got.status / 100 == 2)
        {
            one.accepted = now_ms();
            co_return;
        }
        if (got.status != 0 && got.status != 502 && got.status != 504)
            co_return;
        co_await sleep_ms(300);
    }
}

/// Asks for the state of a job.
inline asio::awaitable<std::string> state_of(deployment& system, const job& one,
                                             std::size_t entry, record& log)
{
    for (int attempt = 0; attempt < 3; ++attempt, ++entry)
    {
        const auto got =
            co_await call(system.front(entry % system.entries()), "GET",
                          system.prefix() + one.id, system.host(), "", 4000);
        log.line("client GET", one.id, "->", got.status, got.body);
        if (got.status == 200)
            co_return text(parse_object(got.body), "state");
        if (got.status == 410)
            co_return "unknown";
    }
    co_return "no answer";
}

inline void write_runs(const deployment& system, record& log)
{
    for (const auto& run : system.runs())
        log.line("runner", run.runner, "run", run.task, run.run, "begin",
                 run.begin, "end", run.end, run.how.empty() ? "runs" : run.how,
                 "number", run.number, "noted", run.noted,
                 run.lapsed_before_note ? "lapsed-before-note" : "");
}

inline bool has_trouble()
{
    const char* given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

/// Plays a case against a deployment.
/// @return Whether the rule held.
using case_body =
    std::function<asio::awaitable<bool>(deployment& system, record& log)>;

/// Runs a case.
/// @return The exit status: 1 the rule was broken, 0 it held, 2 it couldn't
/// run.
inline int run_case(const std::string& folder,
                    const deployment_settings& settings, const case_body& play)
{
    constexpr auto longest = std::chrono::seconds(115);
    int status = 2;
    try
    {
        ::signal(SIGPIPE, SIG_IGN);
        now_ms();
        record log(folder + "/record.txt");
        asio::io_context io{1};
        asio::steady_timer limit(io, longest);
        limit.async_wait(
            [&](error_code ec)
            {
                if (!ec)
                    log.line("the case took too long");
                io.stop();
            });
        asio::signal_set ends(io, SIGTERM, SIGINT);
        ends.async_wait([&](error_code, int) { io.stop(); });
        // Destroyed before the event loop, but when that runs no more.
        auto system = std::make_unique<deployment>(io, settings);
        system->start();
        asio::co_spawn(io, play(*system, log),
                       [&](std::exception_ptr failed, bool held)
                       {
                           try
                           {
                               if (failed)
                                   std::rethrow_exception(failed);
                               status = held ? 0 : 1;
                           }
                           catch (const std::exception& why)
                           {
                               std::cerr << "could not run: " << why.what()
                                         << "\n";
                               log.line("could not run:", why.what());
                           }
                           io.stop();
                       });
        io.run();
        log.line("exit", status);
        system.reset();
    }
    catch (const std::exception& why)
    {
        std::cerr << "could not run: " << why.what() << "\n";
        status = 2;
    }
    return status;
}

} // namespace review

#endif
