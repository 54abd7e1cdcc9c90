#include "hostile/attacks.hpp"

#include <capnp/message.h>
#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>

#include <array>
#include <cstring>

namespace glenhollow::hostile
{

namespace
{

constexpr unsigned crowd_size = 24;
/// More than the descriptors of a process.
constexpr unsigned silent_crowd_size = 900;
/// Bytes per connection; together more than the memory of a process.
constexpr std::size_t flood_bytes = 6UL << 20;
constexpr unsigned calls_ahead = 100'000;

/// An HTTP port and a request that it serves.
struct http_port
{
    std::string name;
    target_process process;
    target_port port;
    std::string method;
    std::string path; ///< Path of a served request.
};

const std::array<http_port, 5> http_ports{{
    {"entry_callers", target_process::entry, target_port::callers, "POST",
     "/jobs/00000000000000ff"},
    {"entry_readiness", target_process::entry, target_port::readiness, "GET",
     "/ready"},
    {"entry_metrics", target_process::entry, target_port::metrics, "GET",
     "/metrics"},
    {"agent_registration", target_process::agent, target_port::registration,
     "PUT", "/instances/x"},
    {"agent_metrics", target_process::agent, target_port::metrics, "GET",
     "/metrics"},
}};

std::string line_of(const http_port& at)
{
    return at.method + " " + at.path + " HTTP/1.1\r\nHost: hostile.example\r\n";
}

std::string head_of(const http_port& at, const std::string& fields)
{
    return line_of(at) + fields + "\r\n";
}

/// The parts of a request that can grow.
std::vector<attack> growing_parts(const http_port& at)
{
    const std::string text(1024, 'a');
    const std::string length =
        "Content-Length: " + std::to_string(flood_bytes + 1) + "\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const auto part =
        [&](const std::string& name, std::string opening, std::string filler)
    {
        return attack{at.name + "_" + name,
                      at.process,
                      at.port,
                      {.connections = crowd_size,
                       .opening = std::move(opening),
                       .filler = std::move(filler),
                       .bytes = flood_bytes}};
    };
    return {
        part("request_line", at.method + " /", text),
        part("field", line_of(at) + "A: ", text),
        part("fields", line_of(at), "A: b\r\n"),
        part("body", head_of(at, length), text),
        part("chunks", head_of(at, chunked), "400\r\n" + text + "\r\n"),
        part("chunk_extension", head_of(at, chunked) + "1;a=", text),
        part("trailers", head_of(at, chunked) + "0\r\n", "A: b\r\n"),
        part("malformed", "\1\2\3\r\n\r\n", text),
    };
}

/// Fields that arrive one by one, so that each is parsed alone.
attack single_fields(const http_port& at)
{
    return {at.name + "_single_fields",
            at.process,
            at.port,
            {.connections = crowd_size,
             .opening = line_of(at),
             .filler = "A: " + std::string(2000, 'b') + "\r\n",
             .bytes = flood_bytes,
             .pause = milliseconds{2}}};
}

/// Headers of many small fields that take far more memory once they are
/// parsed, and whose end never comes.
attack unfinished_heads(const http_port& at)
{
    constexpr unsigned connections = 300;
    constexpr std::size_t fields = 3000;
    std::string head = line_of(at);
    for (std::size_t i = 0; i < fields; ++i)
        head += "A:\r\n";
    return {at.name + "_unfinished_heads",
            at.process,
            at.port,
            {.connections = connections, .opening = head},
            {.memory_mb = 40}};
}

/// Whole requests that are sent ahead; the answers are never read.
attack requests_sent_ahead(const http_port& at)
{
    return {at.name + "_unread_answers",
            at.process,
            at.port,
            {.connections = crowd_size,
             .opening = "",
             .filler = "GET " + at.path +
                       " HTTP/1.1\r\nHost: hostile.example\r\n\r\n",
             .bytes = flood_bytes}};
}

attack silent_connections(const std::string& name, target_process process,
                          target_port port)
{
    return {name + "_silent",
            process,
            port,
            {.connections = silent_crowd_size, .opening = ""}};
}

std::string job_request(unsigned number, const std::string& body)
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016x", 0xff000000U + number);
    return "POST /jobs/" + std::string(id.data()) +
           " HTTP/1.1\r\nHost: hostile.example\r\n"
           "Glenhollow-Timeout-Ms: 60000\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Well-formed jobs that ask for as much as a job may; they leave room for
/// ordinary tasks.
std::vector<attack> large_jobs()
{
    const auto jobs = [](const std::string& name, const std::string& durability)
    {
        const std::string body =
            "{" + durability +
            R"("spec":"work_ms=2000","steps":[{"count":10000,"cpu":3000}]})";
        attack out{"entry_callers_" + name,
                   target_process::entry,
                   target_port::callers,
                   {}};
        out.crowd.connections = crowd_size;
        out.crowd.opening_of = [body](unsigned number)
        { return job_request(number, body); };
        return out;
    };
    return {
        jobs("tasks_in_memory", R"("best_effort":true,)"),
        jobs("tasks_journalled", ""),
    };
}

/// Many journalled jobs with as long a text as a job may have.
attack many_jobs()
{
    constexpr unsigned jobs_per_connection = 1200;
    const std::string body = R"({"spec":"work_ms=2000 )" +
                             std::string(3900, 'x') +
                             R"(","steps":[{"count":1,"cpu":3000}]})";
    attack out{"entry_callers_jobs_journalled",
               target_process::entry,
               target_port::callers,
               {}};
    out.limits.memory_mb = 128;
    out.crowd.connections = crowd_size;
    out.crowd.requests = jobs_per_connection;
    out.crowd.request_of = [body](unsigned connection, unsigned number)
    { return job_request(connection * jobs_per_connection + number, body); };
    return out;
}

/// Whole requests with a list that takes far more memory once it is parsed.
attack long_lists()
{
    constexpr std::size_t numbers = 400'000;
    std::string list = "0";
    list.reserve(2 * numbers);
    while (list.size() < 2 * numbers)
        list += ",0";
    return {"entry_callers_list",
            target_process::entry,
            target_port::callers,
            {.connections = crowd_size,
             .opening = "",
             .filler = job_request(0, R"({"unknown":[)" + list + "]}"),
             .bytes = flood_bytes}};
}

std::string bytes_of(capnp::MessageBuilder& message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// A message of the size of the flood whose end never comes.
std::string begin_of_large_message()
{
    const std::array<std::uint32_t, 2> table{
        0, static_cast<std::uint32_t>(flood_bytes / sizeof(capnp::word) + 1)};
    std::string out(sizeof table, '\0');
    std::memcpy(out.data(), table.data(), sizeof table);
    return out;
}

/// Calls whose answers are never read.
std::string many_calls()
{
    std::string out;
    for (unsigned i = 0; i < calls_ahead; ++i)
    {
        capnp::MallocMessageBuilder message;
        message.initRoot<capnp::rpc::Message>().initBootstrap().setQuestionId(
            i);
        out += bytes_of(message);
    }
    return out;
}

std::vector<attack> link_attacks(const std::string& name,
                                 target_process process)
{
    const auto on_link =
        [&](const std::string& part, std::string opening, std::string filler)
    {
        return attack{name + "_links_" + part,
                      process,
                      target_port::links,
                      {.connections = crowd_size,
                       .opening = std::move(opening),
                       .filler = std::move(filler),
                       .bytes = flood_bytes}};
    };
    return {
        on_link("message", begin_of_large_message(), std::string(1024, '\0')),
        on_link("unread_answers", many_calls(), ""),
        silent_connections(name + "_links", process, target_port::links),
    };
}

} // namespace

std::vector<attack> all_attacks()
{
    std::vector<attack> out;
    const auto append = [&out](std::vector<attack> more)
    {
        for (auto& one : more)
            out.push_back(std::move(one));
    };
    for (const auto& at : http_ports)
    {
        append(growing_parts(at));
        out.push_back(single_fields(at));
        out.push_back(unfinished_heads(at));
        out.push_back(requests_sent_ahead(at));
        out.push_back(silent_connections(at.name, at.process, at.port));
    }
    append(large_jobs());
    out.push_back(many_jobs());
    out.push_back(long_lists());
    append(link_attacks("entry", target_process::entry));
    append(link_attacks("agent", target_process::agent));
    return out;
}

} // namespace glenhollow::hostile
