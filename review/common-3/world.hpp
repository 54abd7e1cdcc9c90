// A small deployment for the cases of this review: the project's two programs
// as processes of their own, and simple stand-ins, in this process, for the
// platform's store, the runners, the clients and the network between an entry
// and an agent. Each stand-in does what the users' pages say and no more. One
// thread serves one connection, so that everything can be read from the top
// to the bottom.
#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace world
{

namespace json = boost::json;
using steady = std::chrono::steady_clock;
using guard = std::lock_guard<std::mutex>;

inline const steady::time_point origin = steady::now();

inline double seconds_now()
{
    return std::chrono::duration<double>(steady::now() - origin).count();
}

inline void sleep_s(double length)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(length));
}

inline void sleep_until_s(double at)
{
    if (at > seconds_now())
        sleep_s(at - seconds_now());
}

/// record.txt: what was sent, answered and run.
class recorder
{
public:
    void open(const std::string& file) { out_.open(file); }

    void line(const std::string& text)
    {
        const guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", seconds_now());
        out_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline recorder record;

[[noreturn]] inline void cannot_run(const std::string& why);

// Sockets and HTTP.

struct place
{
    std::string host;
    int port = 0;

    std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in socket_address(const place& where)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.host.c_str(), &out.sin_addr);
    return out;
}

inline int connect_to(const place& where, const std::string& from = {})
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (!from.empty())
    {
        const auto own = socket_address({from, 0});
        ::bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own);
    }
    const auto to = socket_address(where);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0)
        return fd;
    ::close(fd);
    return -1;
}

inline bool write_all(int fd, std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

struct http_message
{
    std::string first, second; ///< Method and target, or version and status.
    std::map<std::string, std::string> headers; ///< Names in small letters.
    std::string body;
};

/// Reads one message; `buffer` keeps what follows it.
inline std::optional<http_message> read_message(int fd, std::string& buffer)
{
    char bytes[16384];
    auto more = [&]
    {
        const auto n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n > 0)
            buffer.append(bytes, static_cast<std::size_t>(n));
        return n > 0;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
        if (!more())
            return std::nullopt;
    http_message out;
    const auto head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    const auto line = head.substr(0, at);
    const auto a = line.find(' ');
    const auto b = line.find(' ', a + 1);
    out.first = line.substr(0, a);
    out.second = line.substr(a + 1, b - a - 1);
    while (at != std::string::npos)
    {
        const auto next = head.find("\r\n", at + 2);
        auto field =
            head.substr(at + 2, next == std::string::npos ? std::string::npos
                                                          : next - at - 2);
        const auto colon = field.find(':');
        if (colon != std::string::npos)
        {
            auto name = field.substr(0, colon);
            for (auto& c : name)
                c = static_cast<char>(std::tolower(c));
            const auto value = field.find_first_not_of(' ', colon + 1);
            out.headers[name] =
                value == std::string::npos ? "" : field.substr(value);
        }
        at = next;
    }
    const auto length = out.headers.find("content-length");
    const std::size_t size =
        length == out.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < size)
        if (!more())
            return std::nullopt;
    out.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return out;
}

struct http_reply
{
    int status = 200;
    std::string body;
};

/// A TCP server with a thread for each connection.
class tcp_server
{
public:
    using connection_handler = std::function<void(int)>;

    ~tcp_server() { stop(); }

    void start(const place& where, connection_handler handle)
    {
        state_ = std::make_shared<state>();
        state_->handle = std::move(handle);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto at = socket_address(where);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) !=
                0 ||
            ::listen(fd, 512) != 0)
            cannot_run("no listener at " + where.text());
        state_->listener = fd;
        std::thread([state = state_] { accept_all(state); }).detach();
    }

    /// Closes the listener and resets all connections, as the end of a
    /// process does.
    void stop()
    {
        if (!state_)
            return;
        const guard lock(state_->mutex);
        if (std::exchange(state_->stopped, true))
            return;
        ::shutdown(state_->listener, SHUT_RDWR);
        ::close(state_->listener);
        for (const int fd : state_->open)
        {
            const linger hard{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            ::shutdown(fd, SHUT_RDWR);
        }
    }

private:
    struct state
    {
        std::mutex mutex;
        connection_handler handle;
        std::set<int> open;
        int listener = -1;
        bool stopped = false;
    };

    static void accept_all(const std::shared_ptr<state>& state)
    {
        for (;;)
        {
            const int fd =
                ::accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
            {
                const guard lock(state->mutex);
                if (state->stopped)
                {
                    if (fd >= 0)
                        ::close(fd);
                    return;
                }
                if (fd < 0)
                    continue;
                state->open.insert(fd);
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread(
                [state, fd]
                {
                    state->handle(fd);
                    const guard lock(state->mutex);
                    state->open.erase(fd);
                    ::close(fd);
                })
                .detach();
        }
    }

    std::shared_ptr<state> state_;
};

/// @return A connection handler that answers requests one after the other. A
/// request without a reply leaves its connection silent.
inline tcp_server::connection_handler http_handler(
    std::function<std::optional<http_reply>(const http_message&)> serve)
{
    return [serve = std::move(serve)](int fd)
    {
        std::string buffer;
        while (const auto request = read_message(fd, buffer))
        {
            const auto reply = serve(*request);
            if (!reply)
            {
                char byte = 0;
                while (::recv(fd, &byte, 1, 0) > 0)
                {
                }
                return;
            }
            const auto text = "HTTP/1.1 " + std::to_string(reply->status) +
                              " x\r\nContent-Type: application/json\r\n"
                              "Content-Length: " +
                              std::to_string(reply->body.size()) + "\r\n\r\n" +
                              reply->body;
            if (!write_all(fd, text))
                return;
        }
    };
}

/// @return The answer; status 0: none within the time.
inline http_reply call(const place& where, const std::string& method,
                       const std::string& target, const std::string& body,
                       double timeout_s, const std::string& more_headers = {},
                       const std::string& host = {})
{
    const int fd = connect_to(where);
    if (fd < 0)
        return {0, {}};
    timeval limit{static_cast<time_t>(timeout_s),
                  static_cast<suseconds_t>(
                      (timeout_s - static_cast<long>(timeout_s)) * 1e6)};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " +
                       (host.empty() ? where.text() : host) + "\r\n" +
                       more_headers;
    if (!body.empty())
        text += "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n";
    http_reply out{0, {}};
    std::string buffer;
    if (write_all(fd, text + "\r\n" + body))
    {
        if (const auto got = read_message(fd, buffer))
            out = {std::stoi(got->second), got->body};
    }
    ::close(fd);
    return out;
}

inline json::object object_of(const std::string& text)
{
    boost::system::error_code ec;
    const auto value = json::parse(text, ec);
    return !ec && value.is_object() ? value.get_object() : json::object{};
}

inline std::string text_at(const json::object& in, const char* name)
{
    const auto* value = in.if_contains(name);
    return value != nullptr && value->is_string()
               ? std::string(value->get_string())
               : std::string();
}

inline std::int64_t number_at(const json::object& in, const char* name)
{
    const auto* value = in.if_contains(name);
    if (value == nullptr || !value->is_number())
        return 0;
    return value->to_number<std::int64_t>();
}

// The platform's store.

/// Rows, transactions and feeds as PROTOCOL.md tells them. Nothing is lost and
/// no answer is wrong. A row above `row_bytes` is refused with 400.
class store
{
public:
    static constexpr std::size_t row_bytes = 65536;

    void start(const place& where)
    {
        server_.start(where, http_handler([this](const http_message& request)
                                          { return serve(request, false); }));
    }

    /// The operator writes the configuration.
    void configure(const json::object& configuration)
    {
        const guard lock(mutex_);
        change({"op", "", "config"}, base64(json::serialize(configuration)));
    }

    /// Readers inside and outside a zone reach the members by different
    /// addresses: that of the link, where there is one between the two.
    std::function<std::string(bool inside, const std::string& member,
                              const std::string& value)>
        shown; ///< Empty: the row as it was written.

    /// Where the members inside the zone call.
    void start_inside(const place& where)
    {
        inside_.start(where, http_handler([this](const http_message& request)
                                          { return serve(request, true); }));
    }

    /// @return Rows refused because they were too large.
    std::size_t too_large() const { return too_large_; }

    static std::string base64(const std::string& bytes)
    {
        static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
                                    "qrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < bytes.size(); i += 3)
        {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = group << 8U |
                        (i + j < bytes.size()
                             ? static_cast<unsigned char>(bytes[i + j])
                             : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                out += i + j > bytes.size()
                           ? '='
                           : digits[group >> (18 - 6 * j) & 63U];
        }
        return out;
    }

    static std::string from_base64(const std::string& text)
    {
        std::string out;
        std::uint32_t group = 0;
        int bits = 0;
        for (const char c : text)
        {
            const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                              : c >= 'a' && c <= 'z' ? c - 'a' + 26
                              : c >= '0' && c <= '9' ? c - '0' + 52
                              : c == '+'             ? 62
                              : c == '/'             ? 63
                                                     : -1;
            if (digit < 0)
                break;
            group = group << 6U | static_cast<unsigned>(digit);
            bits += 6;
            if (bits >= 8)
            {
                bits -= 8;
                out += static_cast<char>(group >> bits & 255U);
            }
        }
        return out;
    }

private:
    using name = std::array<std::string, 3>; ///< Table, part and key.

    struct row
    {
        std::string value;
        std::int64_t version = 0;
        bool gone = false;
    };

    static name name_of(const json::object& in)
    {
        return {text_at(in, "table"), text_at(in, "part"), text_at(in, "key")};
    }

    json::object row_json(const name& of, const row& one,
                          bool inside = false) const
    {
        json::object out{{"table", of[0]},
                         {"part", of[1]},
                         {"key", of[2]},
                         {"ver", one.version}};
        if (one.gone)
            out["gone"] = true;
        else
            out["value"] = shown && of[0] == "members"
                               ? shown(inside, of[2], one.value)
                               : one.value;
        return out;
    }

    http_reply reply(json::object body, int status = 200) const
    {
        body["ver"] = version_;
        body["now_ms"] = static_cast<std::int64_t>(seconds_now() * 1000) + 1;
        return {status, json::serialize(body)};
    }

    void change(const name& of, const std::string& value, bool gone = false)
    {
        const row now{value, ++version_, gone};
        if (gone)
            rows_.erase(of);
        else
            rows_[of] = now;
        history_.emplace_back(of, now);
        changed_.notify_all();
    }

    std::optional<http_reply> serve(const http_message& request, bool inside)
    {
        sleep_s(0.004);
        const auto mark = request.second.find('?');
        const auto path = request.second.substr(0, mark);
        const auto given = parameters(
            mark == std::string::npos ? "" : request.second.substr(mark + 1));
        if (path == "/rows-tx")
            return transact(object_of(request.body));
        if (path == "/rows-get")
            return read(given, inside);
        if (path == "/rows-feed")
            return feed(given, inside);
        return http_reply{404, "{}"};
    }

    static std::map<std::string, std::string>
    parameters(const std::string& query)
    {
        std::map<std::string, std::string> out;
        std::string key;
        std::string text;
        bool in_value = false;
        const auto end = [&]
        {
            if (!key.empty())
                out[key] = text;
            key.clear();
            text.clear();
            in_value = false;
        };
        for (std::size_t i = 0; i <= query.size(); ++i)
        {
            if (i == query.size() || query[i] == '&')
                end();
            else if (query[i] == '=' && !in_value)
                in_value = true;
            else
            {
                char c = query[i];
                if (c == '%')
                {
                    c = static_cast<char>(
                        std::stoi(query.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                }
                (in_value ? text : key) += c;
            }
        }
        return out;
    }

    http_reply transact(const json::object& body)
    {
        const guard lock(mutex_);
        const auto entries = [&body](const char* list)
        {
            const auto* found = body.if_contains(list);
            return found != nullptr && found->is_array() ? found->get_array()
                                                         : json::array{};
        };
        const auto expected = entries("expected_revision");
        const auto puts = entries("put");
        const auto removes = entries("remove");
        if (expected.size() + puts.size() + removes.size() > 100)
            return reply({{"error", "more than 100 entries"}}, 400);
        json::array current;
        bool holds = true;
        for (const auto& one : expected)
        {
            const auto of = name_of(one.get_object());
            const auto known = rows_.find(of);
            const auto version =
                known == rows_.end() ? 0 : known->second.version;
            holds = holds && version == number_at(one.get_object(), "ver");
            if (known != rows_.end())
                current.emplace_back(row_json(of, known->second));
        }
        if (!holds)
            return reply({{"rows", std::move(current)}}, 412);
        for (const auto& one : puts)
        {
            const auto value = text_at(one.get_object(), "value");
            if (from_base64(value).size() > row_bytes)
            {
                if (too_large_++ == 0)
                    record.line("store: refused a row of " +
                                std::to_string(from_base64(value).size()) +
                                " bytes in table " +
                                text_at(one.get_object(), "table"));
                return reply({{"error", "row_bytes"}}, 400);
            }
        }
        const auto next = version_ + 1;
        for (const auto& one : puts)
        {
            version_ = next - 1;
            change(name_of(one.get_object()),
                   text_at(one.get_object(), "value"));
        }
        for (const auto& one : removes)
        {
            version_ = next - 1;
            if (rows_.contains(name_of(one.get_object())))
                change(name_of(one.get_object()), {}, true);
        }
        version_ = next;
        return reply({});
    }

    http_reply read(const std::map<std::string, std::string>& given,
                    bool inside)
    {
        const guard lock(mutex_);
        const auto at = [&given](const char* key)
        {
            const auto known = given.find(key);
            return known == given.end() ? std::string() : known->second;
        };
        const std::size_t limit =
            at("limit").empty() ? 500
                                : std::min(500UL, std::stoul(at("limit")));
        json::array rows;
        bool more = false;
        std::size_t bytes = 0;
        for (auto one =
                 rows_.lower_bound({at("table"), at("part"), at("from")});
             one != rows_.end() && one->first[0] == at("table") &&
             one->first[1] == at("part");
             ++one)
        {
            if (!at("target_version").empty() &&
                one->first[2] >= at("target_version"))
                break;
            more = rows.size() == limit || bytes > 1'000'000;
            if (more)
                break;
            bytes += one->second.value.size();
            rows.emplace_back(row_json(one->first, one->second, inside));
        }
        return reply({{"rows", std::move(rows)}, {"more", more}});
    }

    http_reply feed(const std::map<std::string, std::string>& given,
                    bool inside)
    {
        std::unique_lock lock(mutex_);
        const auto& table = given.at("table");
        const auto after = std::stoll(given.at("after"));
        const auto until = steady::now() + std::chrono::milliseconds(
                                               std::stoll(given.at("wait_ms")));
        json::array rows;
        const auto collect = [&]
        {
            for (const auto& [of, one] : history_)
            {
                if (one.version > after && of[0] == table)
                    rows.emplace_back(row_json(of, one, inside));
            }
            return !rows.empty();
        };
        while (!collect())
        {
            if (changed_.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        return reply({{"rows", std::move(rows)}});
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<name, row> rows_;
    std::vector<std::pair<name, row>> history_;
    std::int64_t version_ = 0;
    std::atomic<std::size_t> too_large_ = 0;
    tcp_server server_;
    tcp_server inside_;
};

// Runners.

struct run_fact
{
    std::string task;
    std::int64_t run = 0;
    std::string spec;
    std::string instance;
    double begin = 0;
    double end = 0; ///< 0: it runs.
    std::string how;
    std::vector<std::string> labels; ///< Of the runner in this life.
    double noted = 0;                ///< `last_seen` reached its end; 0: never.
    bool lapsed_before_note = false; ///< The lease lapsed between the two.
};

/// What a runner can hold, and how it is labelled.
struct runner_kind
{
    std::int64_t cpu = 4000; ///< Thousandths of a core.
    std::int64_t mem_mb = 16384;
    std::int64_t gpu = 0;
    std::vector<std::string> labels;
};

/// One runner. A spec `work_ms=N` takes N ms; with `fails` its end is `failed`.
/// It guards nothing (`admission_check` false).
class runner
{
public:
    runner(std::string machine, place where, place agent, runner_kind kind)
        : machine_(std::move(machine)), where_(std::move(where)),
          agent_(std::move(agent)), kind_(std::move(kind))
    {
    }

    /// Starts a new life, of another kind if one is given.
    void start(std::optional<runner_kind> kind = {})
    {
        {
            const guard lock(mutex_);
            if (kind)
                kind_ = *kind;
            ++life_;
            instance_ = "i-" + machine_ + "-" + std::to_string(life_);
            born_ = steady::now();
            up_ = true;
            acknowledged_ = false;
            token_ = deadline_ms_ = ends_ = confirmed_ = sequence_ = 0;
            running_.clear();
            finished_.clear();
            highest_.clear();
        }
        record.line("runner " + machine_ + ": life " + instance_ + ", cpu " +
                    std::to_string(kind_.cpu) + ", gpu " +
                    std::to_string(kind_.gpu));
        server_ = std::make_unique<tcp_server>();
        server_->start(where_, http_handler([this](const http_message& request)
                                            { return serve(request); }));
        const auto life = life_;
        std::thread([this, life] { beat(life); }).detach();
        std::thread([this, life] { watch(life); }).detach();
    }

    /// Ends as a crashed process does, and with it all that runs.
    void crash()
    {
        {
            const guard lock(mutex_);
            settle();
            up_ = false;
            ++life_; // Its threads end.
            for (const auto at : running_)
            {
                runs_[at].end = seconds_now();
                runs_[at].how = "crashed";
            }
            running_.clear();
        }
        record.line("runner " + machine_ + ": crashed");
        changed_.notify_all();
        server_->stop();
    }

    bool acknowledged()
    {
        const guard lock(mutex_);
        return acknowledged_;
    }

    bool up()
    {
        const guard lock(mutex_);
        return up_;
    }

    const runner_kind& kind() const { return kind_; }

    std::vector<run_fact> runs()
    {
        const guard lock(mutex_);
        settle();
        return runs_;
    }

private:
    std::int64_t clock_ms() const
    {
        return 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(
                          steady::now() - born_)
                          .count();
    }

    static double work_s(const std::string& spec)
    {
        const auto at = spec.find("work_ms=");
        return at == std::string::npos
                   ? 0.05
                   : std::strtod(spec.c_str() + at + 8, nullptr) / 1000;
    }

    void end(std::size_t at, const std::string& how)
    {
        auto& one = runs_[at];
        one.end = seconds_now();
        one.how = how;
        finished_.emplace_back(++ends_, at);
        auto& highest = highest_[one.task];
        highest = std::max(highest, one.run);
        changed_.notify_all();
    }

    /// Ends what is due, and all once the lease is over.
    void settle()
    {
        if (!up_)
            return;
        const bool lapsed = deadline_ms_ != 0 && clock_ms() >= deadline_ms_;
        std::vector<std::size_t> left;
        for (const auto at : std::exchange(running_, {}))
        {
            auto& one = runs_[at];
            if (stopped_.contains(at))
                end(at, "stopped");
            else if (seconds_now() - one.begin >= work_s(one.spec))
                end(at, one.spec.find("fails") == std::string::npos ? "done"
                                                                    : "failed");
            else if (lapsed)
                end(at, "lapsed");
            else
                left.push_back(at);
        }
        running_ = std::move(left);
        if (!lapsed)
            return;
        deadline_ms_ = 0;
        for (const auto& [number, at] : finished_)
            runs_[at].lapsed_before_note = true;
    }

    void watch(int life)
    {
        for (;;)
        {
            sleep_s(0.005);
            const guard lock(mutex_);
            if (life != life_)
                return;
            settle();
        }
    }

    void beat(int life)
    {
        for (;;)
        {
            std::string target;
            std::string body;
            {
                const guard lock(mutex_);
                if (life != life_)
                    return;
                target = "/instances/" + instance_;
                body = json::serialize(
                    json::object{{"service", "quote-desk"},
                                 {"address", where_.text()},
                                 {"machine", machine_},
                                 {"zone", "marmara-a"},
                                 {"version", "v1"},
                                 {"slots", 8},
                                 {"state", "ready"},
                                 {"cold_remaining_ms", 0},
                                 {"capacity",
                                  {{"cpu", kind_.cpu},
                                   {"mem_mb", kind_.mem_mb},
                                   {"gpu", kind_.gpu}}},
                                 {"labels", json::array(kind_.labels.begin(),
                                                        kind_.labels.end())},
                                 {"clock_ms", clock_ms()},
                                 {"sequence", ++sequence_}});
            }
            const auto got = call(agent_, "PUT", target, body, 1);
            {
                const guard lock(mutex_);
                if (life != life_)
                    return;
                acknowledged_ = got.status / 100 == 2;
            }
            sleep_s(got.status / 100 == 2 ? 1.5 : 0.3);
        }
    }

    http_reply reply(int status, json::object body = {}) const
    {
        body["clock_ms"] = clock_ms();
        return {status, json::serialize(body)};
    }

    std::optional<http_reply> serve(const http_message& request)
    {
        std::unique_lock lock(mutex_);
        if (!up_)
            return std::nullopt;
        settle();
        const auto meant = request.headers.find("glenhollow-expect-instance");
        if (meant != request.headers.end() && meant->second != instance_)
            return reply(421);
        const auto body = object_of(request.body);
        const auto token = number_at(body, "fencing_token");
        if (token < token_)
            return reply(409, {{"reason", "fence"}});
        token_ = token;
        const auto wanted =
            std::min(number_at(body, "deadline_ms"), clock_ms() + 1000);
        if (request.second == "/run-start")
            return begin(body, wanted);
        deadline_ms_ =
            std::max(deadline_ms_, wanted > clock_ms() ? wanted : deadline_ms_);
        if (request.second == "/run-stop")
            return stop(body);
        if (request.second == "/hold")
            return hold(body, lock);
        return reply(404);
    }

    http_reply begin(const json::object& body, std::int64_t deadline)
    {
        const auto task = text_at(body, "task");
        const auto run = number_at(body, "run");
        if (deadline <= clock_ms())
            return reply(409, {{"reason", "late"}});
        deadline_ms_ = std::max(deadline_ms_, deadline);
        for (const auto at : running_)
        {
            if (runs_[at].task == task && runs_[at].run == run)
                return reply(200);
        }
        const auto highest = highest_.find(task);
        if (highest != highest_.end() && run <= highest->second)
            return reply(409, {{"reason", "old"}});
        running_.push_back(runs_.size());
        runs_.push_back({task,
                         run,
                         text_at(body, "spec"),
                         instance_,
                         seconds_now(),
                         0,
                         {},
                         kind_.labels,
                         0,
                         false});
        return reply(200);
    }

    http_reply stop(const json::object& body)
    {
        const auto task = text_at(body, "task");
        const auto run = number_at(body, "run");
        for (const auto at : running_)
        {
            if (runs_[at].task == task && runs_[at].run == run)
                stopped_.insert(at);
        }
        auto& highest = highest_[task];
        highest = std::max(highest, run);
        return reply(200);
    }

    std::optional<http_reply> hold(const json::object& body,
                                   std::unique_lock<std::mutex>& lock)
    {
        confirmed_ = std::max(confirmed_, number_at(body, "last_seen"));
        while (!finished_.empty() && finished_.front().first <= confirmed_)
        {
            runs_[finished_.front().second].noted = seconds_now();
            finished_.pop_front();
        }
        const auto until = steady::now() + std::chrono::milliseconds(
                                               number_at(body, "wait_ms"));
        const auto life = life_;
        while (finished_.empty() && life == life_ &&
               changed_.wait_until(lock, until) != std::cv_status::timeout)
        {
        }
        if (life != life_)
            return std::nullopt;
        settle();
        json::array running;
        for (const auto at : running_)
        {
            const auto& one = runs_[at];
            const auto percent = static_cast<int>(
                100 * (seconds_now() - one.begin) / work_s(one.spec));
            running.emplace_back(json::array{one.task, one.run, "",
                                             std::clamp(percent, 0, 100)});
        }
        json::array finished;
        for (const auto& [number, at] : finished_)
        {
            if (finished.size() == 500)
                break;
            finished.emplace_back(json::array{
                number, runs_[at].task, runs_[at].run, runs_[at].how, ""});
        }
        return reply(200, {{"running", std::move(running)},
                           {"finished", std::move(finished)}});
    }

    std::string machine_;
    place where_;
    place agent_; ///< Where it registers.
    runner_kind kind_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::unique_ptr<tcp_server> server_;
    int life_ = 0;
    std::string instance_;
    steady::time_point born_;
    bool up_ = false;
    bool acknowledged_ = false;
    std::int64_t token_ = 0;
    std::int64_t deadline_ms_ = 0;
    std::int64_t ends_ = 0;
    std::int64_t confirmed_ = 0;
    std::int64_t sequence_ = 0;
    std::vector<run_fact> runs_; ///< Of all lives.
    std::vector<std::size_t> running_;
    std::set<std::size_t> stopped_;
    std::deque<std::pair<std::int64_t, std::size_t>> finished_;
    std::map<std::string, std::int64_t> highest_;
};

// The way between two machines.

/// Passes bytes on in both directions. While it is cut it holds them up, as a
/// cut does, and passes them on when the cut has healed.
class link
{
public:
    void start(const place& at, const place& to, const std::string& from)
    {
        at_ = at;
        to_ = to;
        from_ = from;
        listen();
    }

    /// While it refuses, its connections are reset and new ones are refused.
    void refuse(bool on)
    {
        if (on)
            server_->stop();
        else
            listen();
    }

    void cut(bool on)
    {
        const guard lock(mutex_);
        cut_ = on;
        changed_.notify_all();
    }

private:
    void listen()
    {
        server_ = std::make_unique<tcp_server>();
        server_->start(at_,
                       [this, to = to_, from = from_](int fd)
                       {
                           wait_while_cut();
                           const int far = connect_to(to, from);
                           if (far < 0)
                               return;
                           std::thread back([this, far, fd] { pass(far, fd); });
                           pass(fd, far);
                           back.join();
                           ::close(far);
                       });
    }

    void wait_while_cut()
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return !cut_; });
    }

    void pass(int from, int to)
    {
        char bytes[65536];
        for (;;)
        {
            const auto n = ::recv(from, bytes, sizeof bytes, 0);
            wait_while_cut();
            if (n <= 0 || !write_all(to, {bytes, static_cast<std::size_t>(n)}))
                break;
        }
        ::shutdown(to, SHUT_WR);
        ::shutdown(from, SHUT_RD);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    bool cut_ = false;
    place at_;
    place to_;
    std::string from_;
    std::unique_ptr<tcp_server> server_;
};

// The project's programs.

class process
{
public:
    process(std::string name, std::string program, std::string settings_file,
            std::string log)
        : name_(std::move(name)), program_(std::move(program)),
          settings_(std::move(settings_file)), log_(std::move(log))
    {
    }

    void start()
    {
        const auto variable = "GLENHOLLOW_NODE_FILE=" + settings_;
        const auto parent = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0)
        {
            const int out =
                ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with this process.
            if (::getppid() != parent)
                ::_exit(1);
            std::vector<char*> words{program_.data(), nullptr};
            std::string given = variable;
            std::vector<char*> variables{given.data(), nullptr};
            ::execve(program_.c_str(), words.data(), variables.data());
            ::_exit(127);
        }
        record.line(name_ + ": started");
    }

    void signal(int number)
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, number);
        if (number != SIGKILL)
            return;
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

    /// @return Whether it has ended by itself.
    bool ended()
    {
        return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_;
    }

private:
    std::string name_;
    std::string program_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
};

// The deployment.

struct options
{
    int entries = 3;
    int agents = 11;
    int max_attempts = 3;
    int more_queues = 0; ///< Beside the first.
    double target_ms = 500;
    double stretch = 1.6;
    /// Kind of the runner of a number.
    std::function<runner_kind(int)> kind = [](int) { return runner_kind{}; };
    std::vector<int> linked_agents; ///< Reached through links that can be cut.
    /// Number of agents in the zone of the first entry; there are links between
    /// that zone and everything else, the store too. 0: no such links.
    int zone_agents = 0;
};

class deployment
{
public:
    explicit deployment(const options& wanted) : options_(wanted)
    {
        net_ = "127." + std::to_string(30 + ::getpid() % 200) + "." +
               std::to_string(::getpid() / 200 % 250) + ".";
        char folder[] = "/tmp/review-3-XXXXXX";
        if (::mkdtemp(folder) == nullptr)
            cannot_run("no temporary folder");
        folder_ = folder;
        instance = this;
        store_.start(store_place());
        store_.configure(configuration(1));
        for (int i = 0; i < options_.entries; ++i)
            add_entry(i);
        for (int i = 0; i < options_.agents; ++i)
            add_agent(i);
        add_links();
        if (options_.zone_agents > 0)
            add_zone_links();
    }

    ~deployment() { end(); }

    /// Starts everything and waits until it is ready.
    void start()
    {
        for (auto& one : entries_)
            one->start();
        for (auto& one : agents_)
            one->start();
        for (auto& one : runners_)
            one->start();
        const auto all_ready = [this]
        {
            for (int i = 0; i < options_.entries; ++i)
            {
                if (call({entry_host(i), ready_port}, "GET", "/ready", {}, 1)
                        .status != 200)
                    return false;
            }
            return std::all_of(runners_.begin(), runners_.end(),
                               [](auto& one) { return one->acknowledged(); });
        };
        while (!all_ready())
        {
            if (seconds_now() > 25)
                cannot_run("the deployment did not become ready");
            sleep_s(0.2);
        }
        // Traffic begins 10 s after the machines do.
        sleep_until_s(10);
        record.line("traffic begins");
    }

    void end()
    {
        for (auto& one : entries_)
            one->signal(SIGKILL);
        for (auto& one : agents_)
            one->signal(SIGKILL);
        if (std::getenv("KEEP") == nullptr)
        {
            for (const auto& file : files_)
                ::unlink(file.c_str());
            ::rmdir(folder_.c_str());
        }
        else
            std::cerr << folder_ << "\n";
    }

    store& platform_store() { return store_; }
    runner& runner_at(int i) { return *runners_[i]; }
    process& entry(int i) { return *entries_[i]; }
    process& agent(int i) { return *agents_[i]; }
    int entries() const { return options_.entries; }
    int runners() const { return options_.agents; }

    place front(int i) const { return {entry_host(i), front_port}; }

    /// Cuts a linked agent off from all entries, or heals the cut.
    void cut(int agent, bool on)
    {
        record.line("side-" + std::to_string(agent + 1) +
                    (on ? ": cut off" : ": reached again"));
        links_.at(agent)->cut(on);
    }

    /// Partitions the zone of the first entry from everything else, with
    /// connections refused, or heals the cut.
    void refuse_zone(bool on)
    {
        record.line(on ? "zone: cut off" : "zone: reached again");
        for (auto& one : zone_links_)
            one->refuse(on);
    }

    /// @return All runs of all runners, by the name of their task.
    std::multimap<std::string, run_fact> all_runs()
    {
        std::multimap<std::string, run_fact> out;
        for (auto& one : runners_)
        {
            for (const auto& run : one->runs())
                out.emplace(run.task, run);
        }
        return out;
    }

    static inline deployment* instance = nullptr;

private:
    static constexpr int front_port = 8161;
    static constexpr int control_port = 8166;
    static constexpr int ready_port = 8167;
    static constexpr int app_port = 8165;
    static constexpr int link_port = 7720;

    place store_place(bool by_link = false) const
    {
        return {net_ + (by_link ? "2" : "1"), 8169};
    }
    /// Where those on the other side of the zone's border reach an entry.
    std::string far_host(int i) const { return net_ + std::to_string(100 + i); }
    std::string entry_host(int i) const
    {
        return net_ + std::to_string(11 + i);
    }
    std::string agent_host(int i) const
    {
        return net_ + std::to_string(31 + i);
    }

    /// A queue at `/quotes/`, and further ones at `/more-1/` and so on.
    json::object configuration(int version) const
    {
        json::array routes;
        for (int i = 0; i <= options_.more_queues; ++i)
        {
            const auto name = i == 0 ? "quotes" : "more-" + std::to_string(i);
            routes.emplace_back(
                json::object{{"name", name},
                             {"host", "quotes.example"},
                             {"path_prefix", "/" + name + "/"},
                             {"service", "quote-desk"},
                             {"priority", 0},
                             {"max_attempts", options_.max_attempts},
                             {"stretch", options_.stretch},
                             {"target_latency_ms", options_.target_ms}});
        }
        return {{"version", version},
                {"routes", std::move(routes)},
                {"services", json::array{{{"name", "quote-desk"},
                                          {"admission_check", false}}}},
                {"limits", {{"max_body_bytes", 262144}}}};
    }

    std::string write_file(const std::string& name, const std::string& text)
    {
        const auto file = folder_ + "/" + name;
        std::ofstream(file) << text;
        files_.push_back(file);
        return file;
    }

    std::string log_file(const std::string& name)
    {
        files_.push_back(folder_ + "/" + name + ".log");
        return files_.back();
    }

    /// deploy/entry.conf, filled for a front machine.
    void add_entry(int i)
    {
        const auto name = "front-" + std::to_string(i + 1);
        const auto host = entry_host(i);
        std::string seeds;
        for (int j = 0; j < options_.entries; ++j)
        {
            const bool far = options_.zone_agents > 0 && (i == 0) != (j == 0);
            seeds += (j == 0 ? "" : ",") + (far ? far_host(j) : entry_host(j)) +
                     ":8166";
        }
        const auto file = write_file(
            name + ".conf",
            "name = " + name + "\nzone = marmara-a\naddress = " + host +
                "\nrpc-port = 7720\nmetrics-port = 9464\ncallers = " + host +
                ":8161\nreadiness = " + host + ":8167\nstore = " +
                store_place(options_.zone_agents > 0 && i == 0).text() +
                "\nseeds = " + seeds +
                "\nfar-factor = 1.5\ncpu-share = 0.25\ncores = 1\n"
                "memory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\n");
        entries_.push_back(std::make_unique<process>(
            name, "target/bin/glenhollow-durable-entry", file, log_file(name)));
    }

    /// deploy/agent.conf, filled for a side machine.
    void add_agent(int i)
    {
        const auto name = "side-" + std::to_string(i + 1);
        const auto host = agent_host(i);
        const auto file = write_file(
            name + ".conf",
            "name = " + name + "\nzone = marmara-a\naddress = " + host +
                "\nrpc-port = 7720\nmetrics-port = 9464\nregistration = " +
                host + ":8166\nrunner = " + host +
                ":8165\nservice = quote-desk\nstore = " +
                store_place(i < options_.zone_agents).text() +
                "\nhold = 1000\n");
        agents_.push_back(std::make_unique<process>(
            name, "target/bin/glenhollow-durable-agent", file, log_file(name)));
        runners_.push_back(std::make_unique<runner>(
            "m" + std::to_string(i + 1), place{host, app_port},
            place{host, control_port}, options_.kind(i)));
    }

    /// The network between the entries and some agents: the store shows the
    /// address of a link where the agent's row has the agent's own, so that the
    /// entries reach it through the link alone.
    void add_links()
    {
        std::map<std::string, std::pair<std::string, std::string>> addresses;
        for (const int i : options_.linked_agents)
        {
            const auto at = net_ + std::to_string(200 + i);
            links_[i] = std::make_unique<link>();
            links_[i]->start({at, link_port}, {agent_host(i), link_port}, {});
            addresses["side-" + std::to_string(i + 1)] = {agent_host(i), at};
        }
        if (!addresses.empty())
            store_.shown = [addresses](bool, const std::string& member,
                                       const std::string& value)
            { return rewritten(addresses, member, value); };
    }

    /// The network between a zone and everything else: a link to the store, and
    /// one to each member, by which those on the other side reach it.
    void add_zone_links()
    {
        std::map<std::string, std::pair<std::string, std::string>> of_inside;
        std::map<std::string, std::pair<std::string, std::string>> of_outside;
        const auto add = [&](const std::string& name, const std::string& host,
                             const std::string& at, bool inside)
        {
            zone_links_.push_back(std::make_unique<link>());
            zone_links_.back()->start({at, link_port}, {host, link_port}, {});
            (inside ? of_inside : of_outside)[name] = {host, at};
        };
        for (int i = 0; i < options_.entries; ++i)
            add("front-" + std::to_string(i + 1), entry_host(i), far_host(i),
                i == 0);
        for (int i = 0; i < options_.agents; ++i)
            add("side-" + std::to_string(i + 1), agent_host(i),
                net_ + std::to_string(200 + i), i < options_.zone_agents);
        store_.start_inside({net_ + "1", 8170});
        zone_links_.push_back(std::make_unique<link>());
        zone_links_.back()->start(store_place(true), {net_ + "1", 8170}, {});
        store_.shown = [of_inside, of_outside](bool inside,
                                               const std::string& member,
                                               const std::string& value)
        { return rewritten(inside ? of_outside : of_inside, member, value); };
    }

    static std::string rewritten(
        const std::map<std::string, std::pair<std::string, std::string>>& by,
        const std::string& member, const std::string& value)
    {
        const auto known = by.find(member);
        if (known == by.end())
            return value;
        const auto& [own, shown] = known->second;
        auto text = store::from_base64(value);
        const auto there = text.find(own + ":");
        if (there != std::string::npos)
            text.replace(there, own.size(), shown);
        return store::base64(text);
    }

    options options_;
    std::string net_;
    std::string folder_;
    std::vector<std::string> files_;
    store store_;
    std::vector<std::unique_ptr<process>> entries_;
    std::vector<std::unique_ptr<process>> agents_;
    std::vector<std::unique_ptr<runner>> runners_;
    std::map<int, std::unique_ptr<link>> links_; ///< By agent.
    std::vector<std::unique_ptr<link>> zone_links_;
};

[[noreturn]] inline void finish(int status)
{
    if (deployment::instance != nullptr)
        deployment::instance->end();
    std::cout.flush();
    ::_exit(status);
}

[[noreturn]] inline void cannot_run(const std::string& why)
{
    record.line("could not run: " + why);
    std::cout << "could not run: " << why << "\n";
    finish(2);
}

// Clients.

struct job_step
{
    int count = 1;
    int cpu = 1000;
    int gpu = 0;
    int estimate_ms = 200;
    std::vector<int> after;
    std::string constraints;
    std::string affinity;
};

struct job
{
    std::string id;
    std::string kind; ///< For the record and the check.
    std::string queue = "quotes";
    std::vector<job_step> steps;
    bool accepted = false;
    bool rejected = false;
    double sent = 0;
};

/// Clients that submit jobs that are to be kept, and ask for them.
class clients
{
public:
    explicit clients(deployment& to) : to_(to), random_(std::random_device{}())
    {
    }

    /// Submits a job from a thread of its own. It is sent again at the next
    /// node, with the same ID, after no response, 502 or 504.
    std::shared_ptr<job> submit(const std::string& kind,
                                std::vector<job_step> steps,
                                const std::string& spec,
                                const std::string& queue = "quotes")
    {
        auto added = std::make_shared<job>();
        added->queue = queue;
        char id[20];
        std::snprintf(id, sizeof id, "%016llx",
                      static_cast<unsigned long long>(random_()));
        added->id = id;
        added->kind = kind;
        added->steps = std::move(steps);
        added->sent = seconds_now();
        jobs_.push_back(added);
        auto node = static_cast<int>(random_() % to_.entries());
        threads_.emplace_back([this, added, spec, node]
                              { send(*added, spec, node); });
        return added;
    }

    void wait()
    {
        for (auto& one : threads_)
            one.join();
        threads_.clear();
    }

    const std::vector<std::shared_ptr<job>>& jobs() const { return jobs_; }

    /// @return The state of a job; empty: no node answered; `410`: unknown.
    std::string state(const std::string& id, double patience_s = 4)
    {
        const auto until = seconds_now() + patience_s;
        for (int node = 0; seconds_now() < until; ++node)
        {
            const auto got =
                call(to_.front(node % to_.entries()), "GET", "/quotes/" + id,
                     {}, until - seconds_now(),
                     "Glenhollow-Timeout-Ms: 4000\r\n", "quotes.example");
            if (got.status == 200)
                return text_at(object_of(got.body), "state");
            if (got.status == 410)
                return "410";
            sleep_s(0.1);
        }
        return {};
    }

private:
    void send(job& one, const std::string& spec, int node)
    {
        json::array steps;
        for (const auto& step : one.steps)
        {
            json::object out{{"count", step.count},
                             {"cpu", step.cpu},
                             {"mem_mb", 64},
                             {"estimate_ms", step.estimate_ms}};
            if (step.gpu != 0)
                out["gpu"] = step.gpu;
            if (!step.after.empty())
                out["after"] =
                    json::array(step.after.begin(), step.after.end());
            if (!step.constraints.empty())
                out["constraints"] = step.constraints;
            if (!step.affinity.empty())
                out["affinity"] = step.affinity;
            steps.emplace_back(std::move(out));
        }
        const auto body = json::serialize(
            json::object{{"spec", spec}, {"steps", std::move(steps)}});
        for (int attempt = 0; attempt < 8; ++attempt)
        {
            const auto got =
                call(to_.front((node + attempt) % to_.entries()), "POST",
                     "/" + one.queue + "/" + one.id, body, 1.5,
                     "Glenhollow-Timeout-Ms: 1500\r\n", "quotes.example");
            record.line("job " + one.id + " (" + one.kind + "): POST " +
                        std::to_string(got.status));
            one.accepted = got.status / 100 == 2;
            one.rejected = got.status == 429 || got.status == 503;
            if (one.accepted || one.rejected || got.status / 100 == 4)
                return;
            sleep_s(1.3);
        }
    }

    deployment& to_;
    std::mt19937_64 random_;
    std::vector<std::shared_ptr<job>> jobs_;
    std::vector<std::thread> threads_;
};

// The check of LOST.

constexpr double finish_s = 14;

/// Room for tasks and the share of all cores in use, over some seconds.
class room_watch
{
public:
    explicit room_watch(deployment& of) : of_(of) {}

    /// @return Whether, at each look within the time, capacity for such a task
    /// existed twice over and under half of the service's was in use.
    bool free_for(double length_s, int cpu, double busy_task_cpu)
    {
        const auto until = seconds_now() + length_s;
        while (seconds_now() < until)
        {
            double total = 0;
            double used = 0;
            int slots = 0;
            for (int i = 0; i < of_.runners(); ++i)
            {
                auto& one = of_.runner_at(i);
                if (!one.up())
                    continue;
                double here = 0;
                for (const auto& run : one.runs())
                    here += run.end == 0 ? busy_task_cpu : 0;
                const auto all = static_cast<double>(one.kind().cpu);
                total += all;
                used += here;
                slots += std::max(0, static_cast<int>((all - here) / cpu));
            }
            if (slots < 2 || used > total / 2)
                return false;
            sleep_s(0.1);
        }
        return true;
    }

private:
    deployment& of_;
};

/// Asks for all accepted jobs of a kind, `finish_s` after the last was sent.
/// Breaks of LOST: a job that is unknown, or not answered; one that was shown
/// as failed or cancelled; or one whose turn has come, that has had nothing
/// running for 3 s while there was room for it twice over.
/// @return The number of jobs that break the rule.
inline int check_lost(deployment& of, clients& from, const std::string& kind)
{
    room_watch room(of);
    double last = 0;
    int cpu = 0;
    for (const auto& one : from.jobs())
    {
        last = std::max(last, one->sent);
        if (one->kind == kind)
            cpu = one->steps.front().cpu;
    }
    sleep_until_s(last + finish_s - 3);
    const bool was_room = room.free_for(3, cpu, cpu);
    record.line(std::string("capacity twice over for 3 s: ") +
                (was_room ? "yes" : "no"));
    int accepted = 0;
    int lost = 0;
    int none_run = 0;
    const auto asked_at = seconds_now();
    const auto runs = of.all_runs();
    for (const auto& one : from.jobs())
    {
        if (one->kind != kind || !one->accepted)
            continue;
        ++accepted;
        const auto state = from.state(one->id);
        double last_run = 0;
        int began = 0;
        for (const auto& [task, run] : runs)
        {
            if (task.compare(0, 16, one->id) != 0)
                continue;
            ++began;
            last_run = std::max(last_run, run.end == 0 ? asked_at : run.end);
        }
        const bool idle = asked_at - std::max(last_run, one->sent) >= 3;
        const bool open = state == "queued" || state == "running";
        const bool broken = open ? idle && was_room : state != "succeeded";
        record.line("job " + one->id + " (" + one->kind + "): state '" + state +
                    "', runs " + std::to_string(began) +
                    (broken ? ", LOST" : ""));
        lost += broken ? 1 : 0;
        none_run += broken && began == 0 ? 1 : 0;
    }
    std::cout << kind << ": accepted " << accepted << ", lost " << lost
              << " (never begun " << none_run << ")\n";
    return lost;
}

// The check of TWICE, without the clause that has a time bound.

/// Breaks of TWICE: a start after a run of the task ended `done`, if that end
/// was taken note of at any time and the lease did not lapse between the two;
/// or two runs of one task at once.
/// @return The number of starts that break the rule.
inline int check_twice(deployment& of)
{
    std::map<std::string, std::vector<run_fact>> tasks;
    for (const auto& [task, run] : of.all_runs())
        tasks[task].push_back(run);
    int at_once = 0;
    int after_end = 0;
    for (const auto& [task, runs] : tasks)
    {
        for (const auto& second : runs)
        {
            for (const auto& first : runs)
            {
                if (first.begin >= second.begin)
                    continue;
                const bool both =
                    first.end == 0 || first.end > second.begin + 0.01;
                const bool again = first.how == "done" && first.end != 0 &&
                                   first.end <= second.begin &&
                                   first.noted != 0 &&
                                   !first.lapsed_before_note;
                if (!both && !again)
                    continue;
                ++(both ? at_once : after_end);
                record.line(
                    "TWICE: " + task + " run " + std::to_string(second.run) +
                    " on " + second.instance + " began at " +
                    std::to_string(second.begin) + "; run " +
                    std::to_string(first.run) + " on " + first.instance +
                    " from " + std::to_string(first.begin) + " to " +
                    std::to_string(first.end) + " " + first.how);
            }
        }
    }
    std::cout << "tasks " << tasks.size() << ", two runs at once " << at_once
              << ", started after a noted end " << after_end << "\n";
    return at_once + after_end;
}

/// Writes all runs to the record.
inline void record_runs(deployment& of)
{
    for (const auto& [task, run] : of.all_runs())
    {
        char text[200];
        std::snprintf(text, sizeof text, "run %s #%lld on %s: %.3f to %.3f %s",
                      task.c_str(), static_cast<long long>(run.run),
                      run.instance.c_str(), run.begin, run.end,
                      run.how.empty() ? "running" : run.how.c_str());
        record.line(text);
    }
}

inline bool trouble()
{
    const char* given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

/// @param arguments The first one is the folder that gets record.txt.
inline void begin_case(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    for (const int number : {SIGTERM, SIGINT})
        ::signal(number, [](int) { finish(2); });
    if (argc < 2)
        cannot_run("the folder of the case is missing");
    record.open(std::string(argv[1]) + "/record.txt");
    for (const auto* program : {"target/bin/glenhollow-durable-entry",
                                "target/bin/glenhollow-durable-agent"})
    {
        if (::access(program, X_OK) != 0)
            cannot_run(std::string("not built: ") + program);
    }
}

} // namespace world
